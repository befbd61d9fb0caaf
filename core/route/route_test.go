package route_test

import (
	"math"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

// router returns a router with n equal mixed engines.
func router(seed uint64, n int) *route.Router {
	r := route.New(seed)
	r.Groups = [][]int32{nil}
	for i := range n {
		e := route.Engine{Usable: true, SameDataCentre: true, Speed: cost.DefaultSpeed}
		e.Report(route.Load{At: 0, Running: 6 + i%3})
		r.Engines = append(r.Engines, e)
		r.Groups[0] = append(r.Groups[0], int32(i))
	}
	// This engine's report shows it as idle.
	r.Engines[n/2].Report(route.Load{At: 0})
	return r
}

func query() *route.Query {
	return &route.Query{Prompt: 3000, Output: 200, FirstTokenTarget: 1, TokenGapTarget: 0.074, AvoidEngine: route.None, OnlyEngine: route.None}
}

// TestSharedReportSpreadsChoices checks that instances with the same report
// don't all pick the same engine. Choosing the least loaded engine without
// regard to peers' dispatches would send every request to the idle one.
func TestSharedReportSpreadsChoices(t *testing.T) {
	for _, c := range []struct{ instances, engines int }{{8, 12}, {35, 71}} {
		counts := make([]int, c.engines)
		for i := range c.instances {
			choice, _ := router(uint64(i), c.engines).Pick(time.Second, query())
			counts[choice.Engine]++
		}
		most, used := 0, 0
		for _, n := range counts {
			most = max(most, n)
			used += min(n, 1)
		}
		t.Logf("%d instances, %d engines: at most %d on one engine, %d engines used; least-loaded: %d on one", c.instances, c.engines, most, used, c.instances)
		if most > max(c.instances/5, 3) {
			t.Errorf("%d of %d instances chose one engine", most, c.instances)
		}
	}
}

// TestPick checks each rule of the choice.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *route.Router, q *route.Query)
		want   int32
		reason route.Reason
	}{
		{"fastest", func(r *route.Router, _ *route.Query) { r.Engines[1].Speed.PrefillPerToken /= 3 }, 1, route.ReasonLeastWork},
		{"unusable is filtered", func(r *route.Router, _ *route.Query) { r.Engines[0].Usable = false }, 1, route.ReasonLeastWork},
		{"cached prefix", func(_ *route.Router, q *route.Query) {
			q.Prompt, q.CachedBlocks, q.BlockTokens = 8000, []uint16{0, 3}, 2000
		}, 1, route.ReasonCachedPrefix},
		{"prefill queue", func(r *route.Router, _ *route.Query) { r.Engines[0].Dispatched(time.Second, 5, false, 0) }, 1, route.ReasonLeastWork},
		{"protects streams", func(r *route.Router, _ *route.Query) {
			r.Engines[0].Report(route.Load{At: time.Second, Running: 160})
			r.Engines[0].Speed.PrefillPerToken /= 3
		}, 1, route.ReasonLeastWork},
		{"avoids the failed engine", func(_ *route.Router, q *route.Query) { q.AvoidEngine = 0 }, 1, route.ReasonLeastWork},
		{"off role when nothing else is left", func(r *route.Router, _ *route.Query) {
			r.Engines[0].Usable, r.Engines[1].Role = false, fleet.RoleDecode
		}, 1, route.ReasonOffRole},
		{"late everywhere", func(r *route.Router, q *route.Query) {
			r.Engines[0].Usable, q.FirstTokenTarget = false, 0.1
		}, 1, route.ReasonLeastLate},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := route.New(1)
			r.Groups = [][]int32{{0, 1}}
			for range 2 {
				e := route.Engine{Usable: true, SameDataCentre: true, Speed: cost.DefaultSpeed}
				e.Report(route.Load{At: time.Second})
				r.Engines = append(r.Engines, e)
			}
			q := query()
			c.change(r, q)
			got, ok := r.Pick(time.Second, q)
			if !ok || got.Engine != c.want || got.Reason != c.reason {
				t.Fatalf("chose %+v", got)
			}
		})
	}
}

// TestReportKeepsLaterWork guards against a late report that discards
// dispatches made after it.
func TestReportKeepsLaterWork(t *testing.T) {
	e := route.Engine{Speed: cost.DefaultSpeed}
	e.Dispatched(time.Second, 0.5, true, 100)
	e.Dispatched(3*time.Second, 0.5, true, 100)
	e.Report(route.Load{At: 2 * time.Second, Running: 1})
	// The reported stream has decayed for 1 s of the initial mean duration of 5
	// s, the later dispatch counts in full. The earlier dispatch is part of the
	// report.
	want := math.Exp(-1.0/5) + 1
	if got := e.RunningSequences(3 * time.Second); math.Abs(got-want) > 1e-9 || e.Backlog(3*time.Second) != 0.5 {
		t.Fatalf("batch %v, want %v, backlog %v", got, want, e.Backlog(3*time.Second))
	}
}

// TestLargeGroup guards against missing the only usable engine, or the engine
// with a cached prefix, when only some engines are assessed.
func TestLargeGroup(t *testing.T) {
	const n = 1000
	for seed := range uint64(50) {
		r := router(seed, n)
		q := query()
		q.Prompt, q.BlockTokens, q.CachedBlocks, q.CacheHolders = 8000, 2000, make([]uint16, n), []int32{17}
		q.CachedBlocks[17] = 4
		if c, _ := r.Pick(time.Second, q); c.Engine != 17 {
			t.Fatalf("seed %d: prefix not used: %+v", seed, c)
		}
		for i := range r.Engines {
			r.Engines[i].Usable = i == 903
		}
		if c, ok := r.Pick(time.Second, query()); !ok || c.Engine != 903 {
			t.Fatalf("seed %d: chose %+v", seed, c)
		}
	}
}

// TestOwnDataCentreInNearTies checks that the instance's own data centre is
// preferred between equal engines, but not over a clearly better engine
// elsewhere.
func TestOwnDataCentreInNearTies(t *testing.T) {
	ownChosen := func(slower float64) (n int) {
		for seed := range uint64(500) {
			r := route.New(seed)
			r.Groups = [][]int32{{0, 1}}
			for i := range 2 {
				e := route.Engine{Usable: true, SameDataCentre: i == 0, Speed: cost.DefaultSpeed}
				e.Report(route.Load{At: 900 * time.Millisecond})
				r.Engines = append(r.Engines, e)
			}
			r.Engines[0].Speed.PrefillPerToken *= slower
			r.Engines[0].Speed.StepBase *= slower
			if c, _ := r.Pick(time.Second, query()); c.Engine == 0 {
				n++
			}
		}
		return n
	}
	if equal, slow := ownChosen(1), ownChosen(1.5); equal < 350 || slow > 25 {
		t.Fatalf("own data centre chosen %d of 500 times when equal, %d when half as slow again", equal, slow)
	}
}

// TestGapsWithinTarget guards against filling an engine until its mean token
// gap equals the target, which applies to 95 in 100 gaps. gapShare is the ratio
// of the mean gap to the target, longest that of the longest of 16 gaps to the
// mean: a prefill lengthens a few iterations by much. Steady gaps near the
// target leave no room for requests that join later.
func TestGapsWithinTarget(t *testing.T) {
	for _, c := range []struct {
		gapShare, longest float64
		fits              bool
	}{{0.7, 0, true}, {0.9, 0, false}, {1.1, 0, false}, {0.5, 1.1, true}, {0.5, 4, false}, {0.95, 1, false}} {
		q, speed := query(), cost.DefaultSpeed
		running := (c.gapShare*q.TokenGapTarget-speed.StepPerContextToken*q.Prompt-speed.StepBase)/speed.StepPerSequence - 1
		r := route.New(1)
		r.Groups, r.Engines = [][]int32{{0}}, []route.Engine{{Usable: true, SameDataCentre: true, Speed: speed}}
		r.Engines[0].Report(route.Load{At: time.Second, Running: int(running)})
		for i := 0; c.longest > 0 && i < 200; i++ {
			r.Engines[0].ObserveLongestTokenGap(time.Second, 16, c.longest*c.gapShare*q.TokenGapTarget)
		}
		if got, ok := r.Pick(time.Second, q); !ok || got.Fits != c.fits {
			t.Errorf("%+v: chose %+v", c, got)
		}
	}
}

// TestUnseenWorkOfPeers guards against treating the newest message of one peer
// as the state of all peers, which misses what the others have sent since their
// last messages.
func TestUnseenWorkOfPeers(t *testing.T) {
	r := router(1, 1)
	r.Engines[0].PeerDispatched(0, 4, false, 0)
	r.Engines[0].Refresh(1)
	now := fleet.Instant(0)
	for range 4 {
		now += 250 * time.Millisecond
		r.ObservePeerExchange(now)
	}
	// Peers send 0.3 of 4 s per second. The mean age of their messages is 375
	// ms, of which maxUnseenSeconds counts 300 ms.
	got, _ := r.Pick(now, query())
	if want := r.Engines[0].Backlog(now) + 0.3*4*0.3; math.Abs(got.PrefillWait-want) > 1e-6 {
		t.Fatalf("wait %v, want %v", got.PrefillWait, want)
	}
}

// TestSaturated guards against limiting requests that don't need the engines
// that are short of time.
func TestSaturated(t *testing.T) {
	prefill, decode := []float64{20_000, 10}, []float64{100, 300}
	for _, c := range []struct {
		name                              string
		roles                             []fleet.Role
		backlog                           float64
		running                           int
		prefillSaturated, decodeSaturated bool
	}{
		{"both idle", []fleet.Role{fleet.RolePrefill, fleet.RoleDecode}, 0, 0, false, false},
		{"prefill queued", []fleet.Role{fleet.RolePrefill, fleet.RoleDecode}, 10_000, 0, true, false},
		{"decode full", []fleet.Role{fleet.RolePrefill, fleet.RoleDecode}, 0, 200, false, true},
		{"mixed engines with queued prefill", []fleet.Role{fleet.RoleMixed, fleet.RoleMixed}, 10_000, 0, true, true},
		{"no prefill engine is left", []fleet.Role{fleet.RoleDecode, fleet.RoleDecode}, 0, 200, true, true},
	} {
		r := router(1, 2)
		for i, role := range c.roles {
			e := &r.Engines[i]
			e.Role, e.Speed.PrefillWorkPerToken = role, e.Speed.PrefillPerToken
			l := route.Load{At: time.Second}
			if role != fleet.RoleDecode {
				l.WaitingPrompt = c.backlog
			}
			if role != fleet.RolePrefill {
				l.Running = c.running
			}
			e.Report(l)
		}
		for _, x := range []struct {
			tokens []float64
			want   bool
		}{{prefill, c.prefillSaturated}, {decode, c.decodeSaturated}} {
			q := query()
			q.Prompt, q.Output = x.tokens[0], x.tokens[1]
			if got := r.Saturated(time.Second, q); got != x.want {
				t.Errorf("%s: %v tokens: saturated %v", c.name, x.tokens, got)
			}
		}
	}
}

// TestIdleOnly guards against an instance that is restricted to idle engines
// but uses engines with streams or with a prefill queue.
func TestIdleOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		load route.Load
		fits bool
	}{
		{"idle", route.Load{At: time.Second}, true},
		{"streams", route.Load{At: time.Second, Running: 2}, false},
		{"prefill queue", route.Load{At: time.Second, WaitingPrompt: 1000}, false},
	} {
		r, q := router(1, 1), query()
		q.IdleOnly = true
		r.Engines[0].Report(c.load)
		if choice, _ := r.Pick(time.Second, q); choice.Fits != c.fits {
			t.Errorf("%s: fits %v", c.name, choice.Fits)
		}
	}
}

package role_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/role"
)

// fleetLoop feeds a planner with random demand and executes its changes after a
// delay.
type fleetLoop struct {
	p       *role.Planner
	engines []role.EngineState
	now     fleet.Instant
	seed    uint64
	changes []role.Change
	// changeEnds holds, by index, when a changing engine is available again.
	changeEnds map[int]fleet.Instant
	// staleRole is the role whose engines' reports are a minute old; RoleMixed
	// means none.
	staleRole fleet.Role
	// changesNeverEnd keeps changed engines unavailable.
	changesNeverEnd bool
}

func newLoop(n int, weight float64, seed uint64) *fleetLoop {
	l := &fleetLoop{p: role.New(role.Config{}), seed: seed, changeEnds: map[int]fleet.Instant{}}
	l.p.Step(0, role.Group{Name: "g", ChangeWeight: weight, TokenGapTarget: 74 * time.Millisecond})
	for i := range n {
		f := 1 + 2*float64(i%4)/3
		r := fleet.RoleDecode
		if i%2 == 0 {
			r = fleet.RolePrefill
		}
		l.engines = append(l.engines, role.EngineState{
			Group: "g", Upstream: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), Role: r, Available: true,
			Speed: cost.Speed{PrefillWorkPerToken: 1e-4 * f, StepBase: 15e-3 * f, StepPerSequence: 4e-4 * f},
		})
	}
	return l
}

func (l *fleetLoop) uniform() float64 {
	l.seed += 0x9e3779b97f4a7c15
	z := (l.seed ^ l.seed>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// run sends rate requests per second with the given mean prompt and output
// tokens, which are exponentially distributed.
func (l *fleetLoop) run(d time.Duration, rate, prompt, output float64) {
	for end := l.now + d; l.now < end; l.now += time.Second {
		var ev role.Demand
		ev.Group = "g"
		for t := -math.Log(1 - l.uniform()); t < rate; t += -math.Log(1 - l.uniform()) {
			ev.PromptTokens += prompt * -math.Log(1-l.uniform())
			ev.OutputTokens += output * -math.Log(1-l.uniform())
		}
		l.p.Step(l.now, ev)
		for i := range l.engines {
			if until, ok := l.changeEnds[i]; ok && l.now >= until && !l.changesNeverEnd {
				delete(l.changeEnds, i)
				l.engines[i].Available = true
			}
			l.engines[i].At = l.now - time.Second
			if l.staleRole != fleet.RoleMixed && l.engines[i].Role == l.staleRole {
				l.engines[i].At = l.now - time.Minute
			}
			l.p.Step(l.now, l.engines[i])
		}
		for _, c := range l.p.Ready() {
			l.changes = append(l.changes, c)
			for i := range l.engines {
				if l.engines[i].Upstream == c.Upstream {
					l.engines[i].Role, l.engines[i].Available = c.To, false
					l.changeEnds[i] = l.now + 8*time.Second
				}
			}
		}
	}
}

// Request rates that load 12 engines with a mean speed factor of 2 at about
// 80%.
const (
	promptHeavyPrompt, promptHeavyOutput = 6000, 100
	answerHeavyPrompt, answerHeavyOutput = 800, 300
	promptHeavyRate, answerHeavyRate     = 9, 22
)

// TestSteadyLoad guards against role changes that follow noise, both at a load
// that any roles can serve and at one above the group's capacity.
func TestSteadyLoad(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		for _, weight := range []float64{1, 3} {
			for _, rate := range []float64{5, 15, 22} {
				l := newLoop(12, weight, seed)
				l.run(5*time.Minute, rate, 2500, 180)
				l.changes = nil
				l.run(time.Hour, rate, 2500, 180)
				if len(l.changes) > 0 {
					t.Errorf("seed %d weight %v rate %v: %d changes in a steady hour, first %+v", seed, weight, rate, len(l.changes), l.changes[0])
				}
			}
		}
	}
}

// TestExternalChangeCounts guards against exceeding the allowed changes per
// shift when another planner has already made one.
func TestExternalChangeCounts(t *testing.T) {
	l := newLoop(12, 1, 1)
	l.run(3*time.Minute, answerHeavyRate, answerHeavyPrompt, answerHeavyOutput)
	l.run(9*time.Second, promptHeavyRate, promptHeavyPrompt, promptHeavyOutput)
	l.engines[11].Role = fleet.RoleMixed
	l.run(3*time.Minute, promptHeavyRate, promptHeavyPrompt, promptHeavyOutput)
	if len(l.changes) != 1 {
		t.Errorf("%d changes besides one made elsewhere", len(l.changes))
	}
}

// TestShifts guards against more changes per shift than allowed, and against a
// planner that never changes anything.
func TestShifts(t *testing.T) {
	for _, c := range []struct {
		weight float64
		limit  int
	}{{1, 2}, {3, 1}} {
		total := 0
		for seed := uint64(1); seed <= 10; seed++ {
			l := newLoop(12, c.weight, seed)
			l.run(4*time.Minute, answerHeavyRate, answerHeavyPrompt, answerHeavyOutput)
			for shift := range 6 {
				l.changes = nil
				if shift%2 == 0 {
					l.run(5*time.Minute, promptHeavyRate, promptHeavyPrompt, promptHeavyOutput)
				} else {
					l.run(5*time.Minute, answerHeavyRate, answerHeavyPrompt, answerHeavyOutput)
				}
				total += len(l.changes)
				if len(l.changes) > c.limit {
					t.Errorf("seed %d weight %v shift %d: %d changes", seed, c.weight, shift, len(l.changes))
				}
			}
		}
		t.Logf("weight %v: %d changes in 60 shifts", c.weight, total)
		if total == 0 {
			t.Errorf("weight %v: no change in 60 shifts", c.weight)
		}
	}
}

// TestChangesStartEarly guards against changes that come too late in a phase of
// three minutes, and against changes in the wrong direction.
func TestChangesStartEarly(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		l := newLoop(12, 1, seed)
		l.run(3*time.Minute, answerHeavyRate, answerHeavyPrompt, answerHeavyOutput)
		shift := l.now
		l.run(15*time.Second, promptHeavyRate, promptHeavyPrompt, promptHeavyOutput)
		if len(l.changes) == 0 || l.changes[0].To != fleet.RolePrefill {
			t.Errorf("seed %d: %+v within 15 s of the shift at %v", seed, l.changes, shift)
		}
	}
}

// TestChangeable guards against leaving a role without an available engine, and
// against changing engines that are withdrawn or whose reports are stale.
func TestChangeable(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*fleetLoop)
		barred  []fleet.UpstreamID
	}{
		{"one engine of a role is left", func(l *fleetLoop) { l.engines[0].Available = false }, []fleet.UpstreamID{"e00", "e02"}},
		{"an engine is withdrawn", func(l *fleetLoop) { l.engines[0].Available = false }, []fleet.UpstreamID{"e00"}},
		{"reports of a role are late", func(l *fleetLoop) { l.staleRole = fleet.RolePrefill }, []fleet.UpstreamID{"e00", "e02"}},
	} {
		l := newLoop(4, 1, 1)
		c.prepare(l)
		l.run(4*time.Minute, 2, 6000, 100)
		for range 3 {
			l.run(4*time.Minute, 6, 200, 600)
			l.run(4*time.Minute, 2, 6000, 100)
		}
		if len(l.changes) == 0 {
			t.Errorf("%s: no change at the other engines", c.name)
		}
		for _, change := range l.changes {
			if slices.Contains(c.barred, change.Upstream) {
				t.Errorf("%s: %+v", c.name, change)
			}
		}
	}
}

// TestOneChangeAtATime guards against a second change in a group before the
// first has ended.
func TestOneChangeAtATime(t *testing.T) {
	l := newLoop(12, 1, 1)
	l.changesNeverEnd = true
	l.run(3*time.Minute, answerHeavyRate, answerHeavyPrompt, answerHeavyOutput)
	l.run(time.Minute, promptHeavyRate, promptHeavyPrompt, promptHeavyOutput)
	if len(l.changes) != 1 {
		t.Errorf("%d changes while the first goes on", len(l.changes))
	}
}

// BenchmarkPlan measures one evaluation of an overloaded group with the engines
// of the largest region at the size planned for in two years. The mix shifts
// every minute, so that nearly every evaluation looks for a change; the weight
// prevents it. A planner evaluates a group at most once per second.
func BenchmarkPlan(b *testing.B) {
	l := newLoop(284, 1, 1)
	l.p.Step(0, role.Group{Name: "g", ChangeWeight: 1e9, TokenGapTarget: 74 * time.Millisecond})
	l.run(2*time.Minute, 600, answerHeavyPrompt, answerHeavyOutput)
	mixes := []role.Demand{
		{Group: "g", PromptTokens: 4e6, OutputTokens: 1e5},
		{Group: "g", PromptTokens: 5e5, OutputTokens: 4e5},
	}
	for i := 0; b.Loop(); i++ {
		l.now += time.Second
		l.p.Step(l.now, mixes[i/60%2])
		for _, e := range l.engines {
			e.At = l.now
			l.p.Step(l.now, e)
		}
	}
}

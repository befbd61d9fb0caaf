package sched_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// TestMain fixes the seed of the property tests, so that failures are
// reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// TestAccounting guards against requests that are lost or answered twice and
// against in-flight counts that do not return to zero, under random events
// including failures, retries, restarts, cancellations and changed
// declarations.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(3, 1, 2)
		now := fleet.Instant(0)
		state := map[fleet.RequestID]string{} // queued, running
		choice := map[fleet.RequestID]sched.Choice{}
		step := func(ev sched.Event) {
			s.Step(now, ev)
			for _, c := range s.Ready() {
				switch c := c.(type) {
				case sched.Dispatch:
					if state[c.ID] != "queued" {
						t.Fatalf("dispatch of %s request", state[c.ID])
					}
					state[c.ID], choice[c.ID] = "running", c.Choice
				case sched.Refuse:
					if state[c.ID] != "queued" {
						t.Fatalf("refusal of %s request", state[c.ID])
					}
					delete(state, c.ID)
				}
			}
		}
		running := func() (ids []fleet.RequestID) {
			for i := range 200 {
				if id := fleet.RequestID(fmt.Sprint(i)); state[id] == "running" {
					ids = append(ids, id)
				}
			}
			return ids
		}
		for i := range 100 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			engine := fleet.UpstreamID(fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "engine")))
			ids := running()
			switch n := rapid.IntRange(0, 8).Draw(t, "event"); {
			case n <= 2:
				id := fleet.RequestID(fmt.Sprint(i))
				state[id] = "queued"
				kind := rapid.SampledFrom([]string{"ledger", "bulk", "lookup"}).Draw(t, "kind")
				step(request(string(id), fmt.Sprintf("m%d", i%2), kind, rapid.IntRange(1, 20000).Draw(t, "prompt")))
			case n == 3:
				step(sched.UpstreamState{Upstream: engine, Available: rapid.Bool().Draw(t, "up"),
					Incarnation: fleet.Incarnation(fmt.Sprint(i)), Role: fleet.Role(i % 3)})
			case n == 4:
				step(sched.Report{Load: sched.LoadReport{Upstream: engine, At: now / 2, Running: i % 30, WaitingPromptTokens: i * 100, Role: fleet.Role(i % 3)}})
			case n == 5:
				step(sched.PeerDispatch{Upstream: engine, At: now, PromptTokens: 1000, OutputTokens: 10})
				step(sched.PeerService{Member: "m0", Group: "language", Cost: 5})
			case n == 6 || len(ids) == 0:
				step(sched.Configure{Declaration: declaration(2+i%2, 1, 2)})
				step(sched.Tick{})
			default:
				id := rapid.SampledFrom(ids).Draw(t, "id")
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					step(sched.FirstToken{ID: id})
					step(sched.Tokens{ID: id, N: 20})
				case 1:
					delete(state, id)
					step(sched.Finished{ID: id, Usage: fleet.Usage{PromptTokens: 100, OutputTokens: 10}})
				case 2:
					state[id] = "queued"
					at := choice[id].Target
					if choice[id].PrefillTarget != "" && i%2 == 0 {
						at = choice[id].PrefillTarget
					}
					step(sched.Failed{ID: id, Upstream: at, Retry: true})
				case 3:
					delete(state, id)
					step(sched.Cancel{ID: id})
				}
			}
		}
		for i := 0; i < 2000 && len(state) > 0; i++ {
			for _, id := range running() {
				delete(state, id)
				step(sched.Finished{ID: id})
			}
			now += 100 * time.Millisecond
			step(sched.Tick{})
		}
		if len(state) > 0 {
			t.Fatalf("left %v", state)
		}
		for _, u := range s.Status().Upstreams {
			if u.InFlight != 0 {
				t.Fatalf("%s has %d in flight", u.ID, u.InFlight)
			}
		}
		for _, m := range s.Status().Members {
			if m.Queued+m.Running != 0 {
				t.Fatalf("member %+v", m)
			}
		}
	})
}

// TestRestartClearsLeaving guards against new work at a leaving upstream after
// an event without Leaving, and against Leaving that stays set after a restart
// of the upstream.
func TestRestartClearsLeaving(t *testing.T) {
	s := newScheduler(1, 1)
	s.Step(0, sched.UpstreamState{Upstream: "e0", Incarnation: "1", Available: true, Leaving: true})
	s.Step(0, sched.UpstreamState{Upstream: "e0", Incarnation: "1", Available: true})
	s.Step(0, request("a", "m0", "ledger", 10))
	onlyCommand[sched.Refuse](t, s)
	s.Step(0, sched.UpstreamState{Upstream: "e0", Incarnation: "2", Available: true})
	s.Step(0, request("b", "m0", "ledger", 10))
	onlyCommand[sched.Dispatch](t, s)
}

// TestTakePeerUpdate guards against work that is missing from the update for
// the peers and the role planner.
func TestTakePeerUpdate(t *testing.T) {
	s := newScheduler(1, 1)
	s.Step(0, request("a", "m0", "ledger", 1000))
	got := s.TakePeerUpdate()
	if len(got.Service) != 1 || len(got.Dispatches) != 1 || len(got.Demand) != 1 || got.Dispatches[0].PromptTokens != 1000 {
		t.Fatalf("peer update %+v", got)
	}
	s.Step(time.Second, sched.Finished{ID: "a", Usage: fleet.Usage{PromptTokens: 1000, OutputTokens: 1}})
	if next := s.TakePeerUpdate(); len(next.Service) != 1 || next.Service[0].Cost >= 0 || len(next.Dispatches) != 0 {
		t.Fatalf("after a short answer: peer update %+v", next)
	}
}

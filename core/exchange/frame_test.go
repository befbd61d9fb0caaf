package exchange

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// TestFrameCarriesSchedulerState guards against queue states and demand that
// are lost on the wire, and against a frame with a negative cost being rejected
// and then retried forever. A correction can make a member's cost negative.
func TestFrameCarriesSchedulerState(t *testing.T) {
	dictionary := NewDictionary(&declare.Declaration{
		Members: []declare.Member{{ID: "m"}}, Groups: []declare.Group{{Name: "g"}},
	})
	for _, numbered := range []bool{true, false} {
		in := &frame{
			profile: &membership.Profile{ID: "i"}, numbered: numbered, digest: dictionary.digest, holdsOrderLease: true,
			service:     []serviceItem{{serviceKey{member: "m", group: "g"}, -0.5}},
			queueStates: []sched.PeerQueueState{{Group: "g", StartTag: 2.5, Backlogged: true, SaturatesEngines: true, PrefillCost: 0.25, TokenCost: 0.5}},
			demand:      []sched.GroupDemand{{Group: "g", PromptTokens: 1024, OutputTokens: 8, ContextTokens: 64}},
		}
		r := &reader{in: in.encode(time.Second, dictionary), dictionary: dictionary}
		out := decodeHeader(r)
		out.decodeBody(time.Second, r)
		if r.err != nil {
			t.Fatal(r.err)
		}
		if !out.holdsOrderLease || !reflect.DeepEqual(in.service, out.service) || !reflect.DeepEqual(in.queueStates, out.queueStates) || !reflect.DeepEqual(in.demand, out.demand) {
			t.Errorf("numbered %v: got %+v", numbered, out)
		}
	}
}

// TestCountersReachPeer guards against token counters that are lost or wrong at
// a peer because only their low bytes are sent: after lost pushes and replies,
// long silences, and counters that decreased.
func TestCountersReachPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation("a1", "a2")
		sim.runFor(3 * time.Second)
		load := sched.LoadReport{Upstream: "engine-1", Incarnation: "x"}
		generation := uint64(1)
		poll := func(at fleet.Instant) {
			load.At = at
			sim.nodes["a1"].Step(sim.now, Polled{Report: membership.Report{Generation: generation, Load: load}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				load.PrefilledTotal += rapid.Int64Range(0, 3<<20).Draw(t, "prefilled")
				load.GeneratedTotal += rapid.Int64Range(0, 1<<20).Draw(t, "generated")
				poll(sim.now)
			},
			"back": func(t *rapid.T) {
				load.PrefilledTotal /= 2
				load.GeneratedTotal /= 2
				if rapid.Bool().Draw(t, "restart") {
					generation++
				}
				poll(sim.now)
			},
			"push": func(t *rapid.T) {
				sim.advance(1200 * time.Millisecond)
				for len(sim.calls) > 0 {
					c := sim.removeCall(0)
					switch rapid.SampledFrom([]string{"arrives", "lost", "reply lost"}).Draw(t, "fate") {
					case "arrives":
						sim.finish(c, sim.deliver(c))
					case "reply lost":
						sim.deliver(c)
						sim.finish(c, nil)
					default:
						sim.finish(c, nil)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, got := range sim.reports("a2") {
					if got.Load.PrefilledTotal%prefilledUnit+got.Load.GeneratedTotal%generatedUnit != 0 {
						t.Fatalf("got parts of a unit: %+v", got.Load)
					}
				}
			},
		})
		poll(sim.now + time.Millisecond)
		sim.runFor(5 * time.Second)
		all := sim.reports("a2")
		got := all[len(all)-1].Load
		if got.PrefilledTotal != load.PrefilledTotal/prefilledUnit*prefilledUnit ||
			got.GeneratedTotal != load.GeneratedTotal/generatedUnit*generatedUnit {
			t.Fatalf("the peer has %d and %d, want %d and %d", got.PrefilledTotal, got.GeneratedTotal, load.PrefilledTotal, load.GeneratedTotal)
		}
	})
}

// TestPartnersAndOwnersEven guards against one instance that handles several
// times the mean number of reports or totals between data centres.
func TestPartnersAndOwnersEven(t *testing.T) {
	var ids []fleet.InstanceID
	for i := range 35 {
		ids = append(ids, fleet.InstanceID(fmt.Sprintf("a%02d", i)), fleet.InstanceID(fmt.Sprintf("b%02d", i)))
	}
	sim := newSimulation(ids...)
	partners, owned := map[fleet.InstanceID]int{}, map[fleet.InstanceID]int{}
	for _, id := range ids {
		n := sim.nodes[id]
		n.planTopology(sim.now)
		dc := fleet.DataCentre("a")
		if n.profile.DataCentre == dc {
			dc = "b"
		}
		partners[n.partners(sim.now, dc)[0].ID]++
	}
	for _, owner := range membership.BalancedOwners(slotKeys, ids[:35]) {
		owned[owner]++
	}
	for _, id := range ids {
		if partners[id] != 1 || owned[id] > 1 {
			t.Errorf("%s is the partner of %d instances and owns %d slots", id, partners[id], owned[id])
		}
	}
}

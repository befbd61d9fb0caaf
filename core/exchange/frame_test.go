package exchange

import (
	"reflect"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// TestFrameCarriesSchedulerState guards against turns and demand that are lost
// on the wire, and against a frame that is refused, and then repeated for good,
// because a correction made a member's cost negative.
func TestFrameCarriesSchedulerState(t *testing.T) {
	names := NewNames(&declare.Declaration{
		Members: []declare.Member{{ID: "m"}}, Groups: []declare.Group{{Name: "g"}},
	})
	for _, numbered := range []bool{true, false} {
		in := &frame{
			profile: &membership.Profile{ID: "i"}, numbered: numbered, digest: names.digest,
			service: []item{{itemKey{member: "m", group: "g"}, -0.5}},
			turns:   []sched.PeerTurn{{Group: "g", Start: 2.5, Backlogged: true, Deep: true, PrefillCost: 0.25, TokenCost: 0.5}},
			demand:  []sched.GroupDemand{{Group: "g", PromptTokens: 1024, OutputTokens: 8, ContextTokens: 64, Requests: 2, Late: 1}},
		}
		r := &reader{in: in.encode(time.Second, names), names: names}
		out := decodeHead(r)
		out.decodeBody(time.Second, r)
		if r.err != nil {
			t.Fatal(r.err)
		}
		if !reflect.DeepEqual(in.service, out.service) || !reflect.DeepEqual(in.turns, out.turns) || !reflect.DeepEqual(in.demand, out.demand) {
			t.Errorf("numbered %v: got %+v", numbered, out)
		}
	}
}

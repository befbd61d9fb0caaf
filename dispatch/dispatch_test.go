package dispatch

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
)

// newDispatcher returns a dispatcher with plain services of one group.
func newDispatcher(upstreams ...fleet.UpstreamID) *Dispatcher {
	d := New(sched.Config{Instance: "i", Seed: 1}, nil)
	declaration := &declare.Declaration{
		Members: []declare.Member{{ID: "m", Share: 1, Kinds: []fleet.KindName{"k"}}},
		Kinds:   []declare.Kind{{Name: "k", Group: "g", Repeatable: true}},
		Groups:  []declare.Group{{Name: "g", Type: declare.GroupService}},
	}
	for _, id := range upstreams {
		declaration.Upstreams = append(declaration.Upstreams, declare.Upstream{ID: id, Group: "g"})
	}
	d.Step(sched.Configure{Version: 1, Declaration: declaration})
	return d
}

// available reports whether the scheduler counts an upstream as available.
func available(d *Dispatcher, id fleet.UpstreamID) bool {
	for _, u := range d.Status().Upstreams {
		if u.ID == id {
			return u.Available
		}
	}
	return false
}

// TestEjection guards against new work for a failing upstream, and against an
// ejection that hides the reported state of an upstream.
func TestEjection(t *testing.T) {
	Convey("With two upstreams, one of which fails", t, func() {
		d := newDispatcher("a", "b")
		ticket, refusal := d.Submit(context.Background(), sched.Request{ID: "r", Member: "m", Kind: "k"})
		So(refusal, ShouldBeNil)
		bad := ticket.Choice.Target
		for range retry.DefaultEjectorConfig.ConsecutiveFailures {
			ticket.ReportFailure(bad)
		}
		d.Step(sched.Tick{})
		So(available(d, bad), ShouldBeFalse)
		So(d.Ejected(), ShouldEqual, 1)

		Convey("a report that it is available does not end the ejection", func() {
			d.Step(sched.UpstreamState{Upstream: bad, Available: true})
			So(available(d, bad), ShouldBeFalse)
		})
		Convey("it returns after its time, unless it is reported as unavailable", func() {
			d.Step(sched.UpstreamState{Upstream: bad})
			d.start = d.start.Add(-2 * retry.DefaultEjectorConfig.BaseDuration)
			d.Step(sched.Tick{})
			So(d.Ejected(), ShouldEqual, 0)
			So(available(d, bad), ShouldBeFalse)
			d.Step(sched.UpstreamState{Upstream: bad, Available: true})
			So(available(d, bad), ShouldBeTrue)
		})
		Convey("a new configuration keeps the ejection", func() {
			d.Step(sched.Configure{Version: 2, Declaration: &declare.Declaration{
				Groups:    []declare.Group{{Name: "g", Type: declare.GroupService}},
				Upstreams: []declare.Upstream{{ID: "a", Group: "g"}, {ID: "b", Group: "g"}},
			}})
			So(available(d, bad), ShouldBeFalse)
		})
	})
}

// TestLeaving guards against a request that stays in the dispatcher after its
// caller has left, and against a refusal with the wrong reason.
func TestLeaving(t *testing.T) {
	Convey("A request whose context has ended", t, func() {
		d := newDispatcher("a")
		for _, c := range []struct {
			deadline time.Duration
			reason   fleet.Reason
		}{{-time.Second, fleet.ReasonDeadlineUnmeetable}, {time.Hour, fleet.ReasonCallerGone}} {
			ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
			cancel()
			ticket := &Ticket{id: "r", dispatcher: d, commands: make(chan sched.Command, 1)}
			_, refusal := ticket.wait(ctx)
			So(refusal.Reason, ShouldEqual, c.reason)
			So(refusal.Outcome, ShouldEqual, fleet.OutcomeNotRun)
			So(d.waiters, ShouldBeEmpty)
		}
	})
}

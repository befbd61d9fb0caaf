package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// rig drives one machine and records its last word on each subject.
type rig struct {
	*Machine
	now      fleet.Instant
	upstream map[fleet.UpstreamID]UpstreamChanged
	instance map[fleet.InstanceID]InstanceStatus
	reach    map[fleet.DataCentre]bool
	polled   []fleet.UpstreamID
	watching bool
	spread   []Mark
	peers    []Peer
	// assigned counts the assignments.
	assigned int
}

var testUpstreams = []declare.Upstream{
	{ID: "engine-1", DataCentre: "a", Address: "192.0.2.1:80"},
	{ID: "engine-2", DataCentre: "a", Address: "192.0.2.2:80"},
	{ID: "engine-3", DataCentre: "b", Address: "192.0.2.3:80"},
}

func newRig(id fleet.InstanceID) *rig {
	r := &rig{
		Machine: New(Config{Self: Profile{ID: id, DataCentre: "a", Address: "192.0.2.10:1"}}), now: time.Second,
		upstream: map[fleet.UpstreamID]UpstreamChanged{}, instance: map[fleet.InstanceID]InstanceStatus{},
		reach: map[fleet.DataCentre]bool{},
	}
	r.do(Declared{Upstreams: testUpstreams})
	return r
}

func (r *rig) do(events ...Event) {
	for _, ev := range events {
		r.Step(r.now, ev)
		for _, c := range r.Ready() {
			switch c := c.(type) {
			case UpstreamChanged:
				r.upstream[c.State.Upstream] = c
			case InstanceChanged:
				r.instance[c.ID] = c.Status
			case ReachabilityChanged:
				r.reach[c.DataCentre] = c.Connected
			case Poll:
				r.polled = c.Upstreams
			case WatchConfig:
				r.watching = c.On
			case PublishMark:
				r.spread = append(r.spread, c.Mark)
			case Peers:
				r.peers = c.Peers
				r.assigned++
			}
		}
	}
}

// pass lets time pass in steps of 200 ms, with events repeated every second.
func (r *rig) pass(d time.Duration, every ...Event) {
	for end := r.now + d; r.now < end; {
		r.now += 200 * time.Millisecond
		if r.now%time.Second == 0 {
			r.do(every...)
		}
		r.do(Tick{})
	}
}

func heard(id fleet.InstanceID, dc fleet.DataCentre, incarnation uint64) Heartbeat {
	return Heartbeat{Profile: Profile{ID: id, DataCentre: dc, Address: "192.0.2.20:" + string(id)}, Incarnation: incarnation}
}

func (r *rig) answer(incarnation fleet.Incarnation, leaving bool) Polled {
	return Polled{Load: sched.LoadReport{Upstream: "engine-1", Incarnation: incarnation, At: r.now, Leaving: leaving}}
}

func (r *rig) wantUpstream(status UpstreamStatus, cause Cause) {
	got := r.upstream["engine-1"]
	So(got.Status.String(), ShouldEqual, status.String())
	So(got.Cause.String(), ShouldEqual, cause.String())
}

// TestUpstreamEnds guards against a withdrawn, a crashed, a replaced and a
// restarted upstream being taken for one another.
func TestUpstreamEnds(t *testing.T) {
	failed := PollFailed{Upstream: "engine-1"}
	for _, c := range []struct {
		name   string
		drive  func(r *rig)
		status UpstreamStatus
		cause  Cause
	}{
		{"running", func(*rig) {}, UpstreamLive, CauseReported},
		{"one lost poll", func(r *rig) { r.do(failed) }, UpstreamLive, CauseReported},
		{"crashed", func(r *rig) { r.do(failed, failed, failed) }, UpstreamUnreachable, CauseSilent},
		{"answers again", func(r *rig) { r.do(failed, failed, failed, r.answer("x", false)) }, UpstreamLive, CauseReported},
		{"no reports", func(r *rig) { r.pass(7 * time.Second) }, UpstreamUnreachable, CauseSilent},
		{"announces its departure", func(r *rig) { r.do(r.answer("x", true)) }, UpstreamLeaving, CauseMarked},
		{"takes the announcement back", func(r *rig) {
			r.do(r.answer("x", true), r.answer("x", false))
		}, UpstreamLeaving, CauseMarked},
		{"withdrawn", func(r *rig) {
			r.do(r.answer("x", true), failed, failed, failed)
		}, UpstreamGone, CauseWithdrawn},
		{"restarted unnoticed", func(r *rig) { r.do(r.answer("y", false)) }, UpstreamLive, CauseRestarted},
		{"restarted after a crash", func(r *rig) {
			r.do(failed, failed, failed, r.answer("y", false))
		}, UpstreamLive, CauseRestarted},
		{"replaced", func(r *rig) {
			r.do(r.answer("x", true), failed, failed, failed, r.answer("y", false))
		}, UpstreamLive, CauseReplaced},
		{"replaced by one that is leaving too", func(r *rig) {
			r.do(r.answer("x", true), r.answer("y", true))
		}, UpstreamLeaving, CauseMarked},
		{"drained", func(r *rig) { r.do(MarkReceived{Mark: Mark{"engine-1", ""}}) }, UpstreamLeaving, CauseMarked},
		{"a late mark of the predecessor", func(r *rig) {
			r.do(r.answer("y", false), MarkReceived{Mark: Mark{"engine-1", "x"}})
		}, UpstreamLive, CauseRestarted},
		{"a mark ahead of its incarnation", func(r *rig) {
			r.do(MarkReceived{Mark: Mark{"engine-1", "y"}}, r.answer("y", false))
		}, UpstreamLeaving, CauseRestarted},
		{"a late report of the predecessor", func(r *rig) {
			r.do(r.answer("y", false))
			r.now += time.Second
			r.do(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: r.now}}})
		}, UpstreamLive, CauseRestarted},
		{"a late word that it does not answer", func(r *rig) {
			r.do(Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: r.now - time.Second}}})
		}, UpstreamLive, CauseReported},
		{"a mark ahead of the declaration", func(r *rig) {
			r.do(Declared{Upstreams: testUpstreams[1:]}, MarkReceived{Mark: Mark{"engine-1", "x"}},
				Declared{Upstreams: testUpstreams}, r.answer("x", false))
		}, UpstreamLeaving, CauseReported},
		{"undeclared", func(r *rig) { r.do(Declared{Upstreams: testUpstreams[1:]}) }, UpstreamGone, CauseUndeclared},
		{"many marks of other incarnations", func(r *rig) {
			r.do(MarkReceived{Mark: Mark{"engine-1", "x"}})
			for i := range 20 {
				r.do(MarkReceived{Mark: Mark{"engine-1", fleet.Incarnation(fmt.Sprint(i))}})
			}
		}, UpstreamLeaving, CauseMarked},
	} {
		Convey("With an upstream that ran: "+c.name, t, func() {
			r := newRig("a1")
			r.do(r.answer("x", false))
			c.drive(r)
			r.wantUpstream(c.status, c.cause)
			state := r.upstream["engine-1"].State
			So(state.Available && !state.Leaving, ShouldEqual, c.status == UpstreamLive)
			if u := r.upstreams["engine-1"]; u != nil {
				So(len(u.marks), ShouldBeLessThanOrEqualTo, maxMarks)
			}
		})
	}
}

// TestGenerationSettles guards against two pollers that never agree on which
// of two incarnations is the later one.
func TestGenerationSettles(t *testing.T) {
	Convey("After a peer's wrong word in a higher generation, an own poll is believed", t, func() {
		r := newRig("a1")
		r.do(r.answer("new", false))
		r.now += time.Second
		r.do(Reported{Report{Generation: 9, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "old", At: r.now}}})
		r.now += time.Second
		r.do(r.answer("new", false))
		got := r.Upstreams()[0]
		So(string(got.Incarnation), ShouldEqual, "new")
		So(got.Generation, ShouldEqual, uint64(10))
	})
}

// TestPlatformList guards against a list that lags, omits, invents or flaps
// being believed over what is heard, or marking the wrong incarnation.
func TestPlatformList(t *testing.T) {
	row := func(leaving bool) InstancesListed {
		return InstancesListed{Rows: []ListRow{{ID: "engine-1", Leaving: leaving}}}
	}
	byAddress := InstancesListed{Rows: []ListRow{{ID: "i-0042", Address: "192.0.2.1:80", Leaving: true}}}
	for _, c := range []struct {
		name   string
		drive  func(r *rig)
		status UpstreamStatus
		spread []Mark
	}{
		{"staying", func(r *rig) { r.do(row(false)) }, UpstreamLive, nil},
		{"begins to leave", func(r *rig) { r.do(row(false), row(true)) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaves under its address", func(r *rig) { r.do(row(false), byAddress) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"appears only when leaving", func(r *rig) {
			r.do(InstancesListed{Rows: []ListRow{{ID: "other"}}}, row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaving at first sight is held here", func(r *rig) { r.do(row(true)) }, UpstreamLeaving, nil},
		{"held until the row changes", func(r *rig) { r.do(row(true), row(false)) }, UpstreamLive, nil},
		{"held until the incarnation changes", func(r *rig) { r.do(row(true), r.answer("y", false)) }, UpstreamLive, nil},
		{"row goes missing", func(r *rig) {
			r.do(row(false), row(true), InstancesListed{Rows: []ListRow{}})
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"mark outlives the row", func(r *rig) {
			r.do(row(false), row(true), row(false))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"list lags behind the replacement", func(r *rig) {
			r.do(row(false), row(true), r.answer("y", false), row(true))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"list flaps after the replacement", func(r *rig) {
			r.do(row(false), row(true), r.answer("y", false), row(false), row(true), row(false))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"the replacement leaves too", func(r *rig) {
			r.do(row(false), row(true), r.answer("y", false), row(false))
			r.now += listLag
			r.do(r.answer("y", false), row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}, {"engine-1", "y"}}},
	} {
		Convey("With a row of an upstream: "+c.name, t, func() {
			r := newRig("a1")
			r.do(r.answer("x", false))
			c.drive(r)
			So(r.upstream["engine-1"].Status.String(), ShouldEqual, c.status.String())
			So(r.spread, ShouldResemble, c.spread)
		})
	}
}

// TestInstances guards against a wrong list making an instance live or gone.
func TestInstances(t *testing.T) {
	listed := InstancesListed{Rows: []ListRow{{ID: "a2", DataCentre: "a", Address: "192.0.2.99:1"}}}
	empty := InstancesListed{Rows: []ListRow{}}
	for _, c := range []struct {
		name  string
		drive func(r *rig)
		want  InstanceStatus
		peers int
	}{
		{"listed, never heard", func(r *rig) { r.do(listed); r.pass(2 * time.Second) }, InstanceSuspect, 1},
		{"listed, silent for long", func(r *rig) { r.do(listed); r.pass(20 * time.Second) }, InstanceGone, 1},
		{"heard, not listed", func(r *rig) { r.do(heard("a2", "a", 1)); r.pass(9*time.Second, empty, heard("a2", "a", 1)) }, InstanceLive, 1},
		{"silent for four seconds", func(r *rig) { r.do(heard("a2", "a", 1)); r.pass(4 * time.Second) }, InstanceSuspect, 1},
		{"silent for long, not listed", func(r *rig) { r.do(heard("a2", "a", 1)); r.pass(11 * time.Second) }, InstanceGone, 0},
		{"flapping list", func(r *rig) {
			r.pass(3*time.Second, listed, heard("a2", "a", 1), empty)
		}, InstanceLive, 1},
		{"leaving by its own word", func(r *rig) {
			ev := heard("a2", "a", 1)
			ev.Leaving = true
			r.do(ev)
		}, InstanceLeaving, 1},
		{"restarted after leaving", func(r *rig) {
			ev := heard("a2", "a", 1)
			ev.Leaving = true
			r.do(ev, heard("a2", "a", 2))
		}, InstanceLive, 1},
		{"late message of an earlier process", func(r *rig) {
			ev := heard("a2", "a", 1)
			ev.Leaving = true
			r.do(heard("a2", "a", 2), ev)
		}, InstanceLive, 1},
		{"returns", func(r *rig) {
			r.do(heard("a2", "a", 1))
			r.pass(11 * time.Second)
			r.do(heard("a2", "a", 2))
		}, InstanceLive, 1},
	} {
		Convey("With an instance: "+c.name, t, func() {
			r := newRig("a1")
			c.drive(r)
			So(r.instance["a2"].String(), ShouldEqual, c.want.String())
			So(len(r.peers), ShouldEqual, c.peers)
		})
	}
	Convey("An instance's own address outranks the list's", t, func() {
		r := newRig("a1")
		r.do(listed, heard("a2", "a", 1), listed)
		So(r.Instances()[0].Address, ShouldEqual, heard("a2", "a", 1).Profile.Address)
	})
	Convey("A list of many invented instances is bounded", t, func() {
		r := newRig("a1")
		var rows []ListRow
		for i := range 5 * maxInstances {
			rows = append(rows, ListRow{ID: fmt.Sprint(i), DataCentre: "a"})
		}
		r.do(InstancesListed{Rows: rows})
		So(len(r.Instances()), ShouldEqual, maxInstances)
	})
}

// TestPollingAssignment guards against upstreams that nobody polls, above all
// after their poller is gone, and against each instance polling all.
func TestPollingAssignment(t *testing.T) {
	rigs := map[fleet.InstanceID]*rig{"a1": newRig("a1"), "a2": newRig("a2"), "a3": newRig("a3")}
	beat := func(alive ...fleet.InstanceID) {
		for _, at := range alive {
			var events []Event
			for _, id := range alive {
				if id != at {
					events = append(events, heard(id, "a", 1))
				}
			}
			// The poller's reports arrive, so that nothing is late.
			events = append(events, heard("b1", "b", 1))
			rigs[at].pass(time.Second, events...)
			for _, u := range testUpstreams {
				rigs[at].do(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: u.ID, Incarnation: "x", At: rigs[at].now}}})
			}
		}
	}
	pollers := func(id fleet.UpstreamID, alive ...fleet.InstanceID) (out []fleet.InstanceID) {
		for _, at := range alive {
			if slices.Contains(rigs[at].polled, id) {
				out = append(out, at)
			}
		}
		return out
	}
	Convey("With three instances of one data centre", t, func() {
		for range 3 {
			beat("a1", "a2", "a3")
		}
		for _, u := range testUpstreams[:2] {
			So(len(pollers(u.ID, "a1", "a2", "a3")), ShouldEqual, 1)
		}
		So(pollers("engine-3", "a1", "a2", "a3"), ShouldBeEmpty)
		dead := pollers("engine-1", "a1", "a2", "a3")[0]
		rest := slices.DeleteFunc([]fleet.InstanceID{"a1", "a2", "a3"}, func(id fleet.InstanceID) bool { return id == dead })
		for range 4 {
			beat(rest...)
		}
		So(len(pollers("engine-1", rest...)), ShouldEqual, 1)
		So(rigs[rest[0]].watching && rigs[rest[1]].watching, ShouldBeTrue)
		// The engines of a partitioned data centre are tried.
		r := rigs[rest[0]]
		r.pass(reachAfter + 2*time.Second)
		So(r.reach["b"], ShouldBeFalse)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-3"))
	})
	Convey("Upstreams whose poller is heard but whose reports are not are polled", t, func() {
		r := newRig("a1")
		r.pass(5*time.Second, heard("a2", "a", 1), heard("a3", "a", 1))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-2"))
	})
}

// TestDisputedSilence guards against one poller's broken link taking an
// upstream away from every instance, and against a crash being disputed for long.
func TestDisputedSilence(t *testing.T) {
	silence := func(r *rig) Event {
		return Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: r.now}}}
	}
	Convey("With an upstream that another instance polls and reports silent", t, func() {
		r := newRig("a1")
		r.do(r.answer("x", false), heard("a2", "a", 1))
		So(string(Owner("poll engine-1", []fleet.InstanceID{"a1", "a2"})), ShouldEqual, "a2")
		r.do(silence(r))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		for range 10 {
			r.pass(time.Second, heard("a2", "a", 1), silence(r))
			r.do(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: r.now}}})
		}
		r.wantUpstream(UpstreamLive, CauseReported)
		for range 3 {
			r.pass(time.Second, heard("a2", "a", 1))
			r.do(silence(r))
		}
		r.wantUpstream(UpstreamUnreachable, CauseSilent)
	})
}

// TestOwnersMoveLittle guards against an assignment that moves more than the
// keys of the instance that left, and against an uneven one.
func TestOwnersMoveLittle(t *testing.T) {
	var ids []fleet.InstanceID
	for i := range 35 {
		ids = append(ids, fleet.InstanceID(fmt.Sprintf("entry-%02d", i)))
	}
	Convey("With 35 instances and 7,000 keys", t, func() {
		count, moved := map[fleet.InstanceID]int{}, 0
		for i := range 7000 {
			key := fmt.Sprint("key ", i)
			before := Owner(key, ids)
			count[before]++
			if after := Owner(key, ids[1:]); before != ids[0] && after != before {
				moved++
			}
		}
		So(moved, ShouldEqual, 0)
		for _, id := range ids {
			So(count[id], ShouldBeBetween, 140, 260)
		}
	})
}

// TestAssignedEvenly guards against an instance that polls several times the
// mean number of upstreams.
func TestAssignedEvenly(t *testing.T) {
	for _, n := range []int{1, 3, 34, 35, 100} {
		var ids []fleet.InstanceID
		for i := range n {
			ids = append(ids, fleet.InstanceID(fmt.Sprint("entry-", i)))
		}
		var keys []string
		for i := range 71 {
			keys = append(keys, fmt.Sprint("poll engine-", i))
		}
		count := map[fleet.InstanceID]int{}
		for _, owner := range BalancedOwners(keys, ids) {
			count[owner]++
		}
		for id, got := range count {
			if !slices.Contains(ids, id) || got > (71+n-1)/n {
				t.Errorf("with %d instances %q has %d of 71 keys", n, id, got)
			}
		}
	}
}

// TestRareRemoteChangesNothing guards against assignments being computed each
// time that an instance of another data centre, heard every 5 s, turns suspect.
func TestRareRemoteChangesNothing(t *testing.T) {
	r := newRig("a1")
	r.do(heard("b1", "b", 1))
	// Reaching data centre b and the missing reports are changes.
	r.pass(5*time.Second, heard("a2", "a", 1))
	r.assigned = 0
	for range 6 {
		for range 5 {
			r.pass(time.Second, heard("a2", "a", 1))
		}
		r.do(heard("b1", "b", 1))
	}
	if r.assigned > 0 {
		t.Errorf("assigned %d times in 30 s without a change", r.assigned)
	}
}

// TestHolderSharesNoWork guards against an order holder that also polls and
// watches, and against upstreams that nobody polls when it is alone.
func TestHolderSharesNoWork(t *testing.T) {
	Convey("An order holder leaves polling and watching to the others", t, func() {
		holder := heard("a2", "a", 1)
		holder.HoldsOrderLease = true
		r := newRig("a1")
		r.pass(2*time.Second, holder)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		r.do(OrderLeaseHeld{On: true}, heard("a2", "a", 1))
		So(r.polled, ShouldNotContain, fleet.UpstreamID("engine-1"))
		So(r.watching, ShouldBeFalse)
		// The other one falls silent, and the last report is not late yet.
		r.do(r.answer("x", false))
		r.pass(SuspectAfter + 400*time.Millisecond)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(r.watching, ShouldBeTrue)
	})
}

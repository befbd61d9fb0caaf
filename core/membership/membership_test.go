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

// env drives one Machine and records the last command on each subject.
type env struct {
	*Machine
	now       fleet.Instant
	upstream  map[fleet.UpstreamID]UpstreamChanged
	instance  map[fleet.InstanceID]InstanceStatus
	reachable map[fleet.DataCentre]bool
	polled    []fleet.UpstreamID
	watching  bool
	published []Mark
	peers     []Peer
	// assigned counts the Peers commands, of which each assignment emits one.
	assigned int
}

var testUpstreams = []declare.Upstream{
	{ID: "engine-1", DataCentre: "a", Address: "192.0.2.1:80"},
	{ID: "engine-2", DataCentre: "a", Address: "192.0.2.2:80"},
	{ID: "engine-3", DataCentre: "b", Address: "192.0.2.3:80"},
}

func newEnv(id fleet.InstanceID) *env {
	r := &env{
		Machine: New(Config{Self: Profile{ID: id, DataCentre: "a", Address: "192.0.2.10:1"}}), now: time.Second,
		upstream: map[fleet.UpstreamID]UpstreamChanged{}, instance: map[fleet.InstanceID]InstanceStatus{},
		reachable: map[fleet.DataCentre]bool{},
	}
	r.step(Declared{Upstreams: testUpstreams})
	return r
}

func (r *env) step(events ...Event) {
	for _, ev := range events {
		r.Step(r.now, ev)
		for _, c := range r.Ready() {
			switch c := c.(type) {
			case UpstreamChanged:
				r.upstream[c.State.Upstream] = c
			case InstanceChanged:
				r.instance[c.ID] = c.Status
			case ReachabilityChanged:
				r.reachable[c.DataCentre] = c.Connected
			case Poll:
				r.polled = c.Upstreams
			case WatchConfig:
				r.watching = c.On
			case PublishMark:
				r.published = append(r.published, c.Mark)
			case Peers:
				r.peers = c.Peers
				r.assigned++
			}
		}
	}
}

// wait advances the time in steps of 200 ms and applies the given events
// every second.
func (r *env) wait(d time.Duration, every ...Event) {
	for end := r.now + d; r.now < end; {
		r.now += 200 * time.Millisecond
		if r.now%time.Second == 0 {
			r.step(every...)
		}
		r.step(Tick{})
	}
}

func heartbeat(id fleet.InstanceID, dc fleet.DataCentre, incarnation uint64) Heartbeat {
	return Heartbeat{Profile: Profile{ID: id, DataCentre: dc, Address: "192.0.2.20:" + string(id)}, Incarnation: incarnation}
}

func (r *env) answer(incarnation fleet.Incarnation, leaving bool) Polled {
	return Polled{Load: sched.LoadReport{Upstream: "engine-1", Incarnation: incarnation, At: r.now, Leaving: leaving}}
}

func (r *env) wantUpstream(status UpstreamStatus, cause Cause) {
	got := r.upstream["engine-1"]
	So(got.Status.String(), ShouldEqual, status.String())
	So(got.Cause.String(), ShouldEqual, cause.String())
}

// TestUpstreamEnds guards against confusing a withdrawn, a crashed, a replaced
// and a restarted upstream.
func TestUpstreamEnds(t *testing.T) {
	failed := PollFailed{Upstream: "engine-1"}
	for _, c := range []struct {
		name   string
		drive  func(r *env)
		status UpstreamStatus
		cause  Cause
	}{
		{"running", func(*env) {}, UpstreamLive, CauseReported},
		{"one lost poll", func(r *env) { r.step(failed) }, UpstreamLive, CauseReported},
		{"crashed", func(r *env) { r.step(failed, failed, failed) }, UpstreamUnreachable, CauseSilent},
		{"answers again", func(r *env) { r.step(failed, failed, failed, r.answer("x", false)) }, UpstreamLive, CauseReported},
		{"no reports", func(r *env) { r.wait(7 * time.Second) }, UpstreamUnreachable, CauseSilent},
		{"announces its departure", func(r *env) { r.step(r.answer("x", true)) }, UpstreamLeaving, CauseMarked},
		{"takes the announcement back", func(r *env) {
			r.step(r.answer("x", true), r.answer("x", false))
		}, UpstreamLeaving, CauseMarked},
		{"withdrawn", func(r *env) {
			r.step(r.answer("x", true), failed, failed, failed)
		}, UpstreamGone, CauseWithdrawn},
		{"restarted unnoticed", func(r *env) { r.step(r.answer("y", false)) }, UpstreamLive, CauseRestarted},
		{"restarted after a crash", func(r *env) {
			r.step(failed, failed, failed, r.answer("y", false))
		}, UpstreamLive, CauseRestarted},
		{"replaced", func(r *env) {
			r.step(r.answer("x", true), failed, failed, failed, r.answer("y", false))
		}, UpstreamLive, CauseReplaced},
		{"replaced by one that is leaving too", func(r *env) {
			r.step(r.answer("x", true), r.answer("y", true))
		}, UpstreamLeaving, CauseMarked},
		{"drained", func(r *env) { r.step(MarkReceived{Mark: Mark{"engine-1", ""}}) }, UpstreamLeaving, CauseMarked},
		{"a late mark of the predecessor", func(r *env) {
			r.step(r.answer("y", false), MarkReceived{Mark: Mark{"engine-1", "x"}})
		}, UpstreamLive, CauseRestarted},
		{"a mark ahead of its incarnation", func(r *env) {
			r.step(MarkReceived{Mark: Mark{"engine-1", "y"}}, r.answer("y", false))
		}, UpstreamLeaving, CauseRestarted},
		{"a late report of the predecessor", func(r *env) {
			r.step(r.answer("y", false))
			r.now += time.Second
			r.step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: r.now}}})
		}, UpstreamLive, CauseRestarted},
		{"a late word that it does not answer", func(r *env) {
			r.step(Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: r.now - time.Second}}})
		}, UpstreamLive, CauseReported},
		{"a mark ahead of the declaration", func(r *env) {
			r.step(Declared{Upstreams: testUpstreams[1:]}, MarkReceived{Mark: Mark{"engine-1", "x"}},
				Declared{Upstreams: testUpstreams}, r.answer("x", false))
		}, UpstreamLeaving, CauseReported},
		{"undeclared", func(r *env) { r.step(Declared{Upstreams: testUpstreams[1:]}) }, UpstreamGone, CauseUndeclared},
		{"many marks of other incarnations", func(r *env) {
			r.step(MarkReceived{Mark: Mark{"engine-1", "x"}})
			for i := range 20 {
				r.step(MarkReceived{Mark: Mark{"engine-1", fleet.Incarnation(fmt.Sprint(i))}})
			}
		}, UpstreamLeaving, CauseMarked},
	} {
		Convey("With an upstream that ran: "+c.name, t, func() {
			r := newEnv("a1")
			r.step(r.answer("x", false))
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

// TestGenerationSettles guards against two pollers that never agree on which of
// two incarnations is the later one.
func TestGenerationSettles(t *testing.T) {
	Convey("After a peer's wrong word in a higher generation, an own poll is believed", t, func() {
		r := newEnv("a1")
		r.step(r.answer("new", false))
		r.now += time.Second
		r.step(Reported{Report{Generation: 9, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "old", At: r.now}}})
		r.now += time.Second
		r.step(r.answer("new", false))
		got := r.Upstreams()[0]
		So(string(got.Incarnation), ShouldEqual, "new")
		So(got.Generation, ShouldEqual, uint64(10))
	})
}

// TestPlatformList guards against a list that lags, omits, invents or flaps
// overriding what instances report, and against it marking the wrong
// incarnation.
func TestPlatformList(t *testing.T) {
	row := func(leaving bool) InstancesListed {
		return InstancesListed{Rows: []ListRow{{ID: "engine-1", Leaving: leaving}}}
	}
	byAddress := InstancesListed{Rows: []ListRow{{ID: "i-0042", Address: "192.0.2.1:80", Leaving: true}}}
	for _, c := range []struct {
		name   string
		drive  func(r *env)
		status UpstreamStatus
		spread []Mark
	}{
		{"staying", func(r *env) { r.step(row(false)) }, UpstreamLive, nil},
		{"begins to leave", func(r *env) { r.step(row(false), row(true)) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaves under its address", func(r *env) { r.step(row(false), byAddress) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"appears only when leaving", func(r *env) {
			r.step(InstancesListed{Rows: []ListRow{{ID: "other"}}}, row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaving at first sight is held here", func(r *env) { r.step(row(true)) }, UpstreamLeaving, nil},
		{"held until the row changes", func(r *env) { r.step(row(true), row(false)) }, UpstreamLive, nil},
		{"held until the incarnation changes", func(r *env) { r.step(row(true), r.answer("y", false)) }, UpstreamLive, nil},
		{"row goes missing", func(r *env) {
			r.step(row(false), row(true), InstancesListed{Rows: []ListRow{}})
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"mark outlives the row", func(r *env) {
			r.step(row(false), row(true), row(false))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"list lags behind the replacement", func(r *env) {
			r.step(row(false), row(true), r.answer("y", false), row(true))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"list flaps after the replacement", func(r *env) {
			r.step(row(false), row(true), r.answer("y", false), row(false), row(true), row(false))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"the replacement leaves too", func(r *env) {
			r.step(row(false), row(true), r.answer("y", false), row(false))
			r.now += listLag
			r.step(r.answer("y", false), row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}, {"engine-1", "y"}}},
	} {
		Convey("With a row of an upstream: "+c.name, t, func() {
			r := newEnv("a1")
			r.step(r.answer("x", false))
			c.drive(r)
			So(r.upstream["engine-1"].Status.String(), ShouldEqual, c.status.String())
			So(r.published, ShouldResemble, c.spread)
		})
	}
}

// TestInstances guards against a wrong list making an instance live or gone.
func TestInstances(t *testing.T) {
	listed := InstancesListed{Rows: []ListRow{{ID: "a2", DataCentre: "a", Address: "192.0.2.99:1"}}}
	empty := InstancesListed{Rows: []ListRow{}}
	for _, c := range []struct {
		name  string
		drive func(r *env)
		want  InstanceStatus
		peers int
	}{
		{"listed, never heard", func(r *env) { r.step(listed); r.wait(2 * time.Second) }, InstanceSuspect, 1},
		{"listed, silent for long", func(r *env) { r.step(listed); r.wait(20 * time.Second) }, InstanceGone, 1},
		{"heard, not listed", func(r *env) { r.step(heartbeat("a2", "a", 1)); r.wait(9*time.Second, empty, heartbeat("a2", "a", 1)) }, InstanceLive, 1},
		{"silent for four seconds", func(r *env) { r.step(heartbeat("a2", "a", 1)); r.wait(4 * time.Second) }, InstanceSuspect, 1},
		{"silent for long, not listed", func(r *env) { r.step(heartbeat("a2", "a", 1)); r.wait(11 * time.Second) }, InstanceGone, 0},
		{"flapping list", func(r *env) {
			r.wait(3*time.Second, listed, heartbeat("a2", "a", 1), empty)
		}, InstanceLive, 1},
		{"leaving by its own word", func(r *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			r.step(ev)
		}, InstanceLeaving, 1},
		{"restarted after leaving", func(r *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			r.step(ev, heartbeat("a2", "a", 2))
		}, InstanceLive, 1},
		{"late message of an earlier process", func(r *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			r.step(heartbeat("a2", "a", 2), ev)
		}, InstanceLive, 1},
		{"returns", func(r *env) {
			r.step(heartbeat("a2", "a", 1))
			r.wait(11 * time.Second)
			r.step(heartbeat("a2", "a", 2))
		}, InstanceLive, 1},
	} {
		Convey("With an instance: "+c.name, t, func() {
			r := newEnv("a1")
			c.drive(r)
			So(r.instance["a2"].String(), ShouldEqual, c.want.String())
			So(len(r.peers), ShouldEqual, c.peers)
		})
	}
	Convey("An instance's own address outranks the list's", t, func() {
		r := newEnv("a1")
		r.step(listed, heartbeat("a2", "a", 1), listed)
		So(r.Instances()[0].Address, ShouldEqual, heartbeat("a2", "a", 1).Profile.Address)
	})
	Convey("A list of many invented instances is bounded", t, func() {
		r := newEnv("a1")
		var rows []ListRow
		for i := range 5 * maxInstances {
			rows = append(rows, ListRow{ID: fmt.Sprint(i), DataCentre: "a"})
		}
		r.step(InstancesListed{Rows: rows})
		So(len(r.Instances()), ShouldEqual, maxInstances)
	})
}

// TestPollingAssignment guards against upstreams that no instance polls, above
// all after their poller has gone, and against every instance polling all.
func TestPollingAssignment(t *testing.T) {
	rigs := map[fleet.InstanceID]*env{"a1": newEnv("a1"), "a2": newEnv("a2"), "a3": newEnv("a3")}
	beat := func(alive ...fleet.InstanceID) {
		for _, at := range alive {
			var events []Event
			for _, id := range alive {
				if id != at {
					events = append(events, heartbeat(id, "a", 1))
				}
			}
			// The poller's reports arrive, so that none is overdue.
			events = append(events, heartbeat("b1", "b", 1))
			rigs[at].wait(time.Second, events...)
			for _, u := range testUpstreams {
				rigs[at].step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: u.ID, Incarnation: "x", At: rigs[at].now}}})
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
		// The upstreams of a partitioned data centre are polled from here.
		r := rigs[rest[0]]
		r.wait(partitionedAfter + 2*time.Second)
		So(r.reachable["b"], ShouldBeFalse)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-3"))
	})
	Convey("Upstreams whose poller is heard but whose reports are not are polled", t, func() {
		r := newEnv("a1")
		r.wait(5*time.Second, heartbeat("a2", "a", 1), heartbeat("a3", "a", 1))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-2"))
	})
}

// TestDisputedSilence guards against one poller's broken link making an
// upstream unreachable for every instance, and against a crash being noticed
// late.
func TestDisputedSilence(t *testing.T) {
	silence := func(r *env) Event {
		return Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: r.now}}}
	}
	Convey("With an upstream that another instance polls and reports silent", t, func() {
		r := newEnv("a1")
		r.step(r.answer("x", false), heartbeat("a2", "a", 1))
		So(string(Owner("poll engine-1", []fleet.InstanceID{"a1", "a2"})), ShouldEqual, "a2")
		r.step(silence(r))
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		for range 10 {
			r.wait(time.Second, heartbeat("a2", "a", 1), silence(r))
			r.step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: r.now}}})
		}
		r.wantUpstream(UpstreamLive, CauseReported)
		for range 3 {
			r.wait(time.Second, heartbeat("a2", "a", 1))
			r.step(silence(r))
		}
		r.wantUpstream(UpstreamUnreachable, CauseSilent)
	})
}

// TestOwnersMoveLittle guards against a removed instance reassigning more than
// its own keys, and against an uneven assignment.
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

// TestRareRemoteChangesNothing guards against recomputing the assignments each
// time that an instance of another data centre, heard from every 5 s, becomes
// suspect.
func TestRareRemoteChangesNothing(t *testing.T) {
	r := newEnv("a1")
	r.step(heartbeat("b1", "b", 1))
	// Data centre b becoming connected and the overdue reports are changes.
	r.wait(5*time.Second, heartbeat("a2", "a", 1))
	r.assigned = 0
	for range 6 {
		for range 5 {
			r.wait(time.Second, heartbeat("a2", "a", 1))
		}
		r.step(heartbeat("b1", "b", 1))
	}
	if r.assigned > 0 {
		t.Errorf("assigned %d times in 30 s without a change", r.assigned)
	}
}

// TestHolderSharesNoWork guards against a holder of the order lease that also
// polls and watches, and against upstreams that no instance polls when the
// holder is alone.
func TestHolderSharesNoWork(t *testing.T) {
	Convey("An order holder leaves polling and watching to the others", t, func() {
		holder := heartbeat("a2", "a", 1)
		holder.HoldsOrderLease = true
		r := newEnv("a1")
		r.wait(2*time.Second, holder)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		r.step(OrderLeaseHeld{On: true}, heartbeat("a2", "a", 1))
		So(r.polled, ShouldNotContain, fleet.UpstreamID("engine-1"))
		So(r.watching, ShouldBeFalse)
		// The other instance falls silent while the last report is not yet
		// overdue.
		r.step(r.answer("x", false))
		r.wait(SuspectAfter + 400*time.Millisecond)
		So(r.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(r.watching, ShouldBeTrue)
	})
}

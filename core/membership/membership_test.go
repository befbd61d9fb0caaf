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
	e := &env{
		Machine: New(Config{Self: Profile{ID: id, DataCentre: "a", Address: "192.0.2.10:1"}}), now: time.Second,
		upstream: map[fleet.UpstreamID]UpstreamChanged{}, instance: map[fleet.InstanceID]InstanceStatus{},
		reachable: map[fleet.DataCentre]bool{},
	}
	e.step(Declared{Upstreams: testUpstreams})
	return e
}

func (e *env) step(events ...Event) {
	for _, ev := range events {
		e.Step(e.now, ev)
		for _, c := range e.Ready() {
			switch c := c.(type) {
			case UpstreamChanged:
				e.upstream[c.State.Upstream] = c
			case InstanceChanged:
				e.instance[c.ID] = c.Status
			case ReachabilityChanged:
				e.reachable[c.DataCentre] = c.Connected
			case Poll:
				e.polled = c.Upstreams
			case WatchConfig:
				e.watching = c.On
			case PublishMark:
				e.published = append(e.published, c.Mark)
			case Peers:
				e.peers = c.Peers
				e.assigned++
			}
		}
	}
}

// wait advances the time in steps of 200 ms and applies the given events
// every second.
func (e *env) wait(d time.Duration, every ...Event) {
	for end := e.now + d; e.now < end; {
		e.now += 200 * time.Millisecond
		if e.now%time.Second == 0 {
			e.step(every...)
		}
		e.step(Tick{})
	}
}

func heartbeat(id fleet.InstanceID, dc fleet.DataCentre, incarnation uint64) Heartbeat {
	return Heartbeat{Profile: Profile{ID: id, DataCentre: dc, Address: "192.0.2.20:" + string(id)}, Incarnation: incarnation}
}

func (e *env) answer(incarnation fleet.Incarnation, leaving bool) Polled {
	return Polled{Load: sched.LoadReport{Upstream: "engine-1", Incarnation: incarnation, At: e.now, Leaving: leaving}}
}

func (e *env) wantUpstream(status UpstreamStatus, cause Cause) {
	got := e.upstream["engine-1"]
	So(got.Status.String(), ShouldEqual, status.String())
	So(got.Cause.String(), ShouldEqual, cause.String())
}

// TestUpstreamEnds guards against confusing a withdrawn, a crashed, a replaced
// and a restarted upstream.
func TestUpstreamEnds(t *testing.T) {
	failed := PollFailed{Upstream: "engine-1"}
	for _, c := range []struct {
		name   string
		drive  func(e *env)
		status UpstreamStatus
		cause  Cause
	}{
		{"running", func(*env) {}, UpstreamLive, CauseReported},
		{"one lost poll", func(e *env) { e.step(failed) }, UpstreamLive, CauseReported},
		{"crashed", func(e *env) { e.step(failed, failed, failed) }, UpstreamUnreachable, CauseSilent},
		{"answers again", func(e *env) { e.step(failed, failed, failed, e.answer("x", false)) }, UpstreamLive, CauseReported},
		{"no reports", func(e *env) { e.wait(7 * time.Second) }, UpstreamUnreachable, CauseSilent},
		{"reports that it is leaving", func(e *env) { e.step(e.answer("x", true)) }, UpstreamLeaving, CauseMarked},
		{"no longer reports that it is leaving", func(e *env) {
			e.step(e.answer("x", true), e.answer("x", false))
		}, UpstreamLeaving, CauseMarked},
		{"withdrawn", func(e *env) {
			e.step(e.answer("x", true), failed, failed, failed)
		}, UpstreamGone, CauseWithdrawn},
		{"restarted unnoticed", func(e *env) { e.step(e.answer("y", false)) }, UpstreamLive, CauseRestarted},
		{"restarted after a crash", func(e *env) {
			e.step(failed, failed, failed, e.answer("y", false))
		}, UpstreamLive, CauseRestarted},
		{"replaced", func(e *env) {
			e.step(e.answer("x", true), failed, failed, failed, e.answer("y", false))
		}, UpstreamLive, CauseReplaced},
		{"replaced by one that is leaving too", func(e *env) {
			e.step(e.answer("x", true), e.answer("y", true))
		}, UpstreamLeaving, CauseMarked},
		{"drained", func(e *env) { e.step(MarkReceived{Mark: Mark{"engine-1", ""}}) }, UpstreamLeaving, CauseMarked},
		{"a late mark of the predecessor", func(e *env) {
			e.step(e.answer("y", false), MarkReceived{Mark: Mark{"engine-1", "x"}})
		}, UpstreamLive, CauseRestarted},
		{"a mark ahead of its incarnation", func(e *env) {
			e.step(MarkReceived{Mark: Mark{"engine-1", "y"}}, e.answer("y", false))
		}, UpstreamLeaving, CauseRestarted},
		{"a late report of the predecessor", func(e *env) {
			e.step(e.answer("y", false))
			e.now += time.Second
			e.step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: e.now}}})
		}, UpstreamLive, CauseRestarted},
		{"a late report that it is unreachable", func(e *env) {
			e.step(Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: e.now - time.Second}}})
		}, UpstreamLive, CauseReported},
		{"a mark ahead of the declaration", func(e *env) {
			e.step(Declared{Upstreams: testUpstreams[1:]}, MarkReceived{Mark: Mark{"engine-1", "x"}},
				Declared{Upstreams: testUpstreams}, e.answer("x", false))
		}, UpstreamLeaving, CauseReported},
		{"undeclared", func(e *env) { e.step(Declared{Upstreams: testUpstreams[1:]}) }, UpstreamGone, CauseUndeclared},
		{"many marks of other incarnations", func(e *env) {
			e.step(MarkReceived{Mark: Mark{"engine-1", "x"}})
			for i := range 20 {
				e.step(MarkReceived{Mark: Mark{"engine-1", fleet.Incarnation(fmt.Sprint(i))}})
			}
		}, UpstreamLeaving, CauseMarked},
	} {
		Convey("With an upstream that ran: "+c.name, t, func() {
			e := newEnv("a1")
			e.step(e.answer("x", false))
			c.drive(e)
			e.wantUpstream(c.status, c.cause)
			state := e.upstream["engine-1"].State
			So(state.Available && !state.Leaving, ShouldEqual, c.status == UpstreamLive)
			if u := e.upstreams["engine-1"]; u != nil {
				So(len(u.marks), ShouldBeLessThanOrEqualTo, maxMarks)
			}
		})
	}
}

// TestGenerationSettles guards against two pollers that never agree on which of
// two incarnations is the later one.
func TestGenerationSettles(t *testing.T) {
	Convey("After a peer's wrong report of a higher generation, this instance's poll prevails", t, func() {
		e := newEnv("a1")
		e.step(e.answer("new", false))
		e.now += time.Second
		e.step(Reported{Report{Generation: 9, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "old", At: e.now}}})
		e.now += time.Second
		e.step(e.answer("new", false))
		got := e.Upstreams()[0]
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
		name      string
		drive     func(e *env)
		status    UpstreamStatus
		published []Mark
	}{
		{"staying", func(e *env) { e.step(row(false)) }, UpstreamLive, nil},
		{"begins to leave", func(e *env) { e.step(row(false), row(true)) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaves under its address", func(e *env) { e.step(row(false), byAddress) }, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"appears only when leaving", func(e *env) {
			e.step(InstancesListed{Rows: []ListRow{{ID: "other"}}}, row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"leaving at first sight is held here", func(e *env) { e.step(row(true)) }, UpstreamLeaving, nil},
		{"held until the row changes", func(e *env) { e.step(row(true), row(false)) }, UpstreamLive, nil},
		{"held until the incarnation changes", func(e *env) { e.step(row(true), e.answer("y", false)) }, UpstreamLive, nil},
		{"row goes missing", func(e *env) {
			e.step(row(false), row(true), InstancesListed{Rows: []ListRow{}})
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"mark outlives the row", func(e *env) {
			e.step(row(false), row(true), row(false))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}}},
		{"list lags behind the replacement", func(e *env) {
			e.step(row(false), row(true), e.answer("y", false), row(true))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"list flaps after the replacement", func(e *env) {
			e.step(row(false), row(true), e.answer("y", false), row(false), row(true), row(false))
		}, UpstreamLive, []Mark{{"engine-1", "x"}}},
		{"the replacement leaves too", func(e *env) {
			e.step(row(false), row(true), e.answer("y", false), row(false))
			e.now += listLag
			e.step(e.answer("y", false), row(true))
		}, UpstreamLeaving, []Mark{{"engine-1", "x"}, {"engine-1", "y"}}},
	} {
		Convey("With a row of an upstream: "+c.name, t, func() {
			e := newEnv("a1")
			e.step(e.answer("x", false))
			c.drive(e)
			So(e.upstream["engine-1"].Status.String(), ShouldEqual, c.status.String())
			So(e.published, ShouldResemble, c.published)
		})
	}
}

// TestInstances guards against a wrong list making an instance live or gone.
func TestInstances(t *testing.T) {
	listed := InstancesListed{Rows: []ListRow{{ID: "a2", DataCentre: "a", Address: "192.0.2.99:1"}}}
	empty := InstancesListed{Rows: []ListRow{}}
	for _, c := range []struct {
		name  string
		drive func(e *env)
		want  InstanceStatus
		peers int
	}{
		{"listed, never heard from", func(e *env) { e.step(listed); e.wait(2 * time.Second) }, InstanceSuspect, 1},
		{"listed, silent for long", func(e *env) { e.step(listed); e.wait(20 * time.Second) }, InstanceGone, 1},
		{"heard from, not listed", func(e *env) { e.step(heartbeat("a2", "a", 1)); e.wait(9*time.Second, empty, heartbeat("a2", "a", 1)) }, InstanceLive, 1},
		{"silent for four seconds", func(e *env) { e.step(heartbeat("a2", "a", 1)); e.wait(4 * time.Second) }, InstanceSuspect, 1},
		{"silent for long, not listed", func(e *env) { e.step(heartbeat("a2", "a", 1)); e.wait(11 * time.Second) }, InstanceGone, 0},
		{"flapping list", func(e *env) {
			e.wait(3*time.Second, listed, heartbeat("a2", "a", 1), empty)
		}, InstanceLive, 1},
		{"announces that it is leaving", func(e *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			e.step(ev)
		}, InstanceLeaving, 1},
		{"restarted after leaving", func(e *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			e.step(ev, heartbeat("a2", "a", 2))
		}, InstanceLive, 1},
		{"late message of an earlier process", func(e *env) {
			ev := heartbeat("a2", "a", 1)
			ev.Leaving = true
			e.step(heartbeat("a2", "a", 2), ev)
		}, InstanceLive, 1},
		{"returns", func(e *env) {
			e.step(heartbeat("a2", "a", 1))
			e.wait(11 * time.Second)
			e.step(heartbeat("a2", "a", 2))
		}, InstanceLive, 1},
	} {
		Convey("With an instance: "+c.name, t, func() {
			e := newEnv("a1")
			c.drive(e)
			So(e.instance["a2"].String(), ShouldEqual, c.want.String())
			So(len(e.peers), ShouldEqual, c.peers)
		})
	}
	Convey("The address that an instance announces takes precedence over the list", t, func() {
		e := newEnv("a1")
		e.step(listed, heartbeat("a2", "a", 1), listed)
		So(e.Instances()[0].Address, ShouldEqual, heartbeat("a2", "a", 1).Profile.Address)
	})
	Convey("A list of many invented instances is bounded", t, func() {
		e := newEnv("a1")
		var rows []ListRow
		for i := range 5 * maxInstances {
			rows = append(rows, ListRow{ID: fmt.Sprint(i), DataCentre: "a"})
		}
		e.step(InstancesListed{Rows: rows})
		So(len(e.Instances()), ShouldEqual, maxInstances)
	})
}

// TestPollingAssignment guards against upstreams that no instance polls, above
// all after their poller has gone, and against every instance polling all.
func TestPollingAssignment(t *testing.T) {
	envs := map[fleet.InstanceID]*env{"a1": newEnv("a1"), "a2": newEnv("a2"), "a3": newEnv("a3")}
	beat := func(alive ...fleet.InstanceID) {
		for _, at := range alive {
			var events []Event
			for _, id := range alive {
				if id != at {
					events = append(events, heartbeat(id, "a", 1))
				}
			}
			// The pollers' reports arrive, so that none is overdue.
			events = append(events, heartbeat("b1", "b", 1))
			envs[at].wait(time.Second, events...)
			for _, u := range testUpstreams {
				envs[at].step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: u.ID, Incarnation: "x", At: envs[at].now}}})
			}
		}
	}
	pollers := func(id fleet.UpstreamID, alive ...fleet.InstanceID) (out []fleet.InstanceID) {
		for _, at := range alive {
			if slices.Contains(envs[at].polled, id) {
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
		So(envs[rest[0]].watching && envs[rest[1]].watching, ShouldBeTrue)
		// The upstreams of a partitioned data centre are polled from here.
		e := envs[rest[0]]
		e.wait(partitionedAfter + 2*time.Second)
		So(e.reachable["b"], ShouldBeFalse)
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-3"))
	})
	Convey("Upstreams whose poller is live but whose reports do not arrive are polled", t, func() {
		e := newEnv("a1")
		e.wait(5*time.Second, heartbeat("a2", "a", 1), heartbeat("a3", "a", 1))
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-2"))
	})
}

// TestDisputedSilence guards against one poller's broken link making an
// upstream unreachable for every instance, and against a crash being noticed
// late.
func TestDisputedSilence(t *testing.T) {
	silence := func(e *env) Event {
		return Reported{Report{Generation: 1, Unreachable: true, Load: sched.LoadReport{Upstream: "engine-1", At: e.now}}}
	}
	Convey("With an upstream that another instance polls and reports as unreachable", t, func() {
		e := newEnv("a1")
		e.step(e.answer("x", false), heartbeat("a2", "a", 1))
		So(string(Owner("poll engine-1", []fleet.InstanceID{"a1", "a2"})), ShouldEqual, "a2")
		e.step(silence(e))
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		for range 10 {
			e.wait(time.Second, heartbeat("a2", "a", 1), silence(e))
			e.step(Reported{Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x", At: e.now}}})
		}
		e.wantUpstream(UpstreamLive, CauseReported)
		for range 3 {
			e.wait(time.Second, heartbeat("a2", "a", 1))
			e.step(silence(e))
		}
		e.wantUpstream(UpstreamUnreachable, CauseSilent)
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
	e := newEnv("a1")
	e.step(heartbeat("b1", "b", 1))
	// Data centre b becoming connected and the overdue reports are changes.
	e.wait(5*time.Second, heartbeat("a2", "a", 1))
	e.assigned = 0
	for range 6 {
		for range 5 {
			e.wait(time.Second, heartbeat("a2", "a", 1))
		}
		e.step(heartbeat("b1", "b", 1))
	}
	if e.assigned > 0 {
		t.Errorf("assigned %d times in 30 s without a change", e.assigned)
	}
}

// TestHolderSharesNoWork guards against a holder of the order lease that also
// polls and watches, and against upstreams that no instance polls when the
// holder is alone.
func TestHolderSharesNoWork(t *testing.T) {
	Convey("The holder of the order lease leaves polling and watching to the others", t, func() {
		holder := heartbeat("a2", "a", 1)
		holder.HoldsOrderLease = true
		e := newEnv("a1")
		e.wait(2*time.Second, holder)
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		e.step(OrderLeaseHeld{Held: true}, heartbeat("a2", "a", 1))
		So(e.polled, ShouldNotContain, fleet.UpstreamID("engine-1"))
		So(e.watching, ShouldBeFalse)
		// The other instance falls silent while the last report is not yet
		// overdue.
		e.step(e.answer("x", false))
		e.wait(SuspectAfter + 400*time.Millisecond)
		So(e.polled, ShouldContain, fleet.UpstreamID("engine-1"))
		So(e.watching, ShouldBeTrue)
	})
}

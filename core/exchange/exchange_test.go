package exchange

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

var testMembers = []fleet.MemberID{"shea", "levy", "charm"}

func testNames(extra ...fleet.MemberID) *Dictionary {
	d := &declare.Declaration{
		Groups:    []declare.Group{{Name: "language"}},
		Upstreams: []declare.Upstream{{ID: "engine-1"}, {ID: "engine-2"}},
	}
	for _, m := range append(extra, testMembers...) {
		d.Members = append(d.Members, declare.Member{ID: m})
	}
	return NewDictionary(d)
}

// TestMain sets a fixed seed for the randomised tests unless the command line
// sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260")
	}
	os.Exit(m.Run())
}

// simulation is a set of instances and the messages between them.
type simulation struct {
	now   fleet.Instant
	nodes map[fleet.InstanceID]*testNode
	order []fleet.InstanceID
	calls []*call
	// delayed are messages that may be delivered again at any time.
	delayed []*call
}

type testNode struct {
	*Exchange
	profile  membership.Profile
	restarts uint64
	// work is the instance's own service per member, counted what its peers
	// reported since its start. Both are exact because costs are small whole
	// numbers.
	work, counted    map[fleet.MemberID]float64
	membershipEvents []membership.Event
	fetched          []Fetch
}

type call struct {
	from, to fleet.InstanceID
	restarts uint64
	payload  []byte
}

// newSimulation creates instances. The first letter of an ID is its data
// centre.
func newSimulation(ids ...fleet.InstanceID) *simulation {
	w := &simulation{nodes: map[fleet.InstanceID]*testNode{}, order: ids}
	for _, id := range ids {
		p := membership.Profile{ID: id, DataCentre: fleet.DataCentre(id[:1]), Region: "r", Address: string(id)}
		w.nodes[id] = &testNode{profile: p}
	}
	for _, id := range ids {
		w.start(id)
	}
	return w
}

func (w *simulation) start(id fleet.InstanceID) {
	n := w.nodes[id]
	n.restarts++
	n.Exchange = New(Config{Self: n.profile, Incarnation: n.restarts, Seed: membership.Hash(string(id))})
	n.work, n.counted = map[fleet.MemberID]float64{}, map[fleet.MemberID]float64{}
	n.Step(w.now, Configured{Version: 1, Dictionary: testNames()})
	w.setPeers(id)
}

func (w *simulation) setPeers(id fleet.InstanceID) {
	var peers []membership.Peer
	for _, other := range w.order {
		if other != id {
			peers = append(peers, membership.Peer{Profile: w.nodes[other].profile, Live: true})
		}
	}
	w.nodes[id].Step(w.now, Peers{Peers: peers})
}

// collect takes the commands of an instance.
func (w *simulation) collect(id fleet.InstanceID) {
	n := w.nodes[id]
	for _, c := range n.Ready() {
		switch c := c.(type) {
		case Send:
			w.calls = append(w.calls, &call{from: id, to: c.Peer, restarts: n.restarts, payload: c.Payload})
		case SchedulerEvent:
			if s, ok := c.Event.(sched.PeerService); ok {
				n.counted[s.Member] += s.Cost
			}
		case MembershipEvent:
			n.membershipEvents = append(n.membershipEvents, c.Event)
		case Fetch:
			n.fetched = append(n.fetched, c)
		}
	}
}

// deliver delivers a message and returns the reply, or nil if it was rejected.
func (w *simulation) deliver(c *call) []byte {
	answer, err := w.nodes[c.to].Receive(w.now, c.payload)
	w.collect(c.to)
	if err != nil {
		return nil
	}
	return answer
}

// finish ends a call at its sender unless the sender has restarted. A nil
// answer means that the call failed.
func (w *simulation) finish(c *call, answer []byte) {
	n := w.nodes[c.from]
	if n.restarts != c.restarts {
		return
	}
	if answer == nil {
		n.Step(w.now, SendFailed{Peer: c.to})
	} else {
		n.Step(w.now, SendReplied{Peer: c.to, Payload: answer})
	}
	w.collect(c.from)
}

func (w *simulation) removeCall(i int) *call {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	return c
}

func (w *simulation) advance(d time.Duration) {
	w.now += d
	for _, id := range w.order {
		w.nodes[id].Step(w.now, Tick{})
		w.collect(id)
	}
}

// runFor advances the time by d and delivers every message without faults.
func (w *simulation) runFor(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance(50 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.removeCall(0)
			w.finish(c, w.deliver(c))
		}
	}
}

func (w *simulation) serveMember(id fleet.InstanceID, m fleet.MemberID, cost float64) {
	n := w.nodes[id]
	n.work[m] += cost
	n.Step(w.now, LocalWork{Update: sched.PeerUpdate{Service: []sched.PeerService{{Member: m, Group: "language", Cost: cost}}}})
	w.collect(id)
}

// TestServiceCountedOnce guards against service that is lost or counted twice
// when pushes or replies are lost, delayed, duplicated or reordered, within a
// data centre and between data centres.
func TestServiceCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation("a1", "a2", "a3", "b1", "b2")
		w.runFor(12 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				id := rapid.SampledFrom(w.order).Draw(t, "at")
				w.serveMember(id, rapid.SampledFrom(testMembers).Draw(t, "member"), float64(rapid.IntRange(1, 9).Draw(t, "cost")))
			},
			"time": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(10, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"message": func(t *rapid.T) {
				if len(w.calls) == 0 {
					t.Skip("no message")
				}
				c := w.removeCall(rapid.IntRange(0, len(w.calls)-1).Draw(t, "which"))
				fate := rapid.SampledFrom([]string{"arrives", "lost", "answer lost", "doubled", "delayed"}).Draw(t, "fate")
				var answer []byte
				switch fate {
				case "arrives":
					answer = w.deliver(c)
				case "answer lost":
					w.deliver(c)
				case "doubled":
					w.deliver(c)
					answer = w.deliver(c)
				case "delayed":
					w.delayed = append(w.delayed, c)
				}
				w.finish(c, answer)
			},
			"late message": func(t *rapid.T) {
				if len(w.delayed) == 0 {
					t.Skip("no message")
				}
				w.deliver(w.delayed[rapid.IntRange(0, len(w.delayed)-1).Draw(t, "which")])
			},
			"other names": func(t *rapid.T) {
				id := rapid.SampledFrom(w.order).Draw(t, "at")
				names := testNames()
				if rapid.Bool().Draw(t, "extra") {
					names = testNames("another")
				}
				w.nodes[id].Step(w.now, Configured{Version: 1, Dictionary: names})
			},
		})
		for len(w.calls) > 0 {
			w.finish(w.removeCall(0), nil)
		}
		w.runFor(40 * time.Second)
		w.checkCounted(t, w.order)
	})
}

// checkCounted fails the test unless each instance counted exactly the service
// of the others.
func (w *simulation) checkCounted(t interface{ Fatalf(string, ...any) }, order []fleet.InstanceID) {
	for _, id := range order {
		for _, m := range testMembers {
			want := 0.0
			for other, n := range w.nodes {
				if other != id {
					want += n.work[m]
				}
			}
			if got := w.nodes[id].counted[m]; got != want {
				t.Fatalf("instance %s counted %v of %s from its peers, want %v", id, got, m, want)
			}
		}
	}
}

// TestRestartCountsNothingTwice guards against service of an earlier process
// being counted again after its restart, and against service from before a
// receiver's start being counted by the restarted receiver.
func TestRestartCountsNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation("a1", "a2", "a3")
		w.runFor(3 * time.Second)
		w.serveMember("a1", "shea", 5)
		w.advance(1200 * time.Millisecond)
		// Each push was either applied and its reply lost, or is still in
		// flight.
		for len(w.calls) > 0 {
			c := w.removeCall(0)
			if rapid.Bool().Draw(t, "applied") {
				w.deliver(c)
			}
			w.delayed = append(w.delayed, c)
			w.finish(c, nil)
		}
		restarted := rapid.SampledFrom([]fleet.InstanceID{"a1", "a2"}).Draw(t, "restarted")
		before := w.nodes["a3"].counted["shea"]
		w.start(restarted)
		for _, c := range w.delayed {
			if rapid.Bool().Draw(t, "again") {
				w.deliver(c)
			}
		}
		w.runFor(5 * time.Second)
		w.serveMember(restarted, "levy", 3)
		w.runFor(5 * time.Second)
		if got := w.nodes["a3"].counted["levy"]; got != 3 {
			t.Fatalf("counted %v of the restarted instance's new service, want 3", got)
		}
		// A push that was lost with its process is not counted; the others are
		// counted once.
		if got := w.nodes["a3"].counted["shea"]; got != 5 && !(restarted == "a1" && got == before) {
			t.Fatalf("counted %v of the service before the restart, want 5 (before: %v)", got, before)
		}
		if got := w.nodes["a2"].counted["shea"]; got > 5 || (restarted == "a2" && got != 0) {
			t.Fatalf("a2 counted %v of the service before the restart", got)
		}
	})
}

// TestClockWentBack guards against a restarted instance that is ignored because
// its incarnation is lower than the one its peers remember.
func TestClockWentBack(t *testing.T) {
	Convey("After a restart with a lower incarnation, new service is counted", t, func() {
		w := newSimulation("a1", "a2")
		w.nodes["a1"].restarts = 1000
		w.start("a1")
		w.runFor(3 * time.Second)
		w.nodes["a1"].restarts = 10
		w.start("a1")
		w.runFor(3 * time.Second)
		w.serveMember("a1", "shea", 4)
		w.runFor(3 * time.Second)
		So(w.nodes["a2"].counted["shea"], ShouldEqual, 4)
	})
}

// TestTwoProcessesOneName guards against a flood of messages between two
// processes that run under one instance ID, such as a paused one and its
// replacement.
func TestTwoProcessesOneName(t *testing.T) {
	Convey("With two processes under one name", t, func() {
		w := newSimulation("a1", "a2", "a3")
		w.nodes["a3"].profile.ID = "a1"
		w.start("a3")
		sent := 0
		for end := w.now + time.Minute; w.now < end; {
			w.advance(50 * time.Millisecond)
			for len(w.calls) > 0 && sent < 10_000 {
				sent++
				c := w.removeCall(0)
				w.finish(c, w.deliver(c))
			}
		}
		// Three instances with two peers each and at most three pushes a
		// second.
		So(sent, ShouldBeLessThan, 3*2*3*60)
		So(w.nodes["a1"].IncarnationRenewals()+w.nodes["a3"].IncarnationRenewals(), ShouldBeBetweenOrEqual, 1, 6)
	})
}

// TestMarkPushedAtOnce guards against a leaving mark that waits for the
// periodic push, and against one that a peer with another configuration cannot
// decode.
func TestMarkPushedAtOnce(t *testing.T) {
	mark := membership.Mark{Upstream: "engine-1", Incarnation: "x"}
	for _, c := range []struct {
		name  string
		setup func(w *simulation)
		lost  int // pushes lost before one arrives
		limit time.Duration
	}{
		{"all is well", func(*simulation) {}, 0, 0},
		{"the peer has other names", func(w *simulation) {
			w.nodes["a2"].Step(w.now, Configured{Version: 2, Dictionary: testNames("another")})
		}, 0, 0},
		{"the first two pushes are lost", func(*simulation) {}, 2, 2 * time.Second},
		{"the peer failed before", func(w *simulation) {
			for range 6 {
				w.advance(2500 * time.Millisecond)
				for len(w.calls) > 0 {
					w.finish(w.removeCall(0), nil)
				}
			}
		}, 0, 0},
	} {
		Convey("With a mark for a peer: "+c.name, t, func() {
			w := newSimulation("a1", "a2")
			w.runFor(3 * time.Second)
			c.setup(w)
			start, lost := w.now, c.lost
			w.nodes["a1"].Step(w.now, MarkAdded{Mark: mark})
			w.collect("a1")
			for !w.receivedMark("a2", mark) && w.now-start < 10*time.Second {
				for len(w.calls) > 0 {
					if call := w.removeCall(0); lost > 0 && call.from == "a1" {
						lost--
						w.finish(call, nil)
					} else {
						w.finish(call, w.deliver(call))
					}
				}
				if !w.receivedMark("a2", mark) {
					w.advance(50 * time.Millisecond)
				}
			}
			So(w.now-start, ShouldBeLessThanOrEqualTo, c.limit)
		})
	}
}

func (w *simulation) receivedMark(id fleet.InstanceID, mark membership.Mark) bool {
	for _, ev := range w.nodes[id].membershipEvents {
		if m, ok := ev.(membership.MarkReceived); ok && m.Mark == mark {
			return true
		}
	}
	return false
}

// TestMarkCrossesRegion guards against a mark that stops at an instance that
// does not push to other data centres, in a region larger than
// maxMeshInstances.
func TestMarkCrossesRegion(t *testing.T) {
	Convey("With 24 instances in three data centres and two dead partners", t, func() {
		var ids []fleet.InstanceID
		for i := range 8 {
			for _, dc := range []string{"a", "b", "c"} {
				ids = append(ids, fleet.InstanceID(dc+fmt.Sprint(i)))
			}
		}
		w := newSimulation(ids...)
		w.runFor(6 * time.Second)
		mark := membership.Mark{Upstream: "engine-1", Incarnation: "x"}
		// The first partner of a0 in each data centre fails without notice.
		dead := map[fleet.InstanceID]bool{}
		for _, dc := range []fleet.DataCentre{"b", "c"} {
			dead[w.nodes["a0"].partners(w.now, dc)[0].ID] = true
		}
		begin := w.now
		w.nodes["a0"].Step(w.now, MarkAdded{Mark: mark})
		w.collect("a0")
		spread := map[fleet.InstanceID]bool{"a0": true}
		for len(spread) < len(ids)-len(dead) && w.now-begin < 5*time.Second {
			for len(w.calls) > 0 {
				c := w.removeCall(0)
				if dead[c.to] || dead[c.from] {
					w.finish(c, nil)
					continue
				}
				w.finish(c, w.deliver(c))
				if !spread[c.to] && w.receivedMark(c.to, mark) {
					// The receiver's membership publishes a mark that it did
					// not know.
					spread[c.to] = true
					w.nodes[c.to].Step(w.now, MarkAdded{Mark: mark})
					w.collect(c.to)
				}
			}
			w.advance(50 * time.Millisecond)
		}
		So(len(spread), ShouldEqual, len(ids)-len(dead))
		So(w.now-begin, ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
	})
}

// TestReports guards against a report from a push that arrived after a later
// one, against a relay that leaves a data centre without reports, and against
// wrong ages.
func TestReports(t *testing.T) {
	report := func(w *simulation, running int) membership.Report {
		return membership.Report{Generation: 3, Load: sched.LoadReport{
			Upstream: "engine-1", Incarnation: "x", At: w.now, Running: running, KVCapacityTokens: 4096, Role: fleet.RoleDecode,
		}}
	}
	Convey("A report reaches every instance of a region beyond the mesh", t, func() {
		var ids []fleet.InstanceID
		for i := range 10 {
			ids = append(ids, fleet.InstanceID(fmt.Sprintf("a%d", i)), fleet.InstanceID(fmt.Sprintf("b%d", i)))
		}
		w := newSimulation(ids...)
		w.runFor(6 * time.Second)
		sent := report(w, 7)
		w.nodes["a0"].Step(w.now, Polled{Report: sent})
		w.runFor(3 * time.Second)
		for _, id := range ids[1:] {
			got := w.reports(id)
			So(got, ShouldNotBeEmpty)
			last := got[len(got)-1]
			So(last.Load.At-sent.Load.At, ShouldBeBetweenOrEqual, 0, 20*time.Millisecond)
			last.Load.At = sent.Load.At
			So(last, ShouldResemble, sent)
		}
	})
	Convey("A push that was overtaken brings no report", t, func() {
		w := newSimulation("a1", "a2")
		w.runFor(3 * time.Second)
		w.nodes["a1"].Step(w.now, Polled{Report: report(w, 1)})
		for len(w.calls) == 0 || w.calls[0].from != "a1" {
			w.calls = nil
			w.advance(50 * time.Millisecond)
		}
		delayed := w.removeCall(0)
		w.finish(delayed, nil)
		w.nodes["a1"].Step(w.now, Polled{Report: report(w, 2)})
		w.runFor(3 * time.Second)
		before := len(w.reports("a2"))
		w.deliver(delayed)
		So(len(w.reports("a2")), ShouldEqual, before)
	})
}

func (w *simulation) reports(id fleet.InstanceID) []membership.Report {
	var out []membership.Report
	for _, ev := range w.nodes[id].membershipEvents {
		if r, ok := ev.(membership.Reported); ok {
			out = append(out, r.Report)
		}
	}
	return out
}

// TestReportsAfterLateDeclaration guards against a peer that never accepts
// reports of a new upstream because it received them before the declaration.
func TestReportsAfterLateDeclaration(t *testing.T) {
	names := NewDictionary(&declare.Declaration{
		Groups:    []declare.Group{{Name: "language"}},
		Upstreams: []declare.Upstream{{ID: "engine-1"}, {ID: "engine-2"}, {ID: "engine-3"}},
	})
	w := newSimulation("a1", "a2")
	w.runFor(3 * time.Second)
	poll := func() {
		w.nodes["a1"].Step(w.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-3", Incarnation: "x", At: w.now}}})
		w.runFor(2 * time.Second)
	}
	w.nodes["a1"].Step(w.now, Configured{Version: 2, Dictionary: names})
	poll()
	poll()
	w.nodes["a2"].Step(w.now, Configured{Version: 2, Dictionary: names})
	poll()
	poll()
	if got := w.reports("a2"); len(got) == 0 {
		t.Error("the peer learnt no report of the new upstream")
	}
}

// TestPartitionHealsWithoutFlood guards against unbounded memory during a
// partition and a flood of messages after it: the bytes sent must depend on the
// number of members, not on the length of the partition.
func TestPartitionHealsWithoutFlood(t *testing.T) {
	Convey("After ten minutes of partition, little crosses and all is counted", t, func() {
		w := newSimulation("a1", "a2", "b1", "b2")
		w.runFor(12 * time.Second)
		for range 600 { // ten minutes
			w.serveMember("a1", "shea", 1)
			w.serveMember("b1", "levy", 1)
			w.crossDCBytes(time.Second, true)
		}
		bytes := w.crossDCBytes(20*time.Second, false)
		// Four senders with two pushes a second to each of two peers, of at
		// most 60 bytes, and the items of three members.
		So(bytes, ShouldBeLessThanOrEqualTo, 4*2*20*2*60)
		w.checkCounted(t, w.order)
	})
}

// TestHealingAtDesignedSize guards against a flood of messages after a
// partition between data centres in which every member was served on both
// sides.
func TestHealingAtDesignedSize(t *testing.T) {
	Convey("After a partition in which every member was served on both sides", t, func() {
		const members, bytesPerItem, seconds = 1300, 9, 20
		var extra []fleet.MemberID
		for i := range members {
			extra = append(extra, fleet.MemberID(fmt.Sprint("team-", i)))
		}
		w := newSimulation("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4")
		for _, id := range w.order {
			w.nodes[id].Step(w.now, Configured{Version: 2, Dictionary: testNames(extra...)})
		}
		w.runFor(12 * time.Second)
		regular := w.crossDCBytes(seconds*time.Second, false)
		for range 3 {
			for i, m := range extra {
				w.serveMember(w.order[i%len(w.order)], m, 1)
				w.serveMember(w.order[(i+4)%len(w.order)], m, 1)
			}
			w.crossDCBytes(20*time.Second, true)
		}
		healing := w.crossDCBytes(seconds*time.Second, false) - regular
		Printf("%d bytes beyond the regular %d in the %d s after it ", healing, regular, seconds)
		So(healing, ShouldBeLessThanOrEqualTo, 2*members*bytesPerItem)
	})
}

// crossDCBytes runs the simulation for d and returns the bytes sent between
// data centres. If cut is set, these messages are lost.
func (w *simulation) crossDCBytes(d time.Duration, cut bool) int {
	bytes := 0
	for end := w.now + d; w.now < end; {
		w.advance(50 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.removeCall(0)
			across := c.from[0] != c.to[0]
			if across {
				bytes += len(c.payload)
			}
			if across && cut {
				w.finish(c, nil)
			} else {
				w.finish(c, w.deliver(c))
			}
		}
	}
	return bytes
}

// TestNumbersReturnAfterChange guards against names that stay spelled out after
// a configuration that changed their numbers.
func TestNumbersReturnAfterChange(t *testing.T) {
	Convey("After both instances renumbered their names, numbers are used again", t, func() {
		w := newSimulation("a1", "a2")
		w.runFor(3 * time.Second)
		for i, id := range w.order {
			w.nodes[id].Step(w.now, Configured{Version: 2, Dictionary: testNames("another")})
			if w.runFor(3 * time.Second); i == 0 {
				continue
			}
			w.advance(1200 * time.Millisecond)
			for _, c := range w.calls {
				So(decodeHeader(&reader{in: c.payload}).numbered, ShouldBeTrue)
			}
			So(len(w.calls), ShouldEqual, 2)
		}
	})
}

// BenchmarkPartitionMemory measures the memory that an instance uses for 34
// peers and ten data centres that do not reply, with every member served in six
// groups.
func BenchmarkPartitionMemory(b *testing.B) {
	for range b.N {
		var ids []fleet.InstanceID
		for i := range 35 {
			ids = append(ids, fleet.InstanceID(fmt.Sprint("a", i)))
		}
		for _, dc := range "bcdefghijk" {
			ids = append(ids, fleet.InstanceID(string(dc)+"1"))
		}
		w := newSimulation(ids...)
		w.runFor(12 * time.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for m := range 1300 {
			for g := range 6 {
				w.nodes["a0"].Step(w.now, LocalWork{Update: sched.PeerUpdate{Service: []sched.PeerService{{
					Member: fleet.MemberID(fmt.Sprint("team-", m)), Group: fleet.GroupName(fmt.Sprint("group-", g)), Cost: 1,
				}}}})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(w)
	}
}

// TestNewerVersionFetched guards against requests for an older version and
// against one request per message.
func TestNewerVersionFetched(t *testing.T) {
	Convey("A newer version is asked for once, an older one never", t, func() {
		w := newSimulation("a1", "a2", "a3")
		w.runFor(3 * time.Second)
		w.nodes["a2"].Step(w.now, Configured{Version: 7, Dictionary: testNames()})
		w.runFor(500 * time.Millisecond)
		So(len(w.nodes["a1"].fetched), ShouldEqual, 1)
		w.nodes["a1"].Step(w.now, Configured{Version: 9, Dictionary: testNames()})
		w.runFor(3 * time.Second)
		So(len(w.nodes["a1"].fetched), ShouldEqual, 1)
	})
}

// FuzzReceive guards against panics and unbounded allocation on arbitrary input
// from a peer.
func FuzzReceive(f *testing.F) {
	w := newSimulation("a1", "a2")
	w.nodes["a1"].Step(w.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x"}}})
	for range 5 {
		w.advance(500 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.removeCall(0)
			f.Add(c.payload)
			answer := w.deliver(c)
			f.Add(answer)
			w.finish(c, answer)
			w.serveMember("a1", "shea", 2)
		}
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		w := newSimulation("a1", "a2")
		w.runFor(time.Second)
		_, _ = w.nodes["a2"].Receive(w.now, payload)
		w.nodes["a1"].Step(w.now, SendReplied{Peer: "a2", Payload: payload})
		w.runFor(time.Second)
	})
}

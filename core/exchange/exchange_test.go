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

func testDictionary(extra ...fleet.MemberID) *Dictionary {
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

// call is a message in flight. restarts is the number of restarts of its sender
// when it was sent.
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

func (sim *simulation) start(id fleet.InstanceID) {
	n := sim.nodes[id]
	n.restarts++
	n.Exchange = New(Config{Self: n.profile, Incarnation: n.restarts, Seed: membership.Hash(string(id))})
	n.work, n.counted = map[fleet.MemberID]float64{}, map[fleet.MemberID]float64{}
	n.Step(sim.now, Configured{Version: 1, Dictionary: testDictionary()})
	sim.setPeers(id)
}

func (sim *simulation) setPeers(id fleet.InstanceID) {
	var peers []membership.Peer
	for _, other := range sim.order {
		if other != id {
			peers = append(peers, membership.Peer{Profile: sim.nodes[other].profile, Live: true})
		}
	}
	sim.nodes[id].Step(sim.now, Peers{Peers: peers})
}

// collect records the pending commands of an instance.
func (sim *simulation) collect(id fleet.InstanceID) {
	n := sim.nodes[id]
	for _, c := range n.Ready() {
		switch c := c.(type) {
		case Send:
			sim.calls = append(sim.calls, &call{from: id, to: c.Peer, restarts: n.restarts, payload: c.Payload})
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

// deliver delivers a message and returns the reply, or nil if the message was
// rejected.
func (sim *simulation) deliver(c *call) []byte {
	reply, err := sim.nodes[c.to].Receive(sim.now, c.payload)
	sim.collect(c.to)
	if err != nil {
		return nil
	}
	return reply
}

// finish ends a call at its sender unless the sender has restarted. A nil reply
// means that the call failed.
func (sim *simulation) finish(c *call, reply []byte) {
	n := sim.nodes[c.from]
	if n.restarts != c.restarts {
		return
	}
	if reply == nil {
		n.Step(sim.now, SendFailed{Peer: c.to})
	} else {
		n.Step(sim.now, SendReplied{Peer: c.to, Payload: reply})
	}
	sim.collect(c.from)
}

func (sim *simulation) removeCall(i int) *call {
	c := sim.calls[i]
	sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
	return c
}

func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for _, id := range sim.order {
		sim.nodes[id].Step(sim.now, Tick{})
		sim.collect(id)
	}
}

// runFor advances the time by d and delivers every message without faults.
func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.advance(50 * time.Millisecond)
		for len(sim.calls) > 0 {
			c := sim.removeCall(0)
			sim.finish(c, sim.deliver(c))
		}
	}
}

func (sim *simulation) serveMember(id fleet.InstanceID, m fleet.MemberID, cost float64) {
	n := sim.nodes[id]
	n.work[m] += cost
	n.Step(sim.now, LocalWork{Update: sched.PeerUpdate{Service: []sched.PeerService{{Member: m, Group: "language", Cost: cost}}}})
	sim.collect(id)
}

// TestServiceCountedOnce guards against service that is lost or counted twice
// when pushes or replies are lost, delayed, duplicated or reordered, within a
// data centre and between data centres.
func TestServiceCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation("a1", "a2", "a3", "b1", "b2")
		sim.runFor(12 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				id := rapid.SampledFrom(sim.order).Draw(t, "at")
				sim.serveMember(id, rapid.SampledFrom(testMembers).Draw(t, "member"), float64(rapid.IntRange(1, 9).Draw(t, "cost")))
			},
			"time": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(10, 6000).Draw(t, "ms")) * time.Millisecond)
			},
			"message": func(t *rapid.T) {
				if len(sim.calls) == 0 {
					t.Skip("no message")
				}
				c := sim.removeCall(rapid.IntRange(0, len(sim.calls)-1).Draw(t, "which"))
				fate := rapid.SampledFrom([]string{"arrives", "lost", "reply lost", "duplicated", "delayed"}).Draw(t, "fate")
				var reply []byte
				switch fate {
				case "arrives":
					reply = sim.deliver(c)
				case "reply lost":
					sim.deliver(c)
				case "duplicated":
					sim.deliver(c)
					reply = sim.deliver(c)
				case "delayed":
					sim.delayed = append(sim.delayed, c)
				}
				sim.finish(c, reply)
			},
			"late message": func(t *rapid.T) {
				if len(sim.delayed) == 0 {
					t.Skip("no message")
				}
				sim.deliver(sim.delayed[rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "which")])
			},
			"other names": func(t *rapid.T) {
				id := rapid.SampledFrom(sim.order).Draw(t, "at")
				dictionary := testDictionary()
				if rapid.Bool().Draw(t, "extra") {
					dictionary = testDictionary("another")
				}
				sim.nodes[id].Step(sim.now, Configured{Version: 1, Dictionary: dictionary})
			},
		})
		for len(sim.calls) > 0 {
			sim.finish(sim.removeCall(0), nil)
		}
		sim.runFor(40 * time.Second)
		sim.checkCounted(t, sim.order)
	})
}

// checkCounted fails the test unless each instance counted exactly the service
// of the others.
func (sim *simulation) checkCounted(t interface{ Fatalf(string, ...any) }, order []fleet.InstanceID) {
	for _, id := range order {
		for _, m := range testMembers {
			want := 0.0
			for other, n := range sim.nodes {
				if other != id {
					want += n.work[m]
				}
			}
			if got := sim.nodes[id].counted[m]; got != want {
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
		sim := newSimulation("a1", "a2", "a3")
		sim.runFor(3 * time.Second)
		sim.serveMember("a1", "shea", 5)
		sim.advance(1200 * time.Millisecond)
		// Each push was either applied and its reply lost, or is still in
		// flight.
		for len(sim.calls) > 0 {
			c := sim.removeCall(0)
			if rapid.Bool().Draw(t, "applied") {
				sim.deliver(c)
			}
			sim.delayed = append(sim.delayed, c)
			sim.finish(c, nil)
		}
		restarted := rapid.SampledFrom([]fleet.InstanceID{"a1", "a2"}).Draw(t, "restarted")
		before := sim.nodes["a3"].counted["shea"]
		sim.start(restarted)
		for _, c := range sim.delayed {
			if rapid.Bool().Draw(t, "again") {
				sim.deliver(c)
			}
		}
		sim.runFor(5 * time.Second)
		sim.serveMember(restarted, "levy", 3)
		sim.runFor(5 * time.Second)
		if got := sim.nodes["a3"].counted["levy"]; got != 3 {
			t.Fatalf("counted %v of the restarted instance's new service, want 3", got)
		}
		// A push that was lost with its process is not counted; the others are
		// counted once.
		if got := sim.nodes["a3"].counted["shea"]; got != 5 && !(restarted == "a1" && got == before) {
			t.Fatalf("counted %v of the service before the restart, want 5 (before: %v)", got, before)
		}
		if got := sim.nodes["a2"].counted["shea"]; got > 5 || (restarted == "a2" && got != 0) {
			t.Fatalf("a2 counted %v of the service before the restart", got)
		}
	})
}

// TestClockWentBack guards against a restarted instance that is ignored because
// its incarnation is lower than the one its peers remember.
func TestClockWentBack(t *testing.T) {
	Convey("After a restart with a lower incarnation, new service is counted", t, func() {
		sim := newSimulation("a1", "a2")
		sim.nodes["a1"].restarts = 1000
		sim.start("a1")
		sim.runFor(3 * time.Second)
		sim.nodes["a1"].restarts = 10
		sim.start("a1")
		sim.runFor(3 * time.Second)
		sim.serveMember("a1", "shea", 4)
		sim.runFor(3 * time.Second)
		So(sim.nodes["a2"].counted["shea"], ShouldEqual, 4)
	})
}

// TestTwoProcessesOneName guards against a flood of messages between two
// processes that run under one instance ID, such as a paused one and its
// replacement.
func TestTwoProcessesOneName(t *testing.T) {
	Convey("With two processes under one ID", t, func() {
		sim := newSimulation("a1", "a2", "a3")
		sim.nodes["a3"].profile.ID = "a1"
		sim.start("a3")
		sent := 0
		for end := sim.now + time.Minute; sim.now < end; {
			sim.advance(50 * time.Millisecond)
			for len(sim.calls) > 0 && sent < 10_000 {
				sent++
				c := sim.removeCall(0)
				sim.finish(c, sim.deliver(c))
			}
		}
		// Three instances with two peers each and at most three pushes a
		// second.
		So(sent, ShouldBeLessThan, 3*2*3*60)
		So(sim.nodes["a1"].IncarnationRenewals()+sim.nodes["a3"].IncarnationRenewals(), ShouldBeBetweenOrEqual, 1, 6)
	})
}

// TestMarkPushedAtOnce guards against a leaving mark that waits for the
// periodic push, and against one that a peer with another configuration cannot
// decode.
func TestMarkPushedAtOnce(t *testing.T) {
	mark := membership.Mark{Upstream: "engine-1", Incarnation: "x"}
	for _, c := range []struct {
		name  string
		setup func(sim *simulation)
		lost  int // pushes lost before one arrives
		limit time.Duration
	}{
		{"no fault", func(*simulation) {}, 0, 0},
		{"the peer has another dictionary", func(sim *simulation) {
			sim.nodes["a2"].Step(sim.now, Configured{Version: 2, Dictionary: testDictionary("another")})
		}, 0, 0},
		{"the first two pushes are lost", func(*simulation) {}, 2, 2 * time.Second},
		{"the peer failed before", func(sim *simulation) {
			for range 6 {
				sim.advance(2500 * time.Millisecond)
				for len(sim.calls) > 0 {
					sim.finish(sim.removeCall(0), nil)
				}
			}
		}, 0, 0},
	} {
		Convey("With a mark for a peer: "+c.name, t, func() {
			sim := newSimulation("a1", "a2")
			sim.runFor(3 * time.Second)
			c.setup(sim)
			start, lost := sim.now, c.lost
			sim.nodes["a1"].Step(sim.now, MarkAdded{Mark: mark})
			sim.collect("a1")
			for !sim.receivedMark("a2", mark) && sim.now-start < 10*time.Second {
				for len(sim.calls) > 0 {
					if call := sim.removeCall(0); lost > 0 && call.from == "a1" {
						lost--
						sim.finish(call, nil)
					} else {
						sim.finish(call, sim.deliver(call))
					}
				}
				if !sim.receivedMark("a2", mark) {
					sim.advance(50 * time.Millisecond)
				}
			}
			So(sim.now-start, ShouldBeLessThanOrEqualTo, c.limit)
		})
	}
}

func (sim *simulation) receivedMark(id fleet.InstanceID, mark membership.Mark) bool {
	for _, ev := range sim.nodes[id].membershipEvents {
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
		sim := newSimulation(ids...)
		sim.runFor(6 * time.Second)
		mark := membership.Mark{Upstream: "engine-1", Incarnation: "x"}
		// The first partner of a0 in each data centre fails without notice.
		dead := map[fleet.InstanceID]bool{}
		for _, dc := range []fleet.DataCentre{"b", "c"} {
			dead[sim.nodes["a0"].partners(sim.now, dc)[0].ID] = true
		}
		begin := sim.now
		sim.nodes["a0"].Step(sim.now, MarkAdded{Mark: mark})
		sim.collect("a0")
		reached := map[fleet.InstanceID]bool{"a0": true}
		for len(reached) < len(ids)-len(dead) && sim.now-begin < 5*time.Second {
			for len(sim.calls) > 0 {
				c := sim.removeCall(0)
				if dead[c.to] || dead[c.from] {
					sim.finish(c, nil)
					continue
				}
				sim.finish(c, sim.deliver(c))
				if !reached[c.to] && sim.receivedMark(c.to, mark) {
					// The receiver's membership publishes a mark that it did
					// not know.
					reached[c.to] = true
					sim.nodes[c.to].Step(sim.now, MarkAdded{Mark: mark})
					sim.collect(c.to)
				}
			}
			sim.advance(50 * time.Millisecond)
		}
		So(len(reached), ShouldEqual, len(ids)-len(dead))
		So(sim.now-begin, ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
	})
}

// TestReports guards against applying a report of a push that arrived after a
// later one, against a relay that leaves a data centre without reports, and
// against wrong ages.
func TestReports(t *testing.T) {
	report := func(sim *simulation, running int) membership.Report {
		return membership.Report{Generation: 3, Load: sched.LoadReport{
			Upstream: "engine-1", Incarnation: "x", At: sim.now, Running: running, KVCapacityTokens: 4096, Role: fleet.RoleDecode,
		}}
	}
	Convey("A report reaches every instance of a region larger than maxMeshInstances", t, func() {
		var ids []fleet.InstanceID
		for i := range 10 {
			ids = append(ids, fleet.InstanceID(fmt.Sprintf("a%d", i)), fleet.InstanceID(fmt.Sprintf("b%d", i)))
		}
		sim := newSimulation(ids...)
		sim.runFor(6 * time.Second)
		sent := report(sim, 7)
		sim.nodes["a0"].Step(sim.now, Polled{Report: sent})
		sim.runFor(3 * time.Second)
		for _, id := range ids[1:] {
			got := sim.reports(id)
			So(got, ShouldNotBeEmpty)
			last := got[len(got)-1]
			So(last.Load.At-sent.Load.At, ShouldBeBetweenOrEqual, 0, 20*time.Millisecond)
			last.Load.At = sent.Load.At
			So(last, ShouldResemble, sent)
		}
	})
	Convey("The reports of a push that arrives after a later one are ignored", t, func() {
		sim := newSimulation("a1", "a2")
		sim.runFor(3 * time.Second)
		sim.nodes["a1"].Step(sim.now, Polled{Report: report(sim, 1)})
		for len(sim.calls) == 0 || sim.calls[0].from != "a1" {
			sim.calls = nil
			sim.advance(50 * time.Millisecond)
		}
		delayed := sim.removeCall(0)
		sim.finish(delayed, nil)
		sim.nodes["a1"].Step(sim.now, Polled{Report: report(sim, 2)})
		sim.runFor(3 * time.Second)
		before := len(sim.reports("a2"))
		sim.deliver(delayed)
		So(len(sim.reports("a2")), ShouldEqual, before)
	})
}

func (sim *simulation) reports(id fleet.InstanceID) []membership.Report {
	var out []membership.Report
	for _, ev := range sim.nodes[id].membershipEvents {
		if r, ok := ev.(membership.Reported); ok {
			out = append(out, r.Report)
		}
	}
	return out
}

// TestReportsAfterLateDeclaration guards against a peer that never accepts
// reports of a new upstream because it received them before the declaration.
func TestReportsAfterLateDeclaration(t *testing.T) {
	dictionary := NewDictionary(&declare.Declaration{
		Groups:    []declare.Group{{Name: "language"}},
		Upstreams: []declare.Upstream{{ID: "engine-1"}, {ID: "engine-2"}, {ID: "engine-3"}},
	})
	sim := newSimulation("a1", "a2")
	sim.runFor(3 * time.Second)
	poll := func() {
		sim.nodes["a1"].Step(sim.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-3", Incarnation: "x", At: sim.now}}})
		sim.runFor(2 * time.Second)
	}
	sim.nodes["a1"].Step(sim.now, Configured{Version: 2, Dictionary: dictionary})
	poll()
	poll()
	sim.nodes["a2"].Step(sim.now, Configured{Version: 2, Dictionary: dictionary})
	poll()
	poll()
	if got := sim.reports("a2"); len(got) == 0 {
		t.Error("the peer learnt no report of the new upstream")
	}
}

// TestPartitionHealsWithoutFlood guards against unbounded memory during a
// partition and a flood of messages after it: the bytes sent must depend on the
// number of members, not on the length of the partition.
func TestPartitionHealsWithoutFlood(t *testing.T) {
	Convey("After ten minutes of partition, few bytes are sent and all service is counted", t, func() {
		sim := newSimulation("a1", "a2", "b1", "b2")
		sim.runFor(12 * time.Second)
		for range 600 { // ten minutes
			sim.serveMember("a1", "shea", 1)
			sim.serveMember("b1", "levy", 1)
			sim.crossDCBytes(time.Second, true)
		}
		bytes := sim.crossDCBytes(20*time.Second, false)
		// Four senders with two pushes a second to each of two peers, of at
		// most 60 bytes, and the items of three members.
		So(bytes, ShouldBeLessThanOrEqualTo, 4*2*20*2*60)
		sim.checkCounted(t, sim.order)
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
		sim := newSimulation("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4")
		for _, id := range sim.order {
			sim.nodes[id].Step(sim.now, Configured{Version: 2, Dictionary: testDictionary(extra...)})
		}
		sim.runFor(12 * time.Second)
		regular := sim.crossDCBytes(seconds*time.Second, false)
		for range 3 {
			for i, m := range extra {
				sim.serveMember(sim.order[i%len(sim.order)], m, 1)
				sim.serveMember(sim.order[(i+4)%len(sim.order)], m, 1)
			}
			sim.crossDCBytes(20*time.Second, true)
		}
		healing := sim.crossDCBytes(seconds*time.Second, false) - regular
		Printf("%d bytes beyond the regular %d in the %d s after it ", healing, regular, seconds)
		So(healing, ShouldBeLessThanOrEqualTo, 2*members*bytesPerItem)
	})
}

// crossDCBytes runs the simulation for d and returns the bytes sent between
// data centres. If cut is set, these messages are lost.
func (sim *simulation) crossDCBytes(d time.Duration, cut bool) int {
	bytes := 0
	for end := sim.now + d; sim.now < end; {
		sim.advance(50 * time.Millisecond)
		for len(sim.calls) > 0 {
			c := sim.removeCall(0)
			across := c.from[0] != c.to[0]
			if across {
				bytes += len(c.payload)
			}
			if across && cut {
				sim.finish(c, nil)
			} else {
				sim.finish(c, sim.deliver(c))
			}
		}
	}
	return bytes
}

// TestNumbersReturnAfterChange guards against names that stay spelled out after
// a configuration that changed their numbers.
func TestNumbersReturnAfterChange(t *testing.T) {
	Convey("After both instances renumbered their names, numbers are used again", t, func() {
		sim := newSimulation("a1", "a2")
		sim.runFor(3 * time.Second)
		for i, id := range sim.order {
			sim.nodes[id].Step(sim.now, Configured{Version: 2, Dictionary: testDictionary("another")})
			if sim.runFor(3 * time.Second); i == 0 {
				continue
			}
			sim.advance(1200 * time.Millisecond)
			for _, c := range sim.calls {
				So(decodeHeader(&reader{in: c.payload}).numbered, ShouldBeTrue)
			}
			So(len(sim.calls), ShouldEqual, 2)
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
		sim := newSimulation(ids...)
		sim.runFor(12 * time.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for m := range 1300 {
			for g := range 6 {
				sim.nodes["a0"].Step(sim.now, LocalWork{Update: sched.PeerUpdate{Service: []sched.PeerService{{
					Member: fleet.MemberID(fmt.Sprint("team-", m)), Group: fleet.GroupName(fmt.Sprint("group-", g)), Cost: 1,
				}}}})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(sim)
	}
}

// TestNewerVersionFetched guards against requests for an older version and
// against one request per message.
func TestNewerVersionFetched(t *testing.T) {
	Convey("A newer version is requested once, an older one never", t, func() {
		sim := newSimulation("a1", "a2", "a3")
		sim.runFor(3 * time.Second)
		sim.nodes["a2"].Step(sim.now, Configured{Version: 7, Dictionary: testDictionary()})
		sim.runFor(500 * time.Millisecond)
		So(len(sim.nodes["a1"].fetched), ShouldEqual, 1)
		sim.nodes["a1"].Step(sim.now, Configured{Version: 9, Dictionary: testDictionary()})
		sim.runFor(3 * time.Second)
		So(len(sim.nodes["a1"].fetched), ShouldEqual, 1)
	})
}

// FuzzReceive guards against panics and unbounded allocation on arbitrary input
// from a peer.
func FuzzReceive(f *testing.F) {
	sim := newSimulation("a1", "a2")
	sim.nodes["a1"].Step(sim.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x"}}})
	for range 5 {
		sim.advance(500 * time.Millisecond)
		for len(sim.calls) > 0 {
			c := sim.removeCall(0)
			f.Add(c.payload)
			reply := sim.deliver(c)
			f.Add(reply)
			sim.finish(c, reply)
			sim.serveMember("a1", "shea", 2)
		}
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		sim := newSimulation("a1", "a2")
		sim.runFor(time.Second)
		_, _ = sim.nodes["a2"].Receive(sim.now, payload)
		sim.nodes["a1"].Step(sim.now, SendReplied{Peer: "a2", Payload: payload})
		sim.runFor(time.Second)
	})
}

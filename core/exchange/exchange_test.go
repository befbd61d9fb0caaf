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

// TestMain fixes the seed of the random tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260")
	}
	os.Exit(m.Run())
}

// world is a set of instances and the messages between them.
type world struct {
	now   fleet.Instant
	nodes map[fleet.InstanceID]*testNode
	order []fleet.InstanceID
	calls []*call
	// late are messages that may arrive again at any time.
	late []*call
}

type testNode struct {
	*Exchange
	profile  membership.Profile
	restarts uint64
	// work is own service per member, got what peers reported, by origin
	// process; both are exact because costs are small whole numbers.
	work, got map[fleet.MemberID]float64
	learnt    []membership.Event
	fetched   []Fetch
}

type call struct {
	from, to fleet.InstanceID
	epoch    uint64
	payload  []byte
}

// newWorld places instances named after their data centre, such as "a1".
func newWorld(ids ...fleet.InstanceID) *world {
	w := &world{nodes: map[fleet.InstanceID]*testNode{}, order: ids}
	for _, id := range ids {
		p := membership.Profile{ID: id, DataCentre: fleet.DataCentre(id[:1]), Region: "r", Address: string(id)}
		w.nodes[id] = &testNode{profile: p}
	}
	for _, id := range ids {
		w.start(id)
	}
	return w
}

func (w *world) start(id fleet.InstanceID) {
	n := w.nodes[id]
	n.restarts++
	n.Exchange = New(Config{Self: n.profile, Incarnation: n.restarts, Seed: membership.Hash(string(id))})
	n.work, n.got = map[fleet.MemberID]float64{}, map[fleet.MemberID]float64{}
	n.Step(w.now, Configured{Version: 1, Dictionary: testNames()})
	w.introduce(id)
}

func (w *world) introduce(id fleet.InstanceID) {
	var peers []membership.Peer
	for _, other := range w.order {
		if other != id {
			peers = append(peers, membership.Peer{Profile: w.nodes[other].profile, Live: true})
		}
	}
	w.nodes[id].Step(w.now, Peers{Peers: peers})
}

// collect takes the commands of an instance.
func (w *world) collect(id fleet.InstanceID) {
	n := w.nodes[id]
	for _, c := range n.Ready() {
		switch c := c.(type) {
		case Send:
			w.calls = append(w.calls, &call{from: id, to: c.Peer, epoch: n.restarts, payload: c.Payload})
		case SchedulerEvent:
			if s, ok := c.Event.(sched.PeerService); ok {
				n.got[s.Member] += s.Cost
			}
		case MembershipEvent:
			n.learnt = append(n.learnt, c.Event)
		case Fetch:
			n.fetched = append(n.fetched, c)
		}
	}
}

// serve delivers a message and returns the answer.
func (w *world) serve(c *call) []byte {
	answer, err := w.nodes[c.to].Receive(w.now, c.payload)
	w.collect(c.to)
	if err != nil {
		return nil
	}
	return answer
}

// finish ends a call at its sender unless that has restarted.
func (w *world) finish(c *call, answer []byte) {
	n := w.nodes[c.from]
	if n.restarts != c.epoch {
		return
	}
	if answer == nil {
		n.Step(w.now, SendFailed{Peer: c.to})
	} else {
		n.Step(w.now, SendReplied{Peer: c.to, Payload: answer})
	}
	w.collect(c.from)
}

func (w *world) take(i int) *call {
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	return c
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, id := range w.order {
		w.nodes[id].Step(w.now, Tick{})
		w.collect(id)
	}
}

// settle delivers everything without faults for a while.
func (w *world) settle(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance(50 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.take(0)
			w.finish(c, w.serve(c))
		}
	}
}

func (w *world) serveMember(id fleet.InstanceID, m fleet.MemberID, cost float64) {
	n := w.nodes[id]
	n.work[m] += cost
	n.Step(w.now, LocalWork{Update: sched.PeerUpdate{Service: []sched.PeerService{{Member: m, Group: "language", Cost: cost}}}})
	w.collect(id)
}

// TestServiceCountedOnce guards against service that is lost, or counted twice,
// when pushes or answers are lost, delayed, doubled or reordered, within a data
// centre and through the owners between data centres.
func TestServiceCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a1", "a2", "a3", "b1", "b2")
		w.settle(12 * time.Second)
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
				c := w.take(rapid.IntRange(0, len(w.calls)-1).Draw(t, "which"))
				fate := rapid.SampledFrom([]string{"arrives", "lost", "answer lost", "doubled", "delayed"}).Draw(t, "fate")
				var answer []byte
				switch fate {
				case "arrives":
					answer = w.serve(c)
				case "answer lost":
					w.serve(c)
				case "doubled":
					w.serve(c)
					answer = w.serve(c)
				case "delayed":
					w.late = append(w.late, c)
				}
				w.finish(c, answer)
			},
			"late message": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("no message")
				}
				w.serve(w.late[rapid.IntRange(0, len(w.late)-1).Draw(t, "which")])
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
			w.finish(w.take(0), nil)
		}
		w.settle(40 * time.Second)
		w.compare(t, w.order)
	})
}

// compare checks that each instance counted exactly the others' service.
func (w *world) compare(t interface{ Fatalf(string, ...any) }, order []fleet.InstanceID) {
	for _, id := range order {
		for _, m := range testMembers {
			want := 0.0
			for other, n := range w.nodes {
				if other != id {
					want += n.work[m]
				}
			}
			if got := w.nodes[id].got[m]; got != want {
				t.Fatalf("instance %s counted %v of %s from its peers, want %v", id, got, m, want)
			}
		}
	}
}

// TestRestartCountsNothingTwice guards against service of an earlier process,
// or from before a receiver's start, being counted by or for a restarted one.
func TestRestartCountsNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a1", "a2", "a3")
		w.settle(3 * time.Second)
		w.serveMember("a1", "shea", 5)
		w.advance(1200 * time.Millisecond)
		// Each push is either applied with a lost answer or still on its way.
		for len(w.calls) > 0 {
			c := w.take(0)
			if rapid.Bool().Draw(t, "applied") {
				w.serve(c)
			}
			w.late = append(w.late, c)
			w.finish(c, nil)
		}
		restarted := rapid.SampledFrom([]fleet.InstanceID{"a1", "a2"}).Draw(t, "restarted")
		before := w.nodes["a3"].got["shea"]
		w.start(restarted)
		for _, c := range w.late {
			if rapid.Bool().Draw(t, "again") {
				w.serve(c)
			}
		}
		w.settle(5 * time.Second)
		w.serveMember(restarted, "levy", 3)
		w.settle(5 * time.Second)
		if got := w.nodes["a3"].got["levy"]; got != 3 {
			t.Fatalf("counted %v of the restarted instance's new service, want 3", got)
		}
		// A push lost with its process counts nowhere, the others once.
		if got := w.nodes["a3"].got["shea"]; got != 5 && !(restarted == "a1" && got == before) {
			t.Fatalf("counted %v of the service before the restart, want 5 (before: %v)", got, before)
		}
		if got := w.nodes["a2"].got["shea"]; got > 5 || (restarted == "a2" && got != 0) {
			t.Fatalf("a2 counted %v of the service before the restart", got)
		}
	})
}

// TestClockWentBack guards against a restarted instance being ignored because
// its incarnation is lower than the one its peers remember.
func TestClockWentBack(t *testing.T) {
	Convey("After a restart with a lower incarnation, new service is counted", t, func() {
		w := newWorld("a1", "a2")
		w.nodes["a1"].restarts = 1000
		w.start("a1")
		w.settle(3 * time.Second)
		w.nodes["a1"].restarts = 10
		w.start("a1")
		w.settle(3 * time.Second)
		w.serveMember("a1", "shea", 4)
		w.settle(3 * time.Second)
		So(w.nodes["a2"].got["shea"], ShouldEqual, 4)
	})
}

// TestTwoProcessesOneName guards against a flood between two processes that
// run under one instance's name, such as a paused one and its replacement.
func TestTwoProcessesOneName(t *testing.T) {
	Convey("With two processes under one name", t, func() {
		w := newWorld("a1", "a2", "a3")
		w.nodes["a3"].profile.ID = "a1"
		w.start("a3")
		sent := 0
		for end := w.now + time.Minute; w.now < end; {
			w.advance(50 * time.Millisecond)
			for len(w.calls) > 0 && sent < 10_000 {
				sent++
				c := w.take(0)
				w.finish(c, w.serve(c))
			}
		}
		// Three instances, two peers each, at most three pushes a second.
		So(sent, ShouldBeLessThan, 3*2*3*60)
		So(w.nodes["a1"].IncarnationRenewals()+w.nodes["a3"].IncarnationRenewals(), ShouldBeBetweenOrEqual, 1, 6)
	})
}

// TestMarkPushedAtOnce guards against a departure that waits for the regular
// push, or that a peer with another configuration does not understand.
func TestMarkPushedAtOnce(t *testing.T) {
	mark := membership.Mark{Upstream: "engine-1", Incarnation: "x"}
	for _, c := range []struct {
		name  string
		setup func(w *world)
		lost  int // pushes lost before one arrives
		limit time.Duration
	}{
		{"all is well", func(*world) {}, 0, 0},
		{"the peer has other names", func(w *world) {
			w.nodes["a2"].Step(w.now, Configured{Version: 2, Dictionary: testNames("another")})
		}, 0, 0},
		{"the first two pushes are lost", func(*world) {}, 2, 2 * time.Second},
		{"the peer failed before", func(w *world) {
			for range 6 {
				w.advance(2500 * time.Millisecond)
				for len(w.calls) > 0 {
					w.finish(w.take(0), nil)
				}
			}
		}, 0, 0},
	} {
		Convey("With a mark for a peer: "+c.name, t, func() {
			w := newWorld("a1", "a2")
			w.settle(3 * time.Second)
			c.setup(w)
			start, lost := w.now, c.lost
			w.nodes["a1"].Step(w.now, MarkAdded{Mark: mark})
			w.collect("a1")
			for !w.learntMark("a2", mark) && w.now-start < 10*time.Second {
				for len(w.calls) > 0 {
					if call := w.take(0); lost > 0 && call.from == "a1" {
						lost--
						w.finish(call, nil)
					} else {
						w.finish(call, w.serve(call))
					}
				}
				if !w.learntMark("a2", mark) {
					w.advance(50 * time.Millisecond)
				}
			}
			So(w.now-start, ShouldBeLessThanOrEqualTo, c.limit)
		})
	}
}

func (w *world) learntMark(id fleet.InstanceID, mark membership.Mark) bool {
	for _, ev := range w.nodes[id].learnt {
		if m, ok := ev.(membership.MarkReceived); ok && m.Mark == mark {
			return true
		}
	}
	return false
}

// TestMarkCrossesRegion guards against a mark that stops at an instance without
// pushes to other data centres, in a region beyond the mesh.
func TestMarkCrossesRegion(t *testing.T) {
	Convey("With 24 instances in three data centres and two dead partners", t, func() {
		var ids []fleet.InstanceID
		for i := range 8 {
			for _, dc := range []string{"a", "b", "c"} {
				ids = append(ids, fleet.InstanceID(dc+fmt.Sprint(i)))
			}
		}
		w := newWorld(ids...)
		w.settle(6 * time.Second)
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
				c := w.take(0)
				if dead[c.to] || dead[c.from] {
					w.finish(c, nil)
					continue
				}
				w.finish(c, w.serve(c))
				if !spread[c.to] && w.learntMark(c.to, mark) {
					// Its membership spreads what it had not known.
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

// TestReports guards against a report of an overtaken push, against a relay
// that leaves a data centre without reports, and against rounding of ages.
func TestReports(t *testing.T) {
	report := func(w *world, running int) membership.Report {
		return membership.Report{Generation: 3, Load: sched.LoadReport{
			Upstream: "engine-1", Incarnation: "x", At: w.now, Running: running, KVCapacityTokens: 4096, Role: fleet.RoleDecode,
		}}
	}
	Convey("A report reaches every instance of a region beyond the mesh", t, func() {
		var ids []fleet.InstanceID
		for i := range 10 {
			ids = append(ids, fleet.InstanceID(fmt.Sprintf("a%d", i)), fleet.InstanceID(fmt.Sprintf("b%d", i)))
		}
		w := newWorld(ids...)
		w.settle(6 * time.Second)
		sent := report(w, 7)
		w.nodes["a0"].Step(w.now, Polled{Report: sent})
		w.settle(3 * time.Second)
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
		w := newWorld("a1", "a2")
		w.settle(3 * time.Second)
		w.nodes["a1"].Step(w.now, Polled{Report: report(w, 1)})
		for len(w.calls) == 0 || w.calls[0].from != "a1" {
			w.calls = nil
			w.advance(50 * time.Millisecond)
		}
		delayed := w.take(0)
		w.finish(delayed, nil)
		w.nodes["a1"].Step(w.now, Polled{Report: report(w, 2)})
		w.settle(3 * time.Second)
		before := len(w.reports("a2"))
		w.serve(delayed)
		So(len(w.reports("a2")), ShouldEqual, before)
	})
}

func (w *world) reports(id fleet.InstanceID) []membership.Report {
	var out []membership.Report
	for _, ev := range w.nodes[id].learnt {
		if r, ok := ev.(membership.Reported); ok {
			out = append(out, r.Report)
		}
	}
	return out
}

// TestReportsAfterLateDeclaration guards against reports of a newly declared
// upstream being useless for good to a peer that learns the declaration later.
func TestReportsAfterLateDeclaration(t *testing.T) {
	names := NewDictionary(&declare.Declaration{
		Groups:    []declare.Group{{Name: "language"}},
		Upstreams: []declare.Upstream{{ID: "engine-1"}, {ID: "engine-2"}, {ID: "engine-3"}},
	})
	w := newWorld("a1", "a2")
	w.settle(3 * time.Second)
	poll := func() {
		w.nodes["a1"].Step(w.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-3", Incarnation: "x", At: w.now}}})
		w.settle(2 * time.Second)
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
// partition and against a flood afterwards: what is sent is bounded by the
// number of members, not by the length of the partition.
func TestPartitionHealsWithoutFlood(t *testing.T) {
	Convey("After ten minutes of partition, little crosses and all is counted", t, func() {
		w := newWorld("a1", "a2", "b1", "b2")
		w.settle(12 * time.Second)
		for range 600 { // ten minutes
			w.serveMember("a1", "shea", 1)
			w.serveMember("b1", "levy", 1)
			w.crossBytes(time.Second, true)
		}
		bytes := w.crossBytes(20*time.Second, false)
		// Four senders, two pushes a second to each of two peers, of at most 60
		// bytes, and the items of three members.
		So(bytes, ShouldBeLessThanOrEqualTo, 4*2*20*2*60)
		w.compare(t, w.order)
	})
}

// TestHealingAtDesignedSize guards against a flood after a partition between
// data centres in which every member was served on both sides.
func TestHealingAtDesignedSize(t *testing.T) {
	Convey("After a partition in which every member was served on both sides", t, func() {
		const members, bytesPerItem, seconds = 1300, 9, 20
		var extra []fleet.MemberID
		for i := range members {
			extra = append(extra, fleet.MemberID(fmt.Sprint("team-", i)))
		}
		w := newWorld("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4")
		for _, id := range w.order {
			w.nodes[id].Step(w.now, Configured{Version: 2, Dictionary: testNames(extra...)})
		}
		w.settle(12 * time.Second)
		regular := w.crossBytes(seconds*time.Second, false)
		for range 3 {
			for i, m := range extra {
				w.serveMember(w.order[i%len(w.order)], m, 1)
				w.serveMember(w.order[(i+4)%len(w.order)], m, 1)
			}
			w.crossBytes(20*time.Second, true)
		}
		healing := w.crossBytes(seconds*time.Second, false) - regular
		Printf("%d bytes beyond the regular %d in the %d s after it ", healing, regular, seconds)
		So(healing, ShouldBeLessThanOrEqualTo, 2*members*bytesPerItem)
	})
}

// crossBytes runs the world and counts the bytes sent between data centres,
// which are lost while these are cut from each other.
func (w *world) crossBytes(d time.Duration, cut bool) int {
	bytes := 0
	for end := w.now + d; w.now < end; {
		w.advance(50 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.take(0)
			across := c.from[0] != c.to[0]
			if across {
				bytes += len(c.payload)
			}
			if across && cut {
				w.finish(c, nil)
			} else {
				w.finish(c, w.serve(c))
			}
		}
	}
	return bytes
}

// TestNumbersReturnAfterChange guards against names being spelt out for good
// after a configuration that renumbered them.
func TestNumbersReturnAfterChange(t *testing.T) {
	Convey("After both instances renumbered their names, numbers are used again", t, func() {
		w := newWorld("a1", "a2")
		w.settle(3 * time.Second)
		for i, id := range w.order {
			w.nodes[id].Step(w.now, Configured{Version: 2, Dictionary: testNames("another")})
			if w.settle(3 * time.Second); i == 0 {
				continue
			}
			w.advance(1200 * time.Millisecond)
			for _, c := range w.calls {
				So(decodeHead(&reader{in: c.payload}).numbered, ShouldBeTrue)
			}
			So(len(w.calls), ShouldEqual, 2)
		}
	})
}

// BenchmarkPartitionMemory measures what an instance keeps for 34 peers and ten
// data centres that do not answer, with every member served in six groups.
func BenchmarkPartitionMemory(b *testing.B) {
	for range b.N {
		var ids []fleet.InstanceID
		for i := range 35 {
			ids = append(ids, fleet.InstanceID(fmt.Sprint("a", i)))
		}
		for _, dc := range "bcdefghijk" {
			ids = append(ids, fleet.InstanceID(string(dc)+"1"))
		}
		w := newWorld(ids...)
		w.settle(12 * time.Second)
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

// TestNewerVersionFetched guards against an older version being asked for and
// against a request for each of many messages.
func TestNewerVersionFetched(t *testing.T) {
	Convey("A newer version is asked for once, an older one never", t, func() {
		w := newWorld("a1", "a2", "a3")
		w.settle(3 * time.Second)
		w.nodes["a2"].Step(w.now, Configured{Version: 7, Dictionary: testNames()})
		w.settle(500 * time.Millisecond)
		So(len(w.nodes["a1"].fetched), ShouldEqual, 1)
		w.nodes["a1"].Step(w.now, Configured{Version: 9, Dictionary: testNames()})
		w.settle(3 * time.Second)
		So(len(w.nodes["a1"].fetched), ShouldEqual, 1)
	})
}

// FuzzReceive guards against panics and unbounded allocation on what a peer sends.
func FuzzReceive(f *testing.F) {
	w := newWorld("a1", "a2")
	w.nodes["a1"].Step(w.now, Polled{Report: membership.Report{Generation: 1, Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x"}}})
	for range 5 {
		w.advance(500 * time.Millisecond)
		for len(w.calls) > 0 {
			c := w.take(0)
			f.Add(c.payload)
			answer := w.serve(c)
			f.Add(answer)
			w.finish(c, answer)
			w.serveMember("a1", "shea", 2)
		}
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		w := newWorld("a1", "a2")
		w.settle(time.Second)
		_, _ = w.nodes["a2"].Receive(w.now, payload)
		w.nodes["a1"].Step(w.now, SendReplied{Peer: "a2", Payload: payload})
		w.settle(time.Second)
	})
}

package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/peer"
)

// maxMarkDelay is the time within which every instance must know that an
// upstream is leaving.
const maxMarkDelay = 3 * time.Second

// network injects faults into the connections of a test.
type network struct {
	mu     sync.Mutex
	faults map[[2]string]fault // from, to
}

type fault struct {
	cut        bool
	delay      time.Duration
	loseAnswer bool
}

var errCut = errors.New("cut")

func (nw *network) set(from, to string, f fault) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.faults[[2]string{from, to}] = f
}

func (nw *network) fault(from, to string) fault {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.faults[[2]string{from, to}]
}

type faultyConn struct {
	net.Conn
	now func() fault
}

func (c faultyConn) Write(p []byte) (int, error) {
	f := c.now()
	if f.cut {
		_ = c.Close()
		return 0, errCut
	}
	time.Sleep(f.delay)
	return c.Conn.Write(p)
}

func (c faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if f := c.now(); f.cut || f.loseAnswer {
		_ = c.Close()
		return 0, errCut
	}
	return n, err
}

// testNode is a node that records what it received.
type testNode struct {
	*peer.Node
	id       string
	address  string
	start    time.Time
	listener net.Listener
	stop     context.CancelFunc

	mu              sync.Mutex
	record          config.Record
	pending         sched.PeerUpdate
	receivedService map[fleet.MemberID]float64
	leaving         map[fleet.UpstreamID]time.Time
	report          func(sched.LoadReport)
}

func (n *testNode) Record() config.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record
}

// Offer puts a newer record in force, as config.Keeper does.
func (n *testNode) Offer(r config.Record) error {
	n.mu.Lock()
	newer := r.Version > n.record.Version
	if newer {
		n.record = r
	}
	n.mu.Unlock()
	if newer {
		n.Configure(r.Version, testDeclaration())
	}
	return nil
}

func (n *testNode) schedule(ev sched.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch ev := ev.(type) {
	case sched.PeerService:
		n.receivedService[ev.Member] += ev.Cost
	case sched.Report:
		if n.report != nil {
			n.report(ev.Load)
		}
	case sched.UpstreamState:
		if ev.Leaving {
			n.leaving[ev.Upstream] = time.Now()
		}
	}
}

func (n *testNode) takePeerUpdate() sched.PeerUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.pending
	n.pending = sched.PeerUpdate{}
	return out
}

func (n *testNode) serve(cost float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending.Service = append(n.pending.Service, sched.PeerService{Member: "shea", Group: "language", Cost: cost})
}

func (n *testNode) counted() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.receivedService["shea"]
}

func (n *testNode) knowsLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving["engine-1"].IsZero()
}

func testDeclaration() *declare.Declaration {
	return &declare.Declaration{
		Members:   []declare.Member{{ID: "shea"}},
		Groups:    []declare.Group{{Name: "language"}},
		Upstreams: []declare.Upstream{{ID: "engine-1", DataCentre: "a"}},
	}
}

// start runs a node. The first letter of its ID is its data centre.
func (nw *network) start(ctx context.Context, t *testing.T, id string, seeds ...string) *testNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
	}
	n := &testNode{
		id: id, address: listener.Addr().String(), start: time.Now(), listener: listener,
		receivedService: map[fleet.MemberID]float64{}, leaving: map[fleet.UpstreamID]time.Time{},
	}
	n.Node = peer.New(peer.Options{
		Self:        membership.Profile{ID: fleet.InstanceID(id), DataCentre: fleet.DataCentre(id[:1]), Address: n.address},
		Incarnation: uint64(time.Now().UnixMilli()), Seed: membership.Hash(id),
		Now: func() fleet.Instant { return time.Since(n.start) }, Config: n, Seeds: seeds, Log: zap.NewNop(),
		Hooks: peer.Hooks{
			Schedule: n.schedule, TakePeerUpdate: n.takePeerUpdate, SetPolled: func([]fleet.UpstreamID) {}, WatchConfig: func(bool) {},
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			now := func() fault { return nw.fault(id, address) }
			if now().cut {
				return nil, errCut
			}
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return faultyConn{conn, now}, err
		},
	})
	ctx, n.stop = context.WithCancel(ctx)
	go func() { _ = n.Serve(listener) }()
	go n.Run(ctx)
	return n
}

// kill stops a node without announcing it to the peers.
func (n *testNode) kill() {
	n.stop()
	_ = n.listener.Close()
}

// eventually waits for a condition, for up to limit and a second, and returns
// how long it took.
func eventually(limit time.Duration, done func() bool) time.Duration {
	begin := time.Now()
	for !done() && time.Since(begin) < limit+time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

// fleetOf starts nodes that join through the first one. Version 1 is in force
// at the first one only.
func (nw *network) fleetOf(ctx context.Context, t *testing.T, ids ...string) []*testNode {
	first := nw.start(ctx, t, ids[0])
	_ = first.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: "one"})
	nodes := []*testNode{first}
	for _, id := range ids[1:] {
		nodes = append(nodes, nw.start(ctx, t, id, first.address))
	}
	took := eventually(5*time.Second, func() bool {
		for _, n := range nodes {
			if n.Record().Version != 1 || len(n.Instances()) != len(ids)-1 || !allLive(n) {
				return false
			}
		}
		return true
	})
	if took >= 5*time.Second {
		t.Errorf("the instances %v did not find each other", ids)
	}
	// Work that an instance does before its session with a peer is open is not
	// pushed to that peer.
	time.Sleep(time.Second)
	return nodes
}

func allLive(n *testNode) bool {
	for _, i := range n.Instances() {
		if i.Status != membership.InstanceLive {
			return false
		}
	}
	return true
}

// TestPeerFaults guards against a broken link that keeps a leaving mark from an
// instance, and against service lost or counted twice over broken links.
func TestPeerFaults(t *testing.T) {
	type setup func(nw *network, a1, a2, a3 *testNode)
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	for _, c := range []struct {
		name string
		set  setup
	}{
		{"no fault", func(*network, *testNode, *testNode, *testNode) {}},
		{"cut one way", func(nw *network, a1, a2, _ *testNode) { nw.set("a1", a2.address, fault{cut: true}) }},
		{"cut the other way", func(nw *network, a1, a2, _ *testNode) { nw.set("a2", a1.address, fault{cut: true}) }},
		{"cut both ways", func(nw *network, a1, a2, _ *testNode) {
			nw.set("a1", a2.address, fault{cut: true})
			nw.set("a2", a1.address, fault{cut: true})
		}},
		{"delayed", func(nw *network, a1, a2, a3 *testNode) {
			nw.set("a1", a2.address, fault{delay: 400 * time.Millisecond})
			nw.set("a1", a3.address, fault{delay: 400 * time.Millisecond})
		}},
		{"delayed beyond the deadline", func(nw *network, a1, a2, _ *testNode) {
			nw.set("a1", a2.address, fault{delay: 1200 * time.Millisecond})
		}},
		{"answers are lost", func(nw *network, a1, a2, a3 *testNode) {
			nw.set("a1", a2.address, fault{loseAnswer: true})
			nw.set("a1", a3.address, fault{loseAnswer: true})
		}},
	} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			out := withFaults(t, c.set)
			mu.Lock()
			defer mu.Unlock()
			outcomes[c.name] = out
		}()
	}
	wait.Wait()
	for name, out := range outcomes {
		Convey("With three instances and: "+name, t, func() {
			So(out.marked, ShouldBeLessThan, maxMarkDelay)
			So(out.counted, ShouldResemble, [2]float64{7, 7})
		})
	}
}

// outcome is what two peers received from a third.
type outcome struct {
	marked  time.Duration
	counted [2]float64
}

func withFaults(t *testing.T, set func(nw *network, a1, a2, a3 *testNode)) (out outcome) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	nw := &network{faults: map[[2]string]fault{}}
	nodes := nw.fleetOf(ctx, t, "a1", "a2", "a3")
	set(nw, nodes[0], nodes[1], nodes[2])
	nodes[0].serve(3)
	time.Sleep(1500 * time.Millisecond)
	nodes[0].serve(4)
	nodes[0].ApplyMembership(membership.MarkReceived{Mark: membership.Mark{Upstream: "engine-1"}})
	// An upstream that is not polled or reported on has no state until its
	// first report.
	for _, n := range nodes {
		n.ApplyMembership(membership.Polled{Load: sched.LoadReport{Upstream: "engine-1", Incarnation: "x"}})
	}
	out.marked = eventually(maxMarkDelay, func() bool { return nodes[1].knowsLeaving() && nodes[2].knowsLeaving() })
	for _, n := range nodes {
		nw.set("a1", n.address, fault{})
		nw.set("a2", n.address, fault{})
	}
	eventually(5*time.Second, func() bool { return nodes[1].counted() >= 7 && nodes[2].counted() >= 7 })
	time.Sleep(1500 * time.Millisecond)
	out.counted = [2]float64{nodes[1].counted(), nodes[2].counted()}
	return out
}

// TestRestartedPeer guards against an instance that cannot return under its ID,
// and against its earlier service being counted again.
func TestRestartedPeer(t *testing.T) {
	Convey("With three instances of which one is killed and started again", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		nw := &network{faults: map[[2]string]fault{}}
		nodes := nw.fleetOf(ctx, t, "a1", "a2", "a3")
		nodes[2].serve(5)
		eventually(3*time.Second, func() bool { return nodes[0].counted() == 5 && nodes[1].counted() == 5 })
		nodes[2].kill()
		again := nw.start(ctx, t, "a3", nodes[0].address)
		eventually(5*time.Second, func() bool { return again.Record().Version == 1 && allLive(again) && len(again.Instances()) == 2 })
		again.serve(2)
		eventually(5*time.Second, func() bool { return nodes[0].counted() >= 7 && nodes[1].counted() >= 7 })
		time.Sleep(1200 * time.Millisecond)
		So(nodes[0].counted(), ShouldEqual, 7)
		So(nodes[1].counted(), ShouldEqual, 7)
		So(again.counted(), ShouldEqual, 0)
	})
}

// TestVersionsOnlyRise guards against a peer's older configuration coming into
// force, and against a newer one that does not reach the other instances.
func TestVersionsOnlyRise(t *testing.T) {
	Convey("With two data centres cut from each other while both get new versions", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		nw := &network{faults: map[[2]string]fault{}}
		nodes := nw.fleetOf(ctx, t, "a1", "a2", "b1")
		for _, n := range nodes[:2] {
			nw.set(n.id, nodes[2].address, fault{cut: true})
			nw.set("b1", n.address, fault{cut: true})
		}
		So(nodes[1].Offer(config.Record{Stamp: config.Stamp{Version: 3}, Text: "three"}), ShouldBeNil)
		So(nodes[2].Offer(config.Record{Stamp: config.Stamp{Version: 2}, Text: "two"}), ShouldBeNil)
		So(eventually(3*time.Second, func() bool { return nodes[0].Record().Version == 3 }), ShouldBeLessThan, 3*time.Second)
		So(nodes[2].Record().Version, ShouldEqual, 2)
		nw.set("a1", nodes[2].address, fault{})
		nw.set("a2", nodes[2].address, fault{})
		nw.set("b1", nodes[0].address, fault{})
		nw.set("b1", nodes[1].address, fault{})
		So(eventually(10*time.Second, func() bool { return nodes[2].Record().Version == 3 }), ShouldBeLessThan, 10*time.Second)
		So(nodes[2].Record().Text, ShouldEqual, "three")
		So(nodes[0].Record().Version, ShouldEqual, 3)
	})
}

// TestHostilePeer guards against a peer that crashes the instance with
// oversized or malformed messages.
func TestHostilePeer(t *testing.T) {
	Convey("With an instance", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		n := (&network{faults: map[[2]string]fault{}}).start(ctx, t, "a1")
		So(n.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: "one"}), ShouldBeNil)
		Convey("invalid bytes close the connection", func() {
			conn, err := net.Dial("tcp", n.address)
			So(err, ShouldBeNil)
			_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1<<16))
			So(conn.SetReadDeadline(time.Now().Add(2*time.Second)), ShouldBeNil)
			_, err = conn.Read(make([]byte, 1))
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeFalse)
		})
		Convey("a message beyond the limit is not read", func() {
			client, err := rpc.Dial("tcp", n.address)
			So(err, ShouldBeNil)
			var out peer.Delta
			err = client.Call("Exchange.Push", peer.Delta{Payload: make([]byte, 4<<20)}, &out)
			So(err, ShouldNotBeNil)
		})
		Convey("a malformed payload is rejected and the connection stays open", func() {
			client, err := rpc.Dial("tcp", n.address)
			So(err, ShouldBeNil)
			var out peer.Delta
			So(client.Call("Exchange.Push", peer.Delta{Payload: []byte("nonsense")}, &out), ShouldNotBeNil)
			var reply peer.ConfigReply
			So(client.Call("Exchange.Config", peer.ConfigArgs{}, &reply), ShouldBeNil)
			So(reply.Version, ShouldEqual, 1)
		})
	})
}

// TestConfigDifference guards against every change transferring the whole
// declaration to each daemon, and against a difference that is applied to the
// wrong text.
func TestConfigDifference(t *testing.T) {
	Convey("With the declaration of the designed size in force", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		n := (&network{faults: map[[2]string]fault{}}).start(ctx, t, "a1")
		var text strings.Builder
		for i := range 1300 {
			fmt.Fprintf(&text, "[member team-%04d]\nshare = 1\nkey_sha256 = %s\nkinds = ledger, lookup\n\n", i, declare.HashKey(fmt.Sprint(i)))
		}
		first := text.String()
		second := strings.Replace(first, "[member team-0700]\nshare = 1", "[member team-0700]\nshare = 2.5", 1)
		So(n.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: first}), ShouldBeNil)
		So(n.Offer(config.Record{Stamp: config.Stamp{Version: 2}, Text: second}), ShouldBeNil)
		ask := func(in peer.ConfigArgs) peer.ConfigReply {
			client, err := rpc.Dial("tcp", n.address)
			So(err, ShouldBeNil)
			defer func() { _ = client.Close() }()
			var out peer.ConfigReply
			So(client.Call("Exchange.Config", in, &out), ShouldBeNil)
			return out
		}
		difference := ask(peer.ConfigArgs{Have: 1, Digest: membership.Hash(first)})
		So(len(difference.Middle), ShouldBeLessThan, 100)
		whole := ask(peer.ConfigArgs{})
		other := ask(peer.ConfigArgs{Have: 1, Digest: membership.Hash("another text")})
		So(other.Prefix+other.Suffix, ShouldEqual, 0)
		Printf("declaration %d bytes, packed %d, difference %d", len(second), len(whole.Middle), len(difference.Middle))
	})
}

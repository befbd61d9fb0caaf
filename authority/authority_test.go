package authority_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/standin/engine"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/upstream"
)

var times = authority.Times{
	LeaseTTL: time.Second, LeaseMargin: 200 * time.Millisecond, LeaseRetryInterval: 20 * time.Millisecond, LeasePollInterval: 50 * time.Millisecond,
	PollInterval: 10 * time.Millisecond, IdlePollInterval: 30 * time.Millisecond, DrainLimit: time.Second,
	MaxDeliveryDelay: 300 * time.Millisecond, Backoff: 20 * time.Millisecond, Tick: 5 * time.Millisecond,
}

// traffic is one instance's requests at the engine.
type traffic struct {
	mu       sync.Mutex
	leaving  bool
	inFlight int
}

func (c *traffic) SetLeaving(_ fleet.UpstreamID, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
}

func (c *traffic) InFlight(fleet.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *traffic) setInFlight(inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = inFlight
}

func (c *traffic) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// peers connects the instances' drains by net/rpc over in-memory connections.
type peers struct {
	mu     sync.Mutex
	drains map[string]*authority.LocalDrain
}

func (p *peers) call(_ context.Context, peer store.InstanceInfo, method string, args, reply any) error {
	p.mu.Lock()
	local := p.drains[peer.ID]
	p.mu.Unlock()
	if local == nil {
		return errors.Errorf("instance %s cannot be reached", peer.ID)
	}
	server := rpc.NewServer()
	if err := local.Register(server); err != nil {
		return err
	}
	here, there := net.Pipe()
	go server.ServeConn(there)
	client := rpc.NewClient(here)
	defer func() { _ = client.Close() }()
	return client.Call(method, args, reply)
}

// testbed is one engine, one store and the instances that give it orders.
type testbed struct {
	service *standin.Server
	store   store.Store
	engine  *engine.Server
	address string
	// otherTraffic is the traffic of instance c, which gives no orders.
	otherTraffic *traffic
	peers        *peers
	fencing      bool
	stops        []func()
}

func newTestbed(fencing bool, change time.Duration) *testbed {
	b := &testbed{service: standin.New(), otherTraffic: &traffic{}, fencing: fencing}
	b.peers = &peers{drains: map[string]*authority.LocalDrain{
		"a": authority.NewLocalDrain(&traffic{}), "b": authority.NewLocalDrain(&traffic{}),
		"c": authority.NewLocalDrain(b.otherTraffic),
	}}
	b.list("a", "b", "c")
	kv := httptest.NewServer(b.service.Handler())
	b.store = store.NewClient(kv.URL, kv.Client())
	b.engine = engine.New(engine.Config{Incarnation: "e1", Orders: &engine.Orders{
		Model: "m", IgnoresFencing: !fencing, ChangeTime: change,
	}})
	server := httptest.NewUnstartedServer(b.engine.Handler())
	server.Config.ConnContext = b.engine.ConnContext
	server.Start()
	b.address = strings.TrimPrefix(server.URL, "http://")
	b.stops = append(b.stops, server.Close, kv.Close)
	return b
}

func (b *testbed) close() {
	for _, stop := range b.stops {
		stop()
	}
}

func (b *testbed) list(names ...string) {
	var list []store.InstanceInfo
	for _, n := range names {
		list = append(list, store.InstanceInfo{ID: n})
	}
	b.service.SetInstances(list)
}

// start runs an instance and returns it with a function that stops it.
func (b *testbed) start(name string, store store.Store) (*authority.Authority, func()) {
	a := authority.New(authority.Options{
		Store: store, Instance: fleet.InstanceID(name), DataCentre: "d", Start: name + "-1",
		Engines: upstream.NewEngineClient(upstream.NewTransport()), Times: times, Log: zap.NewNop(),
		Drains: authority.NewFleetDrains(b.peers.drains[name], fleet.InstanceID(name), store, b.peers.call),
	})
	a.Configure(declare.NewIndex(1, &declare.Declaration{
		Groups:    []declare.Group{{Name: "g", Type: declare.GroupEngine, ChecksFencing: b.fencing, Model: "m"}},
		Upstreams: []declare.Upstream{{ID: "u", Group: "g", Address: b.address, DataCentre: "d"}},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	b.stops = append([]func(){stop}, b.stops...)
	return a, stop
}

func eventually(what string, condition func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			panic("not reached: " + what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *testbed) role() string { return b.engine.State().Role }

func (b *testbed) record() order.Record {
	entry, err := b.store.Get(context.Background(), "order/u")
	if err != nil {
		return order.Record{}
	}
	var r order.Record
	So(json.Unmarshal(entry.Value, &r), ShouldBeNil)
	return r
}

// TestOrders checks the interface to engines: each fault must end in the
// desired state, without interrupting a request or executing an order other
// than the recorded ones.
func TestOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		Convey(fmt.Sprintf("With an engine that checks numbers: %v", fencing), t, func() {
			b := newTestbed(fencing, 60*time.Millisecond)
			Reset(b.close)

			Convey("a change of role is carried out once and the engine returns to service", func() {
				a, _ := b.start("a", b.store)
				a.SetRole("u", fleet.RoleDecode)
				eventually("role", func() bool { return b.role() == "decode" })
				eventually("mark lifted", func() bool { return !b.otherTraffic.isLeaving() && !b.record().Open() })
				So(b.engine.StartedOrders(), ShouldHaveLength, 1)
				So(b.record().Attempts, ShouldBeEmpty)
			})
			Convey("a lost answer is settled by reading the engine's state", func() {
				b.engine.SetLoseAnswers(true)
				a, _ := b.start("a", b.store)
				a.SetRole("u", fleet.RoleDecode)
				eventually("role", func() bool { return b.role() == "decode" })
				eventually("settled", func() bool { return !b.record().Open() && len(b.record().Attempts) == 0 })
				So(b.engine.StartedOrders(), ShouldHaveLength, 1)
			})
			for _, applied := range []bool{true, false} {
				Convey(fmt.Sprintf("a crash halfway, change applied %v, ends in the desired state", applied), func() {
					a, _ := b.start("a", b.store)
					a.SetRole("u", fleet.RoleDecode)
					eventually("started", func() bool { return len(b.engine.StartedOrders()) == 1 })
					b.engine.Crash(applied)
					eventually("role", func() bool { return b.role() == "decode" && !b.record().Open() && !b.otherTraffic.isLeaving() })
				})
			}
			Convey("a drain that another instance does not acknowledge is undone", func() {
				b.otherTraffic.setInFlight(1)
				a, _ := b.start("a", b.store)
				a.SetRole("u", fleet.RoleDecode)
				eventually("drained", b.otherTraffic.isLeaving)
				eventually("undone", func() bool { return b.record().Phase == order.PhaseUndone && !b.otherTraffic.isLeaving() })
				So(b.engine.StartedOrders(), ShouldBeEmpty)
				b.otherTraffic.setInFlight(0)
				eventually("role", func() bool { return b.role() == "decode" })
			})
			Convey("an outage of the platform holds the order back until it is over", func() {
				a, _ := b.start("a", b.store)
				eventually("holder", func() bool { term, _ := a.Status(); return term.Fence > 0 })
				b.service.SetFaults(standin.Faults{Down: true})
				time.Sleep(times.LeaseTTL)
				a.SetRole("u", fleet.RoleDecode)
				time.Sleep(100 * time.Millisecond)
				So(b.engine.StartedOrders(), ShouldBeEmpty)
				b.service.SetFaults(standin.Faults{})
				eventually("role", func() bool { return b.role() == "decode" })
			})
			Convey("a second instance takes over when the first one stops", func() {
				first, stop := b.start("a", b.store)
				eventually("first", func() bool { term, _ := first.Status(); return term.Fence == 1 })
				second, _ := b.start("b", b.store)
				stop()
				eventually("second", func() bool { term, _ := second.Status(); return term.Fence == 2 })
				second.SetRole("u", fleet.RolePrefill)
				eventually("role", func() bool { return b.role() == "prefill" })
			})
		})
	}
}

// partitionedStore is a store whose writes and lease renewals fail while its
// instance is partitioned from the platform. The partition begins when the
// first order is recorded as sending and ends for good with heal.
type partitionedStore struct {
	store.Store
	mu          sync.Mutex
	partitioned bool
	healed      bool
	resumeSend  chan struct{} // if set, the sender waits for it before it sends
}

func (c *partitionedStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (store.Entry, error) {
	c.mu.Lock()
	failing := c.partitioned
	sending := strings.Contains(string(value), `"phase":"sending","order"`) && !failing && !c.healed
	c.partitioned = failing || sending // the partition begins once the order may be sent
	c.mu.Unlock()
	if failing {
		return store.Entry{}, store.ErrUnavailable
	}
	entry, err := c.Store.CompareAndSwap(ctx, key, revision, value, leaseID)
	if sending && c.resumeSend != nil {
		<-c.resumeSend
	}
	return entry, err
}

func (c *partitionedStore) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned, c.healed = false, true
	close(c.resumeSend)
}

func (c *partitionedStore) RenewLease(ctx context.Context, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned {
		return store.ErrUnavailable
	}
	return c.Store.RenewLease(ctx, id)
}

// TestTakeover guards against giving a different order after a takeover while
// the earlier sender may still send, with an engine that ignores fencing
// numbers.
func TestTakeover(t *testing.T) {
	Convey("With a holder that loses the platform after it may have sent", t, func() {
		b := newTestbed(false, 20*time.Millisecond)
		Reset(b.close)
		partitioned := &partitionedStore{Store: b.store}
		first, _ := b.start("a", partitioned)
		first.SetRole("u", fleet.RoleDecode)
		eventually("executed", func() bool { return b.role() == "decode" })
		second, _ := b.start("b", b.store)
		second.SetRole("u", fleet.RolePrefill)
		eventually("takeover", func() bool { term, _ := second.Status(); return term.Fence == 2 })
		eventually("settled", func() bool { return b.record().Phase == order.PhaseSettled })

		Convey("the successor gives no other order until the platform has confirmed its end", func() {
			time.Sleep(300 * time.Millisecond)
			So(b.engine.StartedOrders(), ShouldHaveLength, 1)
			_, status := second.Status()
			So(status[0].BlockedBy, ShouldHaveLength, 1)
			b.list("b", "c")
			eventually("role", func() bool { return b.role() == "prefill" })
		})
	})
}

// TestFrozenSender guards against an order of a holder that freezes between
// writing the record and sending the order, and against a successor that waits
// for it forever.
func TestFrozenSender(t *testing.T) {
	Convey("With a holder that freezes before it sends to an engine that ignores numbers", t, func() {
		b := newTestbed(false, 20*time.Millisecond)
		Reset(b.close)
		frozen := &partitionedStore{Store: b.store, resumeSend: make(chan struct{})}
		first, _ := b.start("a", frozen)
		first.SetRole("u", fleet.RoleDecode)
		eventually("recorded", func() bool { return b.record().Phase == order.PhaseSending })
		second, _ := b.start("b", b.store)
		second.SetRole("u", fleet.RolePrefill)
		eventually("same order repeated", func() bool { return b.role() == "decode" && !b.record().Open() })
		time.Sleep(200 * time.Millisecond)
		So(b.engine.StartedOrders(), ShouldHaveLength, 1)

		frozen.heal()
		eventually("role", func() bool { return b.role() == "prefill" && !b.record().Open() })
		time.Sleep(200 * time.Millisecond)
		So(b.engine.StartedOrders(), ShouldHaveLength, 2)
		So(b.role(), ShouldEqual, "prefill")
	})
}

package scaling

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/duty/dutytest"
)

// fakeHolder holds a duty as long as fence is not 0.
type fakeHolder struct {
	fence    int64
	refused  []int64
	resigned []int64
}

func (h *fakeHolder) Term() (duty.Term, bool)         { return duty.Term{Fence: h.fence}, h.fence > 0 }
func (h *fakeHolder) Call(t duty.Term) duty.Call      { return duty.Call{Holder: "i", Fence: t.Fence} }
func (h *fakeHolder) Refused(fence int64)             { h.refused, h.fence = append(h.refused, fence), 0 }
func (h *fakeHolder) Resign(f int64, _ time.Duration) { h.resigned, h.fence = append(h.resigned, f), 0 }

// fakeCloud is the platform's API and the servers that it starts and ends.
type fakeCloud struct {
	mu sync.Mutex
	// answer returns the error of an order and whether it is executed; nil means
	// that all are.
	answer func(duty.Call, duty.ServerOrder) (err error, execute bool)
	orders []duty.ServerOrder
	fences []int64
	// stored returns the record in the store at the time of each order.
	stored  func() record
	unknown []duty.ServerOrder
	servers map[duty.ServerOrder]int
	// connect is the time that all calls but the first take to open a connection.
	connect time.Duration
	opening atomic.Int64
}

// OrderServers implements Cloud.
func (c *fakeCloud) OrderServers(_ context.Context, by duty.Call, o duty.ServerOrder) error {
	if c.opening.Add(1) > 1 {
		time.Sleep(c.connect)
	}
	if by.Check != nil {
		if err := by.Check(); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders, c.fences = append(c.orders, o), append(c.fences, by.Fence)
	if !c.written(o) {
		c.unknown = append(c.unknown, o)
	}
	var err error
	execute := true
	if c.answer != nil {
		err, execute = c.answer(by, o)
	}
	if execute {
		c.servers[duty.ServerOrder{Service: o.Service, DataCentre: o.DataCentre, Spot: o.Spot}] = o.Servers
	}
	return err
}

// written reports whether the store has the order.
func (c *fakeCloud) written(o duty.ServerOrder) bool {
	for _, w := range c.stored().Orders {
		if w.DataCentre == o.DataCentre && w.Spot == o.Spot {
			return w.Servers == o.Servers
		}
	}
	return false
}

func (c *fakeCloud) count(dc fleet.DataCentre, spot bool) int {
	return c.servers[duty.ServerOrder{Service: "llm", DataCentre: dc, Spot: spot}]
}

// Engines implements Servers. Servers serve as soon as they are ordered.
func (c *fakeCloud) Engines(*routes.Service) []placement.EngineState {
	var out []placement.EngineState
	for o, n := range c.servers {
		for range n {
			out = append(out, placement.EngineState{Server: placement.Server{DataCentre: o.DataCentre, Spot: o.Spot}})
		}
	}
	return out
}

// Load implements Servers.
func (c *fakeCloud) Load(*routes.Service) placement.ServiceLoad { return placement.ServiceLoad{} }

type fakeObserver map[string]int

func (o fakeObserver) ServersOrdered(result string)                                { o[result]++ }
func (o fakeObserver) FleetSize(fleet.GroupName, fleet.DataCentre, bool, int, int) {}
func (o fakeObserver) NoFleetSize()                                                {}

// fixture is an executor in virtual time.
type fixture struct {
	now      fleet.Instant
	store    *dutytest.Store
	cloud    *fakeCloud
	holder   *fakeHolder
	executor *Executor
	observed fakeObserver
	current  bool
}

const testKey, testFenceKey = KeyPrefix + "llm", "bramleywick/duties/autoscaling/fence"

func newFixture() *fixture {
	f := &fixture{now: time.Hour, holder: &fakeHolder{fence: 1}, observed: fakeObserver{}, current: true}
	f.store = dutytest.NewStore(func() fleet.Instant { return f.now })
	f.cloud = &fakeCloud{servers: map[duty.ServerOrder]int{}, stored: func() record {
		var out record
		if entry, err := f.store.Get(context.Background(), testKey); err == nil {
			_ = json.Unmarshal(entry.Value, &out)
		}
		return out
	}}
	for _, dc := range []fleet.DataCentre{"a", "b", "c"} {
		f.cloud.servers[duty.ServerOrder{Service: "llm", DataCentre: dc}] = 4
	}
	f.succeed(f.holder)
	return f
}

// succeed replaces the executor by that of another process.
func (f *fixture) succeed(h *fakeHolder) {
	table := routes.Compile(routes.Configuration{Version: 1, Services: []routes.Service{
		{Name: "llm", Engine: &routes.Engine{Slots: 8}, Scaling: &routes.Scaling{Min: 1, Max: 10, BootTime: 4 * time.Second, SpotPrice: 0.22}},
		{Name: "fixed", Engine: &routes.Engine{Slots: 8}},
	}})
	f.holder = h
	f.executor = New(Options{
		Holder: h, FenceKey: testFenceKey, Store: f.store, Cloud: f.cloud, Servers: f.cloud, Observer: f.observed, Log: zap.NewNop(),
		Table: func() *routes.Table { return table }, Current: func() bool { return f.current }, OthersMayHold: func() bool { return true },
	})
	f.executor.now = func() fleet.Instant { return f.now }
	f.executor.sleep = func(context.Context, time.Duration) {}
}

func (f *fixture) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += stepInterval
		f.executor.step(context.Background())
	}
}

func (f *fixture) setFence(n int64) {
	raw, _ := json.Marshal(lease.Fence{Number: n})
	_, err := f.store.CompareAndSwap(context.Background(), testFenceKey, 0, raw, "")
	So(err, ShouldBeNil)
}

func (f *fixture) regular() int {
	return f.cloud.count("a", false) + f.cloud.count("b", false) + f.cloud.count("c", false)
}

func (f *fixture) spot() int {
	return f.cloud.count("a", true) + f.cloud.count("b", true) + f.cloud.count("c", true)
}

// TestExecutor guards against orders that are sent without the duty, that a
// successor does not know, or that are lost when the API, the store or the holder
// fails.
func TestExecutor(t *testing.T) {
	Convey("Given a service with regular servers", t, func() {
		f := newFixture()
		Convey("they are replaced, each order is in the store before it is sent, and then nothing is ordered", func() {
			f.run(10 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.spot(), ShouldEqual, 18)
			So(f.cloud.unknown, ShouldBeEmpty)
			sent := len(f.cloud.orders)
			So(sent, ShouldEqual, 6)
			f.run(time.Minute)
			So(len(f.cloud.orders), ShouldEqual, sent)
		})
		Convey("nothing is ordered without the duty", func() {
			f.holder.fence = 0
			f.run(10 * time.Second)
			So(f.cloud.orders, ShouldBeEmpty)
		})
		Convey("while the store is down nothing is sent, and the replacement follows", func() {
			f.run(time.Second)
			f.store.Down = true
			f.run(10 * time.Second)
			So(f.cloud.orders, ShouldBeEmpty)
			f.store.Down = false
			f.run(20 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.cloud.unknown, ShouldBeEmpty)
		})
		Convey("a write whose answer is lost is read back before anything is sent", func() {
			f.store.LoseAnswers = true
			f.run(3 * time.Second)
			f.store.LoseAnswers = false
			f.run(30 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.spot(), ShouldEqual, 18)
			So(f.cloud.unknown, ShouldBeEmpty)
		})
		Convey("while the list of servers is outdated none are given up", func() {
			f.run(2 * time.Second)
			f.current = false
			f.run(20 * time.Second)
			So(f.regular(), ShouldEqual, 12)
		})
		Convey("a 409 for lack of servers is retried and doesn't end the duty", func() {
			f.setFence(1)
			until := f.now + 8*time.Second
			f.cloud.answer = func(_ duty.Call, o duty.ServerOrder) (error, bool) {
				if o.Spot && f.now < until {
					return duty.ErrRefused, false
				}
				return nil, true
			}
			f.run(8 * time.Second)
			So(f.regular(), ShouldEqual, 12)
			So(f.observed["unavailable"], ShouldBeBetween, 2, 13)
			f.run(12 * time.Second)
			So(f.holder.refused, ShouldBeEmpty)
			So(f.regular(), ShouldEqual, 0)
		})
		Convey("a 409 because of a higher number ends the duty, and no further call is made", func() {
			f.setFence(2)
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) { return duty.ErrRefused, false }
			f.run(10 * time.Second)
			So(f.holder.refused, ShouldResemble, []int64{1})
			So(len(f.cloud.orders), ShouldBeLessThanOrEqualTo, ordersAtOnce)
		})
		Convey("a 409 because of a higher number stops the calls that are not written yet", func() {
			f.setFence(2)
			f.cloud.connect = 50 * time.Millisecond
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) { return duty.ErrRefused, false }
			f.run(10 * time.Second)
			So(f.holder.refused, ShouldResemble, []int64{1})
			So(len(f.cloud.orders), ShouldEqual, 1)
		})
		Convey("a 409 whose cause cannot be read is retried, and nothing is given up", func() {
			until := f.now + 6*time.Second
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) {
				f.store.Down = f.now < until
				return duty.ErrRefused, false
			}
			f.run(5 * time.Second)
			So(f.holder.refused, ShouldBeEmpty)
			So(f.observed["unavailable"], ShouldEqual, 0)
			So(f.regular(), ShouldEqual, 12)
		})
		Convey("orders that were rejected as too many are sent again", func() {
			n := 0
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) {
				n++
				if n%3 == 0 {
					return duty.ErrRateLimited, false
				}
				return nil, true
			}
			f.run(40 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.holder.resigned, ShouldBeEmpty)
		})
		Convey("orders without an answer are repeated until one is accepted", func() {
			n := 0
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) {
				n++
				if n <= 3 {
					return duty.ErrOutcomeUnknown, n%2 == 0
				}
				return nil, true
			}
			f.run(40 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.spot(), ShouldEqual, 18)
		})
		Convey("while the API cannot be reached nothing is given up, calls back off, and the duty goes to another instance", func() {
			f.cloud.answer = func(duty.Call, duty.ServerOrder) (error, bool) { return duty.ErrUnavailable, false }
			f.run(30 * time.Second)
			So(f.regular(), ShouldEqual, 12)
			So(f.holder.resigned, ShouldResemble, []int64{1})
			So(len(f.cloud.orders), ShouldBeLessThan, 20)
		})
		Convey("a successor continues from the stored orders under its own number", func() {
			f.run(2 * time.Second)
			So(f.spot(), ShouldEqual, 18)
			So(f.regular(), ShouldEqual, 12)
			f.succeed(&fakeHolder{fence: 2})
			f.run(10 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.spot(), ShouldEqual, 18)
			So(f.cloud.stored().Fence, ShouldEqual, 2)
			So(f.cloud.stored().Initial, ShouldResemble, map[fleet.DataCentre]int{"a": 4, "b": 4, "c": 4})
			So(f.cloud.unknown, ShouldBeEmpty)
		})
		Convey("a successor starts from the list if the stored orders cannot be read", func() {
			_, err := f.store.CompareAndSwap(context.Background(), testKey, 0, []byte(`{"orders":7}`), "")
			So(err, ShouldBeNil)
			f.run(10 * time.Second)
			So(f.regular(), ShouldEqual, 0)
			So(f.spot(), ShouldEqual, 18)
		})
		Convey("an earlier holder that resumes cannot replace the orders of its successor", func() {
			f.run(time.Second)
			old := f.executor
			f.run(time.Second)
			f.succeed(&fakeHolder{fence: 2})
			f.run(5 * time.Second)
			before := f.cloud.stored()
			state := old.services["llm"]
			state.stored.Fence = 0
			So(old.save(context.Background(), "llm", state), ShouldNotBeNil)
			So(f.cloud.stored(), ShouldResemble, before)
		})
	})
	Convey("Only services with bounds are scaled", t, func() {
		So(Needed(nil), ShouldBeFalse)
		So(Needed(routes.Compile(routes.Configuration{Services: []routes.Service{{Name: "s"}}})), ShouldBeFalse)
		So(Needed(routes.Compile(routes.Configuration{Services: []routes.Service{{Name: "s", Scaling: &routes.Scaling{}}}})), ShouldBeTrue)
	})
}

func TestPartitionedInstanceOrdersNoServers(t *testing.T) {
	Convey("An instance that is partitioned from all servers orders none and gives the duty up", t, func() {
		h := &fakeHolder{fence: 1}
		now, trusted := fleet.Instant(time.Minute), false
		e := New(Options{
			Holder: h, LinksTrusted: func() bool { return trusted }, OthersMayHold: func() bool { return true }, Observer: fakeObserver{}, Log: zap.NewNop(),
			Table: func() *routes.Table { panic("decides") },
		})
		e.now = func() fleet.Instant { return now }
		for range giveUpAfter / stepInterval {
			e.step(context.Background())
			now += stepInterval
		}
		So(h.resigned, ShouldBeEmpty)
		Convey("unless the links return before", func() {
			trusted = true
			So(e.trustsLinks(), ShouldBeTrue)
			trusted = false
			e.step(context.Background())
			So(h.resigned, ShouldBeEmpty)
		})
		Convey("after some seconds", func() {
			e.step(context.Background())
			So(h.resigned, ShouldResemble, []int64{1})
		})
	})
}

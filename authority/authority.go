// Package authority keeps a data centre's order lease and gives orders to its
// engines. It executes the commands of core/lease and core/order with timers,
// the platform's service and the engines' HTTP interface.
package authority

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/upstream"
)

// Mark asks instances to stop sending work to an engine, or to resume. An
// instance ignores a mark whose Fence is lower than the highest it has seen for
// the engine, so that a replaced holder cannot lift its successor's mark.
type Mark struct {
	Upstream fleet.UpstreamID
	Fence    int64
	On       bool
}

// Drains distributes marks to the instances.
type Drains interface {
	// Mark sends the mark to every instance. It returns an error if one of them
	// has not accepted it or has seen a newer one.
	Mark(ctx context.Context, m Mark) error
	// Acknowledged reports whether every instance that might send work to the
	// engine has acknowledged the mark and has nothing in flight there. An
	// instance that cannot be reached has not acknowledged.
	Acknowledged(ctx context.Context, m Mark) bool
}

// Times are the periods and time limits of an authority.
type Times struct {
	// LeaseTTL, LeaseMargin, LeaseRetryInterval and LeasePollInterval are
	// described in core/lease.
	LeaseTTL, LeaseMargin, LeaseRetryInterval, LeasePollInterval time.Duration
	// PollInterval, IdlePollInterval, DrainLimit, MaxDeliveryDelay and Backoff
	// are described in core/order.
	PollInterval, IdlePollInterval, DrainLimit, MaxDeliveryDelay, Backoff time.Duration
	// Tick is the period of the state machines' ticks.
	Tick time.Duration
}

// DefaultTimes are the times used in production.
var DefaultTimes = Times{
	LeaseTTL: 15 * time.Second,
	// A fifth of the lease covers clocks that differ in rate by far more than
	// the 500 parts per million of an unsynchronised clock.
	LeaseMargin:        3 * time.Second,
	LeaseRetryInterval: time.Second,
	// 390 instances that read every 5 s make 78 reads a second.
	LeasePollInterval: 5 * time.Second,
	PollInterval:      500 * time.Millisecond,
	// 71 engines read every 10 s cost the holder 7 short requests a second.
	IdlePollInterval: 10 * time.Second,
	DrainLimit:       2 * time.Minute,
	// Twice the assumed lifetime of a TCP segment, 60 s.
	MaxDeliveryDelay: 2 * time.Minute,
	Backoff:          30 * time.Second,
	Tick:             100 * time.Millisecond,
}

// Options are the dependencies and parameters of an authority.
type Options struct {
	Store      store.Store
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Start distinguishes this process from earlier ones of the instance.
	Start   string
	Engines *upstream.EngineClient
	Drains  Drains
	Times   Times
	// Observer may be nil.
	Observer Observer
	Log      *zap.Logger
}

// Observer receives what an authority does, for metrics.
type Observer interface {
	// SetLeaseFence receives the fencing number of the lease. 0 means not held.
	SetLeaseFence(fence int64)
	// OrderRecorded receives the phase of each order record written.
	OrderRecorded(p order.Phase)
}

// Authority competes for the order lease of a data centre and gives orders to
// its engines while it holds it. It is safe for concurrent use.
type Authority struct {
	Options
	clock   clock
	running sync.WaitGroup
	// absentSince is the time since which an instance has been missing from the
	// platform's list. Only watchGone uses it.
	absentSince map[fleet.InstanceID]fleet.Instant

	mu       sync.Mutex
	lease    *lease.Machine
	lastTerm lease.Term
	process  order.Process
	engines  map[fleet.UpstreamID]*engine
	index    *declare.Index
	// roles holds the planned roles.
	roles map[fleet.UpstreamID]fleet.Role
	// competing is set once this instance may compete for the lease. The state
	// machines are created only then, because they contain the process's
	// identity.
	competing bool
	// retired holds the state machines of engines whose address or fencing was
	// redeclared, or that were removed. They only withdraw their attempts.
	retired  []*engine
	stopping bool
}

// engine is one engine's state machine with its connections.
type engine struct {
	machine   *order.Engine
	id        fleet.UpstreamID
	address   string
	group     atomic.Pointer[declare.Group]
	fence     int64 // of the latest mark
	orderConn *upstream.OrderConn
	// stateConn is kept open for reads that no order follows: opening a
	// connection to each of 71 engines every 10 s costs the holder more than
	// the reads.
	stateConn *upstream.OrderConn
	retired   bool
}

// New returns an authority. Run starts it.
func New(o Options) *Authority {
	return &Authority{
		Options: o, clock: newClock(),
		process: order.Process{Instance: o.Instance, Start: o.Start},
		lease: lease.New(lease.Config{
			Instance: o.Instance, Process: o.Start,
			TTL: o.Times.LeaseTTL, Margin: o.Times.LeaseMargin, RetryInterval: o.Times.LeaseRetryInterval, PollInterval: o.Times.LeasePollInterval,
		}),
		engines:     map[fleet.UpstreamID]*engine{},
		roles:       map[fleet.UpstreamID]fleet.Role{},
		absentSince: map[fleet.InstanceID]fleet.Instant{},
	}
}

// Run competes for the lease and gives orders until ctx ends. Then it releases
// the lease, waits for the calls under way and records their answers.
func (a *Authority) Run(ctx context.Context) {
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		a.releasePredecessor(ctx)
	}()
	a.awaitListing(ctx)
	a.compete()
	ticker := time.NewTicker(a.Times.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		a.tick(calls)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	a.releaseLease(calls)
}

func (a *Authority) tick(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLease(ctx, lease.Tick{})
	for _, e := range a.engines {
		a.stepEngine(ctx, e, order.Tick{})
	}
	for _, e := range a.retired {
		a.stepEngine(ctx, e, order.Tick{})
	}
}

// compete lets this instance compete for the lease and creates the state
// machines of the engines declared so far.
func (a *Authority) compete() {
	a.mu.Lock()
	a.competing = true
	index := a.index
	a.mu.Unlock()
	if index != nil {
		a.Configure(index)
	}
}

// releaseLease ends the term. Each engine's state machine then removes this
// process from the attempts, unless the bytes of a Send without an answer may
// still arrive.
func (a *Authority) releaseLease(ctx context.Context) {
	a.mu.Lock()
	a.stepLease(ctx, lease.Release{})
	a.stopping = true
	a.mu.Unlock()
	a.running.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.engines {
		e.closeAll()
	}
}

// Configure takes the engines of this data centre from the declaration in
// force.
func (a *Authority) Configure(index *declare.Index) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	if !a.competing {
		return
	}
	for _, u := range index.Declaration.Upstreams {
		group := index.Group(u.Group)
		if u.DataCentre != a.DataCentre || group == nil || group.Type != declare.GroupEngine {
			continue
		}
		e := a.engines[u.ID]
		if e != nil && (e.address != u.Address || e.group.Load().ChecksFencing != group.ChecksFencing) {
			a.retire(e)
			e = nil
		}
		if e == nil {
			e = a.newEngine(u, group)
		}
		e.group.Store(group)
		a.setDesired(e, a.desired(u, group))
	}
	for id, e := range a.engines {
		if index.Upstream(id) == nil {
			a.retire(e)
		}
	}
}

// retire ends the term of an engine's state machine, which only withdraws its
// attempts from then on.
func (a *Authority) retire(e *engine) {
	e.retired = true
	e.machine.Revoke()
	a.retired = append(a.retired, e)
	delete(a.engines, e.id)
}

func (a *Authority) newEngine(u declare.Upstream, group *declare.Group) *engine {
	e := &engine{id: u.ID, address: u.Address}
	e.machine = order.New(order.Config{
		Self: a.process, Upstream: u.ID, ChecksFencing: group.ChecksFencing,
		PollInterval: a.Times.PollInterval, IdlePollInterval: a.Times.IdlePollInterval, DrainLimit: a.Times.DrainLimit,
		MaxDeliveryDelay: a.Times.MaxDeliveryDelay, Backoff: a.Times.Backoff,
	})
	e.machine.SetTerm(a.lastTerm)
	a.engines[u.ID] = e
	return e
}

// desired combines the declared model with the planned role. If roles are
// automatic, a holder that has not planned yet keeps the engine's role, so that
// a change of holder does not undo the previous holder's plan.
func (a *Authority) desired(u declare.Upstream, group *declare.Group) order.Desired {
	role, planned := a.roles[u.ID]
	if !planned {
		role = u.Role
	}
	return order.Desired{
		Model: group.Model, Adapter: group.Adapter, Version: group.ModelVersion,
		Role: role, KeepRole: !planned && !group.FixedRoles,
	}
}

// SetRole sets the planned role of an engine. It stays in force when the
// declaration changes.
func (a *Authority) SetRole(id fleet.UpstreamID, role fleet.Role) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roles[id] = role
	if e := a.engines[id]; e != nil && a.index != nil && a.index.Upstream(id) != nil {
		a.setDesired(e, a.desired(*a.index.Upstream(id), e.group.Load()))
	}
}

// SetDesired sets an engine's desired state directly.
func (a *Authority) SetDesired(id fleet.UpstreamID, d order.Desired) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.engines[id]; e != nil {
		a.setDesired(e, d)
	}
}

// setDesired sets the desired state; the next tick acts on it.
func (a *Authority) setDesired(e *engine, d order.Desired) {
	e.machine.SetDesired(&d)
}

// EngineStatus is the status of an engine's orders for operators.
type EngineStatus struct {
	Upstream fleet.UpstreamID
	order.Status
}

// HoldsLease reports whether this instance holds the order lease.
func (a *Authority) HoldsLease() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.Term().Fence > 0
}

// Status returns the present term and the status of the engines' orders as this
// instance knows them, sorted by upstream.
func (a *Authority) Status() (lease.Term, []EngineStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []EngineStatus
	for id, e := range a.engines {
		list = append(list, EngineStatus{Upstream: id, Status: e.machine.Status()})
	}
	slices.SortFunc(list, func(x, y EngineStatus) int {
		if x.Upstream < y.Upstream {
			return -1
		}
		return 1
	})
	return a.lease.Term(), list
}

// clock measures the time since the start of the process. It follows the wall
// clock if that is ahead, because the monotonic clock may stop while a computer
// is suspended. It never goes back.
type clock struct {
	start  time.Time
	wall   time.Time
	mu     *sync.Mutex
	latest *fleet.Instant
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, wall: now.Round(0), mu: &sync.Mutex{}, latest: new(fleet.Instant)}
}

func (c clock) now() fleet.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	*c.latest = max(*c.latest, now.Sub(c.start), now.Round(0).Sub(c.wall))
	return *c.latest
}

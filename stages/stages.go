// Package stages gives orders to engines that change their stage. One instance
// at a time holds the lease for orders in the platform's store; its fencing
// number goes with each order.
package stages

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/core/stageplan"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// tick is how often the lease and the plan are looked at.
	tick = 200 * time.Millisecond
	// settle is how long the list of engines has to be known before the first
	// order, so that engines that start together are all in it.
	settle = 1500 * time.Millisecond
	// announce is how long other instances have to learn that an engine is
	// about to be ordered; twice the interval of their exchange.
	announce = 250 * time.Millisecond
	// orderTimeout bounds a call to an engine.
	orderTimeout = time.Second
	// afterChange is the wait for the new stage to appear in the list.
	afterChange = 2500 * time.Millisecond
	// calmPause is the time between two changes once traffic runs.
	calmPause = 5 * time.Second
	// bootstrapTime is how long after the first listing all changes are made
	// at once, because no traffic is expected yet.
	bootstrapTime = 6 * time.Second
	// leaseMargin is taken off the lease on the own clock.
	leaseMargin = 600 * time.Millisecond
	leaseRetry  = 500 * time.Millisecond
	// HolderKey and FenceKey are the keys of the lease for orders.
	HolderKey = "bramleywick/orders/holder"
	FenceKey  = "bramleywick/orders/fence"
)

// Wire converts orders to the platform's calls.
type Wire interface {
	connpool.Decoder
	RequestHeaders(forward http.Header, s call.SendOptions) http.Header
}

// Documents encodes orders and decodes reports.
type Documents interface {
	ReportCall() (method, path string)
	Report(raw []byte) (listing.Report, error)
	OrderCall(stage fleet.Role, holder string, fence, orders int64) (method, path string, body []byte, err error)
}

// Engines is what the instance knows of the engines.
type Engines interface {
	Engines(service *routes.Service) []placement.Server
	// Hold keeps new requests of all instances from an engine.
	Hold(id fleet.UpstreamID, d time.Duration)
}

// Options are the parts that the orders need.
type Options struct {
	Instance  fleet.InstanceID
	Process   string
	Store     leaseholder.Store
	Wire      Wire
	Documents Documents
	Pool      *connpool.Pool
	Engines   Engines
	Table     func() *routes.Table
	// MayCompete tells whether the instance may compete for the lease now.
	MayCompete func() bool
	// LeaseTTL is the lease time; two holders never order within it.
	LeaseTTL time.Duration
	// Tolerance is how many engines the division may be off.
	Tolerance int
	Log       *zap.Logger
}

// Reconciler gives the orders of one instance while it holds the lease.
type Reconciler struct {
	Options
	machine *lease.Machine
	// mu guards refused, which orders that run side by side set.
	mu   sync.Mutex
	last lease.Term
	// from is the earliest time of an order under the present fencing number.
	from fleet.Instant
	// refused is the fencing number that an engine refused as stale.
	refused int64
	// busy are engines with an order under way, and until when.
	busy map[fleet.UpstreamID]fleet.Instant
	// listed is when engines were listed first.
	listed fleet.Instant
	next   fleet.Instant
}

// New returns orders that compete for the lease once they run.
func New(o Options) *Reconciler {
	return &Reconciler{Options: o, busy: map[fleet.UpstreamID]fleet.Instant{}, machine: lease.New(lease.Config{
		Instance: o.Instance, Process: o.Process, TTL: o.LeaseTTL, Margin: leaseMargin, RetryInterval: leaseRetry, PollInterval: o.LeaseTTL,
	})}
}

// now reads the clock that goes on while the machine is suspended, so that a
// lease that ended meanwhile is not taken for valid.
func now() fleet.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fleet.Instant(time.Now().UnixNano())
	}
	return fleet.Instant(ts.Nano())
}

// Run gives orders until the context ends, and then gives the lease back.
func (o *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			end, stop := context.WithTimeout(context.Background(), orderTimeout)
			o.step(end, lease.Release{})
			stop()
			return
		case <-ticker.C:
			if o.holds() || o.MayCompete() {
				o.step(ctx, lease.Tick{})
			}
			o.plan(ctx)
		}
	}
}

func (o *Reconciler) holds() bool { return o.machine.Term().Fence > 0 }

// step feeds the lease and carries out its commands, one after the other.
func (o *Reconciler) step(ctx context.Context, ev lease.Event) {
	pending := []lease.Event{ev}
	for len(pending) > 0 {
		o.machine.Step(now(), pending[0])
		pending = pending[1:]
		for _, c := range o.machine.Ready() {
			answer := leaseholder.Execute(ctx, o.Store, leaseholder.Keys{Holder: HolderKey, Fence: FenceKey}, c)
			if answer != nil {
				pending = append(pending, answer)
			}
		}
	}
	authority := o.machine.Term()
	if authority.Fence != o.last.Fence {
		o.Log.Info("lease for orders", zap.Int64("fence", authority.Fence))
		o.from = now()
		if authority.Fence > 1 {
			// The holder before may have sent an order just now.
			o.from += o.LeaseTTL
		}
	}
	o.last = authority
}

// plan gives the orders that the plan asks for.
func (o *Reconciler) plan(ctx context.Context) {
	table := o.Table()
	if table == nil {
		return
	}
	at := now()
	table.EachService(func(service *routes.Service) {
		if service.Engine == nil {
			return
		}
		engines := o.Engines.Engines(service)
		if len(engines) == 0 {
			return
		}
		if o.listed == 0 {
			o.listed = at
		}
		if at-o.listed < settle || at < o.from || at < o.next || o.last.Fence == o.refused || !o.last.Valid(at) {
			return
		}
		o.change(ctx, service, engines, at)
	})
}

// change orders what the plan asks for: everything at the start, later one
// engine at a time.
func (o *Reconciler) change(ctx context.Context, service *routes.Service, engines []placement.Server, at fleet.Instant) {
	bootstrap := at-o.listed < bootstrapTime && o.last.Fence == 1
	tolerance := o.Tolerance
	if bootstrap {
		tolerance = 0
	}
	plan := stageplan.For(service.Engine, tolerance)
	busy := false
	for _, until := range o.busy {
		busy = busy || at < until
	}
	if busy {
		return
	}
	changes := plan.Changes(engines)
	if len(changes) > 1 && !bootstrap {
		changes = changes[:1]
	}
	if len(changes) == 0 {
		return
	}
	out := service.Engine.SwitchTime + afterChange
	for _, c := range changes {
		o.busy[c.Server.ID] = at + out
		o.Engines.Hold(c.Server.ID, out)
	}
	if !bootstrap {
		o.next = at + calmPause + out
		time.Sleep(announce)
	}
	var all sync.WaitGroup
	for _, c := range changes {
		all.Add(1)
		go func() {
			defer all.Done()
			o.order(ctx, c)
		}()
	}
	all.Wait()
}

// order reads an engine's state and orders its change. An engine that has
// accepted an order in between refuses this one by its count of orders.
func (o *Reconciler) order(ctx context.Context, c stageplan.Change) {
	log := o.Log.With(zap.String("server", string(c.Server.ID)), zap.Stringer("stage", c.Stage), zap.Int64("fence", o.last.Fence))
	method, path := o.Documents.ReportCall()
	status, raw, err := o.call(ctx, c.Server, method, path, nil)
	if err != nil || status != http.StatusOK {
		log.Warn("engine's state not known; no order", zap.Int("status", status), logline.Error(err))
		return
	}
	report, err := o.Documents.Report(raw)
	if err != nil || report.Busy || report.Stage == c.Stage {
		log.Info("no order needed or possible", zap.Bool("busy", report.Busy), zap.Stringer("present", report.Stage), logline.Error(err))
		return
	}
	method, path, body, err := o.Documents.OrderCall(c.Stage, string(o.Instance), o.last.Fence, report.AcceptedOrders)
	if err != nil {
		log.Error("order not sent", logline.Error(err))
		return
	}
	if at := now(); !o.last.Valid(at) {
		log.Warn("order not sent: the lease has run out")
		return
	}
	status, _, err = o.call(ctx, c.Server, method, path, body)
	log.Info("order", zap.Int("status", status), zap.Int64("orders", report.AcceptedOrders), logline.Error(err))
	if status == http.StatusPreconditionFailed {
		o.mu.Lock()
		o.refused = o.last.Fence
		o.mu.Unlock()
	}
}

// maxReportBytes bounds an engine's answer.
const maxReportBytes = 1 << 20

func (o *Reconciler) call(ctx context.Context, s placement.Server, method, path string, body []byte) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	answer, err := o.Pool.Do(ctx, &connpool.Request{
		Address: s.Address, MaxConns: orderConnections, Method: method, URI: path, Host: s.Address,
		Header: o.Wire.RequestHeaders(header, call.SendOptions{Expect: s.ID, Priority: -1, Deadline: orderTimeout}), Body: body,
	}, o.Wire)
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	defer answer.Close()
	raw, err := io.ReadAll(io.LimitReader(answer, maxReportBytes))
	return answer.Status, raw, err
}

// orderConnections is how many connections to an engine an order may need.
const orderConnections = 16

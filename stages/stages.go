// Package stages orders engines to change their stage. One instance at a time
// holds the lease for orders in the platform's store; each order carries the
// lease's fencing number.
package stages

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/core/stageplan"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// stepInterval is the time between two checks of the plan.
	stepInterval = 200 * time.Millisecond
	// settleTime is the time from the last listing of a new engine until the
	// engines are divided by declared figures, so that all engines that start
	// together are divided together.
	settleTime = 1500 * time.Millisecond
	// announceTime is the time for other instances to learn that an engine is
	// held before an order: more than two intervals of their exchange.
	announceTime = 250 * time.Millisecond
	// orderTimeout bounds each call to an engine.
	orderTimeout = time.Second
	// relistTime is the time for the new stage to appear in the list of
	// servers.
	relistTime = 2500 * time.Millisecond
	// changeInterval is the time between the end of the changes of a plan and
	// the next plan while there is traffic, in which the effect is measured.
	changeInterval = 4 * time.Second
	// restoreInterval is the time between two plans that replace engines which
	// were lost, replaced or added.
	restoreInterval = time.Second
	// declaredDelay is the time after the first listing from which a holder that
	// took over may divide the engines by declared figures: the demand is
	// usually measured before.
	declaredDelay = 6 * time.Second
	// logInterval is the time between two logged plans without changes.
	logInterval = 10 * time.Second
	// HolderKey and FenceKey are the store keys of the lease for orders.
	HolderKey = "bramleywick/orders/holder"
	FenceKey  = "bramleywick/orders/fence"
)

// Wire encodes the headers of calls to engines.
type Wire interface {
	connpool.Decoder
	RequestHeaders(forward http.Header, s call.SendOptions) http.Header
}

// Documents encodes the requests for reports and orders, and decodes reports.
type Documents interface {
	ReportRequest() (method, path string)
	ParseReport(raw []byte) (listing.Report, error)
	// OrderRequest returns the request that changes an engine's stage; orders is
	// the number of orders that the engine must have accepted before this one.
	OrderRequest(stage fleet.Role, holder string, fence, orders int64) (method, path string, body []byte, err error)
}

// Engines gives access to the instance's state of the engines.
type Engines interface {
	Engines(service *routes.Service) []placement.EngineState
	// Load returns the demand for a service at all instances.
	Load(service *routes.Service) placement.ServiceLoad
	// Hold stops new requests of all instances to an engine for a duration.
	Hold(id fleet.UpstreamID, d time.Duration)
}

// Options holds the dependencies and parameters of a Reconciler.
type Options struct {
	Instance fleet.InstanceID
	// Process distinguishes successive processes of the instance.
	Process   string
	Store     leaseholder.Store
	Wire      Wire
	Documents Documents
	Pool      *connpool.Pool
	Engines   Engines
	// ServerLeaves is called when an engine's process says that it leaves; it may
	// be nil.
	ServerLeaves func(fleet.Process)
	// Table returns the configuration in force, or nil before the first one.
	Table func() *routes.Table
	// MayCompete reports whether the instance may compete for the lease now.
	MayCompete func() bool
	// LeaseTTL is the lease duration; a new holder gives no order until its
	// predecessor's lease has expired.
	LeaseTTL time.Duration
	Log      *zap.Logger
}

// Reconciler orders stage changes until the engines match the plan, while this
// instance holds the lease.
type Reconciler struct {
	Options
	holder *duty.Holder
	// term is the term in which the present orders are given.
	term duty.Term
	// ordered maps engines to the change that is in progress there.
	ordered map[fleet.UpstreamID]orderedChange
	// services holds the state of each service with engines.
	services map[fleet.GroupName]*serviceState
}

// serviceState is what the holder keeps about a service's engines.
type serviceState struct {
	// listedAt is when engines were first listed, grownAt when a new one was
	// last listed, and listed their number.
	listedAt, grownAt fleet.Instant
	listed            int
	// decodeShare is the share of decode engines that the last plan with measured
	// demand led to, or the declared one; 0 before the first plan.
	decodeShare float64
	// nextChange is the earliest time of the next change, and loggedAt the time
	// of the last logged plan.
	nextChange, loggedAt fleet.Instant
}

// orderedChange is a change that counts as in progress until a time.
type orderedChange struct {
	stage fleet.Role
	until fleet.Instant
}

// New returns a Reconciler that competes for the lease once it runs.
func New(o Options) *Reconciler {
	return &Reconciler{Options: o, ordered: map[fleet.UpstreamID]orderedChange{}, services: map[fleet.GroupName]*serviceState{}, holder: duty.NewHolder(duty.Options{
		Duty: "orders", Instance: o.Instance, Process: o.Process, Store: o.Store, Keys: leaseholder.Keys{Holder: HolderKey, Fence: FenceKey},
		TTL: o.LeaseTTL, MayCompete: o.MayCompete, Log: o.Log,
	})}
}

// Run gives orders until the context ends, and then releases the lease.
func (r *Reconciler) Run(ctx context.Context) {
	holding, release := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		r.holder.Run(holding)
	}()
	defer running.Wait()
	defer release()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reconcile(ctx)
		}
	}
}

// reconcile gives the orders that the plan requires, for each service with
// engines.
func (r *Reconciler) reconcile(ctx context.Context) {
	table := r.Table()
	if table == nil {
		return
	}
	at := boottime.Now()
	var holds bool
	r.term, holds = r.holder.Term()
	table.EachService(func(service *routes.Service) {
		if service.Engine == nil {
			return
		}
		engines := r.Engines.Engines(service)
		if len(engines) == 0 {
			return
		}
		state := r.services[service.Name]
		if state == nil {
			state = &serviceState{listedAt: at}
			r.services[service.Name] = state
		}
		if len(engines) > state.listed {
			state.grownAt = at
		}
		state.listed = len(engines)
		if !holds || at < state.nextChange {
			return
		}
		r.orderChanges(ctx, service, state, engines, at)
	})
}

// orderChanges orders the changes that the plan requires. Without traffic it
// plans again at each step, so that engines that are listed late are ordered
// too; with traffic it waits until the effect of the last changes is measured.
func (r *Reconciler) orderChanges(ctx context.Context, service *routes.Service, state *serviceState, engines []placement.EngineState, at fleet.Instant) {
	load := r.Engines.Load(service)
	r.adoptShare(service, state, engines)
	plan := stageplan.New(service.Engine, stageplan.Input{
		Engines: r.withOrdered(engines, at), Load: load,
		DecodeShare: state.decodeShare,
		Settled:     load.MeasuredFor > 0 || at-state.grownAt >= settleTime,
		MayRestore:  r.term.First || at-state.listedAt >= declaredDelay,
	})
	r.logPlan(service, state, plan, load, at)
	if len(plan.Changes) == 0 {
		return
	}
	if plan.Reason == stageplan.ReasonMeasured {
		state.decodeShare = plan.DecodeShare
	}
	outOfService := service.Engine.SwitchTime + relistTime
	for _, c := range plan.Changes {
		r.ordered[c.Server.ID] = orderedChange{c.Stage, at + outOfService}
		r.Engines.Hold(c.Server.ID, outOfService)
	}
	if load.MeasuredFor > 0 {
		state.nextChange = at + restoreInterval
		if plan.Reason == stageplan.ReasonMeasured {
			state.nextChange = at + changeInterval + outOfService
		}
		time.Sleep(announceTime)
	}
	var pending sync.WaitGroup
	var refused atomic.Bool
	for _, c := range plan.Changes {
		pending.Add(1)
		go func() {
			defer pending.Done()
			if r.order(ctx, service, c) {
				refused.Store(true)
			}
		}()
	}
	pending.Wait()
	if refused.Load() {
		r.holder.Refused(r.term.Fence)
	}
}

// adoptShare takes the present division of the engines for that of the previous
// holder's last plan, unless it is so far from the declared one that it rather
// comes from a loss of engines. Otherwise each new holder would take back what
// the one before had measured.
func (r *Reconciler) adoptShare(service *routes.Service, state *serviceState, engines []placement.EngineState) {
	if state.decodeShare > 0 {
		return
	}
	declared := stageplan.DeclaredShare(service.Engine, r.Table().StreamTimeout(service.Name))
	state.decodeShare = declared
	if r.term.First {
		return
	}
	decode, total := 0, 0
	for _, e := range engines {
		if e.Leaving || e.Stage == fleet.RoleMixed {
			continue
		}
		total++
		if e.Stage == fleet.RoleDecode {
			decode++
		}
	}
	present := float64(decode) / float64(max(total, 1))
	if math.Abs(present-declared) <= maxAdopted {
		state.decodeShare = present
	}
}

// maxAdopted is the difference to the declared share of decode engines up to
// which a present division is adopted.
const maxAdopted = 0.2

// withOrdered returns the engines with those that are being changed at their
// new stage.
func (r *Reconciler) withOrdered(engines []placement.EngineState, at fleet.Instant) []placement.EngineState {
	out := make([]placement.EngineState, 0, len(engines))
	for _, e := range engines {
		if o, ok := r.ordered[e.ID]; ok {
			if at >= o.until {
				delete(r.ordered, e.ID)
			} else {
				e.Stage = o.stage
			}
		}
		out = append(out, e)
	}
	return out
}

// logPlan logs a plan with its inputs: always when it has changes, and from time
// to time otherwise.
func (r *Reconciler) logPlan(service *routes.Service, state *serviceState, p stageplan.Plan, d placement.ServiceLoad, at fleet.Instant) {
	if len(p.Changes) == 0 && at-state.loggedAt < logInterval {
		return
	}
	state.loggedAt = at
	r.Log.Info("division of engines", zap.String("service", string(service.Name)), zap.String("reason", string(p.Reason)),
		zap.Int("prefill", p.Prefill), zap.Int("decode", p.Decode), zap.Int("changes", len(p.Changes)), zap.Float64("decode_share", p.DecodeShare),
		zap.Float64("cost_now", p.CostNow), zap.Float64("cost_planned", p.CostPlanned),
		zap.Float64("prefill_wait", p.PrefillWait), zap.Float64("decode_wait", p.DecodeWait),
		zap.Float64("prefill_use", p.PrefillUse), zap.Float64("decode_use", p.DecodeUse),
		zap.Float64("requests", d.Requests), zap.Float64("uncached", d.Uncached), zap.Float64("events", d.Events),
		zap.Duration("measured_for", d.MeasuredFor))
}

// order reads an engine's report and orders its change. The order carries the
// report's number of accepted orders, so that an engine that has accepted
// another order in between rejects it. It reports whether the engine refused the order.
func (r *Reconciler) order(ctx context.Context, service *routes.Service, c stageplan.Change) (refused bool) {
	log := r.Log.With(zap.String("server", string(c.Server.ID)), zap.Stringer("stage", c.Stage), zap.Int64("fence", r.term.Fence))
	method, path := r.Documents.ReportRequest()
	status, raw, err := r.call(ctx, c.Server, method, path, nil, nil)
	if err != nil || status != http.StatusOK {
		log.Warn("engine state unknown; no order sent", zap.Int("status", status), logline.Error(err))
		return false
	}
	report, err := r.Documents.ParseReport(raw)
	if err != nil || report.Busy || report.Stage == c.Stage {
		log.Info("no order needed or possible", zap.Bool("busy", report.Busy), zap.Stringer("present", report.Stage), logline.Error(err))
		return false
	}
	method, path, body, err := r.Documents.OrderRequest(c.Stage, string(r.Instance), r.term.Fence, report.AcceptedOrders)
	if err != nil {
		log.Error("order not sent", logline.Error(err))
		return false
	}
	// The last look at the lease and the list is right before the order is written:
	// a holder that was frozen in between must not order, and an engine that leaves
	// ends its answers as it is.
	status, _, err = r.call(ctx, c.Server, method, path, body, func() error {
		if !r.stays(service, c.Server) {
			return errLeaves
		}
		return r.holder.Call(r.term).Check()
	})
	log.Info("order", zap.Int("status", status), zap.Int64("orders", report.AcceptedOrders), logline.Error(err))
	return status == http.StatusPreconditionFailed
}

// maxReportBytes bounds the body of an engine's answer.
const maxReportBytes = 1 << 20

// call sends a request to an engine, unless check fails right before, and returns the status of its answer and the
// first maxReportBytes of the body.
func (r *Reconciler) call(ctx context.Context, s placement.Server, method, path string, body []byte, check func() error) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	answer, err := r.Pool.Do(ctx, &connpool.Request{
		Address: s.Address, MaxConns: orderConnections, Method: method, URI: path, Host: s.Address,
		Header: r.Wire.RequestHeaders(header, call.SendOptions{Expect: s.ID, Priority: -1, Deadline: orderTimeout}), Body: net.Buffers{body}, Check: check,
	}, r.Wire)
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	defer answer.Close()
	if answer.Meta.Leaving && answer.Status == http.StatusOK && r.ServerLeaves != nil {
		r.ServerLeaves(s.Process())
	}
	raw, err := io.ReadAll(io.LimitReader(answer, maxReportBytes))
	return answer.Status, raw, err
}

// orderConnections bounds the connections to an engine for orders.
const orderConnections = 16

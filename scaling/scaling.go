// Package scaling orders servers at the platform's API, for each service whose
// configuration has bounds for the number of its servers. core/fleetsize decides;
// this package executes its decisions while the instance holds the duty. Each
// order is written to the store before it is sent, so that a successor knows it.
package scaling

import (
	"context"
	"reflect"
	"sort"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/fleetsize"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// stepInterval is the time between two decisions.
	stepInterval = time.Second
	// ordersAtOnce is the number of orders that are sent at the same time, and
	// batchInterval the time between two such batches. Together they stay within
	// the calls per second that the client of the API allows.
	ordersAtOnce  = 4
	batchInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
	// giveUpAfter is the time and minFailures the number of failed calls after
	// which another instance gets the duty, and resignTime how long this one
	// doesn't compete then.
	giveUpAfter, resignTime = 3 * time.Second, 10 * time.Second
	minFailures             = 3
	// KeyPrefix is the prefix of the store keys of the orders in force.
	KeyPrefix = "bramleywick/scaling/"
)

// Holder holds the duty.
type Holder interface {
	Term() (duty.Term, bool)
	Call(duty.Term) duty.Call
	Refused(fence int64)
	Resign(fence int64, wait time.Duration)
}

// Cloud is the platform's API.
type Cloud interface {
	OrderServers(ctx context.Context, by duty.Call, order duty.ServerOrder) error
}

// Servers gives access to the instance's state of the servers.
type Servers interface {
	Engines(service *routes.Service) []placement.EngineState
	// Load returns the demand for a service at all instances.
	Load(service *routes.Service) placement.ServiceLoad
}

// Observer counts orders.
type Observer interface {
	// ServersOrdered is called with the result of each order.
	ServersOrdered(result string)
	// FleetSize is called with the wanted and the listed number of servers of a
	// kind in a data centre.
	FleetSize(service fleet.GroupName, dc fleet.DataCentre, spot bool, wanted, listed int)
	// NoFleetSize is called when the instance doesn't hold the duty any longer.
	NoFleetSize()
}

// Options holds the dependencies of an Executor.
type Options struct {
	Holder Holder
	// FenceKey is the store key of the highest fencing number of the duty.
	FenceKey string
	Store    leaseholder.Store
	Cloud    Cloud
	Servers  Servers
	// Table returns the configuration in force, or nil before the first one.
	Table func() *routes.Table
	// Current reports whether the list of servers is up to date.
	Current func() bool
	// LinksTrusted reports whether what this instance measures of the servers can be
	// relied on; nil if it always can.
	LinksTrusted func() bool
	// OthersMayHold reports whether another instance could hold the duty.
	OthersMayHold func() bool
	Observer      Observer
	Log           *zap.Logger
}

// Executor orders servers while the instance holds the duty.
type Executor struct {
	Options
	now func() fleet.Instant
	// sleep waits; tests replace it.
	sleep func(context.Context, time.Duration)
	term  duty.Term
	// services holds the state of each service, of this term only.
	services map[fleet.GroupName]*service
	// failingSince is when the calls began to fail, and failures the number of
	// failed calls since; 0 while they don't fail.
	failingSince fleet.Instant
	failures     int
	// untrustedSince is when the links stopped to be trusted; 0 while they are.
	untrustedSince fleet.Instant
}

// service is the state of a service.
type service struct {
	planner *fleetsize.Planner
	// stored is the record in the store, and revision its revision.
	stored   record
	revision int64
}

// New returns an Executor.
func New(o Options) *Executor {
	return &Executor{Options: o, now: boottime.Now, sleep: sleep, services: map[fleet.GroupName]*service{}}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Run decides and orders until the context ends.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.step(ctx)
		}
	}
}

// Needed reports whether a service of the configuration has bounds for the number
// of its servers.
func Needed(table *routes.Table) bool { return len(scaled(table)) > 0 }

// scaled returns the services with bounds for the number of their servers, in
// order of their names.
func scaled(table *routes.Table) []*routes.Service {
	if table == nil {
		return nil
	}
	var out []*routes.Service
	table.EachService(func(s *routes.Service) {
		if s.Scaling != nil {
			out = append(out, s)
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// step decides for each service and sends the orders.
func (e *Executor) step(ctx context.Context) {
	term, ok := e.Holder.Term()
	if !ok || term.Fence != e.term.Fence {
		// What was planned in another term may have been replaced since.
		e.services, e.failingSince, e.failures = map[fleet.GroupName]*service{}, 0, 0
		e.term = term
		e.Observer.NoFleetSize()
	}
	if !ok || !e.trustsLinks() {
		return
	}
	for _, s := range scaled(e.Table()) {
		if !e.stepService(ctx, s) {
			return
		}
	}
	e.giveUpIfFailing()
}

// trustsLinks reports whether the servers can be judged from here. An instance that is
// partitioned from them gives the duty up.
func (e *Executor) trustsLinks() bool {
	if e.LinksTrusted == nil || e.LinksTrusted() {
		e.untrustedSince = 0
		return true
	}
	switch now := e.now(); {
	case e.untrustedSince == 0:
		e.untrustedSince = now
	case now-e.untrustedSince >= giveUpAfter && e.OthersMayHold():
		e.Log.Warn("duty given up: the servers cannot be reached", zap.Duration("for", now-e.untrustedSince))
		e.untrustedSince = 0
		e.Holder.Resign(e.term.Fence, resignTime)
	}
	return false
}

// stepService decides for a service and sends the orders. It returns false when
// the duty is lost.
func (e *Executor) stepService(ctx context.Context, s *routes.Service) bool {
	state := e.services[s.Name]
	if state == nil {
		if state = e.load(ctx, s.Name); state == nil {
			return true
		}
		e.services[s.Name] = state
	}
	in := fleetsize.Input{Service: s, Servers: e.Servers.Engines(s), Load: e.Servers.Load(s), Current: e.Current()}
	orders := state.planner.Decide(in, e.now())
	e.report(s, state, in)
	if len(orders) == 0 {
		return true
	}
	e.logDecision(s, state, in, orders)
	if err := e.save(ctx, s.Name, state); err != nil {
		e.Log.Warn("orders for servers not written; nothing is sent", zap.String("service", string(s.Name)), logline.Error(err))
		if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited) {
			// The stored record may be another one; it is read again.
			delete(e.services, s.Name)
			return true
		}
		for _, o := range orders {
			state.planner.Finish(o, fleetsize.ResultDelayed, e.now())
		}
		return true
	}
	return e.send(ctx, s, state, orders)
}

// load reads the orders in force; it returns nil if that failed.
func (e *Executor) load(ctx context.Context, name fleet.GroupName) *service {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	state := &service{}
	revision, err := leaseholder.ReadJSON(ctx, e.Store, KeyPrefix+string(name), &state.stored)
	if err != nil && revision == 0 {
		e.Log.Warn("orders for servers not read; nothing is ordered", zap.String("service", string(name)), logline.Error(err))
		return nil
	}
	if err != nil {
		// No instance writes such a value; it is replaced by what is listed.
		e.Log.Error("orders for servers not readable; starting from the list of servers", zap.String("service", string(name)), logline.Error(err))
		state.stored = record{}
	}
	state.revision = revision
	state.planner = fleetsize.New(state.stored.decode())
	e.Log.Info("orders for servers read", zap.String("service", string(name)), zap.Int64("fence", e.term.Fence),
		zap.Int64("written_by", state.stored.Fence), zap.Any("orders", state.stored.Orders))
	return state
}

// save writes the orders in force if they have changed.
func (e *Executor) save(ctx context.Context, name fleet.GroupName, state *service) error {
	next := encode(e.term.Fence, state.planner.Record())
	if reflect.DeepEqual(next, state.stored) {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	revision, err := leaseholder.SwapJSON(ctx, e.Store, KeyPrefix+string(name), state.revision, next, "")
	if err != nil {
		return err
	}
	state.stored, state.revision = next, revision
	return nil
}

// giveUpIfFailing gives the duty to another instance if calls have failed for
// giveUpAfter: this one may have lost its way to the API.
func (e *Executor) giveUpIfFailing() {
	if e.failures < minFailures || e.now()-e.failingSince < giveUpAfter || !e.OthersMayHold() {
		return
	}
	e.Log.Warn("duty given up: the platform's API cannot be reached", zap.Duration("failing_for", e.now()-e.failingSince))
	e.failures = 0
	e.Holder.Resign(e.term.Fence, resignTime)
}

// report tells the observer the size of the fleet.
func (e *Executor) report(s *routes.Service, state *service, in fleetsize.Input) {
	for _, o := range state.planner.Record().Orders {
		listed := 0
		for _, server := range in.Servers {
			if server.DataCentre == o.DataCentre && server.Spot == o.Spot && !server.Leaving {
				listed++
			}
		}
		e.Observer.FleetSize(s.Name, o.DataCentre, o.Spot, o.Servers, listed)
	}
}

// logDecision logs the figures behind orders.
func (e *Executor) logDecision(s *routes.Service, state *service, in fleetsize.Input, orders []fleetsize.Order) {
	prefill, decode := state.planner.Peak(e.now())
	e.Log.Info("fleet size", zap.String("service", string(s.Name)), zap.String("reason", string(state.planner.Reason())), zap.Int("orders", len(orders)),
		zap.Float64("peak_prefill_engines", prefill), zap.Float64("peak_decode_engines", decode),
		zap.Float64("uncached", in.Load.Uncached), zap.Float64("events", in.Load.Events), zap.Duration("measured_for", in.Load.MeasuredFor), zap.Bool("current", in.Current))
}

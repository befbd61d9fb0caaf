// Package daemon assembles an entry instance and runs it: provision, start,
// drain, stop.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/caller"
	"github.com/bramleywick/bramleywick/claim"
	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/operator"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/upstream"
)

const (
	cancelTimeout = 2 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	settings   *settings.Settings
	log        *zap.Logger
	metrics    *metrics.Metrics
	keeper     *config.Keeper
	dispatcher *dispatch.Dispatcher
	engines    *upstream.EngineClient
	claims     *claim.Claims
	authority  *authority.Authority
	localDrain *authority.LocalDrain
	// authorityDone is closed when the order lease has been given back.
	authorityDone chan struct{}
	cluster       cluster
	roles         *roles
	listing       *listing
	calls         *caller.Server
	// callers serves callers; servers are the other listeners, which stay open
	// until the callers' answers are finished.
	callers  *http.Server
	servers  []*http.Server
	stopping atomic.Bool
	// interrupt is closed to end a drain at once.
	interrupt     chan struct{}
	interruptOnce sync.Once
	// Addresses are the bound addresses of the listeners, by purpose.
	Addresses Addresses
	// PeerTransport carries the exchange with peers. One that is set before
	// Start replaces that of the settings.
	PeerTransport peer.Transport
}

// Addresses are the bound listen addresses of a daemon.
type Addresses struct {
	Callers, Operators, Admin, Peers string
}

// New provisions a daemon without starting anything.
func New(s *settings.Settings, log *zap.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: metrics.New(), roles: newRoles(), listing: newListing(), interrupt: make(chan struct{})}
	d.engines = upstream.NewEngineClient(upstream.NewTransport())
	d.dispatcher = dispatch.New(sched.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Seed: seedOf(s.Instance),
	}, d.cancelAt)
	store := d.newStore()
	d.cluster.store = store
	d.claims = claim.New(store, s.Instance)
	d.claims.OnOutcome = d.metrics.ClaimRecorded
	d.authority = d.newAuthority(store)
	d.keeper = d.newKeeper(store)
	d.calls = caller.NewServer(caller.Options{
		Index: d.keeper.Index, Requests: d.dispatcher, Engines: d.engines,
		Services: upstream.NewServiceClient(), Claims: d.claims, Observer: d.metrics, Log: d.log, Seed: seedOf(s.Instance),
	})
	d.metrics.RegisterGauge("bramleywick_open_requests", "Requests without a complete answer.", func() float64 {
		return float64(len(d.calls.OpenRequests()))
	})
	d.metrics.RegisterGauge("bramleywick_ready", "1 while the instance takes requests, else 0.", func() float64 {
		if ready, _ := d.readiness(); ready {
			return 1
		}
		return 0
	})
	d.metrics.RegisterGauge("bramleywick_ejected_upstreams", "Upstreams that this instance has ejected.", func() float64 {
		return float64(d.dispatcher.Ejected())
	})
	return d
}

// seedOf derives a scheduler's seed from the instance's name.
func seedOf(id fleet.InstanceID) uint64 {
	var seed uint64 = 14695981039346656037
	for _, b := range []byte(id) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}

func (d *Daemon) putInForce(index *declare.Index) {
	d.dispatcher.Step(sched.Configure{Version: index.Version, Declaration: index.Declaration})
	d.configureCluster(index)
	d.authority.Configure(index)
}

func (d *Daemon) cancelAt(id fleet.RequestID, target fleet.UpstreamID) {
	index := d.keeper.Index()
	if index == nil || index.Upstream(target) == nil {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = d.engines.Cancel(ctx, index.Upstream(target).Address, id)
	}()
}

// Run serves until ctx ends, then drains and returns.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Stop()
}

// Start opens the listeners and starts the background work, which ends with ctx.
func (d *Daemon) Start(ctx context.Context) error {
	var err error
	if d.callers, d.Addresses.Callers, err = d.listen(settings.ListenerCallers, d.settings.CallerListen, d.calls.Handler()); err != nil {
		return err
	}
	operators := operator.NewHandler(d.operatorOptions())
	if d.Addresses.Operators, err = d.listenBeside(settings.ListenerOperators, d.settings.OperatorListen, operators); err != nil {
		return err
	}
	if d.Addresses.Admin, err = d.listenBeside(settings.ListenerAdmin, d.settings.AdminListen, d.adminHandler()); err != nil {
		return err
	}
	go d.dispatcher.Run(context.WithoutCancel(ctx))
	// The exchange is there before the first configuration arrives, because it
	// is told of a version only once.
	if err := d.startCluster(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	go d.keeper.Run(ctx, d.watchesConfiguration)
	d.startAuthority(ctx)
	go d.planRoles(ctx)
	return nil
}

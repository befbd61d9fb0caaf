// Package daemon assembles the parts of an entry instance, starts and stops them.
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
	// cancelTimeout bounds the call that asks an engine to stop a request.
	cancelTimeout = 2 * time.Second
)

// Daemon is one entry instance with its listeners and background work.
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
	// authorityDone is closed when the order lease has been released.
	authorityDone chan struct{}
	cluster       cluster
	roles         *rolePlanner
	listing       *platformListing
	callerServer  *caller.Server
	// callers serves the callers' listener. secondary are the servers of the
	// other listeners, which stay open until the callers' answers are finished.
	callers   *http.Server
	secondary []*http.Server
	stopping  atomic.Bool
	// interrupt is closed by Interrupt.
	interrupt     chan struct{}
	interruptOnce sync.Once
	// Addresses are the bound addresses of the listeners. They are set by Start.
	Addresses Addresses
	// PeerTransport is the transport of the exchange with peers. A transport
	// that is set before Start replaces the one that the settings ask for.
	PeerTransport peer.Transport
}

// Addresses are the bound addresses of a daemon's listeners (host:port).
type Addresses struct {
	Callers, Operators, Admin, Peers string
}

// New returns a daemon that has not started.
func New(s *settings.Settings, log *zap.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: metrics.New(), roles: newRolePlanner(), listing: newPlatformListing(), interrupt: make(chan struct{})}
	d.engines = upstream.NewEngineClient(upstream.NewTransport())
	d.dispatcher = dispatch.New(sched.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Seed: instanceSeed(s.Instance),
	}, d.cancelRequest)
	store := d.newStore()
	d.cluster.store = store
	d.claims = claim.New(store, s.Instance)
	d.claims.OnOutcome = d.metrics.ClaimRecorded
	d.authority = d.newAuthority(store)
	d.keeper = d.newKeeper(store)
	d.callerServer = caller.NewServer(caller.Options{
		Index: d.keeper.Index, Requests: d.dispatcher, Engines: d.engines,
		Services: upstream.NewServiceClient(), Claims: d.claims, Observer: d.metrics, Log: d.log, Seed: instanceSeed(s.Instance),
	})
	d.metrics.RegisterGauge("bramleywick_open_requests", "Requests without a complete answer.", func() float64 {
		return float64(len(d.callerServer.OpenRequests()))
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

// instanceSeed returns the 64-bit FNV-1a hash of an instance's name, the seed of
// its random choices.
func instanceSeed(id fleet.InstanceID) uint64 {
	var seed uint64 = 14695981039346656037
	for _, b := range []byte(id) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}

// putInForce passes a new configuration to the scheduler, the peers and the
// authority.
func (d *Daemon) putInForce(index *declare.Index) {
	d.dispatcher.Step(sched.Configure{Version: index.Version, Declaration: index.Declaration})
	d.configureCluster(index)
	d.authority.Configure(index)
}

// cancelRequest asks an engine in the background to stop a request.
func (d *Daemon) cancelRequest(id fleet.RequestID, target fleet.UpstreamID) {
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

// Run starts the daemon, waits until ctx ends and stops it. It returns the error of
// Start or Stop.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Stop()
}

// Start opens the listeners and starts the background work. The keeper, the
// authority and the role planning end with ctx; the scheduler and the exchange
// continue, so that running answers can be finished. It returns an error if a listener
// cannot be opened.
func (d *Daemon) Start(ctx context.Context) error {
	var err error
	if d.callers, d.Addresses.Callers, err = d.listen(settings.ListenerCallers, d.settings.CallerListen, d.callerServer.Handler()); err != nil {
		return err
	}
	operators := operator.NewHandler(d.operatorOptions())
	if d.Addresses.Operators, err = d.listenSecondary(settings.ListenerOperators, d.settings.OperatorListen, operators); err != nil {
		return err
	}
	if d.Addresses.Admin, err = d.listenSecondary(settings.ListenerAdmin, d.settings.AdminListen, d.adminHandler()); err != nil {
		return err
	}
	go d.dispatcher.Run(context.WithoutCancel(ctx))
	// The exchange must start before the first configuration arrives, because
	// each version is passed to it only once.
	if err := d.startCluster(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	go d.keeper.Run(ctx, d.watchesConfiguration)
	d.startAuthority(ctx)
	go d.planRoles(ctx)
	return nil
}

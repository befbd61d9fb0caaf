// Package daemon assembles an entry instance and runs it: provision, start,
// drain, stop.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/caller"
	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/operator"
	"github.com/bramleywick/bramleywick/platform"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/upstream"
)

const (
	headerTimeout   = 10 * time.Second
	platformTimeout = 30 * time.Second
	cancelTimeout   = 2 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	settings   *settings.Settings
	log        *zap.Logger
	metrics    *metrics.Metrics
	keeper     *config.Keeper
	dispatcher *dispatch.Dispatcher
	engines    *upstream.EngineClient
	servers    []*http.Server
	stopping   atomic.Bool
	// Addresses are the bound addresses of the listeners, by purpose.
	Addresses Addresses
}

// Addresses are the bound listen addresses of a daemon.
type Addresses struct {
	Callers, Operators, Admin string
}

// New provisions a daemon without starting anything.
func New(s *settings.Settings, log *zap.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: metrics.New()}
	d.engines = upstream.NewEngineClient(upstream.NewTransport())
	d.dispatcher = dispatch.New(sched.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, Seed: seedOf(s.Instance),
	}, d.cancelAt)
	store := platform.NewClient(s.Platform, &http.Client{Timeout: platformTimeout})
	d.keeper = config.NewKeeper(store, d.putInForce)
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
	d.log.Info("configuration in force", zap.Int64("version", index.Version))
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
	calls := caller.NewServer(caller.Options{
		Index: d.keeper.Index, Requests: d.dispatcher, Engines: d.engines,
		Services: upstream.NewServiceClient(), Observer: d.metrics, Log: d.log,
	})
	var err error
	if d.Addresses.Callers, err = d.listen("callers", d.settings.CallerListen, calls.Handler()); err != nil {
		return err
	}
	operators := operator.NewHandler(d.keeper, d.settings.OperatorKeyHashes)
	if d.Addresses.Operators, err = d.listen("operators", d.settings.OperatorListen, operators); err != nil {
		return err
	}
	if d.Addresses.Admin, err = d.listen("admin", d.settings.AdminListen, d.adminHandler()); err != nil {
		return err
	}
	go d.keeper.Run(ctx)
	go d.dispatcher.Run(context.WithoutCancel(ctx))
	return nil
}

func (d *Daemon) listen(purpose, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s on %s", purpose, address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	d.log.Info("listening", zap.String("for", purpose), zap.String("address", listener.Addr().String()))
	return listener.Addr().String(), nil
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case d.stopping.Load():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case d.keeper.Index() == nil:
			http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Stop drains: readiness goes off, the balancer's delay passes, then no new
// work is accepted and running answers are finished.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	time.Sleep(d.settings.BalancerDelay)
	d.dispatcher.Step(sched.Drain{})
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	for _, s := range d.servers {
		if err := s.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "drain")
		}
	}
	d.log.Info("stopped")
	return nil
}

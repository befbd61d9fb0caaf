package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/poll"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/store"
)

// defaultPeerListen is the peers' listen address if the settings have none.
const defaultPeerListen = "127.0.0.1:0"

// cluster holds the parts of an instance that work with the platform's store, its
// peers and the upstreams.
type cluster struct {
	store    store.Store
	node     atomic.Pointer[peer.Node]
	poller   *poll.Poller
	listener net.Listener
	stop     context.CancelFunc

	// watchesConfig reports whether this instance watches the configuration.
	watchesConfig atomic.Bool
}

// startCluster opens the listener for peers and starts the exchange, the polling
// of upstreams and the reads of the platform's list. They run until stopCluster,
// so that a draining instance still learns of departures.
func (d *Daemon) startCluster(ctx context.Context) error {
	address := d.settings.PeerListen
	if address == "" {
		address = defaultPeerListen
	}
	var err error
	if d.PeerTransport, err = d.peerTransport(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", address)
	}
	if d.Addresses.Peers, err = peerAddress(d.settings.PeerAddress, listener); err != nil {
		_ = listener.Close()
		return err
	}
	if d.PeerTransport.WrapListener != nil {
		listener = d.PeerTransport.WrapListener(listener)
	}
	d.log.Info("listening", zap.String("for", string(settings.ListenerPeers)),
		zap.String("address", d.Addresses.Peers), zap.Bool("tls", d.PeerTransport.WrapListener != nil))
	ctx, stop := context.WithCancel(ctx)
	d.cluster.listener, d.cluster.stop = listener, stop
	d.cluster.poller = poll.New(ctx, d.pollHooks())
	node := peer.New(d.peerOptions(ctx))
	d.cluster.node.Store(node)
	d.metrics.Register(membershipCollector{node})
	go func() {
		if err := node.Serve(listener); ctx.Err() == nil {
			d.log.Error("listener for peers failed", zap.Error(err))
		}
	}()
	go node.Run(ctx)
	go d.followInstances(ctx, node)
	return nil
}

// peerAddress returns the address that is announced to peers: the declared one,
// or else the bound one. It returns an error if peers cannot reach that.
func peerAddress(declared string, listener net.Listener) (string, error) {
	if declared != "" {
		return declared, nil
	}
	bound := listener.Addr().String()
	if at, err := netip.ParseAddrPort(bound); err != nil || at.Addr().IsUnspecified() {
		return "", errors.Errorf("peers cannot reach %s: set address in [peers]", bound)
	}
	return bound, nil
}

// peerOptions returns the options of the exchange with peers.
func (d *Daemon) peerOptions(ctx context.Context) peer.Options {
	return peer.Options{
		Self: membership.Profile{
			ID: d.settings.Instance, DataCentre: d.settings.DataCentre,
			Region: d.settings.Region, Address: d.Addresses.Peers,
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Seed:        instanceSeed(d.settings.Instance),
		Now:         d.dispatcher.Now,
		Config:      d.keeper,
		Dial:        d.PeerTransport.Dial,
		Seeds:       d.settings.PeerSeeds,
		Services:    []peer.RegisterFunc{d.localDrain.Register},
		Log:         d.log,
		Hooks: peer.Hooks{
			Schedule:        d.dispatcher.Step,
			TakePeerUpdate:  d.takePeerUpdate,
			PeerDemand:      d.roles.addDemand,
			SetPolled:       d.cluster.poller.SetUpstreams,
			WatchConfig:     d.cluster.watchesConfig.Store,
			HoldsOrderLease: d.authority.HoldsLease,
		},
	}
}

// pollHooks returns the functions through which the poller reports.
func (d *Daemon) pollHooks() poll.Hooks {
	return poll.Hooks{
		Address: d.upstreamAddress,
		Now:     d.dispatcher.Now,
		Load:    func(l sched.LoadReport) { d.stepMembership(membership.Polled{Load: l}) },
		Failed:  func(id fleet.UpstreamID) { d.stepMembership(membership.PollFailed{Upstream: id}) },
		Cache:   func(u sched.CacheUpdate) { d.dispatcher.Step(u) },
	}
}

// stepMembership passes an event to the membership once the exchange has started.
func (d *Daemon) stepMembership(ev membership.Event) {
	if node := d.cluster.node.Load(); node != nil {
		node.ApplyMembership(ev)
	}
}

// upstreamAddress returns the declared address of an upstream, or "" if it is not
// declared.
func (d *Daemon) upstreamAddress(id fleet.UpstreamID) string {
	index := d.keeper.Index()
	if index == nil || index.Upstream(id) == nil {
		return ""
	}
	return index.Upstream(id).Address
}

// configureCluster passes a configuration to the exchange, if it has started.
func (d *Daemon) configureCluster(index *declare.Index) {
	if node := d.cluster.node.Load(); node != nil {
		node.Configure(index.Version, index.Declaration)
	}
}

// leaveCluster announces to the peers that the instance is stopping.
func (d *Daemon) leaveCluster() {
	if node := d.cluster.node.Load(); node != nil {
		node.Leave()
	}
}

// stopCluster ends the exchange, the polling and the reads of the platform's list.
func (d *Daemon) stopCluster() {
	if d.cluster.stop != nil {
		d.cluster.stop()
		_ = d.cluster.listener.Close()
	}
}

// Kill ends the exchange, the polling and all listeners but the callers' without
// announcing it to the peers. Tests use it in place of a crash.
func (d *Daemon) Kill() {
	d.stopCluster()
	for _, s := range d.secondary {
		_ = s.Close()
	}
}

// DrainUpstream marks the running incarnation of an upstream as leaving at every
// instance. It returns an error if the upstream is not declared.
func (d *Daemon) DrainUpstream(id fleet.UpstreamID) error {
	if d.upstreamAddress(id) == "" {
		return errors.Errorf("upstream %q is not declared", id)
	}
	d.stepMembership(membership.MarkReceived{Mark: membership.Mark{Upstream: id}, Source: membership.SourceOperator})
	return nil
}

// Instances returns the other entry instances that are known, each with the
// configuration version that it last reported, or nil before Start.
func (d *Daemon) Instances() []membership.InstanceInfo {
	if node := d.cluster.node.Load(); node != nil {
		return node.Instances()
	}
	return nil
}

// Upstreams returns the declared upstreams with their membership states, or nil before
// Start.
func (d *Daemon) Upstreams() []membership.UpstreamInfo {
	if node := d.cluster.node.Load(); node != nil {
		return node.Upstreams()
	}
	return nil
}

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

// defaultPeerListen is used when the settings name no listener for peers.
const defaultPeerListen = "127.0.0.1:0"

// cluster is what the instance shares with its peers.
type cluster struct {
	store    store.Store
	node     atomic.Pointer[peer.Node]
	poller   *poll.Poller
	listener net.Listener
	stop     context.CancelFunc

	// watches tells whether this instance holds a watch on the configuration.
	watches atomic.Bool
}

// startCluster opens the listener for peers and starts the exchange, the
// polling of upstreams and the reading of the platform's list. They run until
// stopCluster, so that a draining instance still hears of departures.
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

// peerAddress returns the address that peers are told.
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

func (d *Daemon) peerOptions(ctx context.Context) peer.Options {
	return peer.Options{
		Self: membership.Profile{
			ID: d.settings.Instance, DataCentre: d.settings.DataCentre,
			Region: d.settings.Region, Address: d.Addresses.Peers,
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Seed:        seedOf(d.settings.Instance),
		Now:         d.dispatcher.Now,
		Config:      d.keeper,
		Dial:        d.PeerTransport.Dial,
		Seeds:       d.settings.PeerSeeds,
		Services:    []peer.RegisterFunc{d.localDrain.Register},
		Log:         d.log,
		Hooks: peer.Hooks{
			Schedule:        d.dispatcher.Step,
			TakePeerUpdate:  d.takeShared,
			PeerDemand:      d.roles.arrived,
			SetPolled:       d.cluster.poller.SetUpstreams,
			WatchConfig:     d.cluster.watches.Store,
			HoldsOrderLease: d.authority.HoldsLease,
		},
	}
}

func (d *Daemon) pollHooks() poll.Hooks {
	return poll.Hooks{
		Address: d.upstreamAddress,
		Now:     d.dispatcher.Now,
		Load:    func(l sched.LoadReport) { d.member(membership.Polled{Load: l}) },
		Failed:  func(id fleet.UpstreamID) { d.member(membership.PollFailed{Upstream: id}) },
		Cache:   func(u sched.CacheUpdate) { d.dispatcher.Step(u) },
	}
}

func (d *Daemon) member(ev membership.Event) {
	if node := d.cluster.node.Load(); node != nil {
		node.ApplyMembership(ev)
	}
}

func (d *Daemon) upstreamAddress(id fleet.UpstreamID) string {
	index := d.keeper.Index()
	if index == nil || index.Upstream(id) == nil {
		return ""
	}
	return index.Upstream(id).Address
}

func (d *Daemon) configureCluster(index *declare.Index) {
	if node := d.cluster.node.Load(); node != nil {
		node.Configure(index.Version, index.Declaration)
	}
}

// leaveCluster tells the peers that the instance is stopping.
func (d *Daemon) leaveCluster() {
	if node := d.cluster.node.Load(); node != nil {
		node.Leave()
	}
}

func (d *Daemon) stopCluster() {
	if d.cluster.stop != nil {
		d.cluster.stop()
		_ = d.cluster.listener.Close()
	}
}

// Kill ends the exchange, the polling and the listeners without a word to
// peers or callers.
func (d *Daemon) Kill() {
	d.stopCluster()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// DrainUpstream marks the running incarnation of an upstream as leaving at
// every instance. It fails when the upstream is not declared.
func (d *Daemon) DrainUpstream(id fleet.UpstreamID) error {
	if d.upstreamAddress(id) == "" {
		return errors.Errorf("upstream %q is not declared", id)
	}
	d.member(membership.MarkReceived{Mark: membership.Mark{Upstream: id}, Source: membership.SourceOperator})
	return nil
}

// Instances returns the other entry instances that this one knows, with the
// configuration version that each last reported.
func (d *Daemon) Instances() []membership.InstanceInfo {
	if node := d.cluster.node.Load(); node != nil {
		return node.Instances()
	}
	return nil
}

// Upstreams returns the declared upstreams with their states.
func (d *Daemon) Upstreams() []membership.UpstreamInfo {
	if node := d.cluster.node.Load(); node != nil {
		return node.Upstreams()
	}
	return nil
}

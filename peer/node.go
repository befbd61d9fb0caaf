// Package peer runs the membership and the exchange of an instance over
// net/rpc: it serialises events, keeps the clock and carries messages.
package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/exchange"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

const (
	// tickPeriod spreads the pushes of one second over twenty instants.
	tickPeriod = 50 * time.Millisecond
	// memberPeriod is how often silences are judged; they are counted in
	// seconds.
	memberPeriod = 200 * time.Millisecond
	// sharePeriod is how often the scheduler's recent work is collected.
	sharePeriod = 500 * time.Millisecond
	// seedPeriod is how often the seeds are contacted while no peer is known,
	// seedPeriodKnown afterwards, so that separated halves find each other.
	seedPeriod      = time.Second
	seedPeriodKnown = 30 * time.Second
	// idleTimeout closes connections that a peer has abandoned.
	idleTimeout = 2 * time.Minute
	// maxConns bounds the connections that peers may hold open: two for each
	// daemon of the designed size.
	maxConns = 800
	// maxSeeds bounds the contacts that run at the same time.
	maxSeeds = 16
)

// Hooks connect a node with the rest of the instance. They are called with the
// node locked and must not call it back.
type Hooks struct {
	// Schedule takes reports, states of upstreams and what peers did.
	Schedule func(sched.Event)
	// TakePeerUpdate returns and clears the scheduler's recent work.
	TakePeerUpdate func() sched.PeerUpdate
	// PeerDemand takes work that arrived at peers; it may be nil.
	PeerDemand func([]sched.GroupDemand)
	// SetPolled takes the upstreams that this instance polls from now on.
	SetPolled func([]fleet.UpstreamID)
	// WatchConfig switches the watch on the configuration.
	WatchConfig func(on bool)
	// HoldsOrderLease tells whether this instance holds the order lease. It is called
	// without the node's lock; it may be nil.
	HoldsOrderLease func() bool
}

// ConfigSource is the configuration in force. Its methods are called without
// the node's lock.
type ConfigSource interface {
	Record() config.Record
	// Offer puts a record in force if its version is newer.
	Offer(config.Record) error
}

// Options provision a node.
type Options struct {
	Self        membership.Profile
	Incarnation uint64
	Seed        uint64
	// Now is the scheduler's clock.
	Now   func() fleet.Instant
	Hooks Hooks
	// Config is the configuration in force.
	Config ConfigSource
	// Dial opens connections to peers; nil means plain TCP.
	Dial Dialer
	// Seeds are addresses to try without the platform's list.
	Seeds []string
	// Services are further receivers on the listener for peers.
	Services []RegisterFunc
	Log      *zap.Logger
}

// RegisterFunc adds a receiver to the server that answers peers.
type RegisterFunc func(*rpc.Server) error

// Node is safe for concurrent use.
type Node struct {
	options Options
	clients *clients
	texts   texts

	mu       sync.Mutex
	members  *membership.Machine
	exchange *exchange.Exchange
	version  int64
	peers    int
	refused  uint64
	failures uint64
}

// Stats counts what operators watch.
type Stats struct {
	PeersFailing     int
	ConfigVersion    int64
	PushFailures     uint64
	MessagesRejected uint64
	// ItemsDropped counts service items that a bound of memory made the
	// exchange forget.
	ItemsDropped uint64
	// IncarnationRenewals counts how often another process used this instance's name.
	IncarnationRenewals uint64
}

// Stats returns the present counts.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Stats{
		PeersFailing: n.exchange.FailingPeers(), ConfigVersion: n.version, PushFailures: n.failures,
		MessagesRejected: n.refused, ItemsDropped: n.exchange.DroppedItems(),
		IncarnationRenewals: n.exchange.IncarnationRenewals(),
	}
}

// New returns a node without peers.
func New(o Options) *Node {
	return &Node{
		options: o,
		clients: newClients(o.Dial),
		members: membership.New(membership.Config{Self: o.Self}),
		exchange: exchange.New(exchange.Config{
			Self: o.Self, Incarnation: o.Incarnation, Seed: o.Seed,
		}),
	}
}

// Run exchanges until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.clients.keep(nil)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var shared, seeds, members time.Time
	for {
		select {
		case now := <-ticker.C:
			if now.Sub(shared) >= sharePeriod {
				shared = now
				n.share()
			}
			if now.Sub(seeds) >= n.seedPause() {
				seeds = now
				n.contactSeeds()
			}
			if now.Sub(members) >= memberPeriod {
				members = now
				n.holder()
				n.ApplyMembership(membership.Tick{})
			}
			n.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tick() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(exchange.Tick{})
}

func (n *Node) holder() {
	if n.options.Hooks.HoldsOrderLease == nil {
		return
	}
	on := n.options.Hooks.HoldsOrderLease()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member(membership.OrderLeaseHeld{On: on})
	n.step(exchange.OrderLeaseHeld{On: on})
}

func (n *Node) share() {
	shared := n.options.Hooks.TakePeerUpdate()
	if len(shared.Service)+len(shared.Dispatches)+len(shared.Queues)+len(shared.Demand) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(exchange.LocalWork{Update: shared})
}

func (n *Node) seedPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peers == 0 {
		return seedPeriod
	}
	return seedPeriodKnown
}

func (n *Node) contactSeeds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, seed := range n.options.Seeds {
		if seed != n.options.Self.Address && i < maxSeeds {
			n.step(exchange.Join{Address: seed})
		}
	}
}

// ApplyMembership applies an event about instances or upstreams.
func (n *Node) ApplyMembership(ev membership.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member(ev)
}

// Configure takes a declaration that was put in force.
func (n *Node) Configure(version int64, d *declare.Declaration) {
	n.texts.keep(n.options.Config.Record())
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return
	}
	n.version = version
	n.step(exchange.Configured{Version: version, Dictionary: exchange.NewDictionary(d)})
	n.member(membership.Declared{Upstreams: d.Upstreams})
}

// Leave tells the peers that this instance is stopping.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member(membership.Leave{})
	n.step(exchange.Leave{})
}

// Instances returns the other instances that this one knows.
func (n *Node) Instances() []membership.InstanceInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Instances()
}

// Upstreams returns the declared upstreams with their states.
func (n *Node) Upstreams() []membership.UpstreamInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Upstreams()
}

// member steps the membership and carries out its commands. Locked.
func (n *Node) member(ev membership.Event) {
	n.members.Step(n.options.Now(), ev)
	for _, c := range n.members.Ready() {
		n.obey(c)
	}
}

func (n *Node) obey(c membership.Command) {
	hooks, log := n.options.Hooks, n.options.Log
	switch c := c.(type) {
	case membership.UpstreamChanged:
		log.Info("upstream changed", zap.String("upstream", string(c.State.Upstream)),
			zap.String("incarnation", string(c.Incarnation)),
			zap.Stringer("state", c.Status), zap.Stringer("cause", c.Cause))
		hooks.Schedule(c.State)
	case membership.InstanceChanged:
		log.Info("instance changed", zap.String("instance", string(c.ID)), zap.Stringer("state", c.Status))
	case membership.ReachabilityChanged:
		log.Info("data centre reachability changed", zap.String("data_centre", string(c.DataCentre)),
			zap.Bool("connected", c.Connected))
	case membership.ReportAccepted:
		hooks.Schedule(sched.Report{Load: c.Load})
	case membership.PublishReport:
		n.step(exchange.Polled{Report: c.Report})
	case membership.PublishMark:
		n.step(exchange.MarkAdded{Mark: c.Mark})
	case membership.RemoveMark:
		n.step(exchange.MarkRemoved{Mark: c.Mark})
	case membership.Poll:
		hooks.SetPolled(c.Upstreams)
	case membership.WatchConfig:
		hooks.WatchConfig(c.On)
	case membership.Peers:
		n.setPeers(c.Peers)
	}
}

func (n *Node) setPeers(peers []membership.Peer) {
	n.peers = len(peers)
	addresses := map[string]bool{}
	for _, p := range peers {
		addresses[p.Address] = true
	}
	for _, seed := range n.options.Seeds {
		addresses[seed] = true
	}
	n.clients.keep(addresses)
	n.step(exchange.Peers{Peers: peers})
}

// step steps the exchange and carries out its commands. Locked.
func (n *Node) step(ev exchange.Event) {
	n.exchange.Step(n.options.Now(), ev)
	n.flush()
}

func (n *Node) flush() {
	for _, c := range n.exchange.Ready() {
		switch c := c.(type) {
		case exchange.Send:
			go n.push(c)
		case exchange.SendJoin:
			go n.introduce(c)
		case exchange.MembershipEvent:
			n.member(c.Event)
		case exchange.PeerDemand:
			if n.options.Hooks.PeerDemand != nil {
				n.options.Hooks.PeerDemand(c.Demand)
			}
		case exchange.SchedulerEvent:
			n.options.Hooks.Schedule(c.Event)
		case exchange.Fetch:
			go n.fetch(c)
		}
	}
}

func (n *Node) push(c exchange.Send) {
	var out Delta
	err := n.clients.call(c.Address, pushMethod, Delta{c.Payload}, &out, pushTimeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.failures++
		n.options.Log.Debug("push failed", zap.String("peer", string(c.Peer)), zap.Error(err))
		n.step(exchange.SendFailed{Peer: c.Peer})
		return
	}
	n.step(exchange.SendReplied{Peer: c.Peer, Payload: out.Payload})
}

func (n *Node) introduce(c exchange.SendJoin) {
	var out Delta
	if err := n.clients.call(c.Address, pushMethod, Delta{c.Payload}, &out, pushTimeout); err != nil {
		n.options.Log.Debug("seed did not answer", zap.String("seed", c.Address), zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(exchange.JoinReplied{Payload: out.Payload})
}

// fetch gets a newer configuration from a peer and offers it.
func (n *Node) fetch(c exchange.Fetch) {
	log := n.options.Log.With(zap.String("peer", string(c.Peer)), zap.Int64("version", c.Version))
	have := n.options.Config.Record()
	in := ConfigArgs{Have: have.Version, Digest: digestOf(have.Text)}
	var out ConfigReply
	if err := n.clients.call(c.Address, configMethod, in, &out, configTimeout); err != nil {
		log.Warn("configuration not fetched", zap.Error(err))
		return
	}
	record, err := out.unpack(have.Text)
	if err == nil {
		err = n.options.Config.Offer(record)
	}
	if err != nil {
		log.Warn("configuration of peer not usable", zap.Error(err))
	}
}

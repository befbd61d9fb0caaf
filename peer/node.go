// Package peer runs the membership and the gossip of an instance over net/rpc.
// It serialises events, supplies the time and sends and receives the messages.
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
	// tickPeriod spreads the pushes of one second over twenty ticks.
	tickPeriod = 50 * time.Millisecond
	// membershipPeriod is the time between two evaluations of the membership's
	// timeouts, which are several seconds long.
	membershipPeriod = 200 * time.Millisecond
	// sharePeriod is the time between two collections of the scheduler's recent
	// work.
	sharePeriod = 500 * time.Millisecond
	// seedIntervalAlone is the time between two attempts to join the seeds
	// while no peer is known. Afterwards it is seedIntervalKnown, so that
	// separated parts of the fleet find each other.
	seedIntervalAlone = time.Second
	seedIntervalKnown = 30 * time.Second
	// idleTimeout is the time without a request after which a peer's connection
	// is closed.
	idleTimeout = 2 * time.Minute
	// maxConns limits the connections that peers may hold open: two for each
	// daemon at the designed size.
	maxConns = 800
	// maxSeeds limits the seeds that are contacted at the same time.
	maxSeeds = 16
)

// Hooks connect a node to the rest of the instance. Unless stated otherwise
// they are called with the node's lock held and must not call the node.
type Hooks struct {
	// Schedule receives load reports, upstream states and the work of peers.
	Schedule func(sched.Event)
	// TakePeerUpdate returns and clears the scheduler's recent work. It is
	// called without the node's lock.
	TakePeerUpdate func() sched.PeerUpdate
	// PeerDemand receives the work that arrived at peers. It may be nil.
	PeerDemand func([]sched.GroupDemand)
	// SetPolled receives the set of upstreams that this instance polls from now
	// on.
	SetPolled func([]fleet.UpstreamID)
	// WatchConfig switches the watch on the configuration on or off.
	WatchConfig func(on bool)
	// HoldsOrderLease reports whether this instance holds the order lease. It
	// is called without the node's lock. It may be nil.
	HoldsOrderLease func() bool
}

// ConfigSource provides the configuration in force. Its methods are called
// without the node's lock.
type ConfigSource interface {
	Record() config.Record
	// Offer puts a record in force if its version is newer.
	Offer(config.Record) error
}

// Options configure a node.
type Options struct {
	Self        membership.Profile
	Incarnation uint64
	Seed        uint64
	// Now returns the scheduler's time.
	Now   func() fleet.Instant
	Hooks Hooks
	// Config is the configuration in force.
	Config ConfigSource
	// Dial opens connections to peers. Nil means plain TCP.
	Dial Dialer
	// Seeds are addresses of instances to join without the platform's list.
	Seeds []string
	// Services register further net/rpc receivers on the peers' listener.
	Services []RegisterFunc
	Log      *zap.Logger
}

// RegisterFunc registers a receiver on the server for peers.
type RegisterFunc func(*rpc.Server) error

// Node runs the membership and the gossip of one instance. It is safe for
// concurrent use.
type Node struct {
	options     Options
	clients     *clients
	textHistory textHistory

	mu               sync.Mutex
	membership       *membership.Machine
	exchange         *exchange.Exchange
	configVersion    int64
	peerCount        int
	messagesRejected uint64
	pushFailures     uint64
}

// Stats are a node's counters for operators.
type Stats struct {
	FailingPeers     int
	ConfigVersion    int64
	PushFailures     uint64
	RejectedMessages uint64
	// DroppedItems is the number of service items dropped because a queue was
	// full.
	DroppedItems uint64
	// IncarnationRenewals is how often another process was found to use this
	// instance's ID.
	IncarnationRenewals uint64
}

// Stats returns the current counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Stats{
		FailingPeers: n.exchange.FailingPeers(), ConfigVersion: n.configVersion, PushFailures: n.pushFailures,
		RejectedMessages: n.messagesRejected, DroppedItems: n.exchange.DroppedItems(),
		IncarnationRenewals: n.exchange.IncarnationRenewals(),
	}
}

// New returns a node without peers.
func New(o Options) *Node {
	return &Node{
		options:    o,
		clients:    newClients(o.Dial),
		membership: membership.New(membership.Config{Self: o.Self}),
		exchange: exchange.New(exchange.Config{
			Self: o.Self, Incarnation: o.Incarnation, Seed: o.Seed,
		}),
	}
}

// Run exchanges messages with the peers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.clients.closeOthers(nil)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var lastShare, lastSeedContact, lastMembershipTick time.Time
	for {
		select {
		case now := <-ticker.C:
			if now.Sub(lastShare) >= sharePeriod {
				lastShare = now
				n.shareWork()
			}
			if now.Sub(lastSeedContact) >= n.seedInterval() {
				lastSeedContact = now
				n.contactSeeds()
			}
			if now.Sub(lastMembershipTick) >= membershipPeriod {
				lastMembershipTick = now
				n.updateOrderLease()
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
	n.stepExchange(exchange.Tick{})
}

// updateOrderLease reports to the state machines whether this instance holds
// the order lease.
func (n *Node) updateOrderLease() {
	if n.options.Hooks.HoldsOrderLease == nil {
		return
	}
	on := n.options.Hooks.HoldsOrderLease()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepMembership(membership.OrderLeaseHeld{Held: on})
	n.stepExchange(exchange.OrderLeaseHeld{Held: on})
}

// shareWork queues the scheduler's recent work for the peers.
func (n *Node) shareWork() {
	update := n.options.Hooks.TakePeerUpdate()
	if len(update.Service)+len(update.Dispatches)+len(update.Queues)+len(update.Demand) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepExchange(exchange.LocalWork{Update: update})
}

// seedInterval returns the time between two attempts to join the seeds.
func (n *Node) seedInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.peerCount == 0 {
		return seedIntervalAlone
	}
	return seedIntervalKnown
}

// contactSeeds sends this instance's profile to at most maxSeeds seeds.
func (n *Node) contactSeeds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, seed := range n.options.Seeds {
		if seed != n.options.Self.Address && i < maxSeeds {
			n.stepExchange(exchange.Join{Address: seed})
		}
	}
}

// ApplyMembership applies an event about instances or upstreams.
func (n *Node) ApplyMembership(ev membership.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepMembership(ev)
}

// Configure applies a declaration that was put in force, unless its version is
// not newer than the last one applied.
func (n *Node) Configure(version int64, d *declare.Declaration) {
	n.textHistory.add(n.options.Config.Record())
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.configVersion {
		return
	}
	n.configVersion = version
	n.stepExchange(exchange.Configured{Version: version, Dictionary: exchange.NewDictionary(d)})
	n.stepMembership(membership.Declared{Upstreams: d.Upstreams})
}

// Leave announces to the peers that this instance is stopping.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepMembership(membership.Leave{})
	n.stepExchange(exchange.Leave{})
}

// Instances returns the other known instances, sorted by ID.
func (n *Node) Instances() []membership.InstanceInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Instances()
}

// Upstreams returns the declared upstreams with their states, in declared
// order.
func (n *Node) Upstreams() []membership.UpstreamInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Upstreams()
}

// stepMembership applies an event to the membership and executes the resulting
// commands. The node must be locked.
func (n *Node) stepMembership(ev membership.Event) {
	n.membership.Step(n.options.Now(), ev)
	for _, c := range n.membership.Ready() {
		n.runMembershipCommand(c)
	}
}

// stepExchange applies an event to the exchange and executes the resulting
// commands. The node must be locked.
func (n *Node) stepExchange(ev exchange.Event) {
	n.exchange.Step(n.options.Now(), ev)
	n.runExchangeCommands()
}

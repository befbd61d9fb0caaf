package peer

import (
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/exchange"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// runMembershipCommand executes one command of the membership. The node must be
// locked.
func (n *Node) runMembershipCommand(c membership.Command) {
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
		n.stepExchange(exchange.Polled{Report: c.Report})
	case membership.PublishMark:
		n.stepExchange(exchange.MarkAdded{Mark: c.Mark})
	case membership.RemoveMark:
		n.stepExchange(exchange.MarkRemoved{Mark: c.Mark})
	case membership.Poll:
		hooks.SetPolled(c.Upstreams)
	case membership.WatchConfig:
		hooks.WatchConfig(c.On)
	case membership.Peers:
		n.setPeers(c.Peers)
	}
}

// setPeers replaces the peers and closes the connections to all other addresses
// but the seeds. The node must be locked.
func (n *Node) setPeers(peers []membership.Peer) {
	n.peerCount = len(peers)
	addresses := map[string]bool{}
	for _, p := range peers {
		addresses[p.Address] = true
	}
	for _, seed := range n.options.Seeds {
		addresses[seed] = true
	}
	n.clients.closeOthers(addresses)
	n.stepExchange(exchange.Peers{Peers: peers})
}

// runExchangeCommands executes the pending commands of the exchange. The node
// must be locked.
func (n *Node) runExchangeCommands() {
	for _, c := range n.exchange.Ready() {
		switch c := c.(type) {
		case exchange.Send:
			go n.push(c)
		case exchange.SendJoin:
			go n.join(c)
		case exchange.MembershipEvent:
			n.stepMembership(c.Event)
		case exchange.PeerDemand:
			if n.options.Hooks.PeerDemand != nil {
				n.options.Hooks.PeerDemand(c.Demand)
			}
		case exchange.SchedulerEvent:
			n.options.Hooks.Schedule(c.Event)
		case exchange.Fetch:
			go n.fetchConfig(c)
		}
	}
}

// push sends a message to a peer and applies the reply.
func (n *Node) push(c exchange.Send) {
	var out Delta
	err := n.clients.call(c.Address, pushMethod, Delta{c.Payload}, &out, pushTimeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.pushFailures++
		n.options.Log.Debug("push failed", zap.String("peer", string(c.Peer)), zap.Error(err))
		n.stepExchange(exchange.SendFailed{Peer: c.Peer})
		return
	}
	n.stepExchange(exchange.SendReplied{Peer: c.Peer, Payload: out.Payload})
}

// join sends this instance's profile to a seed and applies the reply.
func (n *Node) join(c exchange.SendJoin) {
	var out Delta
	if err := n.clients.call(c.Address, pushMethod, Delta{c.Payload}, &out, pushTimeout); err != nil {
		n.options.Log.Debug("seed did not answer", zap.String("seed", c.Address), zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepExchange(exchange.JoinReplied{Payload: out.Payload})
}

// fetchConfig requests a newer configuration from a peer and offers it to the
// ConfigSource.
func (n *Node) fetchConfig(c exchange.Fetch) {
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

package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// peerService charges a member for service received at another instance.
func (s *Scheduler) peerService(ev PeerService) {
	m, ok := s.members.find(ev.Member)
	g, ok2 := s.groups.find(ev.Group)
	if ok && ok2 && !s.config.Ablation.NoFair {
		s.groupStates[g].queue.Charge(m, ev.Cost)
		s.groupStates[g].shareLimiter.member(m).servedCost += ev.Cost
	}
}

// peerQueue is the last known state of a peer's fair queue of one group; the
// fields are those of PeerQueueState.
type peerQueue struct {
	instance                     fleet.InstanceID
	startTag                     float64
	backlogged, saturatesEngines bool
	receivedAt                   fleet.Instant
	// prefillCost and tokenCost are the peer's estimates of the cost units, in
	// engine-seconds per token.
	prefillCost, tokenCost float64
}

const (
	// peerQueueTTL is how long a peer's queue state counts without an update:
	// three exchanges.
	peerQueueTTL = 3 * time.Second
	// leadSlackSeconds is the lead over a peer, in seconds of the fleet's
	// service, up to which an instance does not yield. It covers a few
	// exchanges, because smaller leads are noise and yielding to them costs
	// goodput, and is small against the minute over which the share error is
	// specified.
	leadSlackSeconds = 4
	// saturationSeconds is the queued work per engine of the group, in seconds,
	// from which a queue saturates the engines: one exchange period and the
	// delay of its message.
	saturationSeconds = 1.3
)

// peerQueue stores the state of a peer's queue, drops expired ones and advances
// virtual time to the least start tag of the backlogged peers.
func (s *Scheduler) peerQueue(ev PeerQueueState) {
	i, ok := s.groups.find(ev.Group)
	if !ok || s.config.Ablation.NoFair || ev.Instance == s.config.Instance {
		return
	}
	g := &s.groupStates[i]
	state := peerQueue{ev.Instance, ev.StartTag, ev.Backlogged, ev.SaturatesEngines, s.now, ev.PrefillCost, ev.TokenCost}
	found := false
	kept := g.peerQueues[:0]
	for _, peer := range g.peerQueues {
		if peer.instance == ev.Instance {
			peer, found = state, true
		}
		if s.now-peer.receivedAt < peerQueueTTL {
			kept = append(kept, peer)
		}
	}
	if !found {
		kept = append(kept, state)
	}
	g.peerQueues = kept
	if least, ok := g.minPeerStartTag(s.now); ok {
		g.queue.AdvanceVirtualTime(least)
	}
}

// minPeerStartTag returns the least start tag of the backlogged peers; ok is
// false if there are none.
func (g *groupState) minPeerStartTag(now fleet.Instant) (least float64, ok bool) {
	for _, peer := range g.peerQueues {
		if peer.backlogged && now-peer.receivedAt < peerQueueTTL && (!ok || peer.startTag < least) {
			least, ok = peer.startTag, true
		}
	}
	return least, ok
}

// livePeers returns the number of peers whose queue state has not expired.
func (g *groupState) livePeers(now fleet.Instant) (n int) {
	for _, peer := range g.peerQueues {
		if now-peer.receivedAt < peerQueueTTL {
			n++
		}
	}
	return n
}

// peerHasBacklog reports whether requests are queued at a peer for the same
// engines.
func (g *groupState) peerHasBacklog(now fleet.Instant) bool {
	_, backlogged := g.minPeerStartTag(now)
	return backlogged
}

// yieldsToPeer reports whether this instance is ahead of a peer whose queue
// alone keeps the engines busy. Yielding to peers with short queues as well
// costs 3 percentage points of goodput and 13 of tokens in mixshift's
// deployment Hrafnsey. Yielding only a part of the engines' room leaves engines
// unused without giving the peers their share.
func (g *groupState) yieldsToPeer(now fleet.Instant) bool {
	own, ok := g.queue.NextStartTag()
	if !ok {
		return false
	}
	for _, peer := range g.peerQueues {
		if peer.saturatesEngines && peer.startTag+g.leadSlack < own && now-peer.receivedAt < peerQueueTTL {
			return true
		}
	}
	return false
}

// peerDispatch adds work dispatched by a peer to an engine's estimated load.
func (s *Scheduler) peerDispatch(ev PeerDispatch) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok || s.config.Ablation.NoPeerDispatch {
		return
	}
	e := &s.router.Engines[i]
	tokens := float64(ev.PromptTokens)
	s.router.ObservePeerExchange(s.now)
	e.PeerDispatched(ev.At, tokens*e.Speed.PrefillPerToken, ev.OutputTokens > 0, float64(ev.PromptTokens+ev.OutputTokens))
}

package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func (s *Scheduler) peerService(ev PeerService) {
	m, ok := s.members.find(ev.Member)
	g, ok2 := s.groups.find(ev.Group)
	if ok && ok2 && !s.config.Ablate.NoFair {
		s.groupStates[g].queue.Charge(m, ev.Cost)
		s.groupStates[g].shares.of(m).served += ev.Cost
	}
}

type peerTurn struct {
	instance         fleet.InstanceID
	start            float64
	backlogged, deep bool
	at               fleet.Instant
	// prefillCost and tokenCost are the peer's estimates.
	prefillCost, tokenCost float64
}

const (
	// turnLife is how long a peer's turn counts without an update, three
	// exchanges.
	turnLife = 3 * time.Second
	// turnSlackSeconds is the lead in seconds of the fleet's service. It covers
	// a few exchanges, because smaller leads are noise and restricting them
	// costs goodput, and stays small against the minute of the share error.
	turnSlackSeconds = 4
	// deepSeconds is the work of every engine of the group in a deep queue, one
	// exchange and the delay of its message.
	deepSeconds = 1.3
)

func (s *Scheduler) peerTurn(ev PeerQueueState) {
	i, ok := s.groups.find(ev.Group)
	if !ok || s.config.Ablate.NoFair || ev.Instance == s.config.Instance {
		return
	}
	g := &s.groupStates[i]
	turn := peerTurn{ev.Instance, ev.StartTag, ev.Backlogged, ev.SaturatesEngines, s.now, ev.PrefillCost, ev.TokenCost}
	found := false
	kept := g.turns[:0]
	for _, t := range g.turns {
		if t.instance == ev.Instance {
			t, found = turn, true
		}
		if s.now-t.at < turnLife {
			kept = append(kept, t)
		}
	}
	if !found {
		kept = append(kept, turn)
	}
	g.turns = kept
	if least, ok := g.leastTurn(s.now); ok {
		g.queue.AdvanceVirtualTime(least)
	}
}

// leastTurn returns the least start tag of the backlogged peers.
func (g *groupState) leastTurn(now fleet.Instant) (least float64, ok bool) {
	for _, t := range g.turns {
		if t.backlogged && now-t.at < turnLife && (!ok || t.start < least) {
			least, ok = t.start, true
		}
	}
	return least, ok
}

func (g *groupState) peers(now fleet.Instant) (n int) {
	for _, t := range g.turns {
		if now-t.at < turnLife {
			n++
		}
	}
	return n
}

// peerWaits tells that work waits at a peer for the same engines.
func (g *groupState) peerWaits(now fleet.Instant) bool {
	_, waits := g.leastTurn(now)
	return waits
}

// givesWay tells that this instance is ahead of one with a deep queue, which
// alone keeps the engines busy. Giving way to short queues cost MixShift 3 points
// of goodput and 13 of tokens at Hrafnsey, and a part of the engines' room left
// engines unused without giving the others their share.
func (g *groupState) givesWay(now fleet.Instant) bool {
	own, ok := g.queue.NextStartTag()
	if !ok {
		return false
	}
	for _, t := range g.turns {
		if t.deep && t.start+g.turnSlack < own && now-t.at < turnLife {
			return true
		}
	}
	return false
}

func (s *Scheduler) peerDispatch(ev PeerDispatch) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok || s.config.Ablate.NoPeerDispatch {
		return
	}
	e := &s.router.Engines[i]
	tokens := float64(ev.PromptTokens)
	s.router.ObservePeerExchange(s.now)
	e.PeerDispatched(ev.At, tokens*e.Speed.PrefillPerToken, ev.OutputTokens > 0, float64(ev.PromptTokens+ev.OutputTokens))
}

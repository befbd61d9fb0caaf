package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// nameTable maps names to dense indices. An index stays valid for the life of
// the scheduler, so that learned state survives changes of the configuration.
type nameTable[K comparable] struct {
	index map[K]int32
	names []K
}

// intern returns the index of a name, adding the name if it is new.
func (t *nameTable[K]) intern(name K) int32 {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = map[K]int32{}
	}
	i := int32(len(t.names))
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

// find returns the index of a name; the result is false for an unknown name.
func (t *nameTable[K]) find(name K) (int32, bool) {
	i, ok := t.index[name]
	return i, ok
}

// memberState is the state of one member over all groups.
type memberState struct {
	declared        bool
	share           float64
	queued, running int
	// servedCost is the cost served at this instance, in engine-seconds.
	servedCost float64
}

// kindState is the declaration of one kind and the learned error of its
// first-token estimates.
type kindState struct {
	declared                                   bool
	kind                                       declare.Kind
	group                                      int32
	firstTokenTarget, tokenGapTarget, deadline float64 // seconds
	firstTokenError                            firstTokenError
}

// groupState is the state of one group of upstreams: its fair queue, its cost
// units and what was learned about its load.
type groupState struct {
	// service reports whether the upstreams are plain services, whose requests
	// are not queued.
	service      bool
	queue        *fair.Queue
	shareLimiter shareLimiter
	// prefillCost and tokenCost are the group's cost units: mean engine-seconds
	// per uncached prompt token and per output token.
	prefillCost, tokenCost float64
	// ownPrefillCost and ownTokenCost are the instance's own estimates.
	ownPrefillCost, ownTokenCost float64
	// dispatchedCost is the cost dispatched since the last refresh;
	// dispatchRate is the cost per second that this instance can dispatch,
	// learned while work is queued.
	dispatchedCost, dispatchRate float64
	backlogged                   bool
	// peerQueues holds the state of the peers' queues; leadSlack is the lead
	// over the start tag of a peer, in cost units per unit of share, above
	// which this instance yields to the peer.
	peerQueues []peerQueue
	leadSlack  float64
	// lastUsableAt is when the group last had a usable upstream.
	lastUsableAt fleet.Instant
	// cachedShare is the learned part of prompt tokens found in prefix caches.
	cachedShare float64
	// cachedTokens and promptTokens are the averages whose ratio is
	// cachedShare.
	cachedTokens, promptTokens float64
	// promptDemand, outputDemand and contextDemand are the tokens of
	// GroupDemand for the requests that arrived since the last TakePeerUpdate,
	// refused ones included.
	promptDemand, outputDemand, contextDemand float64
}

// upstreamState is the declared and reported state of one upstream; the rest is
// in the router's Engine.
type upstreamState struct {
	declared    bool
	dataCentre  fleet.DataCentre
	group       int32 // index of the group, -1 before the first declaration
	available   bool
	leaving     bool
	held        bool
	incarnation fleet.Incarnation
	// lastReport is the previous report, to whose counters the next is
	// compared.
	lastReport LoadReport
}

// refresh recomputes averages and rates; elapsed is the seconds since the last
// call.
func (s *Scheduler) refresh(elapsed float64) {
	if !s.config.Ablation.NoLearning {
		s.speeds.Refresh()
	}
	for i := range s.upstreamStates {
		s.updateEngine(int32(i))
		s.router.Engines[i].Refresh(elapsed)
	}
	s.refreshCostUnits()
	for k := range s.kindStates {
		s.kindStates[k].firstTokenError.decay()
	}
	for g := range s.groupStates {
		s.groupStates[g].refreshDispatchRate(elapsed)
		s.groupStates[g].shareLimiter.refresh(elapsed, s.memberStates, float64(1+s.groupStates[g].livePeers(s.now)))
	}
}

// dispatchRateGain is the weight of a new sample in the learned dispatch rate.
const dispatchRateGain = 0.2

// refreshDispatchRate updates the dispatch rate by the cost dispatched in the
// last elapsed seconds. Without a backlog that is only a lower bound.
func (g *groupState) refreshDispatchRate(elapsed float64) {
	rate := g.dispatchedCost / math.Max(elapsed, 1e-3)
	switch {
	case g.dispatchRate == 0 && g.backlogged:
		g.dispatchRate = rate
	case g.backlogged:
		g.dispatchRate += dispatchRateGain * (rate - g.dispatchRate)
	default:
		g.dispatchRate = math.Max(g.dispatchRate, rate)
	}
	g.dispatchedCost, g.backlogged = 0, false
}

// refreshCostUnits recomputes the groups' cost units as the mean over the
// engines whose role includes the work.
func (s *Scheduler) refreshCostUnits() {
	for g := range s.groupStates {
		var prefill, token mean
		for _, i := range s.router.Groups[g] {
			e := &s.router.Engines[i]
			if e.Role != fleet.RoleDecode {
				prefill.add(e.Speed.PrefillPerToken)
			}
			if e.Role != fleet.RolePrefill {
				token.add(e.Speed.TokenCost())
			}
		}
		x := &s.groupStates[g]
		x.ownPrefillCost = prefill.valueOr(s.config.PriorSpeed.PrefillPerToken)
		x.ownTokenCost = token.valueOr(s.config.PriorSpeed.TokenCost())
		x.averageUnitsWithPeers(s.now)
	}
}

// averageUnitsWithPeers sets the cost units to the mean of the own and the
// peers' estimates. Instances see different engines and batches, so that a
// member would otherwise be charged differently at each of them.
func (g *groupState) averageUnitsWithPeers(now fleet.Instant) {
	var prefill, token mean
	prefill.add(g.ownPrefillCost)
	token.add(g.ownTokenCost)
	for _, peer := range g.peerQueues {
		if now-peer.receivedAt < peerQueueTTL && peer.prefillCost > 0 && peer.tokenCost > 0 {
			prefill.add(peer.prefillCost)
			token.add(peer.tokenCost)
		}
	}
	g.prefillCost, g.tokenCost = prefill.valueOr(0), token.valueOr(0)
}

// mean accumulates an arithmetic mean.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

// valueOr returns the mean, or x if nothing was added.
func (m *mean) valueOr(x float64) float64 {
	if m.n == 0 {
		return x
	}
	return m.sum / m.n
}

// cost returns the cost of uncached prompt and output tokens, in
// engine-seconds.
func (s *Scheduler) cost(group int32, uncached, output float64) float64 {
	g := &s.groupStates[group]
	return uncached*g.prefillCost + output*g.tokenCost
}

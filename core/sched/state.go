package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// table gives names dense indices. An index stays valid for the life of the
// scheduler, so that learned state survives changes of the configuration.
type table[K comparable] struct {
	index map[K]int32
	names []K
}

// of returns the index of a name and adds it if it is new.
func (t *table[K]) of(name K) int32 {
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

func (t *table[K]) find(name K) (int32, bool) {
	i, ok := t.index[name]
	return i, ok
}

type memberState struct {
	declared        bool
	share           float64
	queued, running int
	served          float64
}

type kindState struct {
	declared               bool
	kind                   declare.Kind
	group                  int32
	firstToken, gap, limit float64 // seconds
	first                  firstError
}

type groupState struct {
	service bool
	queue   *fair.Queue
	shares  shareLedger
	// prefillCost and tokenCost are the group's cost units: mean engine-seconds
	// per uncached prompt token and per output token.
	prefillCost, tokenCost float64
	// ownPrefillCost and ownTokenCost are the instance's own estimates.
	ownPrefillCost, ownTokenCost float64
	// released is the cost released since the last refresh, rate the cost per
	// second that this instance can release, learned while work is queued.
	released, rate float64
	backlogged     bool
	// turns are the peers' turns, turnSlack the lead over the least of them
	// from which this instance leaves room to the others.
	turns     []peerTurn
	turnSlack float64
	// usableAt is when the group last had a usable upstream.
	usableAt fleet.Instant
	// cachedShare is the learned part of prompts found in prefix caches.
	cachedShare float64
	// cachedTokens and promptTokens are the running means it is made from.
	cachedTokens, promptTokens float64
	// promptDemand and outputDemand are the tokens of the requests that
	// arrived since the last TakeShared, refused ones included.
	promptDemand, outputDemand, contextDemand float64
}

type upstreamState struct {
	declared    bool
	dataCentre  fleet.DataCentre
	group       int32
	available   bool
	leaving     bool
	held        bool
	incarnation fleet.Incarnation
	// last is the report before, for the differences of its counters.
	last LoadReport
}

// refresh recomputes what changes slowly. elapsed is seconds.
func (s *Scheduler) refresh(elapsed float64) {
	if !s.config.Ablate.NoLearning {
		s.speeds.Refresh()
	}
	for i := range s.upstreamStates {
		s.updateEngine(int32(i))
		s.router.Engines[i].Refresh(elapsed)
	}
	s.refreshUnits()
	for k := range s.kindStates {
		s.kindStates[k].first.decay()
	}
	for g := range s.groupStates {
		s.groupStates[g].refreshRate(elapsed)
		s.groupStates[g].shares.refresh(elapsed, s.memberStates, float64(1+s.groupStates[g].peers(s.now)))
	}
}

// rateGain is the weight of a new second in the learned release rate.
const rateGain = 0.2

func (g *groupState) refreshRate(elapsed float64) {
	rate := g.released / math.Max(elapsed, 1e-3)
	switch {
	case g.rate == 0 && g.backlogged:
		g.rate = rate
	case g.backlogged:
		g.rate += rateGain * (rate - g.rate)
	default:
		g.rate = math.Max(g.rate, rate)
	}
	g.released, g.backlogged = 0, false
}

// refreshUnits recomputes the groups' cost units as the mean over the engines
// that do the work in their role.
func (s *Scheduler) refreshUnits() {
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
		x.ownPrefillCost = prefill.or(s.config.PriorSpeed.PrefillPerToken)
		x.ownTokenCost = token.or(s.config.PriorSpeed.TokenCost())
		x.agreeUnits(s.now)
	}
}

// agreeUnits takes the mean of the own and the peers' estimates. Instances see
// different engines and batches, and a member would be charged differently at
// each of them.
func (g *groupState) agreeUnits(now fleet.Instant) {
	var prefill, token mean
	prefill.add(g.ownPrefillCost)
	token.add(g.ownTokenCost)
	for _, t := range g.turns {
		if now-t.at < turnLife && t.prefillCost > 0 && t.tokenCost > 0 {
			prefill.add(t.prefillCost)
			token.add(t.tokenCost)
		}
	}
	g.prefillCost, g.tokenCost = prefill.or(0), token.or(0)
}

type mean struct{ sum, n float64 }

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

func (m *mean) or(x float64) float64 {
	if m.n == 0 {
		return x
	}
	return m.sum / m.n
}

func (s *Scheduler) cost(group int32, uncached, output float64) float64 {
	g := &s.groupStates[group]
	return uncached*g.prefillCost + output*g.tokenCost
}

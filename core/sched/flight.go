package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

const (
	// gapSampleTokens is the number of tokens over which a token gap is
	// averaged for learning.
	gapSampleTokens = 16
	// minOwnPrefill is the least part of a first token time that must be the
	// request's own prefill for it to teach the prefill speed; the rest is an
	// estimate of other work.
	minOwnPrefill = 0.5
	// initialServiceTime is the assumed seconds of a call at a plain service.
	initialServiceTime = 0.05
	serviceTimeGain    = 0.1
	cachedShareGain    = 0.005
)

func (s *Scheduler) dispatch(t *tracked) {
	c := &t.choice
	g := &s.groupStates[t.group]
	actual := s.cost(t.group, c.Uncached, t.output)
	g.queue.Charge(t.item.Member, actual-t.item.Cost)
	g.released += actual
	s.account(t, actual)
	t.dispatched, t.running = s.now, true
	t.attempts++
	s.memberStates[t.member].running++
	path := PathLocal
	prefill := fleet.UpstreamID("")
	target := &s.router.Engines[c.Engine]
	if c.PrefillEngine != route.None {
		path, prefill = PathSplit, s.upstreams.names[c.PrefillEngine]
		s.router.Engines[c.PrefillEngine].InFlight++
		s.send(c.PrefillEngine, c.Uncached, 0, c.PrefillSeconds, t.prompt)
		s.send(c.Engine, 0, t.output, 0, t.prompt+t.output)
	} else {
		s.send(c.Engine, c.Uncached, t.output, c.PrefillSeconds, t.prompt+t.output)
	}
	target.RecordGapTarget(s.kindStates[t.kind].gap)
	target.InFlight++
	target.Decoding++
	s.learnPlacement(t)
	s.ready = append(s.ready, Dispatch{ID: t.ID, Choice: Choice{
		Path: path, Target: s.upstreams.names[c.Engine], Prefill: prefill, Reason: string(c.Reason),
	}})
}

// send records work at an engine, here and for the peers.
func (s *Scheduler) send(i int32, prompt, output, prefillSeconds, kv float64) {
	s.router.Engines[i].Dispatched(s.now, prefillSeconds, output > 0, kv)
	s.shared.dispatched(PeerDispatch{
		Upstream: s.upstreams.names[i], At: s.now,
		PromptTokens: int(math.Ceil(prompt)), OutputTokens: int(math.Ceil(output)),
	})
}

// learnPlacement expects the engines that see the prompt to cache it.
func (s *Scheduler) learnPlacement(t *tracked) {
	if s.blocks == nil {
		return
	}
	s.blocks.Insert(t.choice.Engine, t.Blocks)
	if t.choice.PrefillEngine != route.None {
		s.blocks.Insert(t.choice.PrefillEngine, t.Blocks)
	}
}

// account charges cost to a member for peers and operators.
func (s *Scheduler) account(t *tracked, cost float64) {
	t.charged += cost
	s.memberStates[t.member].served += cost
	s.groupStates[t.group].shares.of(t.member).served += cost
	s.shared.served(t.member, t.group, cost)
}

func (s *Scheduler) dispatchService(t *tracked) {
	i, ok := s.router.PickService(t.group, t.avoid)
	if !ok {
		s.refuse(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available"))
		return
	}
	t.choice = route.Choice{Engine: i, PrefillEngine: route.None, Reason: route.ReasonService}
	t.dispatched, t.running = s.now, true
	t.attempts++
	s.router.Engines[i].InFlight++
	s.memberStates[t.member].running++
	s.ready = append(s.ready, Dispatch{ID: t.ID, Choice: Choice{
		Path: PathService, Target: s.upstreams.names[i], Reason: string(route.ReasonService),
	}})
}

// land removes a running request's work from its engines.
func (s *Scheduler) land(t *tracked) {
	t.running = false
	s.memberStates[t.member].running--
	target := &s.router.Engines[t.choice.Engine]
	target.InFlight--
	if s.groupStates[t.group].service {
		return
	}
	target.Decoding--
	if t.choice.PrefillEngine != route.None {
		p := &s.router.Engines[t.choice.PrefillEngine]
		p.InFlight--
	}
}

func (s *Scheduler) firstToken(id fleet.RequestID) {
	t, ok := s.requests[id]
	if !ok || !t.running || t.first != 0 {
		return
	}
	t.first, t.sampledAt = s.now, s.now
	t.prefillDone = s.router.Engines[t.choice.Engine].PrefillDone(s.now)
	if s.config.Ablate.NoLearning || s.groupStates[t.group].service {
		return
	}
	c := &t.choice
	s.kindStates[t.kind].first.observe((s.now - t.dispatched).Seconds() / math.Max(c.FirstToken, 1e-3))
	own := c.PrefillSeconds
	if own < minOwnPrefill*(c.PrefillWait+own) {
		return
	}
	// Everything in the estimate but prefill, such as one decode step and the
	// KV transfer, is taken as correct.
	other := c.FirstToken - c.PrefillWait - own
	took := (s.now - t.dispatched).Seconds() - other
	engine := c.Engine
	if c.PrefillEngine != route.None {
		engine = c.PrefillEngine
	}
	s.speeds.ObservePrefill(engine, s.router.Engines[engine].Role, c.Uncached, took*own/(c.PrefillWait+own))
	s.updateEngine(engine)
}

func (s *Scheduler) progress(ev Tokens) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	t.produced += ev.N
	t.longest = max(t.longest, ev.LongestGap)
	n := t.produced - t.sampled
	if n < gapSampleTokens || t.first == 0 || s.config.Ablate.NoLearning {
		return
	}
	e := &s.router.Engines[t.choice.Engine]
	gap := (s.now - t.sampledAt).Seconds() / float64(n)
	e.ObserveGap(s.now, gap)
	if t.longest > 0 {
		e.ObserveLongestGap(s.now, n, t.longest.Seconds())
		t.longest = 0
	}
	s.speeds.ObserveStep(t.choice.Engine, e.Role, math.Max(e.RunningSequences(s.now), 1), e.ContextTokens(s.now), gap)
	t.sampled, t.sampledAt = t.produced, s.now
	s.updateEngine(t.choice.Engine)
}

func (s *Scheduler) finished(ev Finished) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	s.land(t)
	if s.groupStates[t.group].service {
		e := &s.router.Engines[t.choice.Engine]
		e.ServiceTime += serviceTimeGain * ((s.now - t.dispatched).Seconds() - e.ServiceTime)
		s.forget(t)
		return
	}
	s.router.Engines[t.choice.Engine].ObserveStreamDuration((s.now - t.dispatched).Seconds())
	s.settle(t, ev.Usage)
	s.learnUsage(t, ev.Usage)
	group := t.group
	s.forget(t)
	s.pump(group)
}

// settle replaces the predicted cost by the cost of the real usage.
func (s *Scheduler) settle(t *tracked, u fleet.Usage) {
	if u.PromptTokens == 0 && u.OutputTokens == 0 {
		return
	}
	actual := s.cost(t.group, float64(u.PromptTokens-u.CachedTokens), float64(u.OutputTokens))
	s.correct(t, actual)
}

func (s *Scheduler) correct(t *tracked, actual float64) {
	difference := actual - t.charged
	s.groupStates[t.group].queue.Charge(t.item.Member, difference)
	s.account(t, difference)
}

func (s *Scheduler) learnUsage(t *tracked, u fleet.Usage) {
	if !s.config.Ablate.NoLearning {
		s.tokens.Observe(t.member, t.kind, t.PromptTokens, u.PromptTokens, u.OutputTokens)
	}
	if u.PromptTokens == 0 {
		return
	}
	g := &s.groupStates[t.group]
	// The sums weigh by tokens: short prompts are many and never cached.
	g.cachedTokens += cachedShareGain * (float64(u.CachedTokens) - g.cachedTokens)
	g.promptTokens += cachedShareGain * (float64(u.PromptTokens) - g.promptTokens)
	g.cachedShare = g.cachedTokens / math.Max(g.promptTokens, 1)
	if s.blocks == nil {
		return
	}
	engine := t.choice.Engine
	if t.choice.PrefillEngine != route.None {
		engine = t.choice.PrefillEngine
	}
	s.blocks.ObserveHit(engine, t.choice.CachedTokens, float64(u.CachedTokens))
}

func (s *Scheduler) cancel(id fleet.RequestID) {
	t, ok := s.requests[id]
	if !ok {
		return
	}
	if !t.running {
		s.groupStates[t.group].queue.Remove(&t.item)
		s.unqueue(t)
		s.forget(t)
		return
	}
	s.ready = append(s.ready, CancelAt{ID: id, Upstream: s.upstreams.names[t.choice.Engine]})
	if t.choice.PrefillEngine != route.None {
		s.ready = append(s.ready, CancelAt{ID: id, Upstream: s.upstreams.names[t.choice.PrefillEngine]})
	}
	s.abandon(t)
	group := t.group
	s.forget(t)
	s.pump(group)
}

// abandon lands a request without an answer; its member pays for the prefill
// and for the tokens that were produced.
func (s *Scheduler) abandon(t *tracked) {
	s.land(t)
	if !s.groupStates[t.group].service {
		s.correct(t, s.cost(t.group, t.choice.Uncached, float64(t.produced)))
	}
}

func (s *Scheduler) failed(ev Failed) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	s.land(t)
	service := s.groupStates[t.group].service
	if !service {
		// The member does not pay for work lost with an upstream.
		s.correct(t, 0)
	}
	group := t.group
	if !ev.Retry {
		s.forget(t)
		s.pump(group)
		return
	}
	s.retry(t, ev.Upstream)
	if !service {
		s.pump(group)
	}
}

// retry queues a request again; the failed upstream is its last choice. When
// the prefill of a split request failed, the decode engine does both parts.
func (s *Scheduler) retry(t *tracked, failed fleet.UpstreamID) {
	t.avoid, t.only = t.choice.Engine, route.None
	if i, ok := s.upstreams.find(failed); ok {
		t.avoid = i
	}
	if t.choice.PrefillEngine != route.None && t.avoid == t.choice.PrefillEngine {
		t.only = t.choice.Engine
	}
	t.first, t.produced, t.sampled, t.longest, t.charged = 0, 0, 0, 0, 0
	if s.groupStates[t.group].service {
		s.dispatchService(t)
		return
	}
	if !s.usable(t.group) {
		s.refuse(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available"))
		return
	}
	s.enqueue(t)
}

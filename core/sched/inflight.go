package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

const (
	// gapSampleTokens is the number of tokens over which a sample of the mean
	// token gap is taken.
	gapSampleTokens = 16
	// minOwnPrefillShare is the least part of the prefill time in a
	// first-token time, queue included, that must be the request's own for the
	// first-token time to be a sample of the prefill speed. The rest is an
	// estimate of other requests' work.
	minOwnPrefillShare = 0.5
	// initialServiceSeconds is the assumed time of a call at a plain service
	// before any call was observed.
	initialServiceSeconds = 0.05
	// serviceTimeGain and cachedShareGain are the weights of a new sample in
	// the averages of the service time and of the cached part of prompts.
	serviceTimeGain = 0.1
	cachedShareGain = 0.005
)

// dispatch sends a request to the engines of its choice and corrects the charge
// by the predicted cache hit.
func (s *Scheduler) dispatch(t *trackedRequest) {
	c := &t.choice
	g := &s.groupStates[t.group]
	actual := s.cost(t.group, c.UncachedTokens, t.predictedOutput)
	g.queue.Charge(t.item.Member, actual-t.item.Cost)
	g.dispatchedCost += actual
	s.recordService(t, actual)
	t.dispatchedAt, t.running = s.now, true
	t.attempts++
	s.memberStates[t.member].running++
	path := PathLocal
	prefill := fleet.UpstreamID("")
	target := &s.router.Engines[c.Engine]
	if c.PrefillEngine != route.None {
		path, prefill = PathSplit, s.upstreams.names[c.PrefillEngine]
		s.router.Engines[c.PrefillEngine].InFlight++
		s.recordDispatch(c.PrefillEngine, c.UncachedTokens, 0, c.PrefillSeconds, t.predictedPrompt)
		s.recordDispatch(c.Engine, 0, t.predictedOutput, 0, t.predictedPrompt+t.predictedOutput)
	} else {
		s.recordDispatch(c.Engine, c.UncachedTokens, t.predictedOutput, c.PrefillSeconds, t.predictedPrompt+t.predictedOutput)
	}
	target.RecordTokenGapTarget(s.kindStates[t.kind].tokenGapTarget)
	target.InFlight++
	target.Decoding++
	s.learnPlacement(t)
	s.ready = append(s.ready, Dispatch{ID: t.ID, Choice: Choice{
		Path: path, Target: s.upstreams.names[c.Engine], PrefillTarget: prefill, Reason: string(c.Reason),
	}})
}

// recordDispatch adds work to an engine's estimated load and to the log for
// the peers.
func (s *Scheduler) recordDispatch(i int32, prompt, output, prefillSeconds, kv float64) {
	s.router.Engines[i].Dispatched(s.now, prefillSeconds, output > 0, kv)
	s.peerLog.addDispatch(PeerDispatch{
		Upstream: s.upstreams.names[i], At: s.now,
		PromptTokens: int(math.Ceil(prompt)), OutputTokens: int(math.Ceil(output)),
	})
}

// learnPlacement adds the prompt to the prefix index of the engines that
// process it, which are expected to cache it.
func (s *Scheduler) learnPlacement(t *trackedRequest) {
	if s.blocks == nil {
		return
	}
	s.blocks.Insert(t.choice.Engine, t.Blocks)
	if t.choice.PrefillEngine != route.None {
		s.blocks.Insert(t.choice.PrefillEngine, t.Blocks)
	}
}

// recordService adds cost to a member's service in the totals for peers and
// operators; a negative cost corrects an earlier one.
func (s *Scheduler) recordService(t *trackedRequest, cost float64) {
	t.chargedCost += cost
	s.memberStates[t.member].servedCost += cost
	s.groupStates[t.group].shareLimiter.member(t.member).servedCost += cost
	s.peerLog.addService(t.member, t.group, cost)
}

// dispatchService sends a request to a plain service at once, or refuses it
// when no service of the group is available.
func (s *Scheduler) dispatchService(t *trackedRequest) {
	i, ok := s.router.PickService(t.group, t.avoidEngine)
	if !ok {
		s.refuse(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available"))
		return
	}
	t.choice = route.Choice{Engine: i, PrefillEngine: route.None, Reason: route.ReasonService}
	t.dispatchedAt, t.running = s.now, true
	t.attempts++
	s.router.Engines[i].InFlight++
	s.memberStates[t.member].running++
	s.ready = append(s.ready, Dispatch{ID: t.ID, Choice: Choice{
		Path: PathService, Target: s.upstreams.names[i], Reason: string(route.ReasonService),
	}})
}

// releaseEngines removes a running request from the counts in flight of its
// member and its engines.
func (s *Scheduler) releaseEngines(t *trackedRequest) {
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

// firstToken records the first-token time of a request and learns from it.
func (s *Scheduler) firstToken(id fleet.RequestID) {
	t, ok := s.requests[id]
	if !ok || !t.running || t.firstTokenAt != 0 {
		return
	}
	t.firstTokenAt, t.sampledAt = s.now, s.now
	t.prefillDone = s.router.Engines[t.choice.Engine].PrefillDone(s.now)
	if s.config.Ablation.NoLearning || s.groupStates[t.group].service {
		return
	}
	c := &t.choice
	s.kindStates[t.kind].firstTokenError.observe((s.now - t.dispatchedAt).Seconds() / math.Max(c.FirstToken, 1e-3))
	own := c.PrefillSeconds
	if own < minOwnPrefillShare*(c.PrefillWait+own) {
		return
	}
	// The parts of the estimate other than prefill, such as one decode step
	// and the KV transfer, are taken as correct.
	other := c.FirstToken - c.PrefillWait - own
	took := (s.now - t.dispatchedAt).Seconds() - other
	engine := c.Engine
	if c.PrefillEngine != route.None {
		engine = c.PrefillEngine
	}
	s.speeds.ObservePrefill(engine, s.router.Engines[engine].Role, c.UncachedTokens, took*own/(c.PrefillWait+own))
	s.updateEngine(engine)
}

// observeTokens counts output tokens and learns the decode speed of the engine
// from samples of gapSampleTokens or more.
func (s *Scheduler) observeTokens(ev Tokens) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	t.producedTokens += ev.N
	t.longestGap = max(t.longestGap, ev.LongestGap)
	n := t.producedTokens - t.sampledTokens
	if n < gapSampleTokens || t.firstTokenAt == 0 || s.config.Ablation.NoLearning {
		return
	}
	e := &s.router.Engines[t.choice.Engine]
	gap := (s.now - t.sampledAt).Seconds() / float64(n)
	e.ObserveTokenGap(s.now, gap)
	if t.longestGap > 0 {
		e.ObserveLongestTokenGap(s.now, n, t.longestGap.Seconds())
		t.longestGap = 0
	}
	s.speeds.ObserveStep(t.choice.Engine, e.Role, math.Max(e.RunningSequences(s.now), 1), e.ContextTokens(s.now), gap)
	t.sampledTokens, t.sampledAt = t.producedTokens, s.now
	s.updateEngine(t.choice.Engine)
}

// finished ends an answered request and learns from its usage.
func (s *Scheduler) finished(ev Finished) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	s.releaseEngines(t)
	if s.groupStates[t.group].service {
		e := &s.router.Engines[t.choice.Engine]
		e.ServiceTime += serviceTimeGain * ((s.now - t.dispatchedAt).Seconds() - e.ServiceTime)
		s.recycle(t)
		return
	}
	s.router.Engines[t.choice.Engine].ObserveStreamDuration((s.now - t.dispatchedAt).Seconds())
	s.chargeUsage(t, ev.Usage)
	s.learnUsage(t, ev.Usage)
	group := t.group
	s.recycle(t)
	s.dispatchQueued(group)
}

// chargeUsage replaces the predicted cost by the cost of the reported usage.
// An empty usage leaves the prediction in place.
func (s *Scheduler) chargeUsage(t *trackedRequest, u fleet.Usage) {
	if u.PromptTokens == 0 && u.OutputTokens == 0 {
		return
	}
	actual := s.cost(t.group, float64(u.PromptTokens-u.CachedTokens), float64(u.OutputTokens))
	s.adjustCharge(t, actual)
}

// adjustCharge changes the cost charged for a request to actual.
func (s *Scheduler) adjustCharge(t *trackedRequest, actual float64) {
	difference := actual - t.chargedCost
	s.groupStates[t.group].queue.Charge(t.item.Member, difference)
	s.recordService(t, difference)
}

// learnUsage updates the token predictions, the cached part of the group's
// prompts and the confidence in the engine's prefix index.
func (s *Scheduler) learnUsage(t *trackedRequest, u fleet.Usage) {
	if !s.config.Ablation.NoLearning {
		s.tokens.Observe(t.member, t.kind, t.PromptTokens, u.PromptTokens, u.OutputTokens)
	}
	if u.PromptTokens == 0 {
		return
	}
	g := &s.groupStates[t.group]
	// The averages are weighted by tokens, because short prompts are many and
	// never cached.
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

// cancel ends a request whose caller has left and stops its work at the
// engines.
func (s *Scheduler) cancel(id fleet.RequestID) {
	t, ok := s.requests[id]
	if !ok {
		return
	}
	if !t.running {
		s.groupStates[t.group].queue.Remove(&t.item)
		s.dequeue(t)
		s.recycle(t)
		return
	}
	s.ready = append(s.ready, CancelAt{ID: id, Upstream: s.upstreams.names[t.choice.Engine]})
	if t.choice.PrefillEngine != route.None {
		s.ready = append(s.ready, CancelAt{ID: id, Upstream: s.upstreams.names[t.choice.PrefillEngine]})
	}
	s.abort(t)
	group := t.group
	s.recycle(t)
	s.dispatchQueued(group)
}

// abort ends a running request without a complete answer. Its member is
// charged for the prefill and for the tokens that were generated.
func (s *Scheduler) abort(t *trackedRequest) {
	s.releaseEngines(t)
	if !s.groupStates[t.group].service {
		s.adjustCharge(t, s.cost(t.group, t.choice.UncachedTokens, float64(t.producedTokens)))
	}
}

// failed ends an attempt and retries the request if the event asks for it.
func (s *Scheduler) failed(ev Failed) {
	t, ok := s.requests[ev.ID]
	if !ok || !t.running {
		return
	}
	s.releaseEngines(t)
	service := s.groupStates[t.group].service
	if !service {
		// The member is not charged for work lost with an upstream.
		s.adjustCharge(t, 0)
	}
	group := t.group
	if !ev.Retry {
		s.recycle(t)
		s.dispatchQueued(group)
		return
	}
	s.retry(t, ev.Upstream)
	if !service {
		s.dispatchQueued(group)
	}
}

// retry enqueues a request again; the failed upstream is used only if there is
// no other. When the prefill of a split request failed, the decode engine does
// both prefill and decode.
func (s *Scheduler) retry(t *trackedRequest, failed fleet.UpstreamID) {
	t.avoidEngine, t.onlyEngine = t.choice.Engine, route.None
	if i, ok := s.upstreams.find(failed); ok {
		t.avoidEngine = i
	}
	if t.choice.PrefillEngine != route.None && t.avoidEngine == t.choice.PrefillEngine {
		t.onlyEngine = t.choice.Engine
	}
	t.firstTokenAt, t.producedTokens, t.sampledTokens, t.longestGap, t.chargedCost = 0, 0, 0, 0, 0
	if s.groupStates[t.group].service {
		s.dispatchService(t)
		return
	}
	if !s.hasUsableUpstream(t.group) {
		s.refuse(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available"))
		return
	}
	s.enqueue(t)
}

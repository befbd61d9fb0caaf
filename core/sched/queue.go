package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

// bytesPerToken converts a prompt's tokens to the bytes that a queued request
// keeps in memory.
const bytesPerToken = 4

// deadlineQuantile of the predicted output is used against the deadline.
const deadlineQuantile = 0.5

// edgeFraction of the first-token target is what the expected first token of a
// released request may use while others wait. Requests released at the edge
// of the target are late about half of the time.
const edgeFraction = 0.8

// tracked is one request from admission to its end.
type tracked struct {
	Request
	item                fair.Item
	member, kind, group int32
	arrived             fleet.Instant
	dispatched          fleet.Instant
	running             bool
	attempts            int
	prompt, output      float64 // predicted tokens
	charged             float64
	choice              route.Choice
	avoid, only         int32
	// first is when the first token arrived, zero before; sampledAt and
	// sampled are the time and count at the last speed sample.
	first, sampledAt  fleet.Instant
	produced, sampled int
	// longest is the longest token gap since the last speed sample.
	longest time.Duration
	// prefillDone is the target's PrefillDone at the last speed sample.
	prefillDone float64
}

func (s *Scheduler) submit(r Request) {
	kind, refusal := s.resolve(&r)
	if refusal != nil {
		s.ready = append(s.ready, Refuse{ID: r.ID, Refusal: refusal})
		return
	}
	t := s.newTracked()
	member, _ := s.members.find(r.Member)
	*t = tracked{
		Request: r, member: member, kind: kind, group: s.kindStates[kind].group,
		arrived: s.now, avoid: route.None, only: route.None,
	}
	if s.groupStates[t.group].service {
		s.requests[r.ID] = t
		s.dispatchService(t)
		return
	}
	k := &s.kindStates[kind]
	t.prompt = s.tokens.Prompt(kind, r.PromptTokens)
	t.output = s.tokens.OutputMean(member, kind, limit(r.MaxOutputTokens, k.kind.MaxOutputTokens))
	s.groupStates[t.group].demand(t)
	if refusal := s.admit(t); refusal != nil {
		s.refusedCost(t)
		s.free = append(s.free, t)
		s.ready = append(s.ready, Refuse{ID: r.ID, Refusal: refusal})
		return
	}
	s.requests[r.ID] = t
	s.enqueue(t)
	s.pump(t.group)
}

// demand counts a request's expected work for the role planner.
func (g *groupState) demand(t *tracked) {
	g.promptDemand += t.prompt * (1 - g.cachedShare)
	g.outputDemand += t.output
	g.contextDemand += t.output * (t.prompt + t.output/2)
}

func limit(requested, declared int) int {
	if requested <= 0 || (declared > 0 && declared < requested) {
		return declared
	}
	return requested
}

// resolve finds the kind and checks what does not depend on load.
func (s *Scheduler) resolve(r *Request) (int32, *fleet.Refusal) {
	if s.draining {
		return 0, fleet.Refuse(fleet.ReasonDraining, "the instance is stopping")
	}
	if !s.configured {
		return 0, fleet.Refuse(fleet.ReasonConfigUnknown, "no configuration is in force yet")
	}
	kind, ok := s.kinds.find(r.Kind)
	if !ok || !s.kindStates[kind].declared {
		return 0, fleet.Refuse(fleet.ReasonKindNotGranted, "the kind %q is not declared", r.Kind)
	}
	member, ok := s.members.find(r.Member)
	if !ok || !s.memberStates[member].declared {
		return 0, fleet.Refuse(fleet.ReasonUnknownKey, "the member %q is not declared", r.Member)
	}
	if !s.usable(s.kindStates[kind].group) {
		return 0, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available")
	}
	return kind, nil
}

func (s *Scheduler) usable(group int32) bool {
	for _, i := range s.router.Groups[group] {
		if s.router.Engines[i].Usable {
			return true
		}
	}
	return false
}

func (s *Scheduler) newTracked() *tracked {
	if n := len(s.free); n > 0 {
		t := s.free[n-1]
		s.free = s.free[:n-1]
		return t
	}
	return &tracked{}
}

// admit estimates the wait and the service time and checks the bounds.
func (s *Scheduler) admit(t *tracked) *fleet.Refusal {
	g := &s.groupStates[t.group]
	ahead := g.queue.CostAhead(s.queueMember(t))
	wait := 0.0
	if g.rate > 0 {
		wait = ahead / g.rate
	}
	situation := s.situation(t, wait)
	situation.Queued, situation.MemberQueued = len(s.queued), s.memberStates[t.member].queued
	situation.QueuedBytes, situation.Bytes = s.queuedBytes, t.bytes()
	situation.Contended = g.queue.Len() > 0 || g.peerWaits(s.now)
	if s.config.Ablate.NoAdmission {
		situation.FirstTokenTargetSeconds, situation.DeadlineSeconds = 0, 0
	}
	if r := admit.Check(s.config.Limits, situation); r != nil {
		return r
	}
	if s.overShare(t) {
		return admit.RefuseShareUsedUp(wait)
	}
	return nil
}

// situation describes a request that waits for wait more seconds and then
// runs on an engine of mean speed without a prefix hit.
func (s *Scheduler) situation(t *tracked, wait float64) admit.Input {
	k, g := &s.kindStates[t.kind], &s.groupStates[t.group]
	first := k.first.planned(t.prompt * g.prefillCost)
	output := s.tokens.Output(t.member, t.kind, deadlineQuantile, limit(t.MaxOutputTokens, k.kind.MaxOutputTokens))
	step := g.tokenCost * 4 // the step time of a batch a quarter of the reference
	return admit.Input{
		WaitSeconds: wait, ElapsedSeconds: (s.now - t.arrived).Seconds(),
		FirstTokenSeconds: first, AnswerSeconds: first + output*step,
		FirstTokenTargetSeconds: k.firstToken, DeadlineSeconds: k.limit,
	}
}

func (t *tracked) bytes() int { return t.PromptTokens * bytesPerToken }

// queueMember is the account a request is queued under.
func (s *Scheduler) queueMember(t *tracked) int32 {
	if s.config.Ablate.NoFair {
		return 0
	}
	return t.member
}

func (s *Scheduler) enqueue(t *tracked) {
	k := &s.kindStates[t.kind]
	t.item = fair.Item{
		Member: s.queueMember(t), Cost: s.cost(t.group, t.prompt, t.output),
		Urgency: k.kind.Urgency, StartBy: t.arrived + s.dueAfter(t, k), Index: int32(len(s.queued)),
	}
	if s.config.Ablate.NoFair {
		t.item.Urgency, t.item.StartBy = 0, t.arrived
	}
	s.queued = append(s.queued, t)
	s.queuedBytes += t.bytes()
	s.memberStates[t.member].queued++
	s.groupStates[t.group].queue.Push(&t.item)
}

// dueAfter is the time after arrival by which prefill must start to meet the
// first-token target or, without one, the deadline.
func (s *Scheduler) dueAfter(t *tracked, k *kindState) time.Duration {
	if s.config.Ablate.NoSlack {
		return 0
	}
	due := k.firstToken
	if due == 0 {
		due = k.limit - t.output*s.groupStates[t.group].tokenCost
	}
	due -= t.prompt * s.groupStates[t.group].prefillCost
	return time.Duration(due * float64(time.Second))
}

// unqueue removes a request's records after its item has left the fair queue.
func (s *Scheduler) unqueue(t *tracked) {
	last := len(s.queued) - 1
	i := t.item.Index
	s.queued[i] = s.queued[last]
	s.queued[i].item.Index = i
	s.queued[last] = nil
	s.queued = s.queued[:last]
	s.queuedBytes -= t.bytes()
	s.memberStates[t.member].queued--
}

// pump releases queued requests of a group while engines have room.
func (s *Scheduler) pump(group int32) {
	if group < 0 {
		return
	}
	g := &s.groupStates[group]
	skipped := 0
	defer g.queue.RestoreSkipped()
	for {
		it := g.queue.Peek()
		if it == nil {
			return
		}
		t := s.queued[it.Index]
		if s.dropLate(t, g) {
			continue
		}
		if !s.decide(t) {
			g.backlogged = true
			if skipped++; skipped > 8 {
				return
			}
			g.queue.SkipMember()
			continue
		}
		if s.lateThere(t) {
			s.drop(t, admit.RefuseLateFirstToken(t.choice.FirstToken))
			continue
		}
		g.queue.Pop()
		s.unqueue(t)
		s.dispatch(t)
	}
}

// decide routes a request; ok is false while no engine has room for it.
func (s *Scheduler) decide(t *tracked) bool {
	s.fillQuery(t)
	choice, ok := s.router.Pick(s.now, &s.query)
	if !ok && t.only != route.None {
		t.only, s.query.OnlyEngine = route.None, route.None
		choice, ok = s.router.Pick(s.now, &s.query)
	}
	if !ok || !choice.Fits {
		return false
	}
	t.choice = choice
	return true
}

// lateThere tells that a request is expected to miss its first-token target
// at its chosen engine, which is the best one now, while others wait. Holding
// it back instead would leave the engine idle. An idle engine takes it anyway:
// otherwise a wrong estimate would never be corrected.
func (s *Scheduler) lateThere(t *tracked) bool {
	k, g := &s.kindStates[t.kind], &s.groupStates[t.group]
	if s.config.Ablate.NoAdmission || k.firstToken == 0 || g.queue.Len() < 2 && !g.peerWaits(s.now) {
		return false
	}
	elapsed := (s.now - t.arrived).Seconds()
	idle := t.choice.PrefillWait == 0 && s.router.Engines[t.choice.Engine].RunningSequences(s.now) < 1
	return elapsed > 0 && !idle && elapsed+k.first.planned(t.choice.FirstToken) > edgeFraction*k.firstToken
}

func (s *Scheduler) fillQuery(t *tracked) {
	k := &s.kindStates[t.kind]
	q := &s.query
	q.Group, q.Prompt, q.Output = t.group, t.prompt, t.output
	q.CachedBlocks, q.CacheHolders, q.BlockTokens = nil, nil, float64(s.config.BlockTokens)
	if s.blocks != nil && len(t.Blocks) > 0 {
		q.CachedBlocks = s.blocks.Match(t.Blocks)
		q.CacheHolders = s.blocks.Holders()
	}
	q.FirstTokenTarget, q.TokenGapTarget = 0, k.gap
	if k.firstToken > 0 {
		q.FirstTokenTarget = k.firstToken - (s.now - t.arrived).Seconds()
		if q.FirstTokenTarget == 0 {
			q.FirstTokenTarget = -1e-9
		}
	}
	q.IdleOnly = s.groupStates[t.group].givesWay(s.now)
	q.MaxPrefillWait = s.config.MaxPrefillBacklog.Seconds()
	q.AvoidEngine, q.OnlyEngine = t.avoid, t.only
	q.NoSplit, q.IgnoreTargets = s.config.Ablate.NoSplit, s.config.Ablate.NoSlack
}

// dropLate refuses a queued request that can no longer be on time, if others
// wait; it reports whether it did.
func (s *Scheduler) dropLate(t *tracked, g *groupState) bool {
	if s.config.Ablate.NoAdmission {
		return false
	}
	situation := s.situation(t, 0)
	situation.Contended = g.queue.Len() > 1 || g.peerWaits(s.now)
	refusal := admit.CheckQueued(situation)
	if refusal == nil {
		return false
	}
	s.drop(t, refusal)
	return true
}

// drop refuses a queued request.
func (s *Scheduler) drop(t *tracked, refusal *fleet.Refusal) {
	s.refusedCost(t)
	s.groupStates[t.group].queue.Remove(&t.item)
	s.unqueue(t)
	s.refuse(t, refusal)
}

// refuse ends a request. After an attempt it is not certain that the request
// did not run.
func (s *Scheduler) refuse(t *tracked, refusal *fleet.Refusal) {
	if t.attempts > 0 {
		refusal.Reason, refusal.Outcome = fleet.ReasonUpstreamFailed, fleet.OutcomeUnknown
	}
	s.ready = append(s.ready, Refuse{ID: t.ID, Refusal: refusal})
	s.forget(t)
}

func (s *Scheduler) forget(t *tracked) {
	delete(s.requests, t.ID)
	t.Blocks = nil
	s.free = append(s.free, t)
}

const (
	// maxWait bounds the time in the queue of kinds without a deadline.
	maxWait = 2 * time.Minute
	// upstreamWait is how long queued requests wait for a group without a
	// usable upstream; a restart of an engine takes a few seconds.
	upstreamWait = 5 * time.Second
)

// expire refuses queued requests that can no longer be served in time.
func (s *Scheduler) expire() {
	for g := range s.groupStates {
		if s.usable(int32(g)) {
			s.groupStates[g].usableAt = s.now
		}
	}
	for i := 0; i < len(s.queued); {
		t := s.queued[i]
		if s.pastDeadline(t) || s.withoutUpstream(t) || s.dropLate(t, &s.groupStates[t.group]) {
			continue
		}
		i++
	}
}

// pastDeadline refuses a request whose deadline has passed in the queue, also
// when early refusal is turned off.
func (s *Scheduler) pastDeadline(t *tracked) bool {
	limit := s.kindStates[t.kind].kind.Deadline
	if limit <= 0 {
		limit = maxWait
	}
	if s.now-t.arrived < limit {
		return false
	}
	s.drop(t, fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the request waited %s in the queue", limit))
	return true
}

func (s *Scheduler) withoutUpstream(t *tracked) bool {
	if s.now-s.groupStates[t.group].usableAt < upstreamWait {
		return false
	}
	s.drop(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group has been available for %s", upstreamWait))
	return true
}

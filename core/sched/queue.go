package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

// bytesPerToken is the memory that a queued request holds per prompt token.
const bytesPerToken = 4

// deadlineOutputQuantile is the quantile of the predicted output length that is
// used to check the deadline.
const deadlineOutputQuantile = 0.5

// dispatchTargetFraction is the part of the first-token target that the
// expected first-token time of a dispatched request may use while others wait.
// If it could use the whole target, about half of these requests would be late.
const dispatchTargetFraction = 0.8

// trackedRequest holds the state of a request from admission to its end.
type trackedRequest struct {
	Request
	item                             fair.Item
	member, kind, group              int32
	arrivedAt                        fleet.Instant
	dispatchedAt                     fleet.Instant
	running                          bool
	attempts                         int
	predictedPrompt, predictedOutput float64 // tokens
	chargedCost                      float64
	choice                           route.Choice
	avoidEngine, onlyEngine          int32
	// firstTokenAt is when the first token arrived, zero before; sampledAt and
	// sampledTokens are the time and the output tokens at the last sample of
	// the decode speed.
	firstTokenAt, sampledAt       fleet.Instant
	producedTokens, sampledTokens int
	// longestGap is the longest token gap since the last sample.
	longestGap time.Duration
	// prefillDone is the target's PrefillDone at the last sample.
	prefillDone float64
}

// submit admits a request and enqueues it, or refuses it. Requests to plain
// services are not queued.
func (s *Scheduler) submit(r Request) {
	kind, refusal := s.resolve(&r)
	if refusal != nil {
		s.ready = append(s.ready, Refuse{ID: r.ID, Refusal: refusal})
		return
	}
	t := s.newTracked()
	member, _ := s.members.find(r.Member)
	*t = trackedRequest{
		Request: r, member: member, kind: kind, group: s.kindStates[kind].group,
		arrivedAt: s.now, avoidEngine: route.None, onlyEngine: route.None,
	}
	if s.groupStates[t.group].service {
		s.requests[r.ID] = t
		s.dispatchService(t)
		return
	}
	k := &s.kindStates[kind]
	t.predictedPrompt = s.tokens.Prompt(kind, r.PromptTokens)
	t.predictedOutput = s.tokens.OutputMean(member, kind, outputLimit(r.MaxOutputTokens, k.kind.MaxOutputTokens))
	s.groupStates[t.group].addDemand(t)
	if refusal := s.admit(t); refusal != nil {
		s.recordRefusedCost(t)
		s.freeList = append(s.freeList, t)
		s.ready = append(s.ready, Refuse{ID: r.ID, Refusal: refusal})
		return
	}
	s.requests[r.ID] = t
	s.enqueue(t)
	s.dispatchQueued(t.group)
}

// addDemand adds a request's expected work to the demand that the role planner
// uses.
func (g *groupState) addDemand(t *trackedRequest) {
	g.promptDemand += t.predictedPrompt * (1 - g.cachedShare)
	g.outputDemand += t.predictedOutput
	g.contextDemand += t.predictedOutput * (t.predictedPrompt + t.predictedOutput/2)
}

// outputLimit returns the smaller of the requested and the declared limit of
// output tokens; a limit of 0 or less means none.
func outputLimit(requested, declared int) int {
	if requested <= 0 || (declared > 0 && declared < requested) {
		return declared
	}
	return requested
}

// resolve returns the index of the request's kind, or the refusal by a check
// that does not depend on the load.
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
	if !s.hasUsableUpstream(s.kindStates[kind].group) {
		return 0, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available")
	}
	return kind, nil
}

// hasUsableUpstream reports whether an upstream of the group may receive work.
func (s *Scheduler) hasUsableUpstream(group int32) bool {
	for _, i := range s.router.Groups[group] {
		if s.router.Engines[i].Usable {
			return true
		}
	}
	return false
}

// newTracked returns a trackedRequest from the free list, or a new one. Its
// content is undefined.
func (s *Scheduler) newTracked() *trackedRequest {
	if n := len(s.freeList); n > 0 {
		t := s.freeList[n-1]
		s.freeList = s.freeList[:n-1]
		return t
	}
	return &trackedRequest{}
}

// admit returns nil or the reason to refuse a new request: full queues, a
// deadline or target that cannot be met, or a member over its share.
func (s *Scheduler) admit(t *trackedRequest) *fleet.Refusal {
	g := &s.groupStates[t.group]
	ahead := g.queue.CostAhead(s.queueMember(t))
	wait := 0.0
	if g.dispatchRate > 0 {
		wait = ahead / g.dispatchRate
	}
	input := s.admitInput(t, wait)
	input.Queued, input.MemberQueued = len(s.queued), s.memberStates[t.member].queued
	input.QueuedBytes, input.Bytes = s.queuedBytes, t.bytes()
	input.Contended = g.queue.Len() > 0 || g.peerHasBacklog(s.now)
	if s.config.Ablation.NoAdmission {
		input.FirstTokenTargetSeconds, input.DeadlineSeconds = 0, 0
	}
	if r := admit.Check(s.config.Limits, input); r != nil {
		return r
	}
	if s.exceedsShare(t) {
		return admit.RefuseShareUsedUp(wait)
	}
	return nil
}

// admitInput returns the input of admission for a request that waits for
// waitSeconds more and then runs on an engine of mean speed without a prefix
// cache hit.
func (s *Scheduler) admitInput(t *trackedRequest, waitSeconds float64) admit.Input {
	k, g := &s.kindStates[t.kind], &s.groupStates[t.group]
	first := k.firstTokenError.upperEstimate(t.predictedPrompt * g.prefillCost)
	output := s.tokens.Output(t.member, t.kind, deadlineOutputQuantile, outputLimit(t.MaxOutputTokens, k.kind.MaxOutputTokens))
	step := g.tokenCost * 4 // seconds per decode step at a quarter of cost.ReferenceBatch
	return admit.Input{
		WaitSeconds: waitSeconds, ElapsedSeconds: (s.now - t.arrivedAt).Seconds(),
		FirstTokenSeconds: first, AnswerSeconds: first + output*step,
		FirstTokenTargetSeconds: k.firstTokenTarget, DeadlineSeconds: k.deadline,
	}
}

// bytes returns the memory that the request holds while it is queued.
func (t *trackedRequest) bytes() int { return t.PromptTokens * bytesPerToken }

// queueMember returns the member of the fair queue under which a request is
// queued.
func (s *Scheduler) queueMember(t *trackedRequest) int32 {
	if s.config.Ablation.NoFair {
		return 0
	}
	return t.member
}

// enqueue adds a request to the fair queue of its group.
func (s *Scheduler) enqueue(t *trackedRequest) {
	k := &s.kindStates[t.kind]
	t.item = fair.Item{
		Member: s.queueMember(t), Cost: s.cost(t.group, t.predictedPrompt, t.predictedOutput),
		Urgency: k.kind.Urgency, StartBy: t.arrivedAt + s.slack(t, k), Index: int32(len(s.queued)),
	}
	if s.config.Ablation.NoFair {
		t.item.Urgency, t.item.StartBy = 0, t.arrivedAt
	}
	s.queued = append(s.queued, t)
	s.queuedBytes += t.bytes()
	s.memberStates[t.member].queued++
	s.groupStates[t.group].queue.Push(&t.item)
}

// slack returns the time after arrival by which prefill must start to meet the
// first-token target or, without one, the deadline.
func (s *Scheduler) slack(t *trackedRequest, k *kindState) time.Duration {
	if s.config.Ablation.NoTargets {
		return 0
	}
	due := k.firstTokenTarget
	if due == 0 {
		due = k.deadline - t.predictedOutput*s.groupStates[t.group].tokenCost
	}
	due -= t.predictedPrompt * s.groupStates[t.group].prefillCost
	return time.Duration(due * float64(time.Second))
}

// dequeue removes a request from the list of queued requests after its item was
// taken out of the fair queue.
func (s *Scheduler) dequeue(t *trackedRequest) {
	last := len(s.queued) - 1
	i := t.item.Index
	s.queued[i] = s.queued[last]
	s.queued[i].item.Index = i
	s.queued[last] = nil
	s.queued = s.queued[:last]
	s.queuedBytes -= t.bytes()
	s.memberStates[t.member].queued--
}

// dispatchQueued dispatches queued requests of a group in fair-queue order
// while engines have room. A member whose next request has no room is skipped;
// after 8 skipped members the call ends.
func (s *Scheduler) dispatchQueued(group int32) {
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
		if s.refuseIfLate(t, g) {
			continue
		}
		if !s.chooseRoute(t) {
			g.backlogged = true
			if skipped++; skipped > 8 {
				return
			}
			g.queue.SkipMember()
			continue
		}
		if s.choiceMissesTarget(t) {
			s.refuseQueued(t, admit.RefuseLateFirstToken(t.choice.FirstToken))
			continue
		}
		g.queue.Pop()
		s.dequeue(t)
		s.dispatch(t)
	}
}

// chooseRoute sets the request's choice and reports whether an engine has room
// for it.
func (s *Scheduler) chooseRoute(t *trackedRequest) bool {
	s.fillQuery(t)
	choice, ok := s.router.Pick(s.now, &s.query)
	if !ok && t.onlyEngine != route.None {
		t.onlyEngine, s.query.OnlyEngine = route.None, route.None
		choice, ok = s.router.Pick(s.now, &s.query)
	}
	if !ok || !choice.Fits {
		return false
	}
	t.choice = choice
	return true
}

// choiceMissesTarget reports whether a request is expected to miss its
// first-token target at its chosen engine, which is the best one now, while
// others wait. Keeping it queued instead would leave the engine idle. The
// result is false for an idle engine, because a wrong estimate would otherwise
// never be corrected.
func (s *Scheduler) choiceMissesTarget(t *trackedRequest) bool {
	k, g := &s.kindStates[t.kind], &s.groupStates[t.group]
	if s.config.Ablation.NoAdmission || k.firstTokenTarget == 0 || g.queue.Len() < 2 && !g.peerHasBacklog(s.now) {
		return false
	}
	elapsed := (s.now - t.arrivedAt).Seconds()
	idle := t.choice.PrefillWait == 0 && s.router.Engines[t.choice.Engine].RunningSequences(s.now) < 1
	return elapsed > 0 && !idle && elapsed+k.firstTokenError.upperEstimate(t.choice.FirstToken) > dispatchTargetFraction*k.firstTokenTarget
}

// fillQuery sets s.query to the router's query for a request.
func (s *Scheduler) fillQuery(t *trackedRequest) {
	k := &s.kindStates[t.kind]
	q := &s.query
	q.Group, q.Prompt, q.Output = t.group, t.predictedPrompt, t.predictedOutput
	q.CachedBlocks, q.CacheHolders, q.BlockTokens = nil, nil, float64(s.config.BlockTokens)
	if s.blocks != nil && len(t.Blocks) > 0 {
		q.CachedBlocks = s.blocks.Match(t.Blocks)
		q.CacheHolders = s.blocks.Holders()
	}
	q.FirstTokenTarget, q.TokenGapTarget = 0, k.tokenGapTarget
	if k.firstTokenTarget > 0 {
		q.FirstTokenTarget = k.firstTokenTarget - (s.now - t.arrivedAt).Seconds()
		if q.FirstTokenTarget == 0 {
			q.FirstTokenTarget = -1e-9
		}
	}
	q.IdleOnly = s.groupStates[t.group].yieldsToPeer(s.now)
	q.MaxPrefillWait = s.config.MaxPrefillWait.Seconds()
	q.AvoidEngine, q.OnlyEngine = t.avoidEngine, t.onlyEngine
	q.NoSplit, q.IgnoreTargets = s.config.Ablation.NoSplit, s.config.Ablation.NoTargets
}

// recycle removes an ended request and puts its record on the free list.
func (s *Scheduler) recycle(t *trackedRequest) {
	delete(s.requests, t.ID)
	t.Blocks = nil
	s.freeList = append(s.freeList, t)
}

package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// maxQueueWait bounds the time in the queue for kinds without a deadline.
	maxQueueWait = 2 * time.Minute
	// noUpstreamWait is how long requests stay queued while their group has no
	// usable upstream. An engine takes a few seconds to restart.
	noUpstreamWait = 5 * time.Second
)

// refuseIfLate refuses a queued request that cannot meet its deadline, or its
// first-token target while others wait; it reports whether it did.
func (s *Scheduler) refuseIfLate(t *trackedRequest, g *groupState) bool {
	if s.config.Ablation.NoAdmission {
		return false
	}
	input := s.admitInput(t, 0)
	input.Contended = g.queue.Len() > 1 || g.peerHasBacklog(s.now)
	refusal := admit.CheckQueued(input)
	if refusal == nil {
		return false
	}
	s.refuseQueued(t, refusal)
	return true
}

// refuseQueued removes a request from the queue and refuses it.
func (s *Scheduler) refuseQueued(t *trackedRequest, refusal *fleet.Refusal) {
	s.recordRefusedCost(t)
	s.groupStates[t.group].queue.Remove(&t.item)
	s.dequeue(t)
	s.refuse(t, refusal)
}

// refuse ends a request that is not queued. After an attempt the outcome is
// unknown, because an upstream may have run the request.
func (s *Scheduler) refuse(t *trackedRequest, refusal *fleet.Refusal) {
	if t.attempts > 0 {
		refusal.Reason, refusal.Outcome = fleet.ReasonUpstreamFailed, fleet.OutcomeUnknown
	}
	s.ready = append(s.ready, Refuse{ID: t.ID, Refusal: refusal})
	s.recycle(t)
}

// expire refuses queued requests that can no longer be served in time.
func (s *Scheduler) expire() {
	for g := range s.groupStates {
		if s.hasUsableUpstream(int32(g)) {
			s.groupStates[g].lastUsableAt = s.now
		}
	}
	for i := 0; i < len(s.queued); {
		t := s.queued[i]
		if s.refusePastDeadline(t) || s.refuseWithoutUpstream(t) || s.refuseIfLate(t, &s.groupStates[t.group]) {
			continue
		}
		i++
	}
}

// refusePastDeadline refuses a request whose deadline has passed in the queue,
// also when early refusal is turned off; it reports whether it did.
func (s *Scheduler) refusePastDeadline(t *trackedRequest) bool {
	limit := s.kindStates[t.kind].kind.Deadline
	if limit <= 0 {
		limit = maxQueueWait
	}
	if s.now-t.arrivedAt < limit {
		return false
	}
	s.refuseQueued(t, fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the request waited %s in the queue", limit))
	return true
}

// refuseWithoutUpstream refuses a queued request whose group has had no usable
// upstream for noUpstreamWait; it reports whether it did.
func (s *Scheduler) refuseWithoutUpstream(t *trackedRequest) bool {
	if s.now-s.groupStates[t.group].lastUsableAt < noUpstreamWait {
		return false
	}
	s.refuseQueued(t, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group has been available for %s", noUpstreamWait))
	return true
}

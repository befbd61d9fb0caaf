// Package overload decides at a request's arrival whether it is admitted, with
// which engine priority, and when the caller of a rejected request should retry.
// The instance has no queue of its own: an admitted request is sent to a server
// at once, and the servers order their queues by priority. A request is
// therefore rejected at its arrival or not at all.
package overload

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// Estimate holds the estimated times of a request at its arrival.
type Estimate struct {
	// Queue is the estimated wait behind work that is served first if the
	// request is sent with the priority of its rank, and LateQueue the wait
	// behind all work.
	Queue, LateQueue time.Duration
	// Processing is the estimated time for the request itself, after the queue.
	Processing time.Duration
	// Backlog is the expected fill of the engine's queue, 1 for a full one; the
	// larger one if two engines serve the request.
	Backlog float64
	// LatencyTarget is the latency target; 0 for none.
	LatencyTarget time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// BelowShare reports whether shares of members are enforced at the service and
	// the request's member is not above its share.
	BelowShare bool
}

// Decision is the result of Decide for one request.
type Decision struct {
	// Admit reports whether the request is admitted.
	Admit bool
	// Late reports whether an admitted request is expected to miss its latency
	// target. It is sent behind all requests that are not.
	Late bool
	// Priority is the engine priority of an admitted request, 0 being the most
	// urgent.
	Priority int
	// RetryAfter is the time after which the caller should retry, and Reason the
	// cause of the rejection; they are set when Admit is false.
	RetryAfter time.Duration
	Reason     fleet.Reason
	// NoRoom reports whether the request was rejected for want of room: idle engines
	// could have served it.
	NoRoom bool
}

const (
	// estimateShare is the share of the latency target, and of the time until the
	// deadline, that the estimated total may take; the rest is for requests that
	// the view of the engines doesn't show yet. Beyond the target a request would
	// only delay others that can be on time, and beyond the deadline its prefill
	// and decode would be wasted.
	estimateShare = 0.8
	// calmShare is the share of the latency target up to which a queue counts as
	// none: every request that can meet its deadline is then admitted with the
	// priority of its rank, whatever its own processing takes.
	calmShare = 0.1
	// lateShare is the share of the time until the deadline that a late request
	// may be queued. Callers that are rejected come back after up to a third of
	// that time, so that waiting as long in a queue costs them no more. It is the
	// same for all prompt lengths: the queue stays just below the limit, so a
	// lower limit for long prompts would reject all of them.
	lateShare = 1.0 / 3
	// An engine whose queue is full rejects urgent requests too. Rank 0 may fill the
	// queue, other ranks rankRoom of it. Late requests are overtaken by all that come
	// after them, so that they wait several times as long as what is ahead of them
	// takes; behind half a queue their callers left before the first event.
	rankRoom = 0.75
	lateRoom = 0.1
	// belowShareFactor is how many times as long requests of members that are not
	// above their share may be queued. Those of members above it are then rejected
	// first, and the part of the load that shares leave to be rejected for want of
	// room falls on them.
	belowShareFactor = 1.3
	// rankTolerance is how much higher the rejection rate of a more urgent rank
	// may be: the standard deviation of the rate.
	rankTolerance = 0.1
	// minLargeShare is how often requests with a long processing time must be
	// admitted with the priority of their rank, relative to all requests of the
	// rank. Otherwise those that are late by their own processing would wait
	// behind all others as long as an overload lasts. At least half as often is
	// required; the rest is for the delay of the averages.
	minLargeShare = 0.6
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// peakRetryAfter is added to RetryAfter while all requests are rejected:
	// the queue then stays just above the limit, and the excess doesn't tell
	// when the peak ends.
	peakRetryAfter = 700 * time.Millisecond
	// averageWeight is the weight of one request in an average, which so follows
	// within about ten requests. The rejection rate also halves in each
	// maxRetryAfter, in which the rejected callers are back.
	averageWeight = 0.1
)

const (
	// Engines know the priorities 0 to 9 and assume 5 for requests without one.
	// Priorities below firstPriority are not used.
	firstPriority     = 3
	firstLatePriority = 7
	lastPriority      = 9
)

// Priority returns the engine priority of a rank. Late requests come behind the
// first four ranks and keep their order among themselves.
func Priority(rank int, late bool) int {
	first := firstPriority
	if late {
		first = firstLatePriority
	}
	return min(max(rank, 0)+first, lastPriority)
}

// rejectionRate is an exponentially weighted average share of rejected requests,
// in [0, 1]. It falls with time, so that a rank without requests holds up others
// only for some seconds.
type rejectionRate struct {
	value float64
	at    fleet.Instant
}

func (r *rejectionRate) now(now fleet.Instant) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-float64(now-r.at)/float64(maxRetryAfter))
}

func (r *rejectionRate) add(rejected float64, now fleet.Instant) {
	rate := r.now(now)
	r.value, r.at = rate+averageWeight*(rejected-rate), now
}

// history is what was decided lately about the requests of a group and rank.
type history struct {
	rejected rejectionRate
	// delayed is the average share of requests that were not admitted with the
	// priority of their rank, and large that of requests that were, by largeIndex.
	// They don't fall with time, since large requests may be rare.
	delayed float64
	large   [4]float64
}

// largeIndex returns the index in history.large of a processing time, or -1 if
// it is at most a quarter of the latency target. Each index covers a factor of 2.
func largeIndex(processing, target time.Duration) int {
	i := -1
	for bound := target / 4; bound > 0 && processing > bound && i < len(history{}.large)-1; bound *= 2 {
		i++
	}
	return i
}

// Controller decides by a request's estimate and its recent decisions. Not safe
// for concurrent use.
type Controller struct {
	histories map[fleet.GroupName]*[placement.NumRanks]history
}

// New returns a Controller without history.
func New() *Controller {
	return &Controller{histories: map[fleet.GroupName]*[placement.NumRanks]history{}}
}

// Copy returns a Controller with the history of a group that shares nothing with
// c.
func (c *Controller) Copy(group fleet.GroupName) *Controller {
	out := New()
	if ranks := c.histories[group]; ranks != nil {
		histories := *ranks
		out.histories[group] = &histories
	}
	return out
}

// Decide returns whether a request is admitted: with the priority of its rank if
// it is expected to meet its latency target, behind all such requests if it is
// expected to be answered well before its deadline. While requests are queued,
// a rank is not admitted if a more urgent one is rejected more often, and large
// requests that are served too seldom may be queued as long as small ones.
// RetryAfter is the time in which the excess of the queue is worked off, plus up
// to peakRetryAfter in proportion to the share of rejected requests, within
// minRetryAfter and maxRetryAfter.
func (c *Controller) Decide(group fleet.GroupName, r *call.Request, e Estimate, now fleet.Instant) Decision {
	ranks := c.histories[group]
	if ranks == nil {
		ranks = new([placement.NumRanks]history)
		c.histories[group] = ranks
	}
	rank := min(max(r.Rank, 0), placement.NumRanks-1)
	h := &ranks[rank]
	feasible := part(estimateShare, e.Remaining) - e.Processing
	limit, calm := feasible, feasible
	if e.LatencyTarget > 0 {
		calm = min(feasible, part(calmShare, e.LatencyTarget))
		limit = min(feasible, max(part(estimateShare, e.LatencyTarget)-e.Processing, calm))
	}
	large := largeIndex(e.Processing, e.LatencyTarget)
	if large >= 0 && h.large[large] < minLargeShare*(1-h.delayed) {
		limit = min(feasible, part(estimateShare, e.LatencyTarget))
	}
	lateLimit, room, lateBacklog := part(lateShare, e.Remaining), 1.0, lateRoom
	if rank > 0 {
		room = rankRoom
	}
	if e.BelowShare {
		limit, lateLimit = min(feasible, part(belowShareFactor, limit)), part(belowShareFactor, lateLimit)
		room, lateBacklog = min(belowShareFactor*room, 1), belowShareFactor*lateRoom
	}
	yields := e.Queue > calm && yieldsTo(ranks[:rank], h.rejected.now(now), now)
	inTime := e.Queue <= limit
	beforeDeadline := e.LatencyTarget > 0 && e.LateQueue <= min(lateLimit, feasible)
	onTime := inTime && e.Backlog < room
	late := beforeDeadline && e.Backlog < lateBacklog
	d := Decision{Admit: !yields && (onTime || late), Late: !yields && !onTime && late}
	if !d.Admit {
		d.RetryAfter, d.Reason, d.NoRoom = RetryAfter(e.Queue-limit, h.rejected.now(now)), fleet.ReasonDeadlineUnmeetable, feasible >= 0
		switch {
		case feasible < 0:
			// Not even an idle engine could serve it, so this says nothing about
			// the load.
			return d
		case onTime || late:
			d.Reason = fleet.ReasonUrgentFirst
		case inTime || beforeDeadline:
			d.Reason = fleet.ReasonQueueFull
		}
	} else {
		d.Priority = Priority(r.Rank, d.Late)
	}
	h.add(d, large, now)
	return d
}

// RetryAfter returns when the caller of a rejected request should retry, by the queue
// beyond the limit and the share of requests that are rejected.
func RetryAfter(excess time.Duration, rejected float64) time.Duration {
	return min(max(max(excess, 0)+part(rejected, peakRetryAfter), minRetryAfter), maxRetryAfter)
}

// add records a decision about a request with the given largeIndex.
func (h *history) add(d Decision, large int, now fleet.Instant) {
	rejected, delayed := 0.0, 0.0
	if !d.Admit {
		rejected = 1
	}
	if !d.Admit || d.Late {
		delayed = 1
	}
	h.rejected.add(rejected, now)
	h.delayed += averageWeight * (delayed - h.delayed)
	if large >= 0 {
		h.large[large] += averageWeight * (1 - delayed - h.large[large])
	}
}

// yieldsTo reports whether a more urgent rank is rejected more often than the
// given rate.
func yieldsTo(urgent []history, rate float64, now fleet.Instant) bool {
	for i := range urgent {
		if urgent[i].rejected.now(now) > rate+rankTolerance {
			return true
		}
	}
	return false
}

// part returns a share of a duration.
func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }

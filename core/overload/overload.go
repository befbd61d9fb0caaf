// Package turn decides at a request's arrival whether it is served or turned
// away, and when a caller that is turned away should return. Nothing waits at
// the instance: a request that is admitted is offered to a server at once, and
// the servers order what waits by its rank, so that a refusal is never late.
package overload

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Estimate is what is known of a request at its arrival.
type Estimate struct {
	// Queue is the estimated wait behind work that goes first.
	Queue time.Duration
	// Processing is the estimated time for the request's own prompt.
	Processing time.Duration
	// LatencyTarget is the time within which the answer is on time.
	LatencyTarget time.Duration
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
}

// Decision is the decision on one request.
type Decision struct {
	Admit bool
	// RetryAfter is when the caller should return; it is set for refusals.
	RetryAfter time.Duration
}

const (
	// queueShare is the part of the latency target that a request may wait
	// behind others; the rest is for its own prompt and the first event. While
	// more is asked than can be served, work that would be late only delays
	// work that could be on time. The share is the same for all sizes: at the
	// peak the queue stays just below the limit, so a lower one for long
	// prompts would shut them out.
	queueShare = 0.55
	// useOfLeft is the part of the time left that an estimate may take: an
	// answer that is expected after it would be read and made in vain.
	useOfLeft = 0.8
	// minReturn and maxReturn bound the time after which a caller is asked to
	// return.
	minReturn = 100 * time.Millisecond
	maxReturn = 2 * time.Second
	// peakReturn is after what time a caller returns while all are refused: the
	// queue stays just above the limit then, and its excess says nothing of when
	// the peak ends.
	peakReturn = 700 * time.Millisecond
	// refusedWeight is the part of one request in the recent share of refusals, so
	// that the share follows within about ten requests.
	refusedWeight = 0.1
)

// Controller decides by estimates and by what was refused lately. Not safe for
// concurrent use.
type Controller struct {
	// refused is the recent share of refused requests.
	refused map[kind]float64
}

// kind is what requests have in common that wait for each other.
type kind struct {
	group fleet.GroupName
	rank  int
}

// New returns Turns that have refused nothing.
func New() *Controller { return &Controller{refused: map[kind]float64{}} }

// Decide refuses a request that would be late because of the work ahead of it. The
// caller should return when the excess has been worked off, and the later the more
// is refused.
func (t *Controller) Decide(group fleet.GroupName, rank int, e Estimate) Decision {
	k := kind{group, rank}
	share := t.refused[k]
	limit := time.Duration(useOfLeft*float64(e.Remaining)) - e.Processing
	if e.LatencyTarget > 0 {
		limit = min(limit, time.Duration(queueShare*float64(e.LatencyTarget)))
	}
	if e.Queue <= limit {
		t.refused[k] = share - refusedWeight*share
		return Decision{Admit: true}
	}
	t.refused[k] = share + refusedWeight*(1-share)
	wait := e.Queue - limit + time.Duration(share*float64(peakReturn))
	return Decision{RetryAfter: min(max(wait, minReturn), maxReturn)}
}

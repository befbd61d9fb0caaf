// Package overload decides at a request's arrival whether it is admitted, and
// when the caller of a rejected request should retry. The instance has no queue
// of its own: an admitted request is sent to a server at once, and the servers
// order their queues by rank. A request is therefore rejected at its arrival or
// not at all.
package overload

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Estimate holds the estimated times of a request at its arrival.
type Estimate struct {
	// Queue is the estimated wait behind work that is served first.
	Queue time.Duration
	// Processing is the estimated time for the request itself, after the queue.
	Processing time.Duration
	// LatencyTarget is the latency target; 0 for none.
	LatencyTarget time.Duration
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// Decision is the result of Decide for one request.
type Decision struct {
	// Admit reports whether the request is admitted.
	Admit bool
	// RetryAfter is the time after which the caller should retry; it is set
	// when Admit is false.
	RetryAfter time.Duration
}

const (
	// queueShare is the share of the latency target that a request may be
	// queued; the rest is for its own prompt and the first event. During an
	// overload, work that would be late only delays work that could be on time.
	// The share is the same for all prompt lengths: at the peak the queue stays
	// just below the limit, so a lower limit for long prompts would reject all
	// of them.
	queueShare = 0.55
	// deadlineShare is the share of the time until the deadline that the
	// estimated total may take: prefill and decode would be wasted on an answer
	// that comes later.
	deadlineShare = 0.8
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// peakRetryAfter is added to RetryAfter while all requests are rejected:
	// the queue then stays just above the limit, and the excess doesn't tell
	// when the peak ends.
	peakRetryAfter = 700 * time.Millisecond
	// rejectionWeight is the weight of one request in the rejection rate, so
	// that the rate follows within about ten requests.
	rejectionWeight = 0.1
)

// Controller decides by a request's estimate and the recent rejection rate. Not
// safe for concurrent use.
type Controller struct {
	// rejectionRate is the exponentially weighted average share of rejected
	// requests, in [0, 1].
	rejectionRate map[class]float64
}

// class groups the requests that share a rejection rate.
type class struct {
	group fleet.GroupName
	rank  int
}

// New returns a Controller without history.
func New() *Controller { return &Controller{rejectionRate: map[class]float64{}} }

// Decide returns whether a request is admitted. It rejects a request that would
// be late because of the work queued ahead of it. RetryAfter is the time in
// which the excess of the queue is worked off, plus up to peakRetryAfter in
// proportion to the rejection rate, within minRetryAfter and maxRetryAfter.
func (c *Controller) Decide(group fleet.GroupName, rank int, e Estimate) Decision {
	k := class{group, rank}
	rate := c.rejectionRate[k]
	limit := time.Duration(deadlineShare*float64(e.Remaining)) - e.Processing
	if e.LatencyTarget > 0 {
		limit = min(limit, time.Duration(queueShare*float64(e.LatencyTarget)))
	}
	if e.Queue <= limit {
		c.rejectionRate[k] = rate - rejectionWeight*rate
		return Decision{Admit: true}
	}
	c.rejectionRate[k] = rate + rejectionWeight*(1-rate)
	retryAfter := e.Queue - limit + time.Duration(rate*float64(peakRetryAfter))
	return Decision{RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}

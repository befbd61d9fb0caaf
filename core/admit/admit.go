// Package admit decides early whether a request is refused as not run: queue
// bounds, and deadlines and first-token targets that cannot be met.
package admit

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Limits bound the queue of one instance.
type Limits struct {
	// Requests and Bytes bound the whole queue, MemberRequests one member.
	Requests, MemberRequests int
	Bytes                    int
}

// DefaultLimits suit a daemon with 64 MB.
var DefaultLimits = Limits{Requests: 2000, MemberRequests: 500, Bytes: 16 << 20}

const (
	// minRetryAfter keeps refused callers from retrying at once.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// admitFraction of the first-token target is what a new request's estimate
	// may use. Requests admitted up to the whole target would all be served at
	// its edge during an overload, and half of them late.
	admitFraction = 0.7
)

// Situation is what is known about one request and the queue.
type Situation struct {
	Queued, MemberQueued int
	QueuedBytes, Bytes   int
	// Wait is the expected seconds until the member's turn.
	Wait float64
	// Elapsed is the seconds since the request arrived.
	Elapsed float64
	// First and Whole are the expected seconds from dispatch to the first
	// token and to the end of the answer on an idle engine.
	First, Whole float64
	// TargetFirst and Deadline are seconds from arrival; zero means none.
	TargetFirst, Deadline float64
	// Contended tells that other queued requests would be served sooner
	// without this one.
	Contended bool
}

// Check returns nil or the reason to refuse the request now.
func Check(l Limits, s Situation) *fleet.Refusal {
	if r := bounds(l, s); r != nil {
		return r
	}
	return late(s, admitFraction)
}

func bounds(l Limits, s Situation) *fleet.Refusal {
	var r *fleet.Refusal
	switch {
	case s.Queued >= l.Requests:
		r = fleet.Refuse(fleet.ReasonQueueFull, "%d requests are queued", s.Queued)
	case s.MemberQueued >= l.MemberRequests:
		r = fleet.Refuse(fleet.ReasonShareUsedUp, "%d requests of the member are queued", s.MemberQueued)
	case s.QueuedBytes+s.Bytes > l.Bytes && s.Queued > 0:
		r = fleet.Refuse(fleet.ReasonQueueFull, "%d bytes are queued", s.QueuedBytes)
	default:
		return nil
	}
	r.RetryAfter = RetryAfter(s.Wait)
	return r
}

// Late returns a refusal if a queued request cannot meet its deadline, or
// cannot meet its first-token target while others wait for the same engines.
func Late(s Situation) *fleet.Refusal { return late(s, 1) }

func late(s Situation, fraction float64) *fleet.Refusal {
	start := s.Elapsed + s.Wait
	var r *fleet.Refusal
	switch {
	case s.Deadline > 0 && start+s.Whole > s.Deadline:
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the answer is expected after %.1f s, the deadline is %.1f s", start+s.Whole, s.Deadline)
	// A request that misses its target even without waiting is not helped by
	// refusing others, nor does the queue make it late.
	case s.Contended && s.TargetFirst > 0 && s.First <= s.TargetFirst && start > 0 && start+s.First > max(fraction*s.TargetFirst, s.First):
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected after %.1f s, the target is %.1f s", start+s.First, s.TargetFirst)
	default:
		return nil
	}
	r.RetryAfter = RetryAfter(s.Wait)
	return r
}

// LateAtBest returns the refusal of a queued request whose first token is
// expected too late at the best engine; first is seconds from now.
func LateAtBest(first float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected %.1f s from now at the best engine, after its target", first)
	r.RetryAfter = minRetryAfter
	return r
}

// ShareUsedUp returns the refusal of a member that has had more than its share
// while others did not get theirs.
func ShareUsedUp(wait float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonShareUsedUp, "members with work have had less than their share")
	r.RetryAfter = RetryAfter(wait)
	return r
}

// RetryAfter returns the suggested wait: the time to drain the queue ahead.
func RetryAfter(wait float64) time.Duration {
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

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
	// lateTolerance is the factor on a first-token target up to which an
	// expected first token is not yet called late; estimates are uncertain.
	lateTolerance = 1.1
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
	return Late(s)
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

// Late returns a refusal if the request cannot meet its deadline, or cannot
// meet its first-token target while others wait for the same engines.
func Late(s Situation) *fleet.Refusal {
	start := s.Elapsed + s.Wait
	if s.Deadline > 0 && start+s.Whole > s.Deadline {
		return late(s, "the answer is expected after %.1f s, the deadline is %.1f s", start+s.Whole, s.Deadline)
	}
	// A request that misses its target even without waiting is not helped by
	// refusing others, nor does the queue make it late.
	if s.Contended && s.TargetFirst > 0 && s.First <= s.TargetFirst && start+s.First > lateTolerance*s.TargetFirst {
		return late(s, "the first token is expected after %.1f s, the target is %.1f s", start+s.First, s.TargetFirst)
	}
	return nil
}

func late(s Situation, format string, args ...any) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonDeadlineUnmeetable, format, args...)
	r.RetryAfter = RetryAfter(s.Wait)
	return r
}

// RetryAfter returns the suggested wait: the time to drain the queue ahead.
func RetryAfter(wait float64) time.Duration {
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

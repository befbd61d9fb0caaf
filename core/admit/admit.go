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

// Input is what is known about one request and the queue.
type Input struct {
	Queued, MemberQueued int
	QueuedBytes, Bytes   int
	// WaitSeconds is the expected seconds until the member's turn.
	WaitSeconds float64
	// ElapsedSeconds is the seconds since the request arrived.
	ElapsedSeconds float64
	// FirstTokenSeconds and Whole are the expected seconds from dispatch to the first
	// token and to the end of the answer on an idle engine.
	FirstTokenSeconds, AnswerSeconds float64
	// FirstTokenTargetSeconds and Deadline are seconds from arrival; zero means none.
	FirstTokenTargetSeconds, DeadlineSeconds float64
	// Contended tells that other queued requests would be served sooner
	// without this one.
	Contended bool
}

// Check returns nil or the reason to refuse the request now.
func Check(l Limits, s Input) *fleet.Refusal {
	if r := bounds(l, s); r != nil {
		return r
	}
	return late(s, admitFraction)
}

func bounds(l Limits, s Input) *fleet.Refusal {
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
	r.RetryAfter = RetryAfter(s.WaitSeconds)
	return r
}

// CheckQueued returns a refusal if a queued request cannot meet its deadline, or
// cannot meet its first-token target while others wait for the same engines.
func CheckQueued(s Input) *fleet.Refusal { return late(s, 1) }

func late(s Input, fraction float64) *fleet.Refusal {
	start := s.ElapsedSeconds + s.WaitSeconds
	var r *fleet.Refusal
	switch {
	case s.DeadlineSeconds > 0 && start+s.AnswerSeconds > s.DeadlineSeconds:
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the answer is expected after %.1f s, the deadline is %.1f s", start+s.AnswerSeconds, s.DeadlineSeconds)
	// A request that misses its target even without waiting is not helped by
	// refusing others, nor does the queue make it late.
	case s.Contended && s.FirstTokenTargetSeconds > 0 && s.FirstTokenSeconds <= s.FirstTokenTargetSeconds && start > 0 && start+s.FirstTokenSeconds > max(fraction*s.FirstTokenTargetSeconds, s.FirstTokenSeconds):
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected after %.1f s, the target is %.1f s", start+s.FirstTokenSeconds, s.FirstTokenTargetSeconds)
	default:
		return nil
	}
	r.RetryAfter = RetryAfter(s.WaitSeconds)
	return r
}

// RefuseLateFirstToken returns the refusal of a queued request whose first token is
// expected too late at the best engine; first is seconds from now.
func RefuseLateFirstToken(first float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected %.1f s from now at the best engine, after its target", first)
	r.RetryAfter = minRetryAfter
	return r
}

// RefuseShareUsedUp returns the refusal of a member that has had more than its share
// while others did not get theirs.
func RefuseShareUsedUp(wait float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonShareUsedUp, "members with work have had less than their share")
	r.RetryAfter = RetryAfter(wait)
	return r
}

// RetryAfter returns the suggested wait: the time to drain the queue ahead.
func RetryAfter(wait float64) time.Duration {
	return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

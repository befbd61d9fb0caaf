// Package admit decides whether a request is refused before it runs, because
// the queue is full or because its deadline or first-token target cannot be
// met.
package admit

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Limits bounds the queue of one instance.
type Limits struct {
	// Requests and Bytes bound the whole queue; MemberRequests bounds the
	// queued requests of one member.
	Requests, MemberRequests int
	Bytes                    int
}

// DefaultLimits holds the limits for a daemon with 64 MB of memory.
var DefaultLimits = Limits{Requests: 2000, MemberRequests: 500, Bytes: 16 << 20}

const (
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// admitTargetFraction is the part of the first-token target that the
	// expected first-token time of a new request may use. If requests were
	// admitted up to the whole target, all of them would be served close to it
	// during an overload, and half of them late.
	admitTargetFraction = 0.7
)

// Input holds the state of the queue and the estimates for one request.
type Input struct {
	Queued, MemberQueued int
	QueuedBytes, Bytes   int
	// WaitSeconds is the expected time until the request is dispatched.
	WaitSeconds float64
	// ElapsedSeconds is the time since the request arrived.
	ElapsedSeconds float64
	// FirstTokenSeconds and AnswerSeconds are the expected times from dispatch
	// to the first token and to the end of the answer on an idle engine.
	FirstTokenSeconds, AnswerSeconds float64
	// FirstTokenTargetSeconds and DeadlineSeconds count from arrival; zero
	// means none.
	FirstTokenTargetSeconds, DeadlineSeconds float64
	// Contended reports whether other queued requests would be served sooner
	// without this one.
	Contended bool
}

// Check returns nil, or the reason to refuse a new request.
func Check(l Limits, in Input) *fleet.Refusal {
	if r := checkBounds(l, in); r != nil {
		return r
	}
	return checkLate(in, admitTargetFraction)
}

// checkBounds returns a refusal if the queue is full.
func checkBounds(l Limits, in Input) *fleet.Refusal {
	var r *fleet.Refusal
	switch {
	case in.Queued >= l.Requests:
		r = fleet.Refuse(fleet.ReasonQueueFull, "%d requests are queued", in.Queued)
	case in.MemberQueued >= l.MemberRequests:
		r = fleet.Refuse(fleet.ReasonShareUsedUp, "%d requests of the member are queued", in.MemberQueued)
	case in.QueuedBytes+in.Bytes > l.Bytes && in.Queued > 0:
		r = fleet.Refuse(fleet.ReasonQueueFull, "%d bytes are queued", in.QueuedBytes)
	default:
		return nil
	}
	r.RetryAfter = RetryAfter(in.WaitSeconds)
	return r
}

// CheckQueued returns nil, or the reason to refuse a request that is already
// queued: it cannot meet its deadline, or it cannot meet its first-token
// target while others wait for the same engines.
func CheckQueued(in Input) *fleet.Refusal { return checkLate(in, 1) }

// checkLate returns a refusal if the request is expected to miss its deadline
// or the given fraction of its first-token target.
func checkLate(in Input, fraction float64) *fleet.Refusal {
	start := in.ElapsedSeconds + in.WaitSeconds
	var r *fleet.Refusal
	switch {
	case in.DeadlineSeconds > 0 && start+in.AnswerSeconds > in.DeadlineSeconds:
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the answer is expected after %.1f s, the deadline is %.1f s", start+in.AnswerSeconds, in.DeadlineSeconds)
	// A request that would miss its target without any wait is not refused,
	// because the queue is not what makes it late.
	case in.Contended && in.FirstTokenTargetSeconds > 0 && in.FirstTokenSeconds <= in.FirstTokenTargetSeconds && start > 0 && start+in.FirstTokenSeconds > max(fraction*in.FirstTokenTargetSeconds, in.FirstTokenSeconds):
		r = fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected after %.1f s, the target is %.1f s", start+in.FirstTokenSeconds, in.FirstTokenTargetSeconds)
	default:
		return nil
	}
	r.RetryAfter = RetryAfter(in.WaitSeconds)
	return r
}

// RefuseLateFirstToken returns the refusal of a queued request whose first
// token is expected after its target at the best engine; seconds is the
// expected time from now.
func RefuseLateFirstToken(seconds float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the first token is expected %.1f s from now at the best engine, after its target", seconds)
	r.RetryAfter = minRetryAfter
	return r
}

// RefuseShareUsedUp returns the refusal of a request whose member has had more
// than its share while other members had less than theirs.
func RefuseShareUsedUp(waitSeconds float64) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonShareUsedUp, "the member has had more than its share while others have had less")
	r.RetryAfter = RetryAfter(waitSeconds)
	return r
}

// RetryAfter returns the wait to suggest to a refused caller: the expected wait
// in the queue, between a second and a minute.
func RetryAfter(waitSeconds float64) time.Duration {
	return min(max(time.Duration(waitSeconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

package fleetsize

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// pool is the state of one pool.
type pool struct {
	Pool
	// wanted is the number of servers that the pool should have, and inForce the
	// number of the last accepted order.
	wanted, inForce int
	// accepted reports whether the order for wanted is accepted; a number that
	// was only found in the list counts as accepted.
	accepted bool
	// ordered reports whether an order was made, and inherited whether its number
	// comes from a predecessor and has not been compared with the list.
	ordered, inherited bool
	// ready is the number of listed servers that do not leave, and reclaimed the
	// number of those that leave and say when they end; lastReclaimed is that of
	// the decision before.
	ready, reclaimed, lastReclaimed int
	// shortSince is when the servers were first fewer than wanted, and
	// surplusSince when they were first more; never if they are not.
	shortSince, surplusSince fleet.Instant
	// late reports whether servers have not come in time; those that are missing
	// don't count as expected then.
	late bool
	// refusedUntil is until when no more servers are ordered, and reclaimedUntil
	// until when that is because of a reclaim.
	refusedUntil, reclaimedUntil fleet.Instant
	// reclaimedAt is the time of the last reclaim.
	reclaimedAt fleet.Instant
	// retryAt is the earliest time of the next order, and failures the number of
	// orders without effect or answer since the last accepted one.
	retryAt  fleet.Instant
	failures int
	// refusals is the number of refusals for lack of servers since the last accepted
	// order.
	refusals int
	// unknownAt is the time of the last order without an answer, and repeatAt
	// when the accepted order is repeated because of it; never for none.
	unknownAt, repeatAt fleet.Instant
}

func newPool(id Pool) *pool {
	return &pool{Pool: id, accepted: true, shortSince: never, surplusSince: never, refusedUntil: never, reclaimedUntil: never, reclaimedAt: never, retryAt: never, unknownAt: never, repeatAt: never}
}

// observe compares the listed servers with the order. A server that is not listed
// within late is missing; most is the largest number that may be ordered.
func (s *pool) observe(late time.Duration, most int, now fleet.Instant) {
	switch {
	case !s.ordered && !s.inherited:
		// Servers that nobody ordered, such as those present at the start.
		s.wanted = max(s.wanted, s.ready)
		s.inForce = s.wanted
	case s.inherited:
		// Servers that the predecessor was about to give up are given up only
		// after a decision of this instance.
		s.inherited, s.ordered = false, true
		s.wanted = min(max(s.wanted, s.ready), most)
		s.inForce = s.wanted
	}
	doubtful := now-s.unknownAt < lateExecution
	// Servers that were given up may leave in the same way; they have been counted
	// before more were ordered.
	if s.reclaimed > s.lastReclaimed && s.ready < s.wanted {
		if doubtful {
			// A late execution of an earlier order looks the same; a reclaim
			// refuses the repeat.
			s.repeat()
		} else {
			s.wanted, s.inForce, s.accepted = s.ready, s.ready, true
			s.reclaimedAt, s.reclaimedUntil = now, now+reclaimTime
			s.refusedUntil = max(s.refusedUntil, s.reclaimedUntil)
		}
	}
	s.lastReclaimed = s.reclaimed
	s.shortSince = since(s.shortSince, s.ready < s.wanted, now)
	s.surplusSince = since(s.surplusSince, s.ready > s.wanted, now)
	if s.ready >= s.wanted {
		s.late = false
	}
	if !s.accepted {
		return
	}
	switch {
	case s.Spot && s.surplusSince != never && now-s.surplusSince > returnDelay && now-s.reclaimedAt < returnTime:
		// The platform has given back what it had reclaimed.
		s.wanted = min(s.ready, most)
		s.inForce = s.wanted
		s.repeat()
	case s.shortSince != never && now-s.shortSince > late:
		s.late, s.shortSince = true, now
		s.refusedUntil = max(s.refusedUntil, now+missingTime)
		s.repeat()
	case s.surplusSince != never && now-s.surplusSince > surplusInterval:
		s.surplusSince = now
		s.repeat()
	case s.repeatAt != never && now >= s.repeatAt:
		s.repeat()
	}
}

// since returns when a condition began; never while it does not hold.
func since(at fleet.Instant, holds bool, now fleet.Instant) fleet.Instant {
	switch {
	case !holds:
		return never
	case at == never:
		return now
	default:
		return at
	}
}

// repeat sends the present order again.
func (s *pool) repeat() { s.accepted, s.ordered, s.repeatAt = false, true, never }

// order changes the number of servers.
func (s *pool) order(n int, now fleet.Instant) {
	if n > s.wanted {
		s.shortSince = now
		s.late = false
	}
	s.wanted, s.accepted, s.ordered, s.retryAt, s.failures, s.repeatAt = n, false, true, now, 0, never
}

// expected returns the number of servers that are there or on their way.
func (s *pool) expected() int {
	if s.late {
		return min(s.ready, s.wanted)
	}
	return s.wanted
}

// finish stores the result of the order for n servers.
func (s *pool) finish(n int, r Result, now fleet.Instant) {
	if r == ResultUnknown {
		s.unknownAt = now
	}
	if n != s.wanted {
		return
	}
	switch r {
	case ResultAccepted:
		s.inForce, s.accepted, s.failures, s.refusals = n, true, 0, 0
		if now-s.unknownAt < lateExecution {
			s.repeatAt = now + repeatInterval
		}
	case ResultUnavailable:
		// More servers than are in force are not available; if the order was a
		// repeat, those that are missing are not.
		if n > s.inForce || s.late || s.reclaimed > 0 {
			s.refusedUntil = max(s.refusedUntil, now+min(unavailableTime<<min(s.refusals/2, 8), maxUnavailable))
			s.refusals++
		}
		if now-s.reclaimedAt < maxReclaim {
			s.reclaimedUntil = max(s.reclaimedUntil, s.refusedUntil)
		}
		if n <= s.inForce && (s.late || s.reclaimed > 0) {
			s.inForce = min(s.inForce, s.ready)
		}
		s.wanted, s.accepted, s.failures = s.inForce, true, 0
	case ResultDelayed:
		if n < s.inForce {
			// Whether the servers can still be given up is decided again.
			s.wanted, s.accepted = s.inForce, true
			return
		}
		s.backOff(now)
	case ResultUnknown:
		s.backOff(now)
		if s.failures >= maxUnknown {
			s.wanted, s.accepted, s.failures = s.ready, true, 0
			s.inForce, s.refusedUntil = s.ready, now+missingTime
		}
	}
}

func (s *pool) backOff(now fleet.Instant) {
	s.retryAt = now + min(minRetry<<min(s.failures, 8), maxRetry)
	s.failures++
}

package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// failureWeight is the weight of one attempt in the failure rate: a server
	// that fails a third of its requests is detected after three or four.
	failureWeight = 0.25
	// failureHalfLife is the half-life of the failure rate while there are no
	// attempts, so that an avoided server is tried again.
	failureHalfLife = 2 * time.Second
	// failureWait is added to the wait of a server whose failure rate is 1: the
	// request is lost, or retried at least this much later.
	failureWait = 1500 * time.Millisecond
	// failureLoad is added to the load per slot of a plain server whose failure
	// rate is 1; 1 is the load of fully used slots.
	failureLoad = 2.0
)

// recentFailureRate returns the failure rate, decayed to now.
func (s *server) recentFailureRate(now fleet.Instant) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now-s.failureRateAt)/float64(failureHalfLife))
}

// recordOutcome adds an attempt to the failure rate: 1 for a failure, 0 for a
// success.
func (s *server) recordOutcome(failure float64, now fleet.Instant) {
	rate := s.recentFailureRate(now)
	if rate == 0 && failure == 0 {
		return
	}
	s.failureRate, s.failureRateAt = rate+failureWeight*(failure-rate), now
}

// failurePenalty returns the wait that is added for the server's recent
// failures.
func (s *server) failurePenalty(now fleet.Instant) time.Duration {
	return time.Duration(s.recentFailureRate(now) * float64(failureWait))
}

// ForgetFailures takes back what failures since a time did to the servers' failure
// rates, which also forgets earlier ones of the same servers, and to the ejector.
func (f *Fleet) ForgetFailures(since fleet.Instant) {
	for _, s := range f.servers {
		if s.failureRateAt >= since {
			s.failureRate = 0
		}
	}
	f.ejector.ForgetFailures(since)
}

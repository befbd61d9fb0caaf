package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// failWeight is the part of one attempt in the share of failed ones: a server
	// that fails a third of its requests is known after three or four.
	failWeight = 0.25
	// failHalfLife is the time in which the share halves without attempts, so
	// that a server that is avoided is tried again.
	failHalfLife = 2 * time.Second
	// failCost is the wait that a certain failure costs: the request is lost, or
	// comes again at least this much later.
	failCost = 1500 * time.Millisecond
	// failLoad is what a certain failure weighs in the choice of a plain server, in
	// full loads of its slots.
	failLoad = 2.0
)

// fails returns the recent share of attempts that failed.
func (s *server) fails(now fleet.Instant) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-float64(now-s.failedAt)/float64(failHalfLife))
}

// outcome counts an attempt: 1 for a failure, 0 for a success.
func (s *server) outcome(failure float64, now fleet.Instant) {
	share := s.fails(now)
	if share == 0 && failure == 0 {
		return
	}
	s.failing, s.failedAt = share+failWeight*(failure-share), now
}

// risk is the wait that the server's recent failures cost.
func (s *server) risk(now fleet.Instant) time.Duration {
	return time.Duration(s.fails(now) * float64(failCost))
}

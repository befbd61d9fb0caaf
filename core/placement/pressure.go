package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// pressureHalfLife is the time in which what a server said of its machine
	// loses half of its weight. It changes many times a second, and views of
	// other instances' requests are 100 to 300 ms old.
	pressureHalfLife = 250 * time.Millisecond
	// minPressure and maxPressure bound what one report can do to an estimate.
	minPressure, maxPressure = 0.5, 4.0
)

// pressure is how long work takes on a server's machine compared with normal, as
// heard in the server's answers. Each instance uses only what its own answers
// say, at different times, and trusts it less with its age. Instances that
// shared the newest report would all leave and return to a server together.
type pressure struct {
	// value is the average of the reports, each half as heavy as the next one
	// pressureHalfLife later; 0 before the first.
	value float64
	at    fleet.Instant
}

// trust returns the weight of the reports so far, from 1 down to 0.
func (p *pressure) trust(now fleet.Instant) float64 {
	return math.Exp2(-float64(now-p.at) / float64(pressureHalfLife))
}

func (p *pressure) hear(value float64, now fleet.Instant) {
	value = min(max(value, minPressure), maxPressure)
	if p.value > 0 {
		value += p.trust(now) / 2 * (p.value - value)
	}
	p.value, p.at = value, now
}

// factor returns the factor by which work is expected to take longer now; 1 if
// nothing was heard.
func (p *pressure) factor(now fleet.Instant) float64 {
	if p.value == 0 {
		return 1
	}
	return 1 + p.trust(now)*(p.value-1)
}

// HearPressure records what a server's process says of its machine: 1 is normal.
func (f *Fleet) HearPressure(p fleet.Process, value float64, now fleet.Instant) {
	if s := f.servers[p.Server]; s != nil && s.StartTime == p.StartTime && value > 0 {
		s.pressure.hear(value, now)
	}
}

// withoutPressure returns the time that work would have taken on an otherwise
// idle machine, so that learned speeds don't include the load of a neighbour. The
// answer whose time is learned has just said how long work takes there.
func (s *server) withoutPressure(took time.Duration) time.Duration {
	if s.pressure.value == 0 {
		return took
	}
	return time.Duration(float64(took) / s.pressure.value)
}

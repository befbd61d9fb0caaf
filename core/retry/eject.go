package retry

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// EjectorConfig fixes the parameters of an ejector.
type EjectorConfig struct {
	// ConsecutiveFailures in a row after which an upstream is ejected.
	ConsecutiveFailures int
	// BaseDuration is the length of the first ejection; it doubles with each
	// ejection that follows before full reinstatement, up to MaxTime.
	BaseDuration, MaxDuration time.Duration
	// ReinstatedInFlight is the number of requests in flight at which a returning
	// upstream counts as reinstated.
	ReinstatedInFlight int
	// MaxEjectedShare is the largest share of a group that may be ejected: when most
	// of a group fails, the cause is seldom the single upstream.
	MaxEjectedShare float64
}

// DefaultEjectorConfig ejects after three failures in a row, because one engine
// crash breaks many streams at once.
var DefaultEjectorConfig = EjectorConfig{
	ConsecutiveFailures: 3, BaseDuration: time.Second, MaxDuration: 30 * time.Second, ReinstatedInFlight: 16, MaxEjectedShare: 0.5,
}

type health struct {
	group    fleet.GroupName
	failures int // in a row
	inFlight int
	ejected  bool
	until    fleet.Instant
	times    int // ejections since full reinstatement
	// limit bounds the requests in flight during reinstatement; 0 means no
	// bound. Each answer doubles it.
	limit     int
	available bool // as last reported by Changes
}

// AvailabilityChange tells that an upstream may or may not receive new work.
type AvailabilityChange struct {
	Upstream  fleet.UpstreamID
	Available bool
}

// Ejector tracks failures per upstream. Not safe for concurrent use.
type Ejector struct {
	config EjectorConfig
	states map[fleet.UpstreamID]*health
	// active tells that an upstream is ejected or returning. It keeps Changes
	// cheap, which is called for every event.
	active bool
}

// NewEjector returns an ejector that knows no upstream.
func NewEjector(config EjectorConfig) *Ejector {
	return &Ejector{config: config, states: map[fleet.UpstreamID]*health{}}
}

// Configure sets the known upstreams and their groups. The state of upstreams
// that stay is kept.
func (e *Ejector) Configure(groups map[fleet.UpstreamID]fleet.GroupName) {
	for id := range e.states {
		if _, ok := groups[id]; !ok {
			delete(e.states, id)
		}
	}
	for id, group := range groups {
		if h, ok := e.states[id]; ok {
			h.group = group
			continue
		}
		e.states[id] = &health{group: group, available: true}
	}
}

// AttemptStarted counts an attempt at an upstream.
func (e *Ejector) AttemptStarted(id fleet.UpstreamID) {
	if h, ok := e.states[id]; ok {
		h.inFlight++
	}
}

// AttemptEnded ends an attempt, whatever its result.
func (e *Ejector) AttemptEnded(id fleet.UpstreamID) {
	if h, ok := e.states[id]; ok && h.inFlight > 0 {
		h.inFlight--
	}
}

// RecordSuccess counts a sign of health, such as the first token of an answer. Each one
// doubles the bound of a returning upstream.
func (e *Ejector) RecordSuccess(id fleet.UpstreamID) {
	h, ok := e.states[id]
	if !ok || h.ejected {
		return
	}
	h.failures = 0
	if h.limit == 0 {
		return
	}
	h.limit *= 2
	if h.limit >= e.config.ReinstatedInFlight {
		h.limit, h.times = 0, 0
	}
}

// RecordFailure counts a failure. It does not end the attempt, because a broken
// stream may be resumed.
func (e *Ejector) RecordFailure(id fleet.UpstreamID, now fleet.Instant) {
	h, ok := e.states[id]
	if !ok || h.ejected {
		return
	}
	h.failures++
	returning := h.limit > 0
	if (returning || h.failures >= e.config.ConsecutiveFailures) && e.mayEject(h.group) {
		h.ejected, e.active = true, true
		h.until = now + e.length(h.times)
		h.times++
	}
}

func (e *Ejector) mayEject(group fleet.GroupName) bool {
	known, out := 0, 0
	for _, h := range e.states {
		if h.group != group {
			continue
		}
		known++
		if h.ejected {
			out++
		}
	}
	return float64(out+1) <= e.config.MaxEjectedShare*float64(known)
}

func (e *Ejector) length(times int) time.Duration {
	length := e.config.BaseDuration
	for range times {
		length = min(2*length, e.config.MaxDuration)
	}
	return length
}

// TakeChanges ends ejections that are over and returns the upstreams whose
// availability differs from the last call.
func (e *Ejector) TakeChanges(now fleet.Instant) []AvailabilityChange {
	if !e.active {
		return nil
	}
	e.active = false
	var out []AvailabilityChange
	for id, h := range e.states {
		if h.ejected && now >= h.until {
			// Streams from before the ejection may run on for long; they do
			// not delay the first new request.
			h.ejected, h.failures, h.limit = false, 0, h.inFlight+1
		}
		available := !h.ejected && (h.limit == 0 || h.inFlight < h.limit)
		if available != h.available {
			h.available = available
			out = append(out, AvailabilityChange{Upstream: id, Available: available})
		}
		if h.ejected || h.limit > 0 {
			e.active = true
		}
	}
	return out
}

// Ejected counts the upstreams that are ejected.
func (e *Ejector) Ejected() int {
	n := 0
	for _, h := range e.states {
		if h.ejected {
			n++
		}
	}
	return n
}

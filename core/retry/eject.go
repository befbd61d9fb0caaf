package retry

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// EjectorConfig holds the parameters of an Ejector.
type EjectorConfig struct {
	// ConsecutiveFailures is the number of failures in a row after which an
	// upstream is ejected.
	ConsecutiveFailures int
	// BaseDuration is the length of the first ejection; it doubles with each
	// further ejection before full reinstatement, up to MaxDuration.
	BaseDuration, MaxDuration time.Duration
	// ReinstatedInFlight is the bound on requests in flight from which a
	// returning upstream counts as reinstated.
	ReinstatedInFlight int
	// MaxEjectedShare is the largest share of a group that may be ejected. When
	// most of a group fails, the cause is seldom the single upstream.
	MaxEjectedShare float64
}

// DefaultEjectorConfig ejects an upstream after three failures in a row, which
// a crash of an engine reaches at once because it breaks many streams.
var DefaultEjectorConfig = EjectorConfig{
	ConsecutiveFailures: 3, BaseDuration: time.Second, MaxDuration: 30 * time.Second, ReinstatedInFlight: 16, MaxEjectedShare: 0.5,
}

// upstreamHealth holds the failures and the ejection state of one upstream.
type upstreamHealth struct {
	group        fleet.GroupName
	failures     int           // in a row
	failedAt     fleet.Instant // of the last one that was counted
	inFlight     int
	ejected      bool
	ejectedUntil fleet.Instant
	ejections    int // ejections since full reinstatement
	// inFlightLimit bounds the requests in flight during reinstatement; 0 means
	// no bound. Each success doubles it.
	inFlightLimit int
	lastAvailable bool // as last returned by TakeChanges
}

// AvailabilityChange says that an upstream may now receive new work, or no
// longer.
type AvailabilityChange struct {
	Upstream  fleet.UpstreamID
	Available bool
}

// Ejector tracks failures per upstream and ejects upstreams that fail. It is
// not safe for concurrent use.
type Ejector struct {
	config EjectorConfig
	states map[fleet.UpstreamID]*upstreamHealth
	// anyRestricted reports whether an upstream is ejected or returning. It
	// keeps TakeChanges, which is called for every event, cheap otherwise.
	anyRestricted bool
}

// NewEjector returns an ejector that knows no upstream.
func NewEjector(config EjectorConfig) *Ejector {
	return &Ejector{config: config, states: map[fleet.UpstreamID]*upstreamHealth{}}
}

// Copy returns an ejector with the same state that shares nothing with e.
func (e *Ejector) Copy() *Ejector {
	out := *e
	out.states = make(map[fleet.UpstreamID]*upstreamHealth, len(e.states))
	for id, h := range e.states {
		health := *h
		out.states[id] = &health
	}
	return &out
}

// Configure sets the known upstreams and their groups. Upstreams that were
// known before keep their state; events of unknown ones are ignored.
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
		e.states[id] = &upstreamHealth{group: group, lastAvailable: true}
	}
}

// AttemptStarted counts an attempt in flight at an upstream.
func (e *Ejector) AttemptStarted(id fleet.UpstreamID) {
	if h, ok := e.states[id]; ok {
		h.inFlight++
	}
}

// AttemptEnded ends an attempt in flight, whatever its result.
func (e *Ejector) AttemptEnded(id fleet.UpstreamID) {
	if h, ok := e.states[id]; ok && h.inFlight > 0 {
		h.inFlight--
	}
}

// RecordSuccess counts a sign of health, such as the first token of an answer.
// It resets the failures in a row and doubles the in-flight bound of a
// returning upstream.
func (e *Ejector) RecordSuccess(id fleet.UpstreamID) {
	h, ok := e.states[id]
	if !ok || h.ejected {
		return
	}
	h.failures = 0
	if h.inFlightLimit == 0 {
		return
	}
	h.inFlightLimit *= 2
	if h.inFlightLimit >= e.config.ReinstatedInFlight {
		h.inFlightLimit, h.ejections = 0, 0
	}
}

// RecordFailure counts a failure. It ejects the upstream after too many in a row,
// or after the first while the upstream is returning, unless too much of its
// group is ejected already. It does not end the attempt, because a broken stream
// may be resumed.
func (e *Ejector) RecordFailure(id fleet.UpstreamID, now fleet.Instant) {
	h, ok := e.states[id]
	if !ok || h.ejected {
		return
	}
	h.failures++
	h.failedAt = now
	returning := h.inFlightLimit > 0
	if (returning || h.failures >= e.config.ConsecutiveFailures) && e.mayEject(h.group) {
		h.ejected, e.anyRestricted = true, true
		h.ejectedUntil = now + e.ejectionDuration(h.ejections)
		h.ejections++
	}
}

// ForgetFailures takes back the failures since a time and the ejections that they
// caused.
func (e *Ejector) ForgetFailures(since fleet.Instant) {
	for _, h := range e.states {
		if h.failures == 0 || h.failedAt < since {
			continue
		}
		h.failures = 0
		if h.ejected {
			h.ejected = false
			h.ejections--
		}
	}
}

// mayEject reports whether one more upstream of the group may be ejected.
func (e *Ejector) mayEject(group fleet.GroupName) bool {
	total, ejected := 0, 0
	for _, h := range e.states {
		if h.group != group {
			continue
		}
		total++
		if h.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= e.config.MaxEjectedShare*float64(total)
}

// ejectionDuration returns the length of an ejection after the given number of
// earlier ones.
func (e *Ejector) ejectionDuration(earlier int) time.Duration {
	duration := e.config.BaseDuration
	for range earlier {
		duration = min(2*duration, e.config.MaxDuration)
	}
	return duration
}

// TakeChanges ends the ejections that are over and returns the upstreams whose
// availability changed since the last call.
func (e *Ejector) TakeChanges(now fleet.Instant) []AvailabilityChange {
	if !e.anyRestricted {
		return nil
	}
	e.anyRestricted = false
	var out []AvailabilityChange
	for id, h := range e.states {
		if h.ejected && now >= h.ejectedUntil {
			// Streams from before the ejection may run for long. The limit
			// leaves room for one request beside them.
			h.ejected, h.failures, h.inFlightLimit = false, 0, h.inFlight+1
		}
		available := !h.ejected && (h.inFlightLimit == 0 || h.inFlight < h.inFlightLimit)
		if available != h.lastAvailable {
			h.lastAvailable = available
			out = append(out, AvailabilityChange{Upstream: id, Available: available})
		}
		if h.ejected || h.inFlightLimit > 0 {
			e.anyRestricted = true
		}
	}
	return out
}

// Ejected returns the number of ejected upstreams.
func (e *Ejector) Ejected() int {
	n := 0
	for _, h := range e.states {
		if h.ejected {
			n++
		}
	}
	return n
}

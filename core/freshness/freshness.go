// Package freshness decides whether an instance's configuration is recent enough to
// authenticate requests by it. All times are on a clock that includes the time for
// which the process was frozen.
package freshness

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// DefaultMargin is subtracted from the bound. The rule itself needs none, since each
// time is taken on the side that ends earlier; the margin covers clocks of two
// instances that run at different rates (0.5 ms per second) and the granularity of
// the times at which the store acknowledges and callers send.
const DefaultMargin = 300 * time.Millisecond

// Config holds the bounds.
type Config struct {
	// Strict reports whether requests that need a key are rejected once the
	// configuration may lack a revocation that is older than Bound.
	Strict        bool
	Bound, Margin time.Duration
	// Deadline is the time within which a new configuration takes effect.
	Deadline time.Duration
}

// Verdict says what the configuration can be used for.
type Verdict uint8

// Verdicts, from the best to the worst.
const (
	// Current means that both known and unknown keys are certain enough.
	Current Verdict = iota
	// Late means that a key that is unknown may have been added since.
	Late
	// Outdated means that a key that is known may have been revoked before the
	// bound.
	Outdated
)

var verdictNames = [...]string{"current", "late", "outdated"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Report is an instance's statement about its configuration: as of Age before the
// report, the newest configuration in the store had at most Revision.
type Report struct {
	Revision int64
	Age      time.Duration
}

// Tracker holds up to when the configuration of one process is certainly complete.
// The zero time of a Tracker is before any configuration.
type Tracker struct {
	config Config
	// asOf is the time up to which the configuration is complete, if confirmed is
	// set.
	asOf      fleet.Instant
	confirmed bool
	// revision is the store's revision of the newest configuration that was seen,
	// and unreadable reports whether that one is not in force because it could
	// not be read.
	revision   int64
	unreadable bool
}

// New returns the Tracker of a process that has just started.
func New(c Config) *Tracker { return &Tracker{config: c} }

// Seen records that the configuration of a revision was applied, or could not be
// read. Earlier revisions than the newest one change nothing.
func (t *Tracker) Seen(revision int64, readable bool) {
	if revision > t.revision {
		t.revision, t.unreadable = revision, !readable
	}
}

// Confirm records that all configurations up to a time have been seen. The time is
// that before the confirming call was sent: the answer may be late by any delay. It
// never moves backwards, and does not move while the newest configuration is
// unreadable. It returns whether it moved.
func (t *Tracker) Confirm(asOf fleet.Instant) bool {
	if t.unreadable || (t.confirmed && asOf <= t.asOf) {
		return false
	}
	t.asOf, t.confirmed = asOf, true
	return true
}

// Receive applies the report of another instance that answers a call; asked is the
// time before the call was sent. The age counts from then, since the report may have
// been written at any time after it. A report about a newer configuration than the
// one that was seen confirms nothing.
func (t *Tracker) Receive(r Report, asked fleet.Instant) bool {
	if r.Age < 0 || r.Revision > t.revision {
		return false
	}
	return t.Confirm(asked - r.Age)
}

// Report returns the statement for other instances; ok is false if nothing is
// confirmed yet.
func (t *Tracker) Report(now fleet.Instant) (r Report, ok bool) {
	return Report{Revision: t.revision, Age: max(now-t.asOf, 0)}, t.confirmed
}

// Revision returns the revision of the newest configuration that was seen.
func (t *Tracker) Revision() int64 { return t.revision }

// ConfirmedAt returns the time up to which the configuration is complete; ok is false
// if nothing is confirmed yet.
func (t *Tracker) ConfirmedAt() (at fleet.Instant, ok bool) { return t.asOf, t.confirmed }

// Verdict returns what the configuration can be used for. It holds for requests that
// were received before now, and for a configuration that is looked up after the call.
func (t *Tracker) Verdict(now fleet.Instant) Verdict {
	age := now - t.asOf
	switch {
	case t.config.Strict && (!t.confirmed || age > t.config.Bound-t.config.Margin):
		return Outdated
	case !t.confirmed || age > t.config.Deadline:
		return Late
	}
	return Current
}

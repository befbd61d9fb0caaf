package quarantine

import (
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// abandonedTTL is how long before a server's end an attempt may have been given
	// up to be one of its victims, and abandonedSlack how long after it: times of
	// other instances are late by the transit.
	abandonedTTL   = 500 * time.Millisecond
	abandonedSlack = 200 * time.Millisecond
	// abandonedCheckInterval is the least time between two checks of a server
	// because of attempts that were given up.
	abandonedCheckInterval = time.Second
	// maxAbandonedServers bounds the servers for which such attempts are kept.
	maxAbandonedServers = 64
)

// abandonedAttempts are the attempts at one server that this instance has lately given
// up before the answer was past its beginning. Nothing shows on their connections
// whether the server ends under them.
type abandonedAttempts struct {
	attempts  []abandonedAttempt
	checkedAt fleet.Instant
}

type abandonedAttempt struct {
	at     fleet.Instant
	victim Victim
}

// AttemptAbandoned records an attempt that this instance has given up, because it
// made no progress or its caller left. It returns true when the caller has to find out
// whether the process has ended, and report it with ProcessEnded.
func (d *Detector) AttemptAbandoned(p fleet.Process, v Victim, now fleet.Instant) bool {
	v.Parts = normalise(v.Parts)
	if v.Events >= beginningEvents || len(v.Parts) == 0 {
		return false
	}
	if known := d.crashes[p]; known != nil {
		if now-known.at <= abandonedSlack {
			d.addVictims(known, []Victim{v}, now)
		}
		return false
	}
	d.pruneAbandoned(now)
	a := d.abandoned[p]
	if a == nil {
		if len(d.abandoned) >= maxAbandonedServers {
			return false
		}
		a = &abandonedAttempts{checkedAt: now - abandonedCheckInterval}
		d.abandoned[p] = a
	}
	if len(a.attempts) >= maxVictims {
		a.attempts = slices.Delete(a.attempts, 0, 1)
	}
	a.attempts = append(a.attempts, abandonedAttempt{at: now, victim: v})
	if now-a.checkedAt < abandonedCheckInterval {
		return false
	}
	a.checkedAt = now
	return true
}

// pruneAbandoned drops the attempts whose server can no longer have ended under them.
func (d *Detector) pruneAbandoned(now fleet.Instant) {
	for p, a := range d.abandoned {
		a.attempts = slices.DeleteFunc(a.attempts, func(x abandonedAttempt) bool { return now-x.at > abandonedCheckInterval })
		if len(a.attempts) == 0 && now-a.checkedAt > abandonedCheckInterval {
			delete(d.abandoned, p)
		}
	}
}

// abandonedBefore returns the victims among the attempts that were given up shortly
// before the end of a process.
func (d *Detector) abandonedBefore(p fleet.Process, at fleet.Instant) []Victim {
	a := d.abandoned[p]
	if a == nil {
		return nil
	}
	var out []Victim
	for _, x := range a.attempts {
		if at-x.at <= abandonedTTL && x.at-at <= abandonedSlack {
			out = append(out, x.victim)
		}
	}
	return out
}

// lastAbandoned returns when the last attempt at a process was given up, if that was
// lately.
func (d *Detector) lastAbandoned(p fleet.Process, now fleet.Instant) (fleet.Instant, bool) {
	a := d.abandoned[p]
	if a == nil || len(a.attempts) == 0 {
		return 0, false
	}
	last := a.attempts[len(a.attempts)-1].at
	return last, now-last <= abandonedTTL
}

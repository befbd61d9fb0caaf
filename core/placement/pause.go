package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// returnTime is the time in which a server that has paused is filled again. All
// that it did not get meanwhile would come at once otherwise.
const returnTime = time.Second

// Pause keeps new requests from a server's process until the given time, and
// reports whether that is longer than before.
func (f *Fleet) Pause(p fleet.Process, until fleet.Instant) bool {
	s := f.servers[p.Server]
	if s == nil || s.Process() != p || until <= s.pausedUntil {
		return false
	}
	s.pausedUntil = until
	return true
}

// TakesRequests reports whether the process may get a new request as far as what
// it says of itself is concerned.
func (f *Fleet) TakesRequests(p fleet.Process, now fleet.Instant) bool {
	s := f.servers[p.Server]
	return s != nil && s.Process() == p && !s.Leaving && now >= s.pausedUntil
}

// takesRequests reports whether a server may get a new request as far as what it
// says of itself is concerned, and counts it otherwise.
func (f *Fleet) takesRequests(s *server, now fleet.Instant) bool {
	u := &f.unavailable
	switch {
	case s.Leaving:
		u.Leaving++
		f.trace.pass(s, PassedLeaving, now)
	case now < s.pausedUntil:
		if wait := s.pausedUntil - now; u.Paused == 0 || wait < u.PausedFor {
			u.PausedFor = wait
		}
		u.Paused++
		f.trace.pass(s, PassedPaused, now)
	default:
		u.Others++
		return true
	}
	return false
}

// slotsNow returns the number of slots for which a server is given requests: all
// of them, but within returnTime after a pause only the part of them that
// corresponds to the time that has passed.
func (s *server) slotsNow(now fleet.Instant) float64 {
	slots := float64(max(s.Slots, 1))
	if since := now - s.pausedUntil; s.pausedUntil > 0 && since < returnTime {
		return max(slots*float64(since)/float64(returnTime), 1)
	}
	return slots
}

package usage

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// maxPending bounds the requests that are held until the time is known.
const maxPending = 1 << 16

// Counter assigns the requests of this process to windows. Before the time is
// known it holds them.
type Counter struct {
	Clock  *Clock
	Ledger *Ledger
	length time.Duration
	// startedAt is when the process started.
	startedAt fleet.Instant
	pending   []pendingCount
}

type pendingCount struct {
	member fleet.MemberID
	at     fleet.Instant
}

// NewCounter returns the counter of a process that started at a time on its
// boottime clock, when its wall clock showed a time since the start of 1970.
func NewCounter(self Process, length time.Duration, started, wall fleet.Instant) *Counter {
	return &Counter{Clock: NewClock(started, wall), Ledger: NewLedger(self), length: length, startedAt: started}
}

// Began counts a request of a member that began to run at a time on the boottime
// clock.
func (c *Counter) Began(member fleet.MemberID, at fleet.Instant) {
	t, ok := c.Clock.Time(at)
	if !ok {
		if len(c.pending) < maxPending {
			c.pending = append(c.pending, pendingCount{member, at})
		}
		return
	}
	c.Ledger.Count(member, Window(t, c.length), 1)
}

// Tick updates the time and the windows. listed is the number of listed instances.
func (c *Counter) Tick(now fleet.Instant, listed int) {
	c.Clock.Update(now, listed)
	t, ok := c.Clock.Time(now)
	if !ok {
		return
	}
	for _, p := range c.pending {
		at, _ := c.Clock.Time(p.at)
		c.Ledger.Count(p.member, Window(at, c.length), 1)
	}
	c.pending = nil
	started := c.Ledger.self.started
	if started == 0 {
		at, _ := c.Clock.Time(c.startedAt)
		started = Window(at, c.length) + 1
	}
	c.Ledger.SetPresent(Window(t, c.length), started, Closed(t, c.length))
}

// wantDelay is the time after which the counts of a closed window are asked for
// from others: the way of the counts through two hubs.
const wantDelay = 500 * time.Millisecond

// Want returns the listed instances whose counts have not arrived in time, at most
// MaxWant.
func (c *Counter) Want(now fleet.Instant, listed []fleet.InstanceID) []fleet.InstanceID {
	t, ok := c.Clock.Time(now)
	if !ok {
		return nil
	}
	missing := c.Ledger.Missing(Closed(t-wantDelay, c.length), listed)
	return missing[:min(len(missing), MaxWant)]
}

// UntilClosed returns the time until the next window is closed; false before the
// time is known.
func (c *Counter) UntilClosed(now fleet.Instant) (time.Duration, bool) {
	t, ok := c.Clock.Time(now)
	return c.length - (t-closeDelay)%c.length, ok
}

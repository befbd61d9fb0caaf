// Package dispatch drives the scheduler of an instance: it serialises events,
// keeps the clock and passes each command to the request that waits for it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// tickPeriod is the interval of the events that advance the scheduler's clock,
// so that queued requests can expire.
const tickPeriod = 20 * time.Millisecond

// Dispatcher drives a scheduler. It is safe for concurrent use.
type Dispatcher struct {
	start time.Time

	mu      sync.Mutex
	sched   *sched.Scheduler
	waiters map[fleet.RequestID]chan sched.Command
	health  *health
	cancel  func(fleet.RequestID, fleet.UpstreamID)
}

// New returns a dispatcher. cancel is called for every CancelAt command and may
// be nil.
func New(config sched.Config, cancel func(fleet.RequestID, fleet.UpstreamID)) *Dispatcher {
	return &Dispatcher{
		start:   time.Now(),
		sched:   sched.New(config),
		waiters: map[fleet.RequestID]chan sched.Command{},
		health:  newHealth(),
		cancel:  cancel,
	}
}

// Now returns the current time on the scheduler's clock.
func (d *Dispatcher) Now() fleet.Instant { return time.Since(d.start) }

// Run advances the scheduler's clock until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.Step(sched.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// Step applies one event and delivers the resulting commands.
func (d *Dispatcher) Step(ev sched.Event) {
	d.mu.Lock()
	now := d.Now()
	d.sched.Step(now, d.health.apply(ev))
	commands := d.sched.Ready()
	for _, c := range commands {
		d.deliver(c)
	}
	for _, change := range d.health.changes(now) {
		d.sched.Step(now, change)
	}
	followUps := d.sched.Ready()
	for _, c := range followUps {
		d.deliver(c)
	}
	commands = append(commands, followUps...)
	d.mu.Unlock()
	for _, c := range commands {
		if c, ok := c.(sched.CancelAt); ok && d.cancel != nil {
			d.cancel(c.ID, c.Upstream)
		}
	}
}

// deliver passes a Dispatch or Refuse command to the request that waits for it.
// The caller holds d.mu.
func (d *Dispatcher) deliver(c sched.Command) {
	var id fleet.RequestID
	switch c := c.(type) {
	case sched.Dispatch:
		id = c.ID
		d.health.ejector.AttemptStarted(c.Choice.Target)
	case sched.Refuse:
		id = c.ID
	default:
		return
	}
	if ch, ok := d.waiters[id]; ok {
		// The buffer has room for one command. The scheduler issues at most one
		// per attempt, and the request receives it before it asks for another.
		ch <- c
	}
}

// TakePeerUpdate returns the scheduler's recent work for the peers and clears
// it.
func (d *Dispatcher) TakePeerUpdate() sched.PeerUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.TakePeerUpdate()
}

// Status returns a snapshot of the scheduler.
func (d *Dispatcher) Status() sched.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Status()
}

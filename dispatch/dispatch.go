// Package dispatch runs the scheduler of an instance: it serialises events,
// keeps the clock and hands each command to the request that waits for it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// tickPeriod is how often queued requests are checked for expiry.
const tickPeriod = 20 * time.Millisecond

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	start time.Time

	mu      sync.Mutex
	sched   *sched.Scheduler
	waiting map[fleet.RequestID]chan sched.Command
	cancel  func(fleet.RequestID, fleet.UpstreamID)
}

// New returns a dispatcher; cancel is called for every CancelAt command.
func New(config sched.Config, cancel func(fleet.RequestID, fleet.UpstreamID)) *Dispatcher {
	return &Dispatcher{
		start:   time.Now(),
		sched:   sched.New(config),
		waiting: map[fleet.RequestID]chan sched.Command{},
		cancel:  cancel,
	}
}

// Now returns the scheduler's time.
func (d *Dispatcher) Now() fleet.Instant { return time.Since(d.start) }

// Run steps the clock until ctx ends.
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
	d.sched.Step(d.Now(), ev)
	commands := d.sched.Ready()
	for _, c := range commands {
		d.deliver(c)
	}
	d.mu.Unlock()
	for _, c := range commands {
		if c, ok := c.(sched.CancelAt); ok && d.cancel != nil {
			d.cancel(c.ID, c.Upstream)
		}
	}
}

func (d *Dispatcher) deliver(c sched.Command) {
	var id fleet.RequestID
	switch c := c.(type) {
	case sched.Dispatch:
		id = c.ID
	case sched.Refuse:
		id = c.ID
	default:
		return
	}
	if ch, ok := d.waiting[id]; ok {
		// The buffer holds one command; the scheduler sends at most one per
		// attempt and the waiter takes it before it asks for another attempt.
		ch <- c
	}
}

// Ticket is one request that the scheduler has accepted.
type Ticket struct {
	id       fleet.RequestID
	d        *Dispatcher
	commands chan sched.Command
	Choice   sched.Choice
}

// Submit enters a request and waits for its first choice or its refusal.
func (d *Dispatcher) Submit(ctx context.Context, r sched.Request) (*Ticket, *fleet.Refusal) {
	t := &Ticket{id: r.ID, d: d, commands: make(chan sched.Command, 1)}
	d.mu.Lock()
	d.waiting[r.ID] = t.commands
	d.mu.Unlock()
	d.Step(sched.Submit{Request: r})
	return t.wait(ctx)
}

func (t *Ticket) wait(ctx context.Context) (*Ticket, *fleet.Refusal) {
	select {
	case c := <-t.commands:
		if refuse, ok := c.(sched.Refuse); ok {
			t.forget()
			return nil, refuse.Refusal
		}
		t.Choice = c.(sched.Dispatch).Choice
		return t, nil
	case <-ctx.Done():
		t.Cancel()
		return nil, fleet.Refuse(fleet.ReasonCallerGone, "the caller left while the request was queued")
	}
}

// FirstToken reports that the answer began.
func (t *Ticket) FirstToken() { t.d.Step(sched.FirstToken{ID: t.id}) }

// Tokens reports n more tokens of the answer.
func (t *Ticket) Tokens(n int) { t.d.Step(sched.Tokens{ID: t.id, N: n}) }

// Finish ends the request with the engine's usage.
func (t *Ticket) Finish(usage fleet.Usage) {
	t.d.Step(sched.Finished{ID: t.id, Usage: usage})
	t.forget()
}

// Retry reports that the attempt failed and waits for another choice.
func (t *Ticket) Retry(ctx context.Context) (*Ticket, *fleet.Refusal) {
	t.d.Step(sched.Failed{ID: t.id, Upstream: t.Choice.Target, Retry: true})
	return t.wait(ctx)
}

// Fail ends the request after an attempt that must not be repeated.
func (t *Ticket) Fail() {
	t.d.Step(sched.Failed{ID: t.id, Upstream: t.Choice.Target})
	t.forget()
}

// Cancel ends the request because its caller has left.
func (t *Ticket) Cancel() {
	t.d.Step(sched.Cancel{ID: t.id})
	t.forget()
}

func (t *Ticket) forget() {
	t.d.mu.Lock()
	delete(t.d.waiting, t.id)
	t.d.mu.Unlock()
}

// TakeShared returns and clears what peers must learn about recent work.
func (d *Dispatcher) TakeShared() sched.Shared {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.TakeShared()
}

// Status returns a snapshot of the scheduler.
func (d *Dispatcher) Status() sched.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Status()
}

package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

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
		t.end(sched.Cancel{ID: t.id})
		t.discard()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the deadline passed while the request was queued")
		}
		return nil, fleet.Refuse(fleet.ReasonCallerGone, "the caller left while the request was queued")
	}
}

// discard drops a command that crossed the caller's departure.
func (t *Ticket) discard() {
	select {
	case c := <-t.commands:
		if dispatch, ok := c.(sched.Dispatch); ok {
			t.d.left(dispatch.Choice.Target)
		}
	default:
	}
}

// FirstToken reports that the answer began.
func (t *Ticket) FirstToken() {
	t.d.good(t.Choice.Target)
	t.d.Step(sched.FirstToken{ID: t.id})
}

// Tokens reports n more tokens of the answer and the longest gap before one of
// them.
func (t *Ticket) Tokens(n int, longest time.Duration) {
	t.d.Step(sched.Tokens{ID: t.id, N: n, LongestGap: longest})
}

// Finish ends the request with the engine's usage.
func (t *Ticket) Finish(usage fleet.Usage) {
	t.d.good(t.Choice.Target)
	t.leave()
	t.end(sched.Finished{ID: t.id, Usage: usage})
}

// ReportFailure counts a failure of the upstream that may lead to its ejection. The
// attempt goes on until Retry, Fail, Cancel or Finish.
func (t *Ticket) ReportFailure(id fleet.UpstreamID) { t.d.trouble(id) }

// Retry reports that the attempt failed and waits for another choice. The
// ticket must not be used after a refusal.
func (t *Ticket) Retry(ctx context.Context) (*Ticket, *fleet.Refusal) {
	t.leave()
	t.d.Step(sched.Failed{ID: t.id, Upstream: t.Choice.Target, Retry: true})
	return t.wait(ctx)
}

// Fail ends the request after an attempt that must not be repeated.
func (t *Ticket) Fail() {
	t.leave()
	t.end(sched.Failed{ID: t.id, Upstream: t.Choice.Target})
}

// Cancel ends the request because its caller has left.
func (t *Ticket) Cancel() {
	t.leave()
	t.end(sched.Cancel{ID: t.id})
}

func (t *Ticket) leave() { t.d.left(t.Choice.Target) }

func (t *Ticket) end(ev sched.Event) {
	t.d.Step(ev)
	t.forget()
}

func (t *Ticket) forget() {
	t.d.mu.Lock()
	delete(t.d.waiting, t.id)
	t.d.mu.Unlock()
}

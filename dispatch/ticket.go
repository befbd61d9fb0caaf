package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Ticket is the handle of a request that the scheduler has dispatched. It is
// not safe for concurrent use.
type Ticket struct {
	id         fleet.RequestID
	dispatcher *Dispatcher
	commands   chan sched.Command
	// Choice holds the upstreams of the current attempt.
	Choice sched.Choice
}

// Submit submits a request and waits until it is dispatched or refused. When
// ctx ends first, the request is cancelled and refused.
func (d *Dispatcher) Submit(ctx context.Context, r sched.Request) (*Ticket, *fleet.Refusal) {
	t := &Ticket{id: r.ID, dispatcher: d, commands: make(chan sched.Command, 1)}
	d.mu.Lock()
	d.waiters[r.ID] = t.commands
	d.mu.Unlock()
	d.Step(sched.Submit{Request: r})
	return t.wait(ctx)
}

// wait waits for the next choice of the request or its refusal. When ctx ends
// first, it cancels the request and returns a refusal.
func (t *Ticket) wait(ctx context.Context) (*Ticket, *fleet.Refusal) {
	select {
	case c := <-t.commands:
		if refuse, ok := c.(sched.Refuse); ok {
			t.unregister()
			return nil, refuse.Refusal
		}
		t.Choice = c.(sched.Dispatch).Choice
		return t, nil
	case <-ctx.Done():
		t.end(sched.Cancel{ID: t.id})
		t.discardCommand()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, fleet.Refuse(fleet.ReasonDeadlineUnmeetable, "the deadline passed while the request was queued")
		}
		return nil, fleet.Refuse(fleet.ReasonCallerGone, "the caller left while the request was queued")
	}
}

// discardCommand drops a command that was issued while the caller left, and
// ends its attempt.
func (t *Ticket) discardCommand() {
	select {
	case c := <-t.commands:
		if dispatch, ok := c.(sched.Dispatch); ok {
			t.dispatcher.attemptEnded(dispatch.Choice.Target)
		}
	default:
	}
}

// FirstToken reports that the first token of the answer arrived.
func (t *Ticket) FirstToken() {
	t.dispatcher.recordSuccess(t.Choice.Target)
	t.dispatcher.Step(sched.FirstToken{ID: t.id})
}

// Tokens reports that n more tokens of the answer arrived; longest is the
// longest time before one of them.
func (t *Ticket) Tokens(n int, longest time.Duration) {
	t.dispatcher.Step(sched.Tokens{ID: t.id, N: n, LongestGap: longest})
}

// Finish ends an answered request with the usage that the engine reported.
func (t *Ticket) Finish(usage fleet.Usage) {
	t.dispatcher.recordSuccess(t.Choice.Target)
	t.endAttempt()
	t.end(sched.Finished{ID: t.id, Usage: usage})
}

// ReportFailure counts a failure of an upstream, which may be ejected for it.
// The attempt continues until Retry, Fail, Cancel or Finish.
func (t *Ticket) ReportFailure(id fleet.UpstreamID) { t.dispatcher.recordFailure(id) }

// Retry ends a failed attempt and waits for the next choice. The ticket must
// not be used after a refusal.
func (t *Ticket) Retry(ctx context.Context) (*Ticket, *fleet.Refusal) {
	t.endAttempt()
	t.dispatcher.Step(sched.Failed{ID: t.id, Upstream: t.Choice.Target, Retry: true})
	return t.wait(ctx)
}

// Fail ends the request after a failed attempt that is not retried.
func (t *Ticket) Fail() {
	t.endAttempt()
	t.end(sched.Failed{ID: t.id, Upstream: t.Choice.Target})
}

// Cancel ends the request because its caller has left.
func (t *Ticket) Cancel() {
	t.endAttempt()
	t.end(sched.Cancel{ID: t.id})
}

func (t *Ticket) endAttempt() { t.dispatcher.attemptEnded(t.Choice.Target) }

// end passes the last event of the request to the scheduler.
func (t *Ticket) end(ev sched.Event) {
	t.dispatcher.Step(ev)
	t.unregister()
}

func (t *Ticket) unregister() {
	t.dispatcher.mu.Lock()
	delete(t.dispatcher.waiters, t.id)
	t.dispatcher.mu.Unlock()
}

package order

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// Config fixes the parameters of an engine's machine.
type Config struct {
	Self     Process
	Upstream fleet.UpstreamID
	// ChecksFencing tells that the engine refuses an old fencing number.
	ChecksFencing bool
	// PollInterval is the wait between two looks at a change under way.
	PollInterval time.Duration
	// IdlePollInterval is the wait between two looks at an engine without a change.
	IdlePollInterval time.Duration
	// DrainLimit is how long a drain may take before it is undone.
	DrainLimit time.Duration
	// MaxDeliveryDelay is how long the bytes of a request whose connection broke may
	// still reach the engine. It must exceed the network's segment lifetime and
	// the engine's limit for reading a request.
	MaxDeliveryDelay time.Duration
	// Backoff is the wait after an order that did not take effect.
	Backoff time.Duration
}

// Engine gives orders to one engine. It is not safe for concurrent use.
type Engine struct {
	config    Config
	authority lease.Term
	// term is the last fencing number that was not 0.
	term int64
	want *Desired
	gone []Process

	call int64
	// pending is the command without an answer; one call runs at a time.
	pending Command
	// pendingTerm is the term in which the pending command was issued.
	pendingTerm int64
	next        fleet.Instant
	ready       outbox.Outbox[Command]

	known    bool
	record   Record
	revision int64

	observed bool
	state    State

	slotClean  bool
	slotTaken  *Order
	unmarked   bool
	marked     bool
	drained    bool
	connected  bool
	drainStart fleet.Instant
	backoff    fleet.Instant
	swept      fleet.Instant
	replaced   bool

	// refused is the id of the order that the engine would not execute.
	refused string
	// mayAttempt is set once a record that names this process as a possible
	// sender may have been written, and cleared when it has been removed.
	mayAttempt bool
	// lateUntil is when the last sending without an answer is over.
	lateUntil fleet.Instant
}

// New returns a machine without authority.
func New(config Config) *Engine { return &Engine{config: config} }

// Ready returns the pending commands in order and clears them.
func (e *Engine) Ready() []Command { return e.ready.Take() }

// SetTerm gives the present authority without issuing a call.
func (e *Engine) SetTerm(a lease.Term) { e.authorize(a) }

// Revoke ends the authority without issuing a call.
func (e *Engine) Revoke() { e.authority = lease.Term{} }

// SetDesired sets the desired state without issuing a call.
func (e *Engine) SetDesired(d *Desired) { e.want = d }

func (e *Engine) wanted() bool {
	return e.observed && e.want != nil && e.want.FillFrom(e.state.Current) != e.state.Current
}

// Step applies one event and, when no call is pending, issues the next one.
func (e *Engine) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case TermChanged:
		e.authorize(ev.Term)
	case DesiredChanged:
		e.want = ev.Desired
	case ProcessesGone:
		e.gone = ev.Processes
	case RecordRead:
		e.recordRead(now, ev)
	case RecordWritten:
		e.recordWritten(now, ev)
	case SlotAnswered:
		e.slotAnswered(now, ev)
	case Marked:
		e.markAnswered(ev)
	case DrainChecked:
		e.drainChecked(now, ev)
	case StateRead:
		e.stateRead(ev)
	case Answered:
		e.answered(now, ev)
	case Failed:
		e.failed(now, ev)
	}
	if e.pending == nil && now >= e.next {
		e.proceed(now)
	}
}

// authorize starts from the record again at the beginning of each term: nothing
// that was learned under an earlier fencing number is relied on.
func (e *Engine) authorize(a lease.Term) {
	if a.Fence != 0 && a.Fence != e.term {
		e.term = a.Fence
		e.known, e.replaced = false, false
		e.forget()
	}
	e.authority = a
}

// forget drops everything that was established for the present order.
func (e *Engine) forget() {
	e.observed, e.slotClean, e.unmarked = false, false, false
	e.marked, e.drained, e.connected = false, false, false
	e.slotTaken = nil
}

// take clears the pending call if it is the one answered. It returns nil for an
// answer to a call of an earlier term, which says nothing about this one.
func (e *Engine) take(call int64) Command {
	if e.pending == nil || call != e.call {
		return nil
	}
	c := e.pending
	e.pending = nil
	if e.pendingTerm != e.term {
		return nil
	}
	return c
}

func (e *Engine) header() Header {
	e.call++
	return Header{Call: e.call, StartBefore: e.authority.ValidUntil}
}

func (e *Engine) issue(c Command) {
	e.pending, e.pendingTerm = c, e.term
	e.ready.Add(c)
}

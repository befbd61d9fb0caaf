package order

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// Config holds the parameters of an engine's state machine.
type Config struct {
	Self     Process
	Upstream fleet.UpstreamID
	// ChecksFencing reports whether the engine refuses orders with an old
	// fencing number.
	ChecksFencing bool
	// PollInterval is the wait between two reads during a change.
	PollInterval time.Duration
	// IdlePollInterval is the wait between two reads of an engine without a
	// change.
	IdlePollInterval time.Duration
	// DrainLimit is the longest drain; after it the order is undone.
	DrainLimit time.Duration
	// MaxDeliveryDelay is how long the bytes of a request whose connection
	// broke may still reach the engine. It must exceed the network's segment
	// lifetime and the engine's limit for reading a request.
	MaxDeliveryDelay time.Duration
	// Backoff is the wait after an order that did not take effect.
	Backoff time.Duration
}

// Engine is the state machine that gives orders to one engine. It is not safe
// for concurrent use.
type Engine struct {
	config Config
	term   lease.Term
	// lastFence is the fencing number of the last term.
	lastFence     int64
	desired       *Desired
	goneProcesses []Process // confirmed by the platform

	// call is the number of the latest call.
	call int64
	// pending is the command that has not been answered. At most one call runs
	// at a time.
	pending Command
	// pendingFence is the fencing number of the term in which pending was
	// issued.
	pendingFence int64
	// nextCallAt is when the next call may be issued.
	nextCallAt fleet.Instant
	ready      outbox.Outbox[Command]

	// recordKnown is false while the record must be read before the next step.
	recordKnown bool
	record      Record
	revision    int64

	// stateKnown is false while the engine's state must be read.
	stateKnown bool
	state      State

	// slotFreed is set once the engine's earlier changes have been removed from
	// the group's slot.
	slotFreed bool
	// slotOrder is the next order, for which the slot is requested or taken.
	slotOrder *Order
	// unmarked and marked are set once every instance has accepted the mark.
	unmarked bool
	marked   bool
	// drained is set once the engine is drained for the present order.
	drained bool
	// connected is set while there is a connection for a Send.
	connected      bool
	drainStartedAt fleet.Instant
	backoffUntil   fleet.Instant
	slotFreedAt    fleet.Instant
	// replaced is set when a holder with a higher fencing number exists.
	replaced bool

	// refusedOrder is the id of the order that the engine refused to execute.
	refusedOrder string
	// mayBeAttempting is set when a record that lists this process as a
	// possible sender may have been written, and cleared when the process has
	// been removed from it.
	mayBeAttempting bool
	// lostSendUntil is when the bytes of the last Send without an answer can no
	// longer arrive.
	lostSendUntil fleet.Instant
}

// New returns a state machine without a term.
func New(config Config) *Engine { return &Engine{config: config} }

// Ready returns the commands issued since the last call, in order, and clears
// them.
func (e *Engine) Ready() []Command { return e.ready.Take() }

// SetTerm sets the present term without issuing a call.
func (e *Engine) SetTerm(t lease.Term) { e.setTerm(t) }

// Revoke ends the term without issuing a call.
func (e *Engine) Revoke() { e.term = lease.Term{} }

// SetDesired sets the desired state without issuing a call.
func (e *Engine) SetDesired(d *Desired) { e.desired = d }

// needsChange reports whether the engine's known state differs from the desired
// one.
func (e *Engine) needsChange() bool {
	return e.stateKnown && e.desired != nil && e.desired.FillFrom(e.state.Current) != e.state.Current
}

// Step applies one event. If no call is pending, it issues the next one.
func (e *Engine) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case TermChanged:
		e.setTerm(ev.Term)
	case DesiredChanged:
		e.desired = ev.Desired
	case ProcessesGone:
		e.goneProcesses = ev.Processes
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
	if e.pending == nil && now >= e.nextCallAt {
		e.issueNext(now)
	}
}

// setTerm sets the present term. A new term starts by reading the record:
// nothing learned under an earlier fencing number is relied on.
func (e *Engine) setTerm(t lease.Term) {
	if t.Fence != 0 && t.Fence != e.lastFence {
		e.lastFence = t.Fence
		e.recordKnown, e.replaced = false, false
		e.resetProgress()
	}
	e.term = t
}

// resetProgress discards everything that was established for the present order.
func (e *Engine) resetProgress() {
	e.stateKnown, e.slotFreed, e.unmarked = false, false, false
	e.marked, e.drained, e.connected = false, false, false
	e.slotOrder = nil
}

// takePending clears and returns the pending command if call answers it. It
// returns nil for an answer to a call of an earlier term, which does not apply
// to this one.
func (e *Engine) takePending(call int64) Command {
	if e.pending == nil || call != e.call {
		return nil
	}
	c := e.pending
	e.pending = nil
	if e.pendingFence != e.lastFence {
		return nil
	}
	return c
}

// header returns the header of the next call, which must begin within the term.
func (e *Engine) header() Header {
	e.call++
	return Header{Call: e.call, StartBefore: e.term.ValidUntil}
}

func (e *Engine) issue(c Command) {
	e.pending, e.pendingFence = c, e.lastFence
	e.ready.Add(c)
}

package order

import "github.com/bramleywick/bramleywick/core/fleet"

// handleDraining advances an announced order until it is sent or undone.
func (e *Engine) handleDraining(now fleet.Instant) {
	o := e.record.Order
	switch {
	case e.desired == nil || e.desired.FillFrom(o.From) != o.Desired:
		e.finish(now, PhaseUndone)
	case e.mustDrain():
		if now >= e.drainStartedAt+e.config.DrainLimit {
			e.finish(now, PhaseUndone)
			return
		}
		e.continueDrain()
	case !e.connected:
		e.issue(ReadState{Header: e.header(), Connect: true})
	case e.state.Incarnation != o.Incarnation || e.state.InProgress != "":
		e.finish(now, PhaseUndone)
	default:
		r := e.record
		r.Phase, r.Attempts = PhaseSending, nil
		e.write(r.withAttempt(e.config.Self))
	}
}

// mustDrain reports whether the engine must still be drained for the order.
func (e *Engine) mustDrain() bool {
	o := e.record.Order
	return o.From.InterruptsService(o.Desired) && !e.drained
}

func (e *Engine) continueDrain() {
	if !e.marked {
		e.mark(e.header(), true)
		return
	}
	e.issue(CheckDrain{e.header()})
}

// handleSending advances an order that may have been sent. It completes it by
// repeating the same order, never by sending another one.
func (e *Engine) handleSending(now fleet.Instant) {
	o := e.record.Order
	switch {
	case !e.stateKnown:
		e.issue(ReadState{Header: e.header()})
	case e.state.Incarnation != o.Incarnation:
		e.finishAfterRestart()
	case e.state.Settled == o.ID:
		e.finish(now, PhaseSettled)
	case e.state.InProgress != "":
		e.stateKnown = false
		e.nextCallAt = now + e.config.PollInterval
	case len(e.record.Attempts) == 0 && (e.desired == nil || e.desired.FillFrom(o.From) != o.Desired):
		// No process can send the order any more, and the engine never received
		// it.
		e.finish(now, PhaseUndone)
	case e.refusedOrder == o.ID && len(e.record.withoutAttempt(e.config.Self).Attempts) == 0 && now >= e.lostSendUntil:
		e.finish(now, PhaseUndone)
	case e.mustDrain():
		e.continueDrain()
	case !e.connected:
		e.issue(ReadState{Header: e.header(), Connect: true})
	case !e.record.hasAttempt(e.config.Self):
		e.write(e.record.withAttempt(e.config.Self))
	default:
		e.issue(Send{Header: e.header(), Order: *o, FencingNumber: FencingNumber(e.term.Fence, o.Sequence)})
	}
}

// finishAfterRestart ends the order of an engine that has restarted. Orders are
// sent only on connections to one incarnation, and those to the earlier one are
// closed, so no attempt remains.
func (e *Engine) finishAfterRestart() {
	r := e.record
	r.Attempts = nil
	r.Phase = PhaseUndone
	if e.state.Current == r.Order.Desired {
		r.Phase = PhaseSettled
	}
	e.write(r)
}

// finish ends the order in phase p. It also removes this process from the
// attempts unless the bytes of a lost Send may still arrive.
func (e *Engine) finish(now fleet.Instant, p Phase) {
	r := e.record
	r.Phase = p
	if now >= e.lostSendUntil {
		r = r.withoutAttempt(e.config.Self)
	}
	e.write(r)
}

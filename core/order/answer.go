package order

import "github.com/bramleywick/bramleywick/core/fleet"

// noteLostSend records when the bytes of a Send without an answer can no longer
// arrive. It also applies to a Send of an earlier term.
func (e *Engine) noteLostSend(now fleet.Instant, call int64) {
	if _, ok := e.pending.(Send); ok && call == e.call {
		e.lostSendUntil = now + e.config.MaxDeliveryDelay
	}
}

func (e *Engine) recordRead(now fleet.Instant, ev RecordRead) {
	if e.takePending(ev.Call) == nil {
		return
	}
	e.recordKnown = true
	if ev.Revision == e.revision {
		return
	}
	// A write without an answer took effect, or another process wrote. Either
	// may have ended an order, so that instances send work to the engine again.
	e.record, e.revision = ev.Record, ev.Revision
	e.resetProgress()
	e.drainStartedAt = now
}

func (e *Engine) recordWritten(now fleet.Instant, ev RecordWritten) {
	c, ok := e.takePending(ev.Call).(WriteRecord)
	if !ok {
		return
	}
	e.record, e.revision = c.Record, ev.Revision
	if !c.Record.hasAttempt(e.config.Self) {
		// A state read before this write does not show what other processes did
		// until then.
		e.mayBeAttempting, e.stateKnown = false, false
	}
	switch c.Record.Phase {
	case PhaseDraining:
		e.drainStartedAt = now
	case PhaseSettled, PhaseUndone:
		if !c.Record.Marked {
			return // the marks were lifted before this write
		}
		if c.Record.Phase == PhaseUndone || e.state.Current != c.Record.Order.Desired {
			e.backoffUntil = now + e.config.Backoff
		}
		e.resetProgress()
	}
}

func (e *Engine) slotAnswered(now fleet.Instant, ev SlotAnswered) {
	switch e.takePending(ev.Call).(type) {
	case TakeSlot:
		if !ev.OK {
			e.slotOrder = nil
			e.nextCallAt = now + e.config.PollInterval
		}
	case FreeSlot:
		e.slotFreed, e.slotFreedAt = ev.OK, now
	}
}

func (e *Engine) markAnswered(ev Marked) {
	c, ok := e.takePending(ev.Call).(Mark)
	if !ok {
		return
	}
	e.marked, e.unmarked = c.On, !c.On
}

func (e *Engine) drainChecked(now fleet.Instant, ev DrainChecked) {
	if e.takePending(ev.Call) == nil || e.record.Order == nil {
		return
	}
	if ev.Incarnation != e.record.Order.Incarnation {
		// A restarted engine has nothing to drain; its state decides how to
		// proceed.
		e.drained, e.stateKnown = true, false
		return
	}
	e.drained = ev.Acknowledged && ev.Running == 0
	if !e.drained {
		e.nextCallAt = now + e.config.PollInterval
	}
}

func (e *Engine) stateRead(ev StateRead) {
	c, ok := e.takePending(ev.Call).(ReadState)
	if !ok {
		return
	}
	e.state, e.stateKnown, e.connected = ev.State, true, c.Connect
}

func (e *Engine) answered(now fleet.Instant, ev Answered) {
	if ev.Answer == AnswerLost {
		e.noteLostSend(now, ev.Call)
	}
	if e.takePending(ev.Call) == nil {
		return
	}
	e.connected, e.stateKnown = false, false
	switch ev.Answer {
	case AnswerStale:
		e.replaced = true
	case AnswerRefused:
		e.refusedOrder = e.record.Order.ID
	case AnswerNotSent, AnswerBusy, AnswerLost:
		e.nextCallAt = now + e.config.PollInterval
	}
}

func (e *Engine) failed(now fleet.Instant, ev Failed) {
	e.noteLostSend(now, ev.Call)
	c := e.takePending(ev.Call)
	if c == nil {
		return
	}
	e.nextCallAt = now + e.config.PollInterval
	if !e.record.Open() && !e.needsChange() {
		e.nextCallAt = now + e.config.IdlePollInterval
	}
	switch c.(type) {
	case WriteRecord:
		// The write may have taken effect, or another holder's write may have
		// come first.
		e.recordKnown = false
	case TakeSlot:
		e.slotOrder = nil
	case Mark:
		// An instance may have seen the mark of a later holder; the record
		// shows whether there is one.
		e.recordKnown = e.recordKnown && e.term.Valid(now)
	case ReadState, Send:
		e.connected, e.stateKnown = false, false
	}
}

package order

import "github.com/bramleywick/bramleywick/core/fleet"

// sendingLost notes the end of a Send without an answer, of any term.
func (e *Engine) sendingLost(now fleet.Instant, call int64) {
	if _, ok := e.pending.(Send); ok && call == e.call {
		e.lateUntil = now + e.config.MaxDeliveryDelay
	}
}

func (e *Engine) recordRead(now fleet.Instant, ev RecordRead) {
	if e.take(ev.Call) == nil {
		return
	}
	e.known = true
	if ev.Revision == e.revision {
		return
	}
	// A write without an answer has taken effect, or another process wrote.
	// Either may have ended an order and let requests in again.
	e.record, e.revision = ev.Record, ev.Revision
	e.forget()
	e.drainStart = now
}

func (e *Engine) recordWritten(now fleet.Instant, ev RecordWritten) {
	c, ok := e.take(ev.Call).(WriteRecord)
	if !ok {
		return
	}
	e.record, e.revision = c.Record, ev.Revision
	if !c.Record.attempting(e.config.Self) {
		// A state read before this write says nothing about what other
		// processes did until then.
		e.mayAttempt, e.observed = false, false
	}
	switch c.Record.Phase {
	case PhaseDraining:
		e.drainStart = now
	case PhaseSettled, PhaseUndone:
		if !c.Record.Marked {
			return // the marks were lifted before this write
		}
		if c.Record.Phase == PhaseUndone || e.state.Current != c.Record.Order.Desired {
			e.backoff = now + e.config.Backoff
		}
		e.forget()
	}
}

func (e *Engine) slotAnswered(now fleet.Instant, ev SlotAnswered) {
	switch e.take(ev.Call).(type) {
	case TakeSlot:
		if !ev.OK {
			e.slotTaken = nil
			e.next = now + e.config.PollInterval
		}
	case FreeSlot:
		e.slotClean, e.swept = ev.OK, now
	}
}

func (e *Engine) markAnswered(ev Marked) {
	c, ok := e.take(ev.Call).(Mark)
	if !ok {
		return
	}
	e.marked, e.unmarked = c.On, !c.On
}

func (e *Engine) drainChecked(now fleet.Instant, ev DrainChecked) {
	if e.take(ev.Call) == nil || e.record.Order == nil {
		return
	}
	if ev.Incarnation != e.record.Order.Incarnation {
		// The restarted engine has nothing to drain; its state decides.
		e.drained, e.observed = true, false
		return
	}
	e.drained = ev.Acknowledged && ev.Running == 0
	if !e.drained {
		e.next = now + e.config.PollInterval
	}
}

func (e *Engine) stateRead(ev StateRead) {
	c, ok := e.take(ev.Call).(ReadState)
	if !ok {
		return
	}
	e.state, e.observed, e.connected = ev.State, true, c.Connect
}

func (e *Engine) answered(now fleet.Instant, ev Answered) {
	if ev.Answer == AnswerLost {
		e.sendingLost(now, ev.Call)
	}
	if e.take(ev.Call) == nil {
		return
	}
	e.connected, e.observed = false, false
	switch ev.Answer {
	case AnswerStale:
		e.replaced = true
	case AnswerRefused:
		e.refused = e.record.Order.ID
	case AnswerNotSent, AnswerBusy, AnswerLost:
		e.next = now + e.config.PollInterval
	}
}

func (e *Engine) failed(now fleet.Instant, ev Failed) {
	e.sendingLost(now, ev.Call)
	c := e.take(ev.Call)
	if c == nil {
		return
	}
	e.next = now + e.config.PollInterval
	if !e.record.Open() && !e.wanted() {
		e.next = now + e.config.IdlePollInterval
	}
	switch c.(type) {
	case WriteRecord:
		// The write may have taken effect or may have met another holder's.
		e.known = false
	case TakeSlot:
		e.slotTaken = nil
	case Mark:
		// A later holder's mark may have been seen; the record tells.
		e.known = e.known && e.authority.Valid(now)
	case ReadState, Send:
		e.connected, e.observed = false, false
	}
}

package order

import "github.com/bramleywick/bramleywick/core/fleet"

// drain handles an announced order until it may be sent or is given up.
func (e *Engine) drain(now fleet.Instant) {
	o := e.record.Order
	switch {
	case e.want == nil || e.want.FillFrom(o.From) != o.Desired:
		e.finish(now, PhaseUndone)
	case e.mustDrain():
		if now >= e.drainStart+e.config.DrainLimit {
			e.finish(now, PhaseUndone)
			return
		}
		e.stepDrain()
	case !e.connected:
		e.issue(ReadState{Header: e.header(), Connect: true})
	case e.state.Incarnation != o.Incarnation || e.state.InProgress != "":
		e.finish(now, PhaseUndone)
	default:
		r := e.record
		r.Phase, r.Attempts = PhaseSending, nil
		e.write(r.with(e.config.Self))
	}
}

func (e *Engine) mustDrain() bool {
	o := e.record.Order
	return o.From.InterruptsService(o.Desired) && !e.drained
}

func (e *Engine) stepDrain() {
	if !e.marked {
		e.mark(e.header(), true)
		return
	}
	e.issue(CheckDrain{e.header()})
}

// send handles an order that may have been sent: it is brought to its end by
// repeating the same order, never by another one.
func (e *Engine) send(now fleet.Instant) {
	o := e.record.Order
	switch {
	case !e.observed:
		e.issue(ReadState{Header: e.header()})
	case e.state.Incarnation != o.Incarnation:
		e.settleRestarted()
	case e.state.Settled == o.ID:
		e.finish(now, PhaseSettled)
	case e.state.InProgress != "":
		e.observed = false
		e.next = now + e.config.PollInterval
	case len(e.record.Attempts) == 0 && (e.want == nil || e.want.FillFrom(o.From) != o.Desired):
		// Nobody can send the order any more and the engine never took it.
		e.finish(now, PhaseUndone)
	case e.refused == o.ID && len(e.record.without(e.config.Self).Attempts) == 0 && now >= e.lateUntil:
		e.finish(now, PhaseUndone)
	case e.mustDrain():
		e.stepDrain()
	case !e.connected:
		e.issue(ReadState{Header: e.header(), Connect: true})
	case !e.record.attempting(e.config.Self):
		e.write(e.record.with(e.config.Self))
	default:
		e.issue(Send{Header: e.header(), Order: *o, Number: Number(e.authority.Fence, o.Sequence)})
	}
}

// settleRestarted ends the order of an engine that has restarted. Every
// connection to the earlier incarnation is dead, and orders are sent on such
// connections only, so no attempt remains.
func (e *Engine) settleRestarted() {
	r := e.record
	r.Attempts = nil
	r.Phase = PhaseUndone
	if e.state.Current == r.Order.Desired {
		r.Phase = PhaseSettled
	}
	e.write(r)
}

func (e *Engine) finish(now fleet.Instant, p Phase) {
	r := e.record
	r.Phase = p
	if now >= e.lateUntil {
		r = r.without(e.config.Self)
	}
	e.write(r)
}

package order

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// issueNext issues the next call. It must only be called while none is pending.
func (e *Engine) issueNext(now fleet.Instant) {
	if !e.term.Valid(now) || e.replaced {
		e.withdrawAttempt(now)
		return
	}
	switch {
	case !e.recordKnown:
		e.issue(ReadRecord{e.header()})
	case e.record.Fence > e.term.Fence:
		e.replaced, e.recordKnown = true, false
		e.withdrawAttempt(now)
	case e.record.Fence < e.term.Fence:
		e.adoptRecord()
	case e.hasGoneAttempts():
		// Attempts by processes that are gone no longer block orders.
		e.write(e.withoutGoneAttempts())
	case e.record.Phase == PhaseDraining:
		e.handleDraining(now)
	case e.record.Phase == PhaseSending:
		e.handleSending(now)
	case !e.record.Open() && e.record.hasAttempt(e.config.Self) && now >= e.lostSendUntil:
		e.write(e.record.withoutAttempt(e.config.Self))
	default:
		e.handleIdle(now)
	}
}

// withdrawAttempt removes this process from the record's attempts after its
// term has ended, so that the successor need not wait until the instance is
// gone. It changes nothing else in the record and therefore needs no term.
func (e *Engine) withdrawAttempt(now fleet.Instant) {
	e.connected = false
	announced := e.marked && e.recordKnown && e.record.Phase == PhaseDraining
	if !announced && (!e.mayBeAttempting || now < e.lostSendUntil) {
		return
	}
	e.call++
	h := Header{Call: e.call}
	switch {
	case announced:
		// The order was certainly not sent. A successor also undoes it, and its
		// marks have a higher fencing number, so this one cannot override them.
		e.mark(h, false)
	case !e.recordKnown:
		e.issue(ReadRecord{h})
	case e.record.hasAttempt(e.config.Self):
		e.issue(WriteRecord{Header: h, Revision: e.revision, Record: e.record.withoutAttempt(e.config.Self)})
	case e.record.Fence > e.lastFence:
		// A delayed write of this process can no longer succeed, because a
		// later holder has adopted the record.
		e.mayBeAttempting = false
	default:
		e.recordKnown = false
		e.nextCallAt = now + e.config.IdlePollInterval
	}
}

// mark asks the instances to stop or resume sending. It invalidates an earlier
// drain, whether the call succeeds or not.
func (e *Engine) mark(h Header, on bool) {
	e.drained = false
	e.issue(Mark{Header: h, Fence: e.lastFence, On: on})
}

func (e *Engine) write(r Record) {
	if r.hasAttempt(e.config.Self) {
		e.mayBeAttempting = true
	}
	e.issue(WriteRecord{Header: e.header(), Revision: e.revision, Record: r})
}

// adoptRecord writes the holder's fencing number to the record, after which no
// write of an earlier holder succeeds. An order in PhaseDraining is undone: it
// was certainly not sent, because sending requires another write of the record.
func (e *Engine) adoptRecord() {
	r := e.record
	r.Fence = e.term.Fence
	if r.Phase == PhaseDraining {
		r.Phase = PhaseUndone
	}
	e.write(r)
}

func (e *Engine) hasGoneAttempts() bool {
	return slices.ContainsFunc(e.record.Attempts, func(p Process) bool {
		return p != e.config.Self && slices.Contains(e.goneProcesses, p)
	})
}

func (e *Engine) withoutGoneAttempts() Record {
	r := e.record
	for _, p := range e.goneProcesses {
		if p != e.config.Self {
			r = r.withoutAttempt(p)
		}
	}
	return r
}

// handleIdle handles an engine without an open order.
func (e *Engine) handleIdle(now fleet.Instant) {
	switch {
	case !e.slotFreed || now >= e.slotFreedAt+3*e.config.IdlePollInterval:
		e.slotOrder = nil
		e.issue(FreeSlot{Header: e.header(), Fence: e.term.Fence})
	case e.record.Marked && !e.unmarked:
		e.mark(e.header(), false)
	case e.record.Marked:
		r := e.record
		r.Marked = false
		e.write(r)
	case !e.stateKnown:
		e.issue(ReadState{Header: e.header()})
	case e.slotOrder != nil:
		e.write(Record{
			Fence: e.term.Fence, Phase: PhaseDraining,
			Order: e.slotOrder, Attempts: e.record.Attempts, Marked: true,
		})
		e.slotFreed = false
	case !e.needsChange() || now < e.backoffUntil || e.state.InProgress != "" || !e.record.AllowsNewOrder(e.config.ChecksFencing):
		// The record must be read again, because it changes when a process
		// removes itself from the attempts.
		e.recordKnown = e.record.AllowsNewOrder(e.config.ChecksFencing)
		e.nextCallAt = now + e.pollDelay()
		e.stateKnown = false
	default:
		e.requestSlot()
	}
}

// pollDelay returns the wait until the engine's state is read again.
func (e *Engine) pollDelay() time.Duration {
	if e.needsChange() || e.state.InProgress != "" {
		return e.config.PollInterval
	}
	return e.config.IdlePollInterval
}

// requestSlot creates the next order and requests the group's slot for it.
func (e *Engine) requestSlot() {
	o := &Order{
		Incarnation: e.state.Incarnation, From: e.state.Current, Desired: e.desired.FillFrom(e.state.Current),
		Sender: e.config.Self, Sequence: 1,
	}
	if e.record.Order != nil {
		o.Sequence = e.record.Order.Sequence + 1
	}
	o.ID = string(e.config.Upstream) + "/" + strconv.FormatInt(e.term.Fence, 10) + "/" + strconv.FormatInt(o.Sequence, 10)
	e.slotOrder = o
	e.issue(TakeSlot{Header: e.header(), Change: Change{
		Upstream: e.config.Upstream, OrderID: o.ID, Fence: e.term.Fence,
		ChangesRole: o.From.Role != o.Desired.Role,
	}})
}

package order

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// proceed issues the next call. It is called only while none is pending.
func (e *Engine) proceed(now fleet.Instant) {
	if !e.authority.Valid(now) || e.replaced {
		e.withdraw(now)
		return
	}
	switch {
	case !e.known:
		e.issue(ReadRecord{e.header()})
	case e.record.Fence > e.authority.Fence:
		e.replaced, e.known = true, false
		e.withdraw(now)
	case e.record.Fence < e.authority.Fence:
		e.adopt()
	case e.excluded():
		// Attempts by processes that are gone no longer restrict orders.
		e.write(e.exclude())
	case e.record.Phase == PhaseDraining:
		e.drain(now)
	case e.record.Phase == PhaseSending:
		e.send(now)
	case !e.record.Open() && e.record.attempting(e.config.Self) && now >= e.lateUntil:
		e.write(e.record.without(e.config.Self))
	default:
		e.rest(now)
	}
}

// withdraw removes this process from the record's attempts after its authority
// has ended, so that its successor need not wait for the instance to be gone.
// It changes nothing else in the record and so needs no authority.
func (e *Engine) withdraw(now fleet.Instant) {
	e.connected = false
	announced := e.marked && e.known && e.record.Phase == PhaseDraining
	if !announced && (!e.mayAttempt || now < e.lateUntil) {
		return
	}
	e.call++
	h := Header{Call: e.call}
	switch {
	case announced:
		// The order was certainly not sent. A successor undoes it too; its
		// marks carry a higher number, so this one cannot override them.
		e.mark(h, false)
	case !e.known:
		e.issue(ReadRecord{h})
	case e.record.attempting(e.config.Self):
		e.issue(WriteRecord{Header: h, Revision: e.revision, Record: e.record.without(e.config.Self)})
	case e.record.Fence > e.term:
		// A write of this process that is still on its way can no longer
		// succeed, because a later holder has adopted the record.
		e.mayAttempt = false
	default:
		e.known = false
		e.next = now + e.config.IdlePollInterval
	}
}

// mark tells the instances to stop or resume sending. From here on an earlier
// drain counts for nothing, whether the call succeeds or not.
func (e *Engine) mark(h Header, on bool) {
	e.drained = false
	e.issue(Mark{Header: h, Fence: e.term, On: on})
}

func (e *Engine) write(r Record) {
	if r.attempting(e.config.Self) {
		e.mayAttempt = true
	}
	e.issue(WriteRecord{Header: e.header(), Revision: e.revision, Record: r})
}

// adopt puts the holder's fencing number in the record, after which no write
// of an earlier holder succeeds. An order that was only announced has certainly
// not been sent, because sending needs another write of the record.
func (e *Engine) adopt() {
	r := e.record
	r.Fence = e.authority.Fence
	if r.Phase == PhaseDraining {
		r.Phase = PhaseUndone
	}
	e.write(r)
}

func (e *Engine) excluded() bool {
	return slices.ContainsFunc(e.record.Attempts, func(p Process) bool {
		return p != e.config.Self && slices.Contains(e.gone, p)
	})
}

func (e *Engine) exclude() Record {
	r := e.record
	for _, p := range e.gone {
		if p != e.config.Self {
			r = r.without(p)
		}
	}
	return r
}

// rest handles an engine without an open order.
func (e *Engine) rest(now fleet.Instant) {
	switch {
	case !e.slotClean || now >= e.swept+3*e.config.IdlePollInterval:
		e.slotTaken = nil
		e.issue(FreeSlot{Header: e.header(), Fence: e.authority.Fence})
	case e.record.Marked && !e.unmarked:
		e.mark(e.header(), false)
	case e.record.Marked:
		r := e.record
		r.Marked = false
		e.write(r)
	case !e.observed:
		e.issue(ReadState{Header: e.header()})
	case e.slotTaken != nil:
		e.write(Record{
			Fence: e.authority.Fence, Phase: PhaseDraining,
			Order: e.slotTaken, Attempts: e.record.Attempts, Marked: true,
		})
		e.slotClean = false
	case !e.wanted() || now < e.backoff || e.state.InProgress != "" || !e.record.AllowsNewOrder(e.config.ChecksFencing):
		// A process that removes itself from the attempts changes the record.
		e.known = e.record.AllowsNewOrder(e.config.ChecksFencing)
		e.next = now + e.pause()
		e.observed = false
	default:
		e.begin()
	}
}

func (e *Engine) pause() time.Duration {
	if e.wanted() || e.state.InProgress != "" {
		return e.config.PollInterval
	}
	return e.config.IdlePollInterval
}

// begin chooses the next order and asks for the group's slot.
func (e *Engine) begin() {
	o := &Order{
		Incarnation: e.state.Incarnation, From: e.state.Current, Desired: e.want.FillFrom(e.state.Current),
		Sender: e.config.Self, Sequence: 1,
	}
	if e.record.Order != nil {
		o.Sequence = e.record.Order.Sequence + 1
	}
	o.ID = string(e.config.Upstream) + "/" + strconv.FormatInt(e.authority.Fence, 10) + "/" + strconv.FormatInt(o.Sequence, 10)
	e.slotTaken = o
	e.issue(TakeSlot{Header: e.header(), Change: Change{
		Upstream: e.config.Upstream, OrderID: o.ID, Fence: e.authority.Fence,
		ChangesRole: o.From.Role != o.Desired.Role,
	}})
}

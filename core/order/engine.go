package order

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
)

// Config fixes the parameters of an engine's machine.
type Config struct {
	Self     Process
	Upstream fleet.UpstreamID
	// ChecksFencing tells that the engine refuses an old fencing number.
	ChecksFencing bool
	// Poll is the wait between two looks at a change under way.
	Poll time.Duration
	// Observe is the wait between two looks at an engine without a change.
	Observe time.Duration
	// DrainLimit is how long a drain may take before it is undone.
	DrainLimit time.Duration
	// LateLimit is how long the bytes of a request whose connection broke may
	// still reach the engine. It must exceed the network's segment lifetime and
	// the engine's limit for reading a request.
	LateLimit time.Duration
	// Backoff is the wait after an order that did not take effect.
	Backoff time.Duration
}

// Event is an input of the machine.
type Event interface{ isEvent() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Authorize gives the present authority of the instance.
	Authorize struct{ Authority lease.Authority }
	// Want sets the desired state; nil stops giving new orders.
	Want struct{ Desired *Desired }
	// Gone names processes that the platform has confirmed to be gone.
	Gone struct{ Processes []Process }
	// RecordRead answers ReadRecord; Revision is 0 when there is no record.
	RecordRead struct {
		Call     int64
		Record   Record
		Revision int64
	}
	// RecordWritten answers WriteRecord.
	RecordWritten struct {
		Call     int64
		Revision int64
	}
	// SlotAnswered answers TakeSlot and FreeSlot.
	SlotAnswered struct {
		Call int64
		OK   bool
	}
	// Marked answers Mark.
	Marked struct{ Call int64 }
	// DrainChecked answers CheckDrain. Acknowledged tells that every instance
	// sends no more and has nothing in flight; Running was reported after that.
	DrainChecked struct {
		Call         int64
		Acknowledged bool
		Running      int
		Incarnation  fleet.Incarnation
	}
	// StateRead answers ReadState.
	StateRead struct {
		Call  int64
		State State
	}
	// Answered answers Send.
	Answered struct {
		Call   int64
		Answer Answer
	}
	// Failed answers any other call that did not succeed; a write may have
	// taken effect.
	Failed struct{ Call int64 }
)

func (Tick) isEvent()          {}
func (Authorize) isEvent()     {}
func (Want) isEvent()          {}
func (Gone) isEvent()          {}
func (RecordRead) isEvent()    {}
func (RecordWritten) isEvent() {}
func (SlotAnswered) isEvent()  {}
func (Marked) isEvent()        {}
func (DrainChecked) isEvent()  {}
func (StateRead) isEvent()     {}
func (Answered) isEvent()      {}
func (Failed) isEvent()        {}

// Answer is how the sending of an order ended.
type Answer uint8

// Answers to an order.
const (
	// AnswerTaken means that the engine executes or has executed the order.
	AnswerTaken Answer = iota
	// AnswerBusy means that the engine refused because of another change.
	AnswerBusy
	// AnswerStale means that the engine has seen a higher fencing number.
	AnswerStale
	// AnswerRefused means that the engine will not execute the order at all.
	AnswerRefused
	// AnswerNotSent means that no byte of the order left the instance.
	AnswerNotSent
	// AnswerLost means that the engine may have received the order.
	AnswerLost
)

// Command is a call to the platform, the instances or the engine. Before is
// the instant after which the call must not begin; 0 means no limit.
type Command interface{ Head() Header }

// Header is common to all commands.
type Header struct {
	Call   int64
	Before fleet.Instant
}

// Head returns the header.
func (h Header) Head() Header { return h }

type (
	// ReadRecord reads the engine's order key.
	ReadRecord struct{ Header }
	// WriteRecord replaces the engine's order key by compare-and-swap.
	WriteRecord struct {
		Header
		Revision int64
		Record   Record
	}
	// TakeSlot enters a change in the group's slot.
	TakeSlot struct {
		Header
		Change Change
	}
	// FreeSlot removes this upstream's settled changes from the group's slot.
	FreeSlot struct {
		Header
		Fence int64
		Keep  string
	}
	// Mark tells every instance to send no new work to the engine, or to send
	// again. An instance ignores a mark with a lower fence than it has seen.
	Mark struct {
		Header
		Fence int64
		On    bool
	}
	// CheckDrain asks whether the engine is drained: first the instances'
	// acknowledgements, then a load report fetched after the last of them.
	CheckDrain struct{ Header }
	// ReadState reads the engine's state. Connect opens the connection that
	// a following Send must use; it closes an earlier one.
	ReadState struct {
		Header
		Connect bool
	}
	// Send sends the order on the connection that ReadState has opened and on
	// no other, so that it cannot reach a later incarnation of the engine.
	Send struct {
		Header
		Order  Order
		Number int64
	}
)

// Engine gives orders to one engine. It is not safe for concurrent use.
type Engine struct {
	config    Config
	authority lease.Authority
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
	ready       []Command

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
func (e *Engine) Ready() []Command {
	out := e.ready
	e.ready = nil
	return out
}

// Status is a snapshot of an engine's machine for operators.
type Status struct {
	Record Record
	State  State
	// BlockedBy are processes that may still send an earlier order.
	BlockedBy []Process
	// Changing tells that an order is under way or wanted.
	Changing bool
	// Replaced tells that a later holder has adopted the record.
	Replaced bool
}

// Status returns a snapshot.
func (e *Engine) Status() Status {
	s := Status{Record: e.record, State: e.state, Replaced: e.replaced}
	// The last state read is shown, also while the next one is being read.
	wanted := e.state.Incarnation != "" && e.want != nil && e.want.Over(e.state.Current) != e.state.Current
	s.Changing = e.record.Open() || wanted
	if wanted && !e.record.Open() && !e.record.MayGiveAnother(e.config.ChecksFencing) {
		s.BlockedBy = e.record.Attempts
	}
	return s
}

// Grant gives the present authority without issuing a call.
func (e *Engine) Grant(a lease.Authority) { e.authorize(a) }

// Revoke ends the authority without issuing a call.
func (e *Engine) Revoke() { e.authority = lease.Authority{} }

// SetWant sets the desired state without issuing a call.
func (e *Engine) SetWant(d *Desired) { e.want = d }

func (e *Engine) wanted() bool {
	return e.observed && e.want != nil && e.want.Over(e.state.Current) != e.state.Current
}

// Step applies one event and, when no call is pending, issues the next one.
func (e *Engine) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Authorize:
		e.authorize(ev.Authority)
	case Want:
		e.want = ev.Desired
	case Gone:
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
func (e *Engine) authorize(a lease.Authority) {
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

// sendingLost notes the end of a Send without an answer, of any term.
func (e *Engine) sendingLost(now fleet.Instant, call int64) {
	if _, ok := e.pending.(Send); ok && call == e.call {
		e.lateUntil = now + e.config.LateLimit
	}
}

func (e *Engine) header() Header {
	e.call++
	return Header{Call: e.call, Before: e.authority.Until}
}

func (e *Engine) issue(c Command) {
	e.pending, e.pendingTerm = c, e.term
	e.ready = append(e.ready, c)
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
			e.next = now + e.config.Poll
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
		e.next = now + e.config.Poll
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
		e.next = now + e.config.Poll
	}
}

func (e *Engine) failed(now fleet.Instant, ev Failed) {
	e.sendingLost(now, ev.Call)
	c := e.take(ev.Call)
	if c == nil {
		return
	}
	e.next = now + e.config.Poll
	if !e.record.Open() && !e.wanted() {
		e.next = now + e.config.Observe
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
		e.next = now + e.config.Observe
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
	case !e.slotClean || now >= e.swept+3*e.config.Observe:
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
	case !e.wanted() || now < e.backoff || e.state.InProgress != "" || !e.record.MayGiveAnother(e.config.ChecksFencing):
		// A process that removes itself from the attempts changes the record.
		e.known = e.record.MayGiveAnother(e.config.ChecksFencing)
		e.next = now + e.pause()
		e.observed = false
	default:
		e.begin()
	}
}

func (e *Engine) pause() time.Duration {
	if e.wanted() || e.state.InProgress != "" {
		return e.config.Poll
	}
	return e.config.Observe
}

// begin chooses the next order and asks for the group's slot.
func (e *Engine) begin() {
	o := &Order{
		Incarnation: e.state.Incarnation, From: e.state.Current, Desired: e.want.Over(e.state.Current),
		Sender: e.config.Self, Sequence: 1,
	}
	if e.record.Order != nil {
		o.Sequence = e.record.Order.Sequence + 1
	}
	o.ID = string(e.config.Upstream) + "/" + strconv.FormatInt(e.authority.Fence, 10) + "/" + strconv.FormatInt(o.Sequence, 10)
	e.slotTaken = o
	e.issue(TakeSlot{Header: e.header(), Change: Change{
		Upstream: e.config.Upstream, OrderID: o.ID, Fence: e.authority.Fence,
		Role: o.From.Role != o.Desired.Role,
	}})
}

// drain handles an announced order until it may be sent or is given up.
func (e *Engine) drain(now fleet.Instant) {
	o := e.record.Order
	switch {
	case e.want == nil || e.want.Over(o.From) != o.Desired:
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
	return o.From.TakesAway(o.Desired) && !e.drained
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
		e.next = now + e.config.Poll
	case len(e.record.Attempts) == 0 && (e.want == nil || e.want.Over(o.From) != o.Desired):
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

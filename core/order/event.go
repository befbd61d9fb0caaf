package order

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// Tick only advances the time.
	Tick struct{}
	// TermChanged sets the present term of the instance.
	TermChanged struct{ Term lease.Term }
	// DesiredChanged sets the desired state. Nil means that no new orders are
	// given.
	DesiredChanged struct{ Desired *Desired }
	// ProcessesGone lists processes that the platform has confirmed to be gone.
	ProcessesGone struct{ Processes []Process }
	// RecordRead answers ReadRecord. Revision is 0 if there is no record.
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
	// SlotAnswered answers TakeSlot and FreeSlot. OK reports whether the slot
	// was taken or freed.
	SlotAnswered struct {
		Call int64
		OK   bool
	}
	// Marked answers Mark.
	Marked struct{ Call int64 }
	// DrainChecked answers CheckDrain. Acknowledged reports whether every
	// instance has stopped sending and has nothing in flight. Running is the
	// number of requests at the engine, reported after that.
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
	// Failed answers any other call that did not succeed. A write may have
	// taken effect.
	Failed struct{ Call int64 }
)

func (Tick) isEvent()           {}
func (TermChanged) isEvent()    {}
func (DesiredChanged) isEvent() {}
func (ProcessesGone) isEvent()  {}
func (RecordRead) isEvent()     {}
func (RecordWritten) isEvent()  {}
func (SlotAnswered) isEvent()   {}
func (Marked) isEvent()         {}
func (DrainChecked) isEvent()   {}
func (StateRead) isEvent()      {}
func (Answered) isEvent()       {}
func (Failed) isEvent()         {}

// Answer is the result of sending an order.
type Answer uint8

// Answers to an order.
const (
	// AnswerAccepted means that the engine executes or has executed the order.
	AnswerAccepted Answer = iota
	// AnswerBusy means that the engine refused the order because of another
	// change.
	AnswerBusy
	// AnswerStale means that the engine has seen a higher fencing number.
	AnswerStale
	// AnswerRefused means that the engine will never execute the order.
	AnswerRefused
	// AnswerNotSent means that no byte of the order left the instance.
	AnswerNotSent
	// AnswerLost means that the engine may have received the order.
	AnswerLost
)

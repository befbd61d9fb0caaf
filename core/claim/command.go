package claim

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Command is an output of the state machine.
type Command interface{ isCommand() }

type (
	// Write replaces the claim by compare-and-swap. Revision 0 creates it.
	Write struct {
		Revision int64
		Record   Record
	}
	// Read reads the claim.
	Read struct{}
	// Watch waits until the claim's revision exceeds After or Wait has passed.
	Watch struct {
		After int64
		Wait  time.Duration
	}
	// Run sends the call to an upstream. It is issued at most once.
	Run struct{}
	// Refuse ends the call with a refusal.
	Refuse struct{ Refusal *fleet.Refusal }
	// Replay ends the call with the recorded answer of the first one.
	Replay struct{ Answer Answer }
	// Finish ends a call that was claimed. Stored reports whether its outcome
	// is known to be stored.
	Finish struct {
		Phase  Phase
		Stored bool
	}
)

func (Write) isCommand()  {}
func (Read) isCommand()   {}
func (Watch) isCommand()  {}
func (Run) isCommand()    {}
func (Refuse) isCommand() {}
func (Replay) isCommand() {}
func (Finish) isCommand() {}

package order

import "github.com/bramleywick/bramleywick/core/fleet"

// Command is a call to the platform, the instances or the engine. Before is
// the instant after which the call must not begin; 0 means no limit.
type Command interface{ Head() Header }

// Header is common to all commands.
type Header struct {
	Call        int64
	StartBefore fleet.Instant
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

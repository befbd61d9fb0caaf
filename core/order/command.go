package order

import "github.com/bramleywick/bramleywick/core/fleet"

// Command is a call to the platform, the instances or the engine.
type Command interface{ Head() Header }

// Header is common to all commands. Call identifies the command in its answer.
// The call must begin before StartBefore; 0 means no limit.
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
	// TakeSlot adds a change to the group's slot.
	TakeSlot struct {
		Header
		Change Change
	}
	// FreeSlot removes the upstream's ended changes from the group's slot,
	// except that of the order Keep.
	FreeSlot struct {
		Header
		Fence int64
		Keep  string
	}
	// Mark asks every instance to stop sending new work to the engine, or to
	// resume. An instance ignores a mark with a lower fencing number than the
	// highest it has seen.
	Mark struct {
		Header
		Fence int64
		On    bool
	}
	// CheckDrain asks whether the engine is drained: first the instances for
	// their acknowledgements, then the engine for a load report, so that the
	// report is newer than the last acknowledgement.
	CheckDrain struct{ Header }
	// ReadState reads the engine's state. Connect opens the connection for a
	// following Send and closes an earlier one.
	ReadState struct {
		Header
		Connect bool
	}
	// Send sends the order on the connection that ReadState has opened and on
	// no other, so that it cannot reach a later incarnation of the engine.
	Send struct {
		Header
		Order         Order
		FencingNumber int64
	}
)

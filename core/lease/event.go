package lease

import "time"

// Cause is the reason why a call to the platform failed.
type Cause uint8

// Causes of a failed call.
const (
	// CauseUnavailable means that the call certainly had no effect.
	CauseUnavailable Cause = iota
	// CauseUnknown means that a write may have taken effect.
	CauseUnknown
	// CauseConflict means that the compared revision is not current or that the
	// key to be created exists.
	CauseConflict
	// CauseLeaseExpired means that the lease has expired at the platform, or that the
	// platform has come back from an older copy since it was granted.
	CauseLeaseExpired
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// Tick only advances the time.
	Tick struct{}
	// Granted answers Grant.
	Granted struct {
		Call    int64
		LeaseID string
		// Era is the platform's era in which the lease was granted.
		Era int64
	}
	// HolderRead answers ReadHolder. Holder is nil if the key is absent.
	HolderRead struct {
		Call   int64
		Holder *Holder
	}
	// FenceRead answers ReadFence. Revision is 0 if the key is absent.
	FenceRead struct {
		Call     int64
		Fence    Fence
		Revision int64
	}
	// Done answers WriteHolder, WriteFence and Renew.
	Done struct{ Call int64 }
	// Failed answers any call that did not succeed.
	Failed struct {
		Call  int64
		Cause Cause
	}
	// Resign gives up the lease with the fencing number Fence. The instance
	// doesn't compete for Wait.
	Resign struct {
		Fence int64
		Wait  time.Duration
	}
	// Release gives up the lease permanently before a planned stop.
	Release struct{}
)

func (Tick) isEvent()       {}
func (Granted) isEvent()    {}
func (HolderRead) isEvent() {}
func (FenceRead) isEvent()  {}
func (Done) isEvent()       {}
func (Failed) isEvent()     {}
func (Resign) isEvent()     {}
func (Release) isEvent()    {}

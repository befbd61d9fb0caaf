package lease

import "time"

// Command is a call to the platform.
type Command interface {
	CallNumber() int64
	BoundEra() int64
}

// Header is common to all commands.
type Header struct {
	// Call is the number of the command; its answer carries the same number.
	Call int64
	// Era is the platform's era to which the command is bound; 0 for any. In another
	// one the lease is lost.
	Era int64
}

// CallNumber returns the number of the command.
func (h Header) CallNumber() int64 { return h.Call }

// BoundEra returns the era to which the command is bound; 0 for any.
func (h Header) BoundEra() int64 { return h.Era }

type (
	// Grant requests a lease.
	Grant struct {
		Header
		TTL time.Duration
	}
	// WriteHolder creates the holder key under the lease if the key is absent.
	WriteHolder struct {
		Header
		LeaseID string
		Holder  Holder
	}
	// ReadHolder reads the holder key.
	ReadHolder struct{ Header }
	// ReadFence reads the fence key.
	ReadFence struct{ Header }
	// WriteFence replaces the fence key if its revision is unchanged.
	WriteFence struct {
		Header
		Revision int64
		Fence    Fence
	}
	// Renew extends the lease.
	Renew struct {
		Header
		LeaseID string
	}
	// Revoke ends the lease. It is not answered.
	Revoke struct {
		Header
		LeaseID string
	}
)

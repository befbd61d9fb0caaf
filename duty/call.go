package duty

import (
	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Errors of calls that the holder of a duty makes.
var (
	// ErrRefused means that the platform has rejected the call, among other
	// reasons because it has seen a higher fencing number.
	ErrRefused = errors.New("call refused")
	// ErrRateLimited means that there were too many calls. The call had no effect.
	ErrRateLimited = errors.New("too many calls")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrOutcomeUnknown means that the call may have been executed or may be
	// executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTermOver means that the call was not made because the instance may no
	// longer act as the holder.
	ErrTermOver = errors.New("not the holder of the duty")
)

// Call identifies the holder that makes a call.
type Call struct {
	Holder fleet.InstanceID
	Fence  int64
	// Check is called right before the call is written to an open connection,
	// unless it is nil. If it returns an error the call is not made.
	Check func() error
}

// ServerOrder is an order for a number of servers of a service in a data centre.
type ServerOrder struct {
	Service    fleet.GroupName
	DataCentre fleet.DataCentre
	Servers    int
	// Spot selects servers that the platform may reclaim.
	Spot bool
}

package exchange

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Event is an input of Exchange.Step.
type Event interface{ isEvent() }

type (
	// Peers replaces the set of instances to exchange with.
	Peers struct{ Peers []membership.Peer }
	// Configured sets the configuration version in force and the dictionary of
	// its names.
	Configured struct {
		Version    int64
		Dictionary *Dictionary
	}
	// LocalWork is the work that this instance did since the previous
	// LocalWork.
	LocalWork struct{ Update sched.PeerUpdate }
	// Polled is a load report of an upstream that this instance polls.
	Polled struct{ Report membership.Report }
	// OrderLeaseHeld reports whether this instance holds its data centre's
	// order lease.
	OrderLeaseHeld struct{ Held bool }
	// MarkAdded is a leaving mark to push to the peers at once.
	MarkAdded struct{ Mark membership.Mark }
	// MarkRemoved is a leaving mark that is no longer pushed.
	MarkRemoved struct{ Mark membership.Mark }
	// SendReplied is a peer's reply to a Send.
	SendReplied struct {
		Peer    fleet.InstanceID
		Payload []byte
	}
	// SendFailed reports that a Send got no reply. The peer may have received
	// the message.
	SendFailed struct{ Peer fleet.InstanceID }
	// Join sends this instance's profile to an address whose instance is not
	// known, such as a seed from the settings.
	Join struct{ Address string }
	// JoinReplied is the reply to a SendJoin.
	JoinReplied struct{ Payload []byte }
	// Leave announces to the peers that this instance is stopping.
	Leave struct{}
	// Tick sends the pushes that are due at the time of the step.
	Tick struct{}
)

func (Peers) isEvent()          {}
func (Configured) isEvent()     {}
func (LocalWork) isEvent()      {}
func (Polled) isEvent()         {}
func (OrderLeaseHeld) isEvent() {}
func (MarkAdded) isEvent()      {}
func (MarkRemoved) isEvent()    {}
func (SendReplied) isEvent()    {}
func (SendFailed) isEvent()     {}
func (Join) isEvent()           {}
func (JoinReplied) isEvent()    {}
func (Leave) isEvent()          {}
func (Tick) isEvent()           {}

// Command is an output of the exchange, returned by Exchange.Ready.
type Command interface{ isCommand() }

type (
	// Send pushes a message to a peer. SendReplied or SendFailed must follow.
	// At most one Send per peer is in flight.
	Send struct {
		Peer    fleet.InstanceID
		Address string
		Payload []byte
	}
	// SendJoin pushes a message to an address. JoinReplied may follow.
	SendJoin struct {
		Address string
		Payload []byte
	}
	// MembershipEvent is an event for the membership state machine.
	MembershipEvent struct{ Event membership.Event }
	// PeerDemand is the work that arrived at a peer, for the role planner.
	PeerDemand struct{ Demand []sched.GroupDemand }
	// SchedulerEvent is a PeerService, PeerDispatch or PeerQueueState for the
	// scheduler.
	SchedulerEvent struct{ Event sched.Event }
	// Fetch requests from a peer the configuration version that it has in
	// force.
	Fetch struct {
		Peer    fleet.InstanceID
		Address string
		Version int64
	}
)

func (Send) isCommand()            {}
func (SendJoin) isCommand()        {}
func (MembershipEvent) isCommand() {}
func (SchedulerEvent) isCommand()  {}
func (PeerDemand) isCommand()      {}
func (Fetch) isCommand()           {}

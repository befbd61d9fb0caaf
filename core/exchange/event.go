package exchange

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Event is an input of the exchange.
type Event interface{ isEvent() }

type (
	// Peers replaces the set of instances to exchange with.
	Peers struct{ Peers []membership.Peer }
	// Configured tells the configuration in force and its names.
	Configured struct {
		Version    int64
		Dictionary *Dictionary
	}
	// LocalWork is what this instance did since the last such event.
	LocalWork struct{ Update sched.PeerUpdate }
	// Polled is a report of an upstream polled by this instance.
	Polled struct{ Report membership.Report }
	// OrderLeaseHeld tells whether this instance holds its data centre's order lease.
	OrderLeaseHeld struct{ On bool }
	// MarkAdded is a leaving mark to spread at once.
	MarkAdded struct{ Mark membership.Mark }
	// MarkRemoved ends the spreading of a mark.
	MarkRemoved struct{ Mark membership.Mark }
	// SendReplied is the answer to a Send.
	SendReplied struct {
		Peer    fleet.InstanceID
		Payload []byte
	}
	// SendFailed tells that a Send got no answer; the peer may have received it.
	SendFailed struct{ Peer fleet.InstanceID }
	// Join introduces this instance at an address whose instance is not
	// known, such as a seed from the settings.
	Join struct{ Address string }
	// JoinReplied is the answer to an Introduce.
	JoinReplied struct{ Payload []byte }
	// Leave tells the peers that this instance is stopping.
	Leave struct{}
	// Tick advances time.
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

// Command is an output of the exchange.
type Command interface{ isCommand() }

type (
	// Send pushes a message to a peer; Replied or Failed must follow. At most
	// one is outstanding per peer.
	Send struct {
		Peer    fleet.InstanceID
		Address string
		Payload []byte
	}
	// SendJoin pushes a message to an address; Introduced may follow.
	SendJoin struct {
		Address string
		Payload []byte
	}
	// MembershipEvent is an event for the membership.
	MembershipEvent struct{ Event membership.Event }
	// PeerDemand is work that arrived at a peer, for the role planner.
	PeerDemand struct{ Demand []sched.GroupDemand }
	// SchedulerEvent is an event for the scheduler: a PeerService, PeerDispatch or
	// PeerTurn.
	SchedulerEvent struct{ Event sched.Event }
	// Fetch asks for a configuration version that a peer has in force.
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

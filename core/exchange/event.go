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
		Version int64
		Names   *Names
	}
	// Work is what this instance did since the last such event.
	Work struct{ Shared sched.Shared }
	// Polled is a report of an upstream polled by this instance.
	Polled struct{ Report membership.Report }
	// Holder tells whether this instance holds its data centre's order lease.
	Holder struct{ On bool }
	// Marked is a leaving mark to spread at once.
	Marked struct{ Mark membership.Mark }
	// Unmarked ends the spreading of a mark.
	Unmarked struct{ Mark membership.Mark }
	// Replied is the answer to a Send.
	Replied struct {
		Peer    fleet.InstanceID
		Payload []byte
	}
	// Failed tells that a Send got no answer; the peer may have received it.
	Failed struct{ Peer fleet.InstanceID }
	// Contact introduces this instance at an address whose instance is not
	// known, such as a seed from the settings.
	Contact struct{ Address string }
	// Introduced is the answer to an Introduce.
	Introduced struct{ Payload []byte }
	// Leave tells the peers that this instance is stopping.
	Leave struct{}
	// Tick advances time.
	Tick struct{}
)

func (Peers) isEvent()      {}
func (Configured) isEvent() {}
func (Work) isEvent()       {}
func (Polled) isEvent()     {}
func (Holder) isEvent()     {}
func (Marked) isEvent()     {}
func (Unmarked) isEvent()   {}
func (Replied) isEvent()    {}
func (Failed) isEvent()     {}
func (Contact) isEvent()    {}
func (Introduced) isEvent() {}
func (Leave) isEvent()      {}
func (Tick) isEvent()       {}

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
	// Introduce pushes a message to an address; Introduced may follow.
	Introduce struct {
		Address string
		Payload []byte
	}
	// Learnt is an event for the membership.
	Learnt struct{ Event membership.Event }
	// Demanded is work that arrived at a peer, for the role planner.
	Demanded struct{ Demand []sched.GroupDemand }
	// Schedule is an event for the scheduler: a PeerService, PeerDispatch or
	// PeerTurn.
	Schedule struct{ Event sched.Event }
	// Fetch asks for a configuration version that a peer has in force.
	Fetch struct {
		Peer    fleet.InstanceID
		Address string
		Version int64
	}
)

func (Send) isCommand()      {}
func (Introduce) isCommand() {}
func (Learnt) isCommand()    {}
func (Schedule) isCommand()  {}
func (Demanded) isCommand()  {}
func (Fetch) isCommand()     {}

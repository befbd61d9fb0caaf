package membership

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Profile is the identity that an instance announces.
type Profile struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     string
	// Address is the host:port of the instance's listener for peers.
	Address string
}

// Mark announces that one incarnation of an upstream is leaving. An empty
// incarnation means that none was known; the mark then applies to the first one
// seen.
type Mark struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
}

// Source is the origin of a leaving mark.
type Source uint8

// Sources of a leaving mark.
const (
	SourcePlatform Source = iota
	SourceUpstream
	SourceOperator
	SourcePeer
)

// Report is the state of an upstream as its poller observed it.
type Report struct {
	Load sched.LoadReport
	// Generation orders the incarnations of one upstream. A poller that sees an
	// incarnation other than the known one reports the next generation.
	Generation uint64
	// Unreachable reports that the poller got no answer. Load then holds only
	// the upstream, the last incarnation and the time.
	Unreachable bool
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

type (
	// InstancesListed is the platform's list of instances, which may lag, omit
	// or invent rows. A row with the ID or address of a declared upstream
	// describes that upstream.
	InstancesListed struct{ Rows []ListRow }
	// Heartbeat is a message received from an instance.
	Heartbeat struct {
		Profile       Profile
		Incarnation   uint64
		ConfigVersion int64
		Leaving       bool
		// HoldsOrderLease reports whether the instance holds the order lease.
		HoldsOrderLease bool
	}
	// OrderLeaseHeld reports whether this instance holds its data centre's
	// order lease.
	OrderLeaseHeld struct{ Held bool }
	// PeersDiscovered holds instances that a peer knows.
	PeersDiscovered struct{ Profiles []Profile }
	// Declared replaces the set of declared upstreams.
	Declared struct{ Upstreams []declare.Upstream }
	// Polled is an upstream's answer to a poll of this instance.
	Polled struct{ Load sched.LoadReport }
	// PollFailed reports that a poll of this instance got no answer.
	PollFailed struct{ Upstream fleet.UpstreamID }
	// Reported is a report received from a peer.
	Reported struct{ Report Report }
	// MarkReceived is a leaving mark from any source.
	MarkReceived struct {
		Mark   Mark
		Source Source
	}
	// Leave reports that this instance is stopping.
	Leave struct{}
	// Tick re-evaluates all timeouts.
	Tick struct{}
)

// ListRow is one row of the platform's list.
type ListRow struct {
	ID         string
	Address    string
	DataCentre fleet.DataCentre
	Leaving    bool
}

func (InstancesListed) isEvent() {}
func (Heartbeat) isEvent()       {}
func (OrderLeaseHeld) isEvent()  {}
func (PeersDiscovered) isEvent() {}
func (Declared) isEvent()        {}
func (Polled) isEvent()          {}
func (PollFailed) isEvent()      {}
func (Reported) isEvent()        {}
func (MarkReceived) isEvent()    {}
func (Leave) isEvent()           {}
func (Tick) isEvent()            {}

// Command is an output of the state machine, returned by Machine.Ready.
type Command interface{ isCommand() }

type (
	// UpstreamChanged reports an upstream's new state.
	UpstreamChanged struct {
		State       sched.UpstreamState
		Status      UpstreamStatus
		Cause       Cause
		Incarnation fleet.Incarnation
	}
	// InstanceChanged reports an instance's new state.
	InstanceChanged struct {
		ID     fleet.InstanceID
		Status InstanceStatus
	}
	// ReportAccepted is the load of a report that is newer than all before it,
	// for the scheduler.
	ReportAccepted struct{ Load sched.LoadReport }
	// PublishReport passes a report of this instance's own poll to the peers.
	PublishReport struct{ Report Report }
	// PublishMark passes a leaving mark that was not known before to the peers.
	PublishMark struct{ Mark Mark }
	// RemoveMark withdraws a mark whose incarnation has been replaced.
	RemoveMark struct{ Mark Mark }
	// Poll replaces the set of upstreams that this instance polls.
	Poll struct{ Upstreams []fleet.UpstreamID }
	// WatchConfig switches this instance's watch on the configuration on or
	// off.
	WatchConfig struct{ On bool }
	// Peers replaces the set of instances to exchange with.
	Peers struct{ Peers []Peer }
	// ReachabilityChanged reports that a data centre became connected or
	// partitioned.
	ReachabilityChanged struct {
		DataCentre fleet.DataCentre
		Connected  bool
	}
)

// Peer is one instance to exchange with.
type Peer struct {
	Profile
	// Live reports whether an instance of the same data centre was heard from
	// recently and is not leaving. For other data centres it is not kept up to
	// date.
	Live bool
	// HoldsOrderLease reports whether the instance holds the order lease of its
	// data centre, if that is the local one.
	HoldsOrderLease bool
}

func (UpstreamChanged) isCommand()     {}
func (InstanceChanged) isCommand()     {}
func (ReportAccepted) isCommand()      {}
func (PublishReport) isCommand()       {}
func (PublishMark) isCommand()         {}
func (RemoveMark) isCommand()          {}
func (Poll) isCommand()                {}
func (WatchConfig) isCommand()         {}
func (Peers) isCommand()               {}
func (ReachabilityChanged) isCommand() {}

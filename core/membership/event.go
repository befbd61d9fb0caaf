package membership

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Profile is what an instance tells about itself.
type Profile struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     string
	// Address is the host:port of the instance's listener for peers.
	Address string
}

// Mark states that one incarnation of an upstream is leaving. An empty
// incarnation means that none was known; it applies to the first one seen.
type Mark struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
}

// Source tells who announced a departure.
type Source uint8

// Sources of a leaving mark.
const (
	SourcePlatform Source = iota
	SourceUpstream
	SourceOperator
	SourcePeer
)

// Report is the state of an upstream as its poller saw it.
type Report struct {
	Load sched.LoadReport
	// Generation orders the incarnations of one upstream: a poller that sees
	// another incarnation than the known one reports the next generation.
	Generation uint64
	// Unreachable tells that the poller got no answer; Load then carries the
	// upstream, the last incarnation and the time only.
	Unreachable bool
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

type (
	// InstancesListed is the platform's list of instances, which may lag, omit or
	// invent rows. A row whose ID or address is that of a declared upstream
	// is about that upstream.
	InstancesListed struct{ Rows []ListRow }
	// Heartbeat tells that a message of an instance arrived.
	Heartbeat struct {
		Profile       Profile
		Incarnation   uint64
		ConfigVersion int64
		Leaving       bool
		// HoldsOrderLease tells that the instance holds the order lease.
		HoldsOrderLease bool
	}
	// OrderLeaseHeld tells whether this instance holds its data centre's order lease.
	OrderLeaseHeld struct{ On bool }
	// PeersDiscovered are instances that a peer knows.
	PeersDiscovered struct{ Profiles []Profile }
	// Declared replaces the set of upstreams.
	Declared struct{ Upstreams []declare.Upstream }
	// Polled is the answer of an upstream to this instance's own poll.
	Polled struct{ Load sched.LoadReport }
	// PollFailed tells that an own poll got no answer.
	PollFailed struct{ Upstream fleet.UpstreamID }
	// Reported is a peer's report.
	Reported struct{ Report Report }
	// MarkReceived announces a departure.
	MarkReceived struct {
		Mark   Mark
		Source Source
	}
	// Leave tells that this instance is stopping.
	Leave struct{}
	// Tick advances time.
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

// Command is an output of the state machine.
type Command interface{ isCommand() }

type (
	// UpstreamChanged tells that an upstream's state changed.
	UpstreamChanged struct {
		State       sched.UpstreamState
		Status      UpstreamStatus
		Cause       Cause
		Incarnation fleet.Incarnation
	}
	// InstanceChanged tells that an instance's state changed.
	InstanceChanged struct {
		ID     fleet.InstanceID
		Status InstanceStatus
	}
	// ReportAccepted is a report that is newer than all before it, for the scheduler.
	ReportAccepted struct{ Load sched.LoadReport }
	// PublishReport is an own report, for the peers.
	PublishReport struct{ Report Report }
	// PublishMark is a leaving mark that was not known before, for the peers.
	PublishMark struct{ Mark Mark }
	// RemoveMark tells that a mark's incarnation has been replaced.
	RemoveMark struct{ Mark Mark }
	// Poll replaces the set of upstreams that this instance polls.
	Poll struct{ Upstreams []fleet.UpstreamID }
	// WatchConfig switches this instance's watch on the configuration.
	WatchConfig struct{ On bool }
	// Peers replaces the set of instances to exchange with.
	Peers struct{ Peers []Peer }
	// ReachabilityChanged tells that a data centre became connected or partitioned.
	ReachabilityChanged struct {
		DataCentre fleet.DataCentre
		Connected  bool
	}
)

// Peer is one instance to exchange with.
type Peer struct {
	Profile
	// Live tells, of an instance of the own data centre, that it was heard
	// recently and is not leaving. Of others it is not kept up to date.
	Live bool
	// HoldsOrderLease tells that it holds the order lease of the own data centre.
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

// Package links decides whether this instance is partitioned from all servers. It
// weighs what the connections to servers show and asks for a few probes before it
// decides, since servers may also be down, or silent, for reasons of their own. It
// performs no input or output and reads no clock.
package links

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// State is what an instance believes of its links to the servers.
type State uint8

const (
	// Connected means that nothing speaks for a partition.
	Connected State = iota
	// Suspected means that probes decide whether there is a partition.
	Suspected
	// Partitioned means that no server can be reached.
	Partitioned
	// Returning means that servers were reached again, and that the share of
	// requests that are sent directly rises.
	Returning
	numStates
)

var stateNames = [numStates]string{"connected", "suspected", "partitioned", "returning"}

// String returns the state's name in logs and metrics.
func (s State) String() string {
	if s >= numStates {
		return "unknown"
	}
	return stateNames[s]
}

// States returns all states.
func States() []State { return []State{Connected, Suspected, Partitioned, Returning} }

// Reason says why the state changed; its values are logged and counted.
type Reason string

// Reasons for changes of the state.
const (
	// ReasonFailures means that connections to several servers failed and none was
	// opened since.
	ReasonFailures Reason = "failures"
	// ReasonFailure means that a connection to a server failed that had been reached
	// before, and that none was opened for a moment.
	ReasonFailure Reason = "failure"
	// ReasonSilence means that attempts wait and nothing is heard from any server.
	ReasonSilence Reason = "silence"
	// ReasonProbesFailed means that the probes of a suspicion failed.
	ReasonProbesFailed Reason = "probes_failed"
	// ReasonOpened means that a connection was opened, and ReasonHeard that bytes of
	// an answer came.
	ReasonOpened Reason = "opened"
	ReasonHeard  Reason = "heard"
	// ReasonFewServers means that too few servers are listed to tell a partition from
	// servers that are down.
	ReasonFewServers Reason = "few_servers"
	// ReasonReached means that several servers were reached again.
	ReasonReached Reason = "reached"
	// ReasonReturned means that all requests are sent directly again.
	ReasonReturned Reason = "returned"
)

// Change is a change of the state and what decided it.
type Change struct {
	From, To State
	Reason   Reason
	// Suspicion is the reason for the suspicion that the change ends, "" for others.
	Suspicion Reason
	// Probed and Failed are the numbers of servers that were probed for the decision
	// and of servers whose connections had failed since one was last opened.
	Probed, Failed int
	// Listed is the number of servers that are listed.
	Listed int
	// SinceOpened and SinceHeard are the times since a connection was last opened
	// and since bytes last came; negative if that never happened.
	SinceOpened, SinceHeard time.Duration
	// Lasted is the time spent in the state before.
	Lasted time.Duration
}

// Server is a listed server.
type Server struct {
	Address    string
	Group      fleet.GroupName
	DataCentre fleet.DataCentre
}

// Probe asks for a connection to a server that is closed at once. Its result is
// reported with Probed.
type Probe struct {
	Address string
	round   uint64
}

// Result is the result of a probe.
type Result uint8

const (
	// ResultOpened means that the server accepted the connection.
	ResultOpened Result = iota
	// ResultRefused means that the connection was refused or reset, and
	// ResultTimeout that nothing came back.
	ResultRefused
	ResultTimeout
	numResults
)

var resultNames = [numResults]string{"opened", "refused", "timeout"}

// String returns the result's name in metrics.
func (r Result) String() string {
	if r >= numResults {
		return "unknown"
	}
	return resultNames[r]
}

// Results returns all results of probes.
func Results() []Result { return []Result{ResultOpened, ResultRefused, ResultTimeout} }

const (
	// StepInterval is the time between two calls of Step.
	StepInterval = 50 * time.Millisecond
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 250 * time.Millisecond
	// maxStepGap is the time between two steps after which this process must have
	// stood still, so that what it missed says nothing about the links.
	maxStepGap = 500 * time.Millisecond
	// minListed is the least number of servers for a decision.
	minListed = 3
	// suspectFailures is the number of different servers whose connections fail in a
	// row, within failureTTL, that raise a suspicion.
	suspectFailures = 3
	failureTTL      = 5 * time.Second
	// failureDelay is the time after one failure without a connection being opened
	// that raises a suspicion.
	failureDelay = 100 * time.Millisecond
	// minQuiet is the silence that raises a suspicion while attempts wait. Each such
	// suspicion that proves wrong doubles it up to maxQuiet, since some servers
	// usually need long; it is reduced again after quietTTL.
	minQuiet = 300 * time.Millisecond
	maxQuiet = 600 * time.Millisecond
	quietTTL = 10 * time.Second
	// probeInterval is the mean time between probes in a partition.
	probeInterval = 300 * time.Millisecond
	// confirmProbes is the number of servers that are probed after one was reached
	// again. reachedTTL is how long a reached server counts, and reachedAgain the
	// time after which one server that is reached twice is enough.
	confirmProbes = 3
	reachedTTL    = 3 * time.Second
	reachedAgain  = time.Second
	// firstShare is the share of requests that are sent directly at first. It doubles
	// every shareInterval.
	firstShare    = 0.1
	shareInterval = 250 * time.Millisecond
	// trustDelay is how long after the return failures are not trusted yet: attempts
	// from before it may still fail.
	trustDelay = time.Second
)

// probeStages are the numbers of servers that are probed one after another in a
// suspicion. The last stage is left out if nothing at all comes back, since a refusal
// may also come from a machine whose server has ended.
var probeStages = [...]int{1, 3, 4}

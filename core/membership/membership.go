// Package membership is a state machine without I/O that tracks which instances
// and upstreams are live, leaving or gone, and assigns polling and
// configuration watches to instances. Events go in through Step; Ready returns
// the resulting commands.
package membership

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// SuspectAfter is the silence after which an instance is suspect: three
	// missed heartbeats of one second. Its work is taken over. If the instance
	// is in fact live, an upstream is polled twice, which does no harm.
	SuspectAfter = 3 * time.Second
	// GoneAfter is the silence after which an instance is gone. It is still
	// contacted while the platform lists it.
	GoneAfter = 10 * time.Second
	// forgetAfter is the silence after which an unlisted instance is removed,
	// which limits memory.
	forgetAfter = 2 * time.Minute
	// reportOverdueAfter is the time without a report after which an upstream
	// assigned to another instance is polled here as well, because its poller
	// is live but its reports do not arrive. It exceeds SuspectAfter by the
	// time that a takeover needs.
	reportOverdueAfter = 4 * time.Second
	// unreachableAfter is the age of the last report at which an upstream is no
	// longer routed to.
	unreachableAfter = 6 * time.Second
	// maxFailedPolls is the number of consecutive failed polls that make an
	// upstream unreachable. A single poll may be lost to a pause of either
	// side.
	maxFailedPolls = 3
	// answerGrace is how long a report from a peer that reached the upstream
	// outweighs a report that it is unreachable. It covers the second poller's
	// period and push.
	answerGrace = 2 * time.Second
	// doublePollFor is how long a second instance goes on polling after the
	// last report that the upstream is unreachable.
	doublePollFor = 5 * time.Second
	// partitionedAfter is the silence after which a data centre counts as
	// partitioned: two exchanges of five seconds and one retry.
	partitionedAfter = 12 * time.Second
	// listLag is how long the platform's list may still show an upstream as
	// leaving after it has been replaced.
	listLag = 30 * time.Second
	// configWatchers is the number of instances per data centre that watch the
	// configuration. The second one covers the time until the first is taken
	// over.
	configWatchers = 2
	// maxInstances and maxMarks limit the memory that wrong lists or faulty
	// upstreams can use. maxInstances is two and a half times the designed
	// size.
	maxInstances = 1024
	maxMarks     = 4
	// maxEarlyMarks limits the marks kept for upstreams that are not declared.
	maxEarlyMarks = 256
)

// Config is the identity of the instance.
type Config struct {
	Self Profile
}

// Machine is the membership state machine of one instance. It is not safe for
// concurrent use.
type Machine struct {
	config          Config
	startedAt       fleet.Instant
	hasStarted      bool
	leaving         bool
	holdsOrderLease bool
	instances       map[fleet.InstanceID]*instance
	upstreams       map[fleet.UpstreamID]*upstream
	// declaredOrder holds the upstreams in declared order, so that commands do
	// not depend on map iteration.
	declaredOrder []*upstream
	// listRows is the platform's last list. It is applied again with every
	// declaration, which distinguishes upstreams from instances.
	listRows         []ListRow
	declarationKnown bool
	earlyMarks       []Mark
	reachable        map[fleet.DataCentre]bool
	polledUpstreams  []fleet.UpstreamID
	watchesConfig    bool
	// assignmentsStale reports that assign must run at the end of the step.
	assignmentsStale bool
	ready            []Command
}

// New returns a Machine that knows only its own instance.
func New(config Config) *Machine {
	return &Machine{
		config:           config,
		instances:        map[fleet.InstanceID]*instance{},
		upstreams:        map[fleet.UpstreamID]*upstream{},
		reachable:        map[fleet.DataCentre]bool{},
		assignmentsStale: true,
	}
}

// Step applies one event at the given time. Times must not decrease between
// calls.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	if !m.hasStarted {
		m.hasStarted, m.startedAt = true, now
	}
	switch ev := ev.(type) {
	case InstancesListed:
		m.applyList(now, ev.Rows)
	case Heartbeat:
		m.handleHeartbeat(now, ev)
	case OrderLeaseHeld:
		m.assignmentsStale = m.assignmentsStale || m.holdsOrderLease != ev.Held
		m.holdsOrderLease = ev.Held
	case PeersDiscovered:
		for _, p := range ev.Profiles {
			m.addInstance(now, p)
		}
	case Declared:
		m.setUpstreams(now, ev.Upstreams)
	case Polled:
		m.handlePoll(now, ev.Load)
	case PollFailed:
		m.handlePollFailure(now, ev.Upstream)
	case Reported:
		m.handleReport(now, ev.Report)
	case MarkReceived:
		m.addMark(ev.Mark)
	case Leave:
		m.leaving, m.assignmentsStale = true, true
	case Tick:
		m.tick(now)
	}
	if m.assignmentsStale {
		m.assignmentsStale = false
		m.assign(now)
	}
}

// Ready returns the pending commands in order and clears them.
func (m *Machine) Ready() []Command {
	out := m.ready
	m.ready = nil
	return out
}

func (m *Machine) emit(c Command) { m.ready = append(m.ready, c) }

// tick re-evaluates every timeout.
func (m *Machine) tick(now fleet.Instant) {
	m.updateInstances(now)
	m.updateReachability(now)
	for _, u := range m.declaredOrder {
		m.updateUpstream(now, u)
	}
}

// updateReachability determines which other data centres are connected.
func (m *Machine) updateReachability(now fleet.Instant) {
	connected := map[fleet.DataCentre]bool{}
	for _, i := range m.instances {
		if i.hasHeartbeat && now-i.lastHeartbeat <= partitionedAfter {
			connected[i.DataCentre] = true
		} else if _, known := connected[i.DataCentre]; !known {
			connected[i.DataCentre] = false
		}
	}
	delete(connected, m.config.Self.DataCentre)
	for dc, current := range connected {
		if was, known := m.reachable[dc]; !known || was != current {
			m.emit(ReachabilityChanged{DataCentre: dc, Connected: current})
			m.assignmentsStale = true
		}
	}
	m.reachable = connected
}

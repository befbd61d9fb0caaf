// Package membership tracks which entry instances and upstreams are live,
// leaving or gone, and assigns polling and configuration watches to instances.
// Events go in through Step, commands come out of Ready.
package membership

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// SuspectAfter is three missed heartbeats of one second. Work assigned to
	// a suspect instance is taken over; if the suspicion is wrong, an upstream
	// is polled twice, which does no harm.
	SuspectAfter = 3 * time.Second
	// GoneAfter is when a silent instance is given up. It is still tried
	// while the platform lists it.
	GoneAfter = 10 * time.Second
	// forgetAfter bounds the memory of instances that no list names.
	forgetAfter = 2 * time.Minute
	// lateAfter is when an upstream without a report is polled although it is
	// assigned elsewhere: its poller is heard, but the reports are not. It
	// exceeds SuspectAfter by the time a takeover needs.
	lateAfter = 4 * time.Second
	// unreachableAfter is the age of the last report at which an upstream is
	// no longer routed to.
	unreachableAfter = 6 * time.Second
	// failedPolls in a row make an upstream unreachable. One may be lost to a
	// pause of either side.
	failedPolls = 3
	// answerGrace is how long an answer that one poller got outweighs the
	// silence that another one reports. It covers the second poller's period
	// and push.
	answerGrace = 2 * time.Second
	// disputeFor is how long the second poller goes on after the last report
	// of silence.
	disputeFor = 5 * time.Second
	// reachAfter is the silence after which a data centre counts as
	// partitioned: two exchanges of five seconds and one retry.
	reachAfter = 12 * time.Second
	// listLag is how long the platform's list may still name a departure
	// after the upstream has been replaced.
	listLag = 30 * time.Second
	// configWatchers is the number of instances per data centre that hold a
	// watch on the configuration; the second covers the takeover of the first.
	configWatchers = 2
	// maxInstances and maxMarks bound the memory that wrong lists or faulty
	// upstreams can use. Two and a half times the designed size.
	maxInstances = 1024
	maxMarks     = 4
	// maxEarly bounds the marks of upstreams that are not declared.
	maxEarly = 256
)

// Config fixes the identity of the instance.
type Config struct {
	Self Profile
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	config    Config
	started   fleet.Instant
	running   bool
	leaving   bool
	holder    bool
	instances map[fleet.InstanceID]*instance
	upstreams map[fleet.UpstreamID]*upstream
	// order is the declared order of upstreams, so that outputs do not depend
	// on map iteration.
	order []*upstream
	// rows is the platform's last list. It is read again with every
	// declaration, which tells upstreams from instances.
	rows     []ListRow
	declared bool
	early    []Mark
	reach    map[fleet.DataCentre]bool
	polling  []fleet.UpstreamID
	watching bool
	// changed tells that assignments must be computed again.
	changed bool
	ready   []Command
}

// New returns a machine that knows only its own instance.
func New(config Config) *Machine {
	return &Machine{
		config:    config,
		instances: map[fleet.InstanceID]*instance{},
		upstreams: map[fleet.UpstreamID]*upstream{},
		reach:     map[fleet.DataCentre]bool{},
		changed:   true,
	}
}

// Step applies one event at the given time. Times must not decrease.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	if !m.running {
		m.running, m.started = true, now
	}
	switch ev := ev.(type) {
	case InstancesListed:
		m.list(now, ev.Rows)
	case Heartbeat:
		m.hear(now, ev)
	case OrderLeaseHeld:
		m.changed = m.changed || m.holder != ev.On
		m.holder = ev.On
	case PeersDiscovered:
		for _, p := range ev.Profiles {
			m.introduce(now, p)
		}
	case Declared:
		m.declare(now, ev.Upstreams)
	case Polled:
		m.polled(now, ev.Load)
	case PollFailed:
		m.pollFailed(now, ev.Upstream)
	case Reported:
		m.reported(now, ev.Report)
	case MarkReceived:
		m.mark(ev.Mark)
	case Leave:
		m.leaving, m.changed = true, true
	case Tick:
		m.tick(now)
	}
	if m.changed {
		m.changed = false
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

func (m *Machine) tick(now fleet.Instant) {
	m.tickInstances(now)
	m.tickReach(now)
	for _, u := range m.order {
		m.tickUpstream(now, u)
	}
}

// tickReach decides which other data centres are connected.
func (m *Machine) tickReach(now fleet.Instant) {
	connected := map[fleet.DataCentre]bool{}
	for _, i := range m.instances {
		if i.heard && now-i.heardAt <= reachAfter {
			connected[i.DataCentre] = true
		} else if _, known := connected[i.DataCentre]; !known {
			connected[i.DataCentre] = false
		}
	}
	delete(connected, m.config.Self.DataCentre)
	for dc, is := range connected {
		if was, known := m.reach[dc]; !known || was != is {
			m.emit(ReachabilityChanged{DataCentre: dc, Connected: is})
			m.changed = true
		}
	}
	m.reach = connected
}

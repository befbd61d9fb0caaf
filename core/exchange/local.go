package exchange

import (
	"maps"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// setPeers replaces the peers. Sessions with the remaining ones are kept.
func (e *Exchange) setPeers(now fleet.Instant, peers []membership.Peer) {
	keep := map[fleet.InstanceID]bool{}
	e.sortedSessions = e.sortedSessions[:0]
	for _, p := range peers {
		keep[p.ID] = true
		s := e.sessions[p.ID]
		if s == nil {
			s = newSession(now + e.jitter(PushPeriod/10))
			e.sessions[p.ID] = s
		}
		s.Peer = p
		e.sortedSessions = append(e.sortedSessions, s)
	}
	maps.DeleteFunc(e.sessions, func(id fleet.InstanceID, _ *session) bool { return !keep[id] })
	e.planTopology(now)
}

// configure sets the configuration version and dictionary and drops the reports
// and marks of upstreams that are no longer declared.
func (e *Exchange) configure(now fleet.Instant, ev Configured) {
	e.configVersion, e.dictionary = ev.Version, ev.Dictionary
	maps.DeleteFunc(e.reports, func(id fleet.UpstreamID, _ *sequencedReport) bool { return !e.dictionary.hasUpstream(id) })
	maps.DeleteFunc(e.marks, func(m membership.Mark, _ uint64) bool { return !e.dictionary.hasUpstream(m.Upstream) })
	for _, s := range e.sessions {
		maps.DeleteFunc(s.confirmedStates, func(id fleet.UpstreamID, _ sentState) bool { return !e.dictionary.hasUpstream(id) })
	}
	e.makePushesDue(now)
}

// makePushesDue makes the next push due at once for every peer that is pushed
// to periodically and is not failing.
func (e *Exchange) makePushesDue(now fleet.Instant) {
	for _, s := range e.sortedSessions {
		if s.period > 0 && s.failures == 0 {
			s.due = now
		}
	}
}

// pushMark pushes a leaving mark at once to every periodic peer, including
// failing ones, and to the standby partner in each other data centre of the
// region, since the first partner may be down.
func (e *Exchange) pushMark(now fleet.Instant, mark membership.Mark) {
	if _, known := e.marks[mark]; known {
		return
	}
	e.changeSeq++
	e.marks[mark] = e.changeSeq
	for _, s := range e.sortedSessions {
		if s.period > 0 || s.standby {
			s.due = now
			e.sendDue(now, s)
		}
	}
}

// storeReport keeps the latest report of a declared upstream for the peers.
func (e *Exchange) storeReport(r membership.Report, relayed bool) {
	if !e.dictionary.hasUpstream(r.Load.Upstream) {
		return
	}
	e.changeSeq++
	e.reports[r.Load.Upstream] = &sequencedReport{Report: r, changeSeq: e.changeSeq, relayed: relayed}
}

// queueLocalWork adds the service, dispatches and demand of this instance to
// the sessions.
func (e *Exchange) queueLocalWork(update sched.PeerUpdate) {
	e.queueStates = update.Queues
	for _, service := range update.Service {
		owner := e.owners.ownerOf(service.Member)
		if owner == e.config.Self.ID {
			e.addToOutboundTotals(serviceKey{service.Member, service.Group, classTotal}, service.Cost)
		}
		for _, s := range e.sortedSessions {
			if !s.open || !e.sameDataCentre(s) {
				continue
			}
			key := serviceKey{service.Member, service.Group, classPlain}
			if s.ID == owner {
				key.class = classAggregate
			}
			e.addCost(s.pendingService, key, service.Cost)
		}
	}
	for _, s := range e.sortedSessions {
		if s.open && s.period == PushPeriod && (e.sameDataCentre(s) || e.fullMesh) {
			s.queueDispatches(update.Dispatches)
			s.addDemand(update.Demand)
		}
	}
}

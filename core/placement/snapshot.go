package placement

import (
	"maps"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Snapshot is an instance's work in flight and demand, with those of the other
// instances that it reports for.
type Snapshot struct {
	Work map[fleet.UpstreamID]Work
	// Age is the mean age of the work, weighted by runs; an instance's own is
	// 0.
	Age    time.Duration
	Demand map[fleet.GroupName]Demand
}

// SetPeerWork replaces what another instance has reported.
func (f *Fleet) SetPeerWork(peer fleet.InstanceID, report Snapshot, now fleet.Instant) {
	view := peerView{receivedAt: now, age: report.Age, demand: report.Demand}
	for id, s := range f.servers {
		w, ok := report.Work[id]
		if !ok {
			delete(s.byPeer, peer)
			s.peerSumStale = true
			continue
		}
		view.runs += w.Runs
		s.byPeer[peer] = peerWork{Work: w, receivedAt: now}
		s.updateMeans()
	}
	f.peers[peer] = view
	for group := range report.Demand {
		f.noteDemand(group, now)
	}
	f.addForeignPrompts(now)
}

// KeepPeers forgets what was reported by instances for which keep returns false.
func (f *Fleet) KeepPeers(keep func(fleet.InstanceID) bool) {
	maps.DeleteFunc(f.peers, func(peer fleet.InstanceID, _ peerView) bool { return !keep(peer) })
	for _, s := range f.servers {
		maps.DeleteFunc(s.byPeer, func(peer fleet.InstanceID, _ peerWork) bool { return !keep(peer) })
		s.peerSumStale = true
	}
}

// Snapshot returns the work in flight and the demand of this instance plus those
// of the other instances for which include returns true. Reports older than
// peerWorkTTL don't count.
func (f *Fleet) Snapshot(include func(fleet.InstanceID) bool, now fleet.Instant) Snapshot {
	out := Snapshot{Work: map[fleet.UpstreamID]Work{}, Demand: map[fleet.GroupName]Demand{}}
	ownRuns := 0
	for id, s := range f.servers {
		total := s.own
		ownRuns += s.own.Runs
		var speeds, paces mean
		speeds.add(total.Speed)
		paces.add(total.Pace)
		for peer, w := range s.byPeer {
			if now-w.receivedAt > peerWorkTTL || !include(peer) {
				continue
			}
			total.merge(w.Work)
			speeds.add(w.Speed)
			paces.add(w.Pace)
		}
		total.Speed, total.Pace = speeds.valueOr(0), paces.valueOr(0)
		if total != (Work{}) {
			out.Work[id] = total
		}
	}
	for group, m := range f.meters {
		out.Demand[group] = m.rate(now)
	}
	age, weight := 0.0, float64(ownRuns+1)
	for peer, view := range f.peers {
		if now-view.receivedAt > peerWorkTTL {
			delete(f.peers, peer)
			continue
		}
		if !include(peer) {
			continue
		}
		w := float64(view.runs + 1)
		age += w * float64(view.age+now-view.receivedAt)
		weight += w
		for group, d := range view.demand {
			out.Demand[group] = out.Demand[group].plus(d)
		}
	}
	out.Age = time.Duration(age / weight)
	return out
}

package mixshift

import (
	"fmt"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// broadcast delivers an event to every instance that can reach the engine, after
// extra and the network delay.
func (s *Sim) broadcast(e *engineState, extra fleet.Instant, ev sched.Event) {
	for i := range s.schedulers {
		dc := instanceDataCentre(i)
		if !s.connected(dc, e.dc) {
			continue
		}
		s.schedule(extra+s.delay(dc, e.dc), func() { s.step(i, ev) })
	}
}

// report sends an engine's load to every instance that can reach it, with
// reportLag.
func (s *Sim) report(e *engineState) {
	if !e.Available(s.now) {
		return
	}
	load := e.Load()
	r := sched.LoadReport{
		Upstream: e.ID, Incarnation: e.incarnationName(), At: s.now, Role: load.Role,
		Running: load.Running, Waiting: load.Waiting, WaitingPromptTokens: load.WaitingPromptTokens,
		KVUsedTokens: load.KVUsedTokens, KVCapacityTokens: load.KVCapacityTokens,
		PrefilledTotal: e.Prefilled, GeneratedTotal: e.Generated,
	}
	s.broadcast(e, reportLag, sched.Report{Load: r})
	if s.connected(e.dc, s.plannerDC()) {
		s.reports[e.index] = r
	}
}

// incarnationName returns the name of the engine's current incarnation.
func (e *engineState) incarnationName() fleet.Incarnation {
	return fleet.Incarnation(fmt.Sprintf("%s-%d", e.ID, e.incarnation))
}

// cacheEvents sends an engine's cache events to the instances. A fraction
// cacheLossRate of the batches is lost.
func (s *Sim) cacheEvents(e *engineState) {
	stored, evicted := e.TakeCacheEvents()
	if len(stored)+len(evicted) == 0 {
		return
	}
	e.sequence++
	if s.rng.Float64() < cacheLossRate {
		return
	}
	s.broadcast(e, cacheLag, sched.CacheUpdate{Upstream: e.ID, Sequence: e.sequence, Stored: stored, Evicted: evicted})
}

// exchange passes an instance's recent work to the others that it can reach.
func (s *Sim) exchange(from int) {
	shared := s.schedulers[from].TakePeerUpdate()
	if s.connected(instanceDataCentre(from), s.plannerDC()) {
		s.demand = append(s.demand, shared.Demand...)
	}
	for to := range s.schedulers {
		a, b := instanceDataCentre(from), instanceDataCentre(to)
		if to == from || !s.connected(a, b) {
			continue
		}
		s.schedule(s.delay(a, b), func() {
			for _, ev := range shared.Service {
				s.step(to, ev)
			}
			for _, ev := range shared.Queues {
				s.step(to, ev)
			}
			for _, ev := range shared.Dispatches {
				s.step(to, ev)
			}
		})
	}
}

// hold stops or resumes dispatching to an engine for a role change.
func (s *Sim) hold(e *engineState, on bool) {
	s.broadcast(e, 0, sched.Hold{Upstream: e.ID, On: on})
}

// announce sends an engine's state to every instance that can reach it.
func (s *Sim) announce(e *engineState, available, leaving bool) {
	s.broadcast(e, 0, s.upstreamState(e, available, leaving))
}

// upstreamState returns the event about an engine's state.
func (s *Sim) upstreamState(e *engineState, available, leaving bool) sched.UpstreamState {
	return sched.UpstreamState{
		Upstream: e.ID, Incarnation: e.incarnationName(), Available: available, Role: e.Role(),
		Leaving: leaving,
	}
}

// scheduleFaults schedules the withdrawal and the partition of a run.
func (s *Sim) scheduleFaults() {
	f := s.faults
	if f.withdrawnEngine >= 0 {
		e := s.engines[f.withdrawnEngine]
		s.schedule(f.withdrawAt, func() { e.leaving = true; s.announce(e, true, true) })
		s.schedule(f.withdrawAt+withdrawalGrace, func() { s.crash(e) })
		s.schedule(f.returnAt, func() { s.restore(e) })
	}
	if f.partitionedDC >= 0 {
		s.schedule(f.partitionAt, s.startPartition)
		s.schedule(f.partitionEndAt+detectionDelay, s.endPartition)
	}
}

// crash makes an engine unavailable; the requests on it fail.
func (s *Sim) crash(e *engineState) {
	if s.change != nil && s.change.engine == e {
		s.hold(e, false)
		s.change = nil
	}
	lost := e.Crash()
	s.announce(e, false, false)
	s.failAll(lost, e)
}

// failAll reports the failure of requests that an engine has lost.
func (s *Sim) failAll(lost []fleet.RequestID, e *engineState) {
	for _, id := range lost {
		r := s.requests[id]
		attempt := r.attempt
		s.schedule(s.delay(instanceDataCentre(r.instance), e.dc), func() { s.attemptFailed(r, attempt, e.ID) })
	}
}

// restore brings a withdrawn engine back as a new incarnation.
func (s *Sim) restore(e *engineState) {
	e.Restore()
	e.leaving = false
	e.incarnation++
	e.sequence = 0
	s.announce(e, true, false)
}

// startPartition breaks every stream across the partition. Both sides notice after
// detectionDelay.
func (s *Sim) startPartition() {
	for _, r := range s.arrivals {
		if r.done || r.attempt == 0 {
			continue
		}
		s.breakStream(r)
	}
	s.announceReachability(false)
}

// breakStream fails a request's attempt if one of its engines is across the partition.
func (s *Sim) breakStream(r *request) {
	dc := instanceDataCentre(r.instance)
	for _, id := range []fleet.UpstreamID{r.choice.PrefillTarget, r.choice.Target} {
		e := s.engineByID(id)
		if e == nil || s.connected(dc, e.dc) {
			continue
		}
		s.cancelEverywhere(r)
		attempt := r.attempt
		s.schedule(detectionDelay, func() { s.attemptFailed(r, attempt, id) })
		return
	}
}

// endPartition informs both sides that the partition has ended.
func (s *Sim) endPartition() { s.announceReachability(true) }

// announceReachability informs every instance whether it can reach the engines across
// the partition.
func (s *Sim) announceReachability(reachable bool) {
	for i := range s.schedulers {
		for _, e := range s.engines {
			across := (instanceDataCentre(i) == s.faults.partitionedDC) != (e.dc == s.faults.partitionedDC)
			if !across {
				continue
			}
			ev := s.upstreamState(e, reachable && e.Available(s.now), e.leaving)
			s.schedule(detectionDelay, func() { s.step(i, ev) })
		}
	}
}

// planner decides on role changes.
type planner interface {
	// plan returns the next role change; ok is false for none. It is called once
	// a second while no change is in progress.
	plan(now fleet.Instant, s *Sim) (engine int, to fleet.Role, ok bool)
}

// roleChange is a role change in progress.
type roleChange struct {
	engine *engineState
	to     fleet.Role
	since  fleet.Instant
}

// plannerDC returns the data centre whose order holder plans: the first one that is
// not partitioned.
func (s *Sim) plannerDC() int {
	if s.faults.partitionedDC == 0 && !s.connected(0, 1) {
		return 1
	}
	return 0
}

// planRoles starts a planned role change by draining the engine.
func (s *Sim) planRoles() {
	if s.planner == nil || s.change != nil {
		return
	}
	i, to, ok := s.planner.plan(s.now, s)
	if !ok {
		return
	}
	e := s.engines[i]
	if e.leaving || !e.Available(s.now) || e.Role() == to || !s.connected(e.dc, s.plannerDC()) {
		return
	}
	s.change = &roleChange{engine: e, to: to, since: s.now}
	s.roleChanges++
	s.hold(e, true)
	s.schedule(drainPoll, s.awaitDrain)
}

// awaitDrain changes the role once the engine is idle and the instances have had time
// to learn that it is held. It gives up after drainLimit.
func (s *Sim) awaitDrain() {
	c := s.change
	if c == nil {
		return
	}
	if s.now-c.since > drainLimit {
		s.abandonChange()
		return
	}
	if !c.engine.Idle() || s.now-c.since < 4*drainPoll || s.inbound(c.engine) {
		s.schedule(drainPoll, s.awaitDrain)
		return
	}
	lost := c.engine.SetRole(s.now, c.to)
	s.failAll(lost, c.engine)
	c.engine.incarnation++
	c.engine.sequence = 0
	s.announce(c.engine, false, false)
	s.schedule(roleChangeTime, s.endChange)
}

// inbound reports whether a dispatched request still needs the engine.
func (s *Sim) inbound(e *engineState) bool {
	for _, r := range s.arrivals {
		if r.at > s.now {
			return false
		}
		if !r.done && r.attempt > 0 && (r.choice.Target == e.ID || r.choice.PrefillTarget == e.ID && r.firstAt == 0) {
			return true
		}
	}
	return false
}

// abandonChange ends the role change without changing the role.
func (s *Sim) abandonChange() {
	s.hold(s.change.engine, false)
	s.change = nil
}

// endChange makes the engine available again after its role change.
func (s *Sim) endChange() {
	if s.change == nil {
		return
	}
	e := s.change.engine
	s.change = nil
	s.hold(e, false)
	s.announce(e, true, false)
}

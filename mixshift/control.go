package mixshift

import (
	"fmt"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// broadcast gives an event to every instance that reaches the engine.
func (s *Sim) broadcast(e *engineState, extra fleet.Instant, ev sched.Event) {
	for i := range s.schedulers {
		dc := instanceDataCentre(i)
		if !s.connected(dc, e.dc) {
			continue
		}
		s.after(extra+s.delay(dc, e.dc), func() { s.step(i, ev) })
	}
}

// report sends an engine's load to every instance, late.
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

func (e *engineState) incarnationName() fleet.Incarnation {
	return fleet.Incarnation(fmt.Sprintf("%s-%d", e.ID, e.incarnation))
}

// cacheEvents sends an engine's cache events; some batches are lost.
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

// exchange passes each instance's recent work to the others.
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
		s.after(s.delay(a, b), func() {
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

// hold stops or resumes new work at an engine for a change of role.
func (s *Sim) hold(e *engineState, on bool) {
	s.broadcast(e, 0, sched.Hold{Upstream: e.ID, On: on})
}

// announce tells every instance that reaches an engine its state.
func (s *Sim) announce(e *engineState, available, leaving bool) {
	s.broadcast(e, 0, s.stateOf(e, available, leaving))
}

// stateOf is what instances are told about an engine.
func (s *Sim) stateOf(e *engineState, available, leaving bool) sched.UpstreamState {
	return sched.UpstreamState{
		Upstream: e.ID, Incarnation: e.incarnationName(), Available: available, Role: e.Role(),
		Leaving: leaving,
	}
}

// scheduleFaults plans the withdrawal and the partition of a run.
func (s *Sim) scheduleFaults() {
	f := s.faults
	if f.withdrawn >= 0 {
		e := s.engines[f.withdrawn]
		s.after(f.withdrawAt, func() { e.leaving = true; s.announce(e, true, true) })
		s.after(f.withdrawAt+withdrawalGrace, func() { s.crash(e) })
		s.after(f.returnAt, func() { s.bringBack(e) })
	}
	if f.cutDC >= 0 {
		s.after(f.cutAt, s.cut)
		s.after(f.healAt+detectionDelay, s.heal)
	}
}

// crash takes an engine away; the requests on it fail.
func (s *Sim) crash(e *engineState) {
	if s.change != nil && s.change.engine == e {
		s.hold(e, false)
		s.change = nil
	}
	lost := e.Crash()
	s.announce(e, false, false)
	s.failAll(lost, e)
}

func (s *Sim) failAll(lost []fleet.RequestID, e *engineState) {
	for _, id := range lost {
		r := s.requests[id]
		attempt := r.attempt
		s.after(s.delay(instanceDataCentre(r.instance), e.dc), func() { s.attemptFailed(r, attempt, e.ID) })
	}
}

func (s *Sim) bringBack(e *engineState) {
	e.Restore()
	e.leaving = false
	e.incarnation++
	e.sequence = 0
	s.announce(e, true, false)
}

// cut breaks every stream across the partition; both sides notice after a delay.
func (s *Sim) cut() {
	for _, r := range s.order {
		if r.done || r.attempt == 0 {
			continue
		}
		s.breakStream(r)
	}
	s.setReach(false)
}

func (s *Sim) breakStream(r *request) {
	dc := instanceDataCentre(r.instance)
	for _, id := range []fleet.UpstreamID{r.choice.Prefill, r.choice.Target} {
		e := s.engineByID(id)
		if e == nil || s.connected(dc, e.dc) {
			continue
		}
		s.cancelEverywhere(r)
		attempt := r.attempt
		s.after(detectionDelay, func() { s.attemptFailed(r, attempt, id) })
		return
	}
}

func (s *Sim) heal() { s.setReach(true) }

// setReach tells every instance which engines across the partition it reaches.
func (s *Sim) setReach(reachable bool) {
	for i := range s.schedulers {
		for _, e := range s.engines {
			across := (instanceDataCentre(i) == s.faults.cutDC) != (e.dc == s.faults.cutDC)
			if !across {
				continue
			}
			ev := s.stateOf(e, reachable && e.Available(s.now), e.leaving)
			s.after(detectionDelay, func() { s.step(i, ev) })
		}
	}
}

// planner decides on role changes from late reports.
type planner interface {
	// plan returns a wished change; ok is false for none. It is called once
	// a second while no change is under way.
	plan(now fleet.Instant, s *Sim) (engine int, to fleet.Role, ok bool)
}

type roleChange struct {
	engine *engineState
	to     fleet.Role
	since  fleet.Instant
}

// plannerDC is the data centre whose order holder plans: the first one that is
// not partitioned.
func (s *Sim) plannerDC() int {
	if s.faults.cutDC == 0 && !s.connected(0, 1) {
		return 1
	}
	return 0
}

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
	s.after(drainPoll, s.awaitDrain)
}

// awaitDrain changes the role once the engine is idle and instances have had
// the time to learn that it is draining.
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
		s.after(drainPoll, s.awaitDrain)
		return
	}
	lost := c.engine.SetRole(s.now, c.to)
	s.failAll(lost, c.engine)
	c.engine.incarnation++
	c.engine.sequence = 0
	s.announce(c.engine, false, false)
	s.after(roleChangeTime, s.endChange)
}

// inbound tells whether a split request is still on its way to the engine.
func (s *Sim) inbound(e *engineState) bool {
	for _, r := range s.order {
		if r.at > s.now {
			return false
		}
		if !r.done && r.attempt > 0 && (r.choice.Target == e.ID || r.choice.Prefill == e.ID && r.firstAt == 0) {
			return true
		}
	}
	return false
}

func (s *Sim) abandonChange() {
	s.hold(s.change.engine, false)
	s.change = nil
}

func (s *Sim) endChange() {
	if s.change == nil {
		return
	}
	e := s.change.engine
	s.change = nil
	s.hold(e, false)
	s.announce(e, true, false)
}

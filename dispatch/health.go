package dispatch

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
)

// health combines the reported state of upstreams with this instance's own
// ejections. For the scheduler an upstream is available if it is reported as
// available and is not ejected.
type health struct {
	ejector  *retry.Ejector
	reported map[fleet.UpstreamID]sched.UpstreamState
	ejected  map[fleet.UpstreamID]bool
}

func newHealth() *health {
	return &health{
		ejector:  retry.NewEjector(retry.DefaultEjectorConfig),
		reported: map[fleet.UpstreamID]sched.UpstreamState{},
		ejected:  map[fleet.UpstreamID]bool{},
	}
}

// apply records what an event reports about upstreams and returns the event for
// the scheduler, with the ejections taken into account.
func (h *health) apply(ev sched.Event) sched.Event {
	switch ev := ev.(type) {
	case sched.Configure:
		h.configure(ev)
	case sched.UpstreamState:
		h.reported[ev.Upstream] = ev
		return h.state(ev.Upstream)
	case sched.Report:
		h.report(ev.Load)
	}
	return ev
}

// configure sets the known upstreams; those that are new count as available.
func (h *health) configure(ev sched.Configure) {
	groups := map[fleet.UpstreamID]fleet.GroupName{}
	for _, u := range ev.Declaration.Upstreams {
		groups[u.ID] = u.Group
		if _, ok := h.reported[u.ID]; !ok {
			h.reported[u.ID] = sched.UpstreamState{Upstream: u.ID, Available: true, Role: u.Role}
		}
	}
	for id := range h.reported {
		if _, ok := groups[id]; !ok {
			delete(h.reported, id)
			delete(h.ejected, id)
		}
	}
	h.ejector.Configure(groups)
}

// report updates the incarnation, role and Leaving of an upstream, so that the
// next event about its availability repeats the current ones.
func (h *health) report(load sched.LoadReport) {
	state, ok := h.reported[load.Upstream]
	if !ok {
		return
	}
	state.Incarnation, state.Role = load.Incarnation, load.Role
	state.Leaving = state.Leaving || load.Leaving
	h.reported[load.Upstream] = state
}

// state returns the state of an upstream for the scheduler.
func (h *health) state(id fleet.UpstreamID) sched.UpstreamState {
	state := h.reported[id]
	state.Available = state.Available && !h.ejected[id]
	return state
}

// changes returns an event for each upstream whose ejection began or ended.
func (h *health) changes(now fleet.Instant) []sched.Event {
	var events []sched.Event
	for _, c := range h.ejector.TakeChanges(now) {
		h.ejected[c.Upstream] = !c.Available
		events = append(events, h.state(c.Upstream))
	}
	return events
}

func (d *Dispatcher) recordSuccess(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.ejector.RecordSuccess(id)
}

func (d *Dispatcher) recordFailure(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.ejector.RecordFailure(id, d.Now())
}

func (d *Dispatcher) attemptEnded(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.ejector.AttemptEnded(id)
}

// Ejected returns the number of ejected upstreams.
func (d *Dispatcher) Ejected() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.ejector.Ejected()
}

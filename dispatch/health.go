package dispatch

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
)

// health combines what is reported about upstreams with this instance's own
// ejections: the scheduler sees an upstream as available when it is reported
// so and not ejected.
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

// observe notes what an event tells about upstreams and returns the event for
// the scheduler.
func (h *health) observe(ev sched.Event) sched.Event {
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

// report keeps the incarnation and role current, because a change of
// availability repeats them.
func (h *health) report(load sched.LoadReport) {
	state, ok := h.reported[load.Upstream]
	if !ok {
		return
	}
	state.Incarnation, state.Role = load.Incarnation, load.Role
	state.Leaving = state.Leaving || load.Leaving
	h.reported[load.Upstream] = state
}

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

func (d *Dispatcher) good(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.ejector.RecordSuccess(id)
}

func (d *Dispatcher) trouble(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.ejector.RecordFailure(id, d.Now())
}

func (d *Dispatcher) left(id fleet.UpstreamID) {
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

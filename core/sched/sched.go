package sched

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Config fixes the parameters of a scheduler for its lifetime.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Seed makes tie-breaking differ between instances and reproducible.
	Seed uint64
}

// Scheduler is not safe for concurrent use.
type Scheduler struct {
	config    Config
	kinds     map[fleet.KindName]declare.Kind
	upstreams []upstreamView
	requests  map[fleet.RequestID]*tracked
	draining  bool
	ready     []Command
}

type upstreamView struct {
	declare.Upstream
	available bool
	inFlight  int
}

type tracked struct {
	Request
	target fleet.UpstreamID
}

// New returns a scheduler that refuses everything until Configure.
func New(config Config) *Scheduler {
	return &Scheduler{config: config, requests: map[fleet.RequestID]*tracked{}}
}

// Step applies one event at the given time. Times must not decrease.
func (s *Scheduler) Step(_ fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Configure:
		s.configure(ev.Declaration)
	case Submit:
		s.submit(ev.Request)
	case Finished:
		s.release(ev.ID)
	case Cancel:
		s.cancel(ev.ID)
	case Failed:
		s.failed(ev)
	case UpstreamState:
		s.setState(ev)
	case Drain:
		s.draining = true
	}
}

// Ready returns the pending commands in order and clears them.
func (s *Scheduler) Ready() []Command {
	out := s.ready
	s.ready = nil
	return out
}

func (s *Scheduler) configure(d *declare.Declaration) {
	s.kinds = map[fleet.KindName]declare.Kind{}
	for _, k := range d.Kinds {
		s.kinds[k.Name] = k
	}
	old := s.upstreams
	s.upstreams = nil
	for _, u := range d.Upstreams {
		view := upstreamView{Upstream: u, available: true}
		for _, o := range old {
			if o.ID == u.ID {
				view.available, view.inFlight = o.available, o.inFlight
			}
		}
		s.upstreams = append(s.upstreams, view)
	}
}

func (s *Scheduler) submit(r Request) {
	if s.draining {
		s.refuse(r.ID, fleet.Refuse(fleet.ReasonDraining, "the instance is stopping"))
		return
	}
	if s.kinds == nil {
		s.refuse(r.ID, fleet.Refuse(fleet.ReasonConfigUnknown, "no configuration is in force yet"))
		return
	}
	s.requests[r.ID] = &tracked{Request: r}
	s.dispatch(r.ID)
}

func (s *Scheduler) dispatch(id fleet.RequestID) {
	t := s.requests[id]
	best := s.leastInFlight(s.kinds[t.Kind].Group, t.target)
	if best == nil {
		delete(s.requests, id)
		s.refuse(id, fleet.Refuse(fleet.ReasonNoUpstream, "no upstream of the group is available"))
		return
	}
	best.inFlight++
	t.target = best.ID
	s.ready = append(s.ready, Dispatch{ID: id, Choice: Choice{Target: best.ID, Reason: "least_in_flight"}})
}

func (s *Scheduler) leastInFlight(group fleet.GroupName, not fleet.UpstreamID) *upstreamView {
	var best *upstreamView
	for i := range s.upstreams {
		u := &s.upstreams[i]
		if u.Group != group || !u.available || u.ID == not {
			continue
		}
		if best == nil || u.inFlight < best.inFlight {
			best = u
		}
	}
	return best
}

func (s *Scheduler) refuse(id fleet.RequestID, r *fleet.Refusal) {
	s.ready = append(s.ready, Refuse{ID: id, Refusal: r})
}

func (s *Scheduler) release(id fleet.RequestID) {
	t, ok := s.requests[id]
	if !ok {
		return
	}
	s.leave(t.target)
	delete(s.requests, id)
}

func (s *Scheduler) leave(id fleet.UpstreamID) {
	for i := range s.upstreams {
		if s.upstreams[i].ID == id {
			s.upstreams[i].inFlight--
		}
	}
}

func (s *Scheduler) cancel(id fleet.RequestID) {
	if t, ok := s.requests[id]; ok {
		s.ready = append(s.ready, CancelAt{ID: id, Upstream: t.target})
		s.release(id)
	}
}

func (s *Scheduler) failed(ev Failed) {
	t, ok := s.requests[ev.ID]
	if !ok {
		return
	}
	if !ev.Retry {
		s.release(ev.ID)
		return
	}
	s.leave(t.target)
	s.dispatch(ev.ID)
}

func (s *Scheduler) setState(ev UpstreamState) {
	for i := range s.upstreams {
		if s.upstreams[i].ID == ev.Upstream {
			s.upstreams[i].available = ev.Available && !ev.Leaving
		}
	}
}

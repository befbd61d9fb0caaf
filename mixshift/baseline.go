package mixshift

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// picker selects the engine for a request among the candidates.
type picker func(b *baseline, candidates []*baselineEngine) *baselineEngine

// baseline is a scheduler without queueing, admission or learning. It dispatches each
// request at once, prefill and decode to engines of the respective roles.
type baseline struct {
	pick    picker
	engines []*baselineEngine
	live    map[fleet.RequestID]*baselineRequest
	ready   []sched.Command
	next    int
}

// baselineEngine is an engine as one baseline sees it.
type baselineEngine struct {
	declare.Upstream
	available bool
	held      bool
	inFlight  int // work in flight, in tokens
}

// baselineRequest is a dispatched request. prefill is nil once the prefill is done, and
// always for a mixed target, which prefills itself.
type baselineRequest struct {
	sched.Request
	prefill, target *baselineEngine
	prefillWork     int // in tokens, counted in flight at prefill
	targetWork      int // in tokens, counted in flight at target
}

// roundRobin selects the engines in turn.
func roundRobin(b *baseline, candidates []*baselineEngine) *baselineEngine {
	b.next++
	return candidates[b.next%len(candidates)]
}

// leastInFlight selects the engine with the least work in flight from this instance.
// Ties go in turn.
func leastInFlight(b *baseline, candidates []*baselineEngine) *baselineEngine {
	b.next++
	best := candidates[b.next%len(candidates)]
	for _, c := range candidates {
		if c.inFlight < best.inFlight {
			best = c
		}
	}
	return best
}

// newBaseline returns a baseline that selects engines with pick.
func newBaseline(pick picker) *baseline {
	return &baseline{pick: pick, live: map[fleet.RequestID]*baselineRequest{}}
}

// TakePeerUpdate implements Scheduler; a baseline shares nothing.
func (b *baseline) TakePeerUpdate() sched.PeerUpdate { return sched.PeerUpdate{} }

// Ready implements Scheduler.
func (b *baseline) Ready() []sched.Command {
	out := b.ready
	b.ready = nil
	return out
}

// Step implements Scheduler.
func (b *baseline) Step(_ fleet.Instant, ev sched.Event) {
	switch ev := ev.(type) {
	case sched.Configure:
		for _, u := range ev.Declaration.Upstreams {
			b.engines = append(b.engines, &baselineEngine{Upstream: u, available: true})
		}
	case sched.Submit:
		b.live[ev.Request.ID] = &baselineRequest{Request: ev.Request}
		b.dispatch(ev.Request.ID)
	case sched.FirstToken:
		b.releasePrefill(ev.ID)
	case sched.Finished:
		b.release(ev.ID)
	case sched.Cancel:
		b.release(ev.ID)
	case sched.Failed:
		b.retry(ev.ID)
	case sched.UpstreamState:
		b.setState(ev)
	case sched.Hold:
		b.hold(ev)
	}
}

// candidates returns the usable engines of a role or with the role mixed. If there is
// none, it returns the other usable engines.
func (b *baseline) candidates(role fleet.Role) []*baselineEngine {
	var out, other []*baselineEngine
	for _, e := range b.engines {
		switch {
		case !e.available || e.held:
		case e.Role == role || e.Role == fleet.RoleMixed:
			out = append(out, e)
		default:
			other = append(other, e)
		}
	}
	if len(out) == 0 {
		return other
	}
	return out
}

// dispatch sends a request to a prefill and a decode engine, or refuses it if no engine
// is usable.
func (b *baseline) dispatch(id fleet.RequestID) {
	r := b.live[id]
	prefill, decode := b.candidates(fleet.RolePrefill), b.candidates(fleet.RoleDecode)
	if len(prefill) == 0 {
		delete(b.live, id)
		b.ready = append(b.ready, sched.Refuse{ID: id, Refusal: fleet.Refuse(fleet.ReasonNoUpstream, "no engine is reachable")})
		return
	}
	r.target = b.pick(b, decode)
	r.targetWork = r.PromptTokens/promptTokensPerOutputToken + r.MaxOutputTokens
	choice := sched.Choice{Path: sched.PathLocal, Target: r.target.ID, Reason: "baseline"}
	if r.target.Role != fleet.RoleMixed {
		r.prefill = b.pick(b, prefill)
		if r.prefill != r.target {
			choice.Path, choice.PrefillTarget = sched.PathSplit, r.prefill.ID
		}
		r.prefillWork = r.PromptTokens
		r.prefill.inFlight += r.prefillWork
	} else {
		r.targetWork += r.PromptTokens
	}
	r.target.inFlight += r.targetWork
	b.ready = append(b.ready, sched.Dispatch{ID: id, Choice: choice})
}

// promptTokensPerOutputToken is the number of prompt tokens that add as much decode
// work as one output token.
const promptTokensPerOutputToken = 50

// releasePrefill ends the work in flight of a request's prefill.
func (b *baseline) releasePrefill(id fleet.RequestID) {
	if r := b.live[id]; r != nil && r.prefill != nil {
		r.prefill.inFlight -= r.prefillWork
		r.prefill = nil
	}
}

// release ends a request and its work in flight.
func (b *baseline) release(id fleet.RequestID) {
	b.releasePrefill(id)
	if r := b.live[id]; r != nil {
		r.target.inFlight -= r.targetWork
		delete(b.live, id)
	}
}

// retry dispatches a failed request again.
func (b *baseline) retry(id fleet.RequestID) {
	r := b.live[id]
	if r == nil {
		return
	}
	b.release(id)
	r.prefill, r.target = nil, nil
	b.live[id] = r
	b.dispatch(id)
}

func (b *baseline) setState(ev sched.UpstreamState) {
	for _, e := range b.engines {
		if e.ID == ev.Upstream {
			e.available = ev.Available && !ev.Leaving
			e.Role = ev.Role
		}
	}
}

func (b *baseline) hold(ev sched.Hold) {
	for _, e := range b.engines {
		if e.ID == ev.Upstream {
			e.held = ev.On
		}
	}
}

// thresholdPlanner changes a role when the waiting prefill work per prefill engine
// crosses a threshold, at most once per thresholdPause.
type thresholdPlanner struct {
	changedAt fleet.Instant // when the last change was planned
}

// Thresholds of thresholdPlanner.
const (
	thresholdPause     = 20 * fleet.Instant(1e9)
	thresholdHighQueue = 20_000 // prompt tokens waiting per prefill engine
	thresholdLowQueue  = 500    // prompt tokens waiting per prefill engine
	thresholdBusyBatch = 20     // sequences running per decode engine
)

// plan implements planner.
func (p *thresholdPlanner) plan(now fleet.Instant, s *Sim) (int, fleet.Role, bool) {
	if now-p.changedAt < thresholdPause {
		return 0, 0, false
	}
	var count, load [3]int
	for i, e := range s.engines {
		r := s.reports[i]
		if e.leaving || !e.Available(now) {
			continue
		}
		count[r.Role]++
		load[fleet.RolePrefill] += r.WaitingPromptTokens
		load[fleet.RoleDecode] += r.Running
	}
	if count[fleet.RolePrefill] == 0 || count[fleet.RoleDecode] == 0 {
		return 0, 0, false
	}
	queue := load[fleet.RolePrefill] / count[fleet.RolePrefill]
	batch := load[fleet.RoleDecode] / count[fleet.RoleDecode]
	switch {
	case queue > thresholdHighQueue && count[fleet.RoleDecode] > 1:
		return p.change(now, s, fleet.RoleDecode, fleet.RolePrefill)
	case queue < thresholdLowQueue && batch > thresholdBusyBatch && count[fleet.RolePrefill] > 1:
		return p.change(now, s, fleet.RolePrefill, fleet.RoleDecode)
	}
	return 0, 0, false
}

// change returns the change of the engine of role from with the fewest running
// sequences to the role to. It reports false if there is no such engine.
func (p *thresholdPlanner) change(now fleet.Instant, s *Sim, from, to fleet.Role) (int, fleet.Role, bool) {
	best := -1
	for i, e := range s.engines {
		if e.leaving || !e.Available(now) || s.reports[i].Role != from {
			continue
		}
		if best < 0 || s.reports[i].Running < s.reports[best].Running {
			best = i
		}
	}
	p.changedAt = now
	return best, to, best >= 0
}

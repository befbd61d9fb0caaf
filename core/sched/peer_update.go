package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// PeerUpdate holds the instance's recent work that is sent to its peers.
type PeerUpdate struct {
	// Service is the cost served per member and group since the last call.
	Service []PeerService
	// Dispatches is the work dispatched to engines since the last call.
	Dispatches []PeerDispatch
	// Queues holds the state of the instance's fair queues, one per engine
	// group.
	Queues []PeerQueueState
	// Demand is the expected work of the requests that arrived since the last
	// call, refused ones included, for the role planner.
	Demand []GroupDemand
}

// GroupDemand is the expected work of requests that arrived for one group.
type GroupDemand struct {
	Group fleet.GroupName
	// PromptTokens excludes the part that is expected to be cached.
	PromptTokens, OutputTokens float64
	// ContextTokens sums, over the output tokens, the tokens of KV cache that
	// each of them reads.
	ContextTokens float64
}

// Add adds the work of o, which must be of the same group.
func (d *GroupDemand) Add(o GroupDemand) {
	d.PromptTokens += o.PromptTokens
	d.OutputTokens += o.OutputTokens
	d.ContextTokens += o.ContextTokens
}

// Status is a snapshot of the scheduler for operators.
type Status struct {
	Members   []MemberStatus
	Upstreams []UpstreamStatus
	Draining  bool
}

// MemberStatus describes one member at this instance.
type MemberStatus struct {
	ID              fleet.MemberID
	Share           float64
	Queued, Running int
	// ServedCost is the cost served at this instance since it started, in
	// engine-seconds.
	ServedCost float64
}

// UpstreamStatus describes one upstream as this instance sees it.
type UpstreamStatus struct {
	ID          fleet.UpstreamID
	Group       fleet.GroupName
	DataCentre  fleet.DataCentre
	Role        fleet.Role
	Incarnation fleet.Incarnation
	Available   bool
	Leaving     bool
	// Held reports whether no new work is dispatched until an order ends.
	Held bool
	// InFlight counts this instance's own requests in flight.
	InFlight int
	// ReportedAt is the time of the last load report.
	ReportedAt fleet.Instant
	// Speed is the learned speed of an engine for the work of its role: prefill
	// of a prefill engine, decode of a decode engine.
	Speed cost.Speed
	// Batch is the expected number of running sequences; Backlog is the
	// expected time until a new prefill could start.
	Batch   float64
	Backlog time.Duration
	// CacheConfidence is the confidence in the prefix index of the engine, 0
	// to 1.
	CacheConfidence float64
}

// maxLoggedDispatches bounds the log when nobody takes it. The oldest entries
// are dropped first, because load reports already include them.
const maxLoggedDispatches = 1024

// peerUpdateLog collects the work for the next PeerUpdate.
type peerUpdateLog struct {
	service    []memberService
	index      map[memberGroup]int
	dispatches []PeerDispatch
}

type memberGroup struct{ member, group int32 }

type memberService struct {
	memberGroup
	cost float64
}

func (l *peerUpdateLog) addService(member, group int32, cost float64) {
	key := memberGroup{member, group}
	if i, ok := l.index[key]; ok {
		l.service[i].cost += cost
		return
	}
	if l.index == nil {
		l.index = map[memberGroup]int{}
	}
	l.index[key] = len(l.service)
	l.service = append(l.service, memberService{key, cost})
}

func (l *peerUpdateLog) addDispatch(d PeerDispatch) {
	if len(l.dispatches) >= maxLoggedDispatches {
		n := copy(l.dispatches, l.dispatches[maxLoggedDispatches/2:])
		l.dispatches = l.dispatches[:n]
	}
	l.dispatches = append(l.dispatches, d)
}

// TakePeerUpdate returns the work since the last call and the current state of
// the fair queues, and clears the log.
func (s *Scheduler) TakePeerUpdate() PeerUpdate {
	var out PeerUpdate
	for _, m := range s.peerLog.service {
		out.Service = append(out.Service, PeerService{
			Member: s.members.names[m.member], Group: s.groups.names[m.group], Cost: m.cost,
		})
	}
	for i := range s.groupStates {
		g := &s.groupStates[i]
		if g.promptDemand+g.outputDemand > 0 {
			out.Demand = append(out.Demand, GroupDemand{Group: s.groups.names[i], PromptTokens: g.promptDemand, OutputTokens: g.outputDemand, ContextTokens: g.contextDemand})
		}
		g.promptDemand, g.outputDemand, g.contextDemand = 0, 0, 0
		if !g.service {
			start, ok := g.queue.NextStartTag()
			out.Queues = append(out.Queues, PeerQueueState{Instance: s.config.Instance, Group: s.groups.names[i], StartTag: start, Backlogged: ok,
				SaturatesEngines: g.queue.Cost() >= saturationSeconds*float64(len(s.router.Groups[i])),
				PrefillCost:      g.ownPrefillCost, TokenCost: g.ownTokenCost})
		}
	}
	out.Dispatches = append(out.Dispatches, s.peerLog.dispatches...)
	s.peerLog.service = s.peerLog.service[:0]
	clear(s.peerLog.index)
	s.peerLog.dispatches = s.peerLog.dispatches[:0]
	return out
}

// Status returns a snapshot of the members and upstreams that are declared or
// still have requests.
func (s *Scheduler) Status() Status {
	out := Status{Draining: s.draining}
	for i, m := range s.memberStates {
		if !m.declared && m.queued+m.running == 0 {
			continue
		}
		out.Members = append(out.Members, MemberStatus{
			ID: s.members.names[i], Share: m.share, Queued: m.queued, Running: m.running, ServedCost: m.servedCost,
		})
	}
	for i := range s.upstreamStates {
		u, e := &s.upstreamStates[i], &s.router.Engines[i]
		if !u.declared && e.InFlight == 0 {
			continue
		}
		confidence := 0.0
		if s.blocks != nil {
			confidence = s.blocks.Confidence(int32(i))
		}
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: s.upstreams.names[i], Group: e.Group, DataCentre: u.dataCentre, Role: e.Role,
			Incarnation: u.incarnation, Available: u.declared && u.available, Leaving: u.leaving, Held: u.held,
			InFlight: e.InFlight, ReportedAt: e.ReportedAt, Speed: e.CorrectSpeed(s.speeds.InRole(int32(i))), Batch: e.RunningSequences(s.now),
			Backlog: time.Duration(e.Backlog(s.now) * float64(time.Second)), CacheConfidence: confidence,
		})
	}
	return out
}

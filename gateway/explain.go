package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/members"
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/core/shutdown"
	"github.com/bramleywick/bramleywick/explanation"
)

// copy returns a State that decides about a request for a service as s would now,
// at a clock that stands. What is decided and counted there does not change s.
// The caller holds s.mu as long as it uses the copy, which shares the prompt parts
// of engines with s.
func (s *State) copy(group fleet.GroupName) (*State, *placement.Trace) {
	out := &State{
		start: s.start, at: s.now(), instances: s.instances, overload: s.overload.Copy(group), limiter: s.limiter.Copy(group), log: zap.NewNop(),
		shares: s.shares.Copy(group), draw: func() float64 { return explainedDraw }, software: s.software,
	}
	var trace *placement.Trace
	out.fleet, trace = s.fleet.Copy(group, out.at)
	out.fleet.SetPermit(out.permit)
	return out, trace
}

// explainedDraw stands for the random draw by which a request of a member above its
// share is admitted: it is shown as refused if most such requests are.
const explainedDraw = 0.5

// explained is what a copy of the State has decided.
type explained struct {
	trace       *placement.Trace
	views       placement.Views
	chosen      placement.Choice
	prefill     *placement.Choice
	ok          bool
	limit       *explanation.Limit
	estimate    *overload.Estimate
	decision    overload.Decision
	share       fairshare.Decision
	quarantined []string
}

// Explain returns where a described request would go now and why. It changes
// nothing that later requests depend on.
func (g *Gateway) Explain(q explanation.Question) explanation.Answer {
	verdict := g.Freshness()
	table := g.Table()
	id := explanationID()
	out := explanation.Answer{RequestID: string(id), At: time.Now().UTC(), Steps: []explanation.Step{}}
	out.Configuration.Verdict = verdict.String()
	if table == nil {
		out.Decision = refusal(fleet.ReasonConfigUnknown, unknownConfigWait)
		return out
	}
	out.Configuration.Version = table.Version
	p := &proxyRequest{table: table, start: time.Now(), route: table.Lookup(q.Host, q.Path)}
	p.req = call.Request{
		ID: id, Deadline: q.Deadline, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Parts: q.Parts, Member: q.Member,
	}
	if refused := p.explainMember(verdict, &out); refused != nil {
		out.Decision = *refused
		return out
	}
	if p.route == nil {
		out.Decision = refusal(fleet.ReasonNoRoute, 0)
		return out
	}
	p.deadline = p.start.Add(p.timeout())
	p.group = p.route.Service(id)
	p.service = table.Service(p.group)
	out.Service, out.Rank = string(p.group), p.req.Rank
	out.Route = &explanation.Route{
		Name: p.route.Name, Kind: kindNames[p.route.Kind], Public: p.route.Public,
		LatencyTargetMS: explanation.Milliseconds(p.route.LatencyTarget), TimeoutMS: explanation.Milliseconds(p.timeout()),
	}
	if end := g.endsAt.Load(); end != nil && !shutdown.Accepts(p.deadline, *end) {
		out.Decision = refusal(fleet.ReasonDraining, drainingWait)
		return out
	}
	if g.Relay != nil && !g.Links.Direct() {
		if d := g.explainRelay(); d.Result == explanation.Relayed || g.Links.Partitioned() {
			out.Decision = d
			return out
		}
	}
	e := g.explainChoice(p)
	e.fill(&out)
	if len(e.quarantined) > 0 && out.Decision.Note == "" {
		out.Decision.Note = "a part of the prompt is quarantined: unless this request is its trial, it is refused"
	}
	return out
}

var kindNames = map[routes.Kind]string{routes.KindUnsafe: "unsafe", routes.KindSafe: "safe", routes.KindStream: "stream"}

// explanationID returns an ID as callers draw them.
func explanationID() fleet.RequestID {
	var raw [8]byte
	// Read never returns an error.
	_, _ = rand.Read(raw[:])
	return fleet.RequestID("explain-" + hex.EncodeToString(raw[:]))
}

func refusal(reason fleet.Reason, wait time.Duration) explanation.Decision {
	return explanation.Decision{Result: explanation.Refused, Reason: string(reason), RetryAfterMS: explanation.Milliseconds(wait)}
}

// explainMember sets the rank as authenticate does, with the member's name in
// place of its key, and returns the refusal if there is one.
func (p *proxyRequest) explainMember(verdict freshness.Verdict, out *explanation.Answer) *explanation.Decision {
	if p.route != nil {
		p.req.Rank = p.route.Priority
	}
	refuse := func(reason fleet.Reason, wait time.Duration) *explanation.Decision {
		d := refusal(reason, wait)
		return &d
	}
	index := p.table.Members()
	var member *members.Member
	if p.req.Member != "" {
		out.Member = &explanation.Member{}
		if index != nil {
			member, out.Member.Known = index.Named(p.req.Member)
		}
		if member != nil {
			out.Member.Name = string(member.Name)
		}
	}
	if index == nil || (p.route != nil && p.route.Public) {
		return nil
	}
	if verdict == freshness.Outdated {
		return refuse(fleet.ReasonMembersOutdated, outdatedWait)
	}
	if p.req.Member == "" {
		out.Decision.Note = "the route needs a key; without the name of a member its priority is that of the route"
		return nil
	}
	if member == nil || len(member.Keys) == 0 {
		if verdict == freshness.Late {
			return refuse(fleet.ReasonConfigUnknown, outdatedWait)
		}
		return refuse(fleet.ReasonUnknownKey, 0)
	}
	if member.HasRank {
		p.req.Rank = member.Rank
	}
	return nil
}

// explainRelay returns the decision about a request that can't be sent to servers from
// here.
func (g *Gateway) explainRelay() explanation.Decision {
	peers, excluded := g.Relay.PeerCounts()
	if peers == excluded {
		return refusal(fleet.ReasonNoRelay, busyWait)
	}
	return explanation.Decision{
		Result: explanation.Relayed, Reason: causeNoLinks, Priority: noPriority,
		Note: fmt.Sprintf("this instance doesn't reach the servers; %d instances can be asked, %d are left out for a time", peers-excluded, excluded),
	}
}

// explainChoice takes the steps of serve on a copy of the State.
func (g *Gateway) explainChoice(p *proxyRequest) explained {
	s := g.State
	s.mu.Lock()
	defer s.mu.Unlock()
	view, trace := s.copy(p.group)
	options := g.Options
	options.State = view
	p.g = &Gateway{Options: options, budget: g.budget}
	e := explained{trace: trace, views: s.fleet.Views(view.at), quarantined: s.quarantine.Quarantined(quarantine.Parts(p.req.SharedParts(), ""))}
	limits := view.admitWithinLimits(p.group, &p.req)
	if limits.Chance > 0 || !limits.Admit {
		e.limit = &explanation.Limit{Allowed: finite(limits.Allowed), Asked: limits.Asked, Chance: limits.Chance, Share: limits.Share, AgeMS: explanation.Milliseconds(limits.Age)}
	}
	if !limits.Admit {
		e.decision = overload.Decision{Reason: fleet.ReasonServerLimit, RetryAfter: limits.RetryAfter}
		return e
	}
	if p.route.Kind != routes.KindStream || p.service == nil || p.service.Engine == nil || p.req.PromptTokens <= 0 {
		e.chosen, e.ok = view.choosePlain(p.group, p.req.ID, p.allowed())
		e.decision = overload.Decision{Admit: e.ok, Priority: noPriority}
		if p.route.Kind == routes.KindStream {
			e.decision.Priority = p.priority()
		}
	} else {
		p.explainEngines(&e)
	}
	if !e.ok && e.decision.Reason == "" {
		e.decision = withoutServer(e.chosen)
	}
	return e
}

// explainEngines takes the steps of serveEngine up to the first call.
func (p *proxyRequest) explainEngines(e *explained) {
	prefill, direct, split := p.g.State.chooseEngines(p.group, &p.req, p.allowed())
	e.decision.Admit = true
	if prefill.Candidates+direct.Candidates > 0 {
		var estimate overload.Estimate
		e.chosen, estimate, e.decision, e.share = p.decide(prefill, direct, split)
		e.estimate, e.ok = &estimate, true
	}
	if split {
		e.prefill = &prefill
		p.kvSource, p.prefillServer = &call.KVSource{}, prefill.Server
	}
	e.chosen, e.ok = p.chooseDecode(direct, split)
}

// withoutServer returns the decision of failWithoutServer.
func withoutServer(c placement.Choice) overload.Decision {
	if c.Limited > 0 {
		return overload.Decision{Reason: fleet.ReasonServerLimit, RetryAfter: limitWait}
	}
	reason, wait := unavailableReason(c.Unavailable)
	return overload.Decision{Reason: reason, RetryAfter: wait}
}

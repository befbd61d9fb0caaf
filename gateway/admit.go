package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// exceedsEngines refuses a request whose prompt is larger than the memory of any
// engine of its service, and reports whether it did. There is no time after which it
// could be served.
func (p *proxyRequest) exceedsEngines() bool {
	if p.service == nil || p.service.Engine == nil {
		return false
	}
	most := p.service.Engine.KVTokens
	if most <= 0 || p.req.PromptTokens <= most {
		return false
	}
	p.logFields = append(p.logFields, zap.Int("prompt_tokens", p.req.PromptTokens), zap.Int("engine_tokens", most))
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonTooLarge, 0)
	return true
}

// admit reports whether the request is admitted, and refuses it otherwise.
func (p *proxyRequest) admit(prefill, direct placement.Choice, split bool) bool {
	c, e, d, share := p.decide(prefill, direct, split)
	if d.Admit && !d.Late {
		return true
	}
	fields := []zap.Field{
		zap.Duration("expected", c.Wait+c.DecodeWait), zap.Duration("queue", c.Queue), zap.Duration("queue_for_answer", c.DecodeQueue),
		zap.Duration("late_queue", e.LateQueue), zap.Duration("processing", e.Processing), zap.Float64("backlog", e.Backlog),
		zap.Duration("target", e.LatencyTarget), zap.Duration("remaining", e.Remaining), zap.Int("rank", p.req.Rank),
		zap.Int("candidates", c.Candidates), zap.String("server", string(c.Server.ID)), zap.String("choice", string(c.Reason)), zap.Float64("uncached", c.UncachedTokens),
	}
	if d.Admit {
		p.late = true
		p.g.Observer.AdmittedLate()
		p.g.Log.Info("request admitted as late", append(fields, zap.String("request_id", string(p.req.ID)), zap.String("member", string(p.req.Member)), zap.String("route", p.route.Name), zap.Int("priority", d.Priority))...)
		return true
	}
	p.logFields = append(p.logFields, fields...)
	if share.Enforced {
		p.logFields = append(p.logFields, zap.Float64("share", share.Threshold), zap.Float64("rate", share.Rate))
	}
	p.refuse(http.StatusServiceUnavailable, d.Reason, d.RetryAfter)
	return false
}

// decide returns the decision about the request, the choice and the estimate that it
// rests on, and its member's share.
func (p *proxyRequest) decide(prefill, direct placement.Choice, split bool) (placement.Choice, overload.Estimate, overload.Decision, fairshare.Decision) {
	c := direct
	if split {
		c = prefill
	}
	e, d, share := p.g.State.decide(p.group, &p.req, c, p.route.LatencyTarget, min(p.remaining(), patience(p.route)))
	return c, e, d, share
}

const (
	// Callers leave a stream after a gap of the longest of minPatience,
	// targetPatience latency targets and gapPatience targets for the gap between
	// events, also before its first event.
	minPatience    = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
)

// patience returns how long a caller waits for the first event of a stream.
func patience(r *routes.Route) time.Duration {
	return max(minPatience, targetPatience*r.LatencyTarget, gapPatience*r.TokenGapTarget)
}

// decide admits or rejects a request for an engine by the choice made for it and
// the recent rejection rates, and counts it as demand. A request of a member above
// its share may be rejected before, so that it does not count for the order of ranks.
// decide also returns the estimate and the member's share behind the decision.
func (s *State) decide(group fleet.GroupName, r *call.Request, c placement.Choice, target, remaining time.Duration) (overload.Estimate, overload.Decision, fairshare.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := c.Queue + c.DecodeQueue
	e := overload.Estimate{
		Queue: queue, LateQueue: c.LateQueue + c.DecodeLateQueue, Processing: c.Wait + c.DecodeWait - queue,
		Backlog: max(c.Backlog, c.DecodeBacklog), LatencyTarget: target, Remaining: remaining,
	}
	now := s.now()
	cost := requestCost(r, c.UncachedTokens)
	share := s.shares.Admit(group, r.Member, cost, s.draw(), now)
	e.BelowShare = share.Enforced && !share.Above
	d := overload.Decision{Reason: fleet.ReasonShareUsedUp, RetryAfter: overload.RetryAfter(0, 1-share.Probability)}
	if share.Admit {
		d = s.overload.Decide(group, r, e, now)
		s.countShare(group, r.Member, cost, d, now)
	}
	s.fleet.RecordDemand(group, placement.Arrival{
		Request: r, Uncached: c.UncachedTokens, PrefillQueue: c.Queue, DecodeQueue: c.DecodeQueue, LatencyTarget: target, Admitted: d.Admit,
	}, now)
	return e, d, share
}

// priority returns the request's priority at engines.
func (p *proxyRequest) priority() int { return overload.Priority(p.req.Rank, p.late) }

// asSent returns a choice with the estimates for the request's priority.
func (p *proxyRequest) asSent(c placement.Choice) placement.Choice {
	if p.late {
		return c.AsLate()
	}
	return c
}

// learnPrefill learns from the time that a prompt took. That of a late request
// holds the work that has overtaken it.
func (p *proxyRequest) learnPrefill(c placement.Choice, took time.Duration) {
	if !p.late {
		p.g.State.learnPrefill(c, took)
	}
}

// workRank returns the rank under which the request's work counts.
func (p *proxyRequest) workRank() int {
	if p.late {
		return placement.LateRank
	}
	return p.req.Rank
}

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/ratelimit"
)

// withinLimits reports whether the request is admitted as far as the limits that
// servers name are concerned, and refuses it otherwise.
func (p *proxyRequest) withinLimits() bool {
	d := p.g.State.admitWithinLimits(p.group, &p.req)
	if d.Admit {
		return true
	}
	p.logFields = append(p.logFields, zap.Float64("allowed", d.Allowed), zap.Float64("asked", d.Asked), zap.Float64("chance", d.Chance),
		zap.Float64("share", d.Share), zap.Duration("limit_age", d.Age), zap.Int("rank", p.req.Rank))
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonServerLimit, d.RetryAfter)
	return false
}

// failWithoutServer answers a request for which no server was chosen; c holds the
// number of servers that were passed over because of their limit.
func (p *proxyRequest) failWithoutServer(c placement.Choice) {
	if c.Limited == 0 {
		u := c.Unavailable
		if p.software == nil {
			// A version at which streams may not begin yet is recorded in a moment.
			u.OtherVersions = 0
		}
		reason, wait := unavailableReason(u)
		p.logFields = append(p.logFields, zap.Int("leaving", c.Unavailable.Leaving), zap.Int("paused", c.Unavailable.Paused), zap.Int("others", c.Unavailable.Others), zap.Int("other_versions", c.Unavailable.OtherVersions), zap.Stringp("software", p.software))
		p.fail(reason, wait)
		return
	}
	p.logFields = append(p.logFields, zap.Int("limited_servers", c.Limited), zap.Int("rank", p.req.Rank))
	p.fail(fleet.ReasonServerLimit, limitWait)
}

// limitWait is the Retry-After of a request that was admitted and found all that
// is granted of the limits used up.
const limitWait = 300 * time.Millisecond

func (s *State) admitWithinLimits(group fleet.GroupName, r *call.Request) ratelimit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	defer s.limiter.CountRequest(group, r.Rank, r.PromptTokens, now)
	if !s.limiter.Active(now) {
		return ratelimit.Decision{Admit: true}
	}
	prefill, others := s.fleet.Processes(group, now)
	d := s.limiter.Admit(group, r.Rank, r.ID, [][]fleet.Process{prefill, others}, now)
	if !d.Admit && r.PromptTokens > 0 {
		s.fleet.RecordDemand(group, placement.Arrival{Request: r, Uncached: r.UnsharedTokens()}, now)
	}
	return d
}

// answerHeard records what a server's answer says of its limit; the request was
// sent at the given time.
func (s *State) answerHeard(server placement.Server, named *call.RateLimit, sent time.Time) {
	s.mu.Lock()
	defer s.unlockAndLog()
	switch now := s.now(); {
	case named == nil:
		s.limiter.Unnamed(server.Process(), sent.Sub(s.start), now)
	case !named.Unreadable:
		s.limiter.Named(server.Process(), named.PerSecond, now)
	}
}

// take chooses a server and takes the request of its limit. Where no other server
// is open, a small request gets what is left to large ones.
func (s *State) take(group fleet.GroupName, tokens int, choose func() (placement.Choice, bool)) (placement.Choice, bool) {
	s.large = s.limiter.IsLarge(group, tokens)
	c, ok := choose()
	if !ok && !s.large && s.fleet.Limited() > 0 {
		s.large = true
		c, ok = choose()
	}
	if !ok {
		return placement.Choice{Limited: s.fleet.Limited(), Unavailable: s.fleet.Unavailable()}, false
	}
	s.limiter.Take(c.Server.Process(), s.now())
	return c, true
}

// Limits implements loadshare.View.
func (s *State) Limits(to fleet.InstanceID, include func(fleet.InstanceID) bool) ratelimit.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.ReportFor(to, include, s.now())
}

// LimitCounts returns the number of limits in force and the sum of their rates.
func (s *State) LimitCounts() (limits int, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Counts(s.now())
}

// logLimit logs a change of belief about a server's limit.
func logLimit(log *zap.Logger, c ratelimit.Change) {
	switch c := c.(type) {
	case ratelimit.LimitNamed:
		log.Info("server names a limit", zap.String("server", string(c.Process.Server)), zap.Int64("born", c.Process.StartTime),
			zap.Float64("limit", c.PerSecond), zap.Float64("before", c.Before), zap.Duration("age", c.Age), zap.Bool("reported", c.Reported))
	case ratelimit.LimitEnded:
		log.Info("server no longer names a limit", zap.String("server", string(c.Process.Server)), zap.Int64("born", c.Process.StartTime),
			zap.Float64("limit", c.PerSecond), zap.Duration("last_named", c.LastNamed), zap.Bool("reported", c.Reported))
	}
}

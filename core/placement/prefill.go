package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

const (
	// duplicateShare is the cost of prefilling a shared part away from its
	// home, as a share of its prefill time: the duplicate takes memory from
	// other parts.
	duplicateShare = 0.6
	// crowdedWait is the mean wait of the engines that adds one more prefill
	// time to the cost of a duplicate.
	crowdedWait = 80 * time.Millisecond
	// peerPrefillTime is the time from another instance's report that it has
	// sent a part to an engine until the part is assumed to be prefilled: the
	// longest queue that admission allows at the usual latency targets, plus
	// the prefill itself.
	peerPrefillTime = 900 * time.Millisecond
	// copyOverhead is the fixed time of a copy between engines, and copyShare
	// the cost of a copied shared part as a share of its prefill time: it takes
	// memory from other parts.
	copyOverhead = 5 * time.Millisecond
	copyShare    = 0.3
	// minCopyTokens is the least number of tokens that are copied: an engine at
	// 100 tokens per millisecond prefills fewer in about copyOverhead.
	minCopyTokens = 512
)

// ChoosePrefill chooses an engine at the prefill stage for a prompt. It returns
// false when there is no candidate.
func (f *Fleet) ChoosePrefill(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	f.trace.begin(StepPrefill)
	return f.chooseByPrefillTime(group, r, now, skip, isPrefill, 1)
}

// ChooseDirect chooses an engine outside the prefill stage that runs both
// prefill and decode. It returns false when there is no candidate.
func (f *Fleet) ChooseDirect(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	f.trace.begin(StepDirect)
	return f.chooseByPrefillTime(group, r, now, skip, func(s *server) bool { return !isPrefill(s) }, decodeSlowdown)
}

// chooseByPrefillTime chooses the engine with the lowest score: the estimated
// time until prefill ends plus the costs of duplicates and of other data
// centres. slowdown divides the engines' prefill speed.
func (f *Fleet) chooseByPrefillTime(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID, match func(*server) bool, slowdown float64) (Choice, bool) {
	list := f.usable(group, now, skip, match)
	part, shared := sharedPart(r)
	homeServer := home(part, list)
	if len(list) > maxScored {
		list = sample(list, r.ID, maxScored, func(s *server) bool { return s == homeServer || s.cache.holds(part) })
	}
	duplicateCost := f.duplicateCost(list, slowdown, now)
	sources := f.sources(group, r, now)
	candidates := len(list)
	age := f.viewAge(now)
	unseen := f.othersDemand(group, now).Requests * age.Seconds()
	if n := max(int(float64(len(list))/(1+unseen)), minScored); len(list) > n {
		list = sample(list, r.ID, n, func(s *server) bool { return s == homeServer || s.cache.holds(part) })
	}
	var best Choice
	var bestScore time.Duration
	for _, s := range list {
		work := s.totalWork(now)
		speed := s.speed / (slowdown * s.pressure.factor(now))
		uncached := s.cache.uncachedTokens(r)
		tokensAhead := work.tokensAhead(r.Rank)
		c := Choice{Server: s.Server, Reason: ReasonLeastWait, Queue: prefillTime(tokensAhead, speed), LateQueue: prefillTime(work.tokensAhead(LateRank), speed), Backlog: backlog(float64(work.Runs), s.Slots), Pressure: s.pressure.factor(now), UncachedTokens: uncached, TokensAhead: tokensAhead, Candidates: candidates, ViewAge: age, Unseen: unseen}
		c.Wait = c.Queue + prefillTime(uncached, speed)
		cost := time.Duration(jitter(r.ID, s) * float64(2*time.Millisecond))
		holds := s.cache.holds(part)
		cached := float64(r.PromptTokens) - uncached
		if from, took, ok := f.bestSource(group, sources, s, cached, speed); ok {
			c.CopyFrom, c.CopiedTokens = from.Server, from.tokens-cached
			c.UncachedTokens -= c.CopiedTokens
			c.Wait = c.Queue + took + prefillTime(c.UncachedTokens, speed)
		}
		switch {
		case s == homeServer:
			c.Reason = ReasonHome
		case holds:
			c.Reason = ReasonCached
		case c.CopiedTokens > 0:
			c.Reason = ReasonCopy
			cost += time.Duration(copyShare * float64(prefillTime(shared, speed)))
		default:
			cost += time.Duration(float64(prefillTime(shared, speed)) * duplicateCost)
		}
		if s.DataCentre != f.config.DataCentre {
			cost += crossCentrePenalty
		}
		if f.trace != nil {
			f.trace.score(c, c.Wait+cost)
		}
		if best.Candidates == 0 || c.Wait+cost < bestScore {
			bestScore, best = c.Wait+cost, c
		}
	}
	best.Reason = reasonFor(candidates, best.Reason)
	if f.trace != nil {
		f.trace.end(best.Server.ID)
	}
	return best, best.Candidates > 0
}

// maxScored is how many engines are scored for one request. More make the
// choice expensive and hardly better; the home and the engines with the shared
// part cached are always scored too.
const maxScored = 96

// minScored is how many engines besides the home and those with the shared part
// cached are scored at least. Where other instances send many prompts between
// two reports, scoring few engines that depend on the request keeps all
// instances from taking the same one (the power of d choices; Mitzenmacher, How
// Useful Is Old Information, 2000).
const minScored = 3

// sample returns n engines, starting at a position that depends on the request,
// and all other engines for which always returns true.
func sample(list []*server, id fleet.RequestID, n int, always func(*server) bool) []*server {
	out := make([]*server, 0, n+8)
	begin := int(membership.Hash(string(id)) % uint64(len(list)))
	for i := range list {
		s := list[(begin+i)%len(list)]
		if i < n || always(s) {
			out = append(out, s)
		}
	}
	return out
}

// source is an engine and the number of leading prompt tokens that can be
// copied from it.
type source struct {
	*server
	tokens float64
}

// sources returns the engines with the longest copyable prefix of the prompt,
// or none when that is shorter than minCopyTokens.
func (f *Fleet) sources(group fleet.GroupName, r *call.Request, now fleet.Instant) []source {
	var out []source
	most := 0.0
	for _, s := range f.groups[group] {
		if s.Leaving || !s.available || isDecode(s) || f.isHeld(s.ID, now) || (!isPrefill(s) && !f.versionFits(s)) {
			continue
		}
		tokens := s.cache.copyableTokens(r, now)
		if tokens < minCopyTokens || tokens < most {
			continue
		}
		if tokens > most {
			out, most = out[:0], tokens
		}
		out = append(out, source{s, tokens})
	}
	return out
}

// bestSource returns the source in list from which the engine "to" can copy its
// missing tokens in the least time, and that time; ok is false when no copy is
// faster than prefill. cached is the number of leading tokens that the engine
// "to" has itself, and speed its prefill speed in tokens per millisecond.
func (f *Fleet) bestSource(group fleet.GroupName, list []source, to *server, cached, speed float64) (best source, took time.Duration, ok bool) {
	for _, s := range list {
		missing := s.tokens - cached
		if s.server == to || missing < minCopyTokens {
			continue
		}
		t, possible := f.transferTime(group, missing)
		if !possible {
			return source{}, 0, false
		}
		t = transferBetween(t, s.DataCentre, to.DataCentre) + copyOverhead
		if t < prefillTime(missing, speed) && (!ok || t < took) {
			best, took, ok = s, t, true
		}
	}
	return best, took, ok
}

// duplicateCost returns the cost of prefilling a shared part away from its
// home, besides the wait, as a share of its prefill time. It grows with the
// mean queue: while nothing waits, a duplicate only takes memory, at the peak
// it delays every request behind it. The first prefill of a part costs the
// same, because instances that disagree on its home would each run it.
func (f *Fleet) duplicateCost(list []*server, slowdown float64, now fleet.Instant) float64 {
	tokens, speed := 0.0, 0.0
	for _, s := range list {
		tokens += s.totalWork(now).tokensAhead(NumRanks - 1)
		speed += s.speed / slowdown
	}
	if speed == 0 {
		return 0
	}
	return duplicateShare + float64(prefillTime(tokens, speed))/float64(crowdedWait)
}

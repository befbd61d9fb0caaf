package route

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Reason names the rule that decided a choice.
type Reason string

// Reasons of choices.
const (
	// ReasonCachedPrefix means that the engine holds a large part of the prompt
	// in its KV cache.
	ReasonCachedPrefix Reason = "cached_prefix"
	// ReasonLeastWork means that all targets are expected to be met and the
	// engine adds the least work.
	ReasonLeastWork Reason = "least_work"
	// ReasonLeastLate means that no engine is expected to meet the targets.
	ReasonLeastLate Reason = "least_late"
	// ReasonSplit means that prefill and decode on different engines score
	// better than on one.
	ReasonSplit Reason = "split_roles"
	// ReasonOffRole means that the engine works outside its role.
	ReasonOffRole Reason = "off_role"
	// ReasonFallback means that the prefill engine of a split request failed,
	// so that the decode engine also prefills.
	ReasonFallback Reason = "fallback_local"
	// ReasonService means that the plain service has the least expected work.
	ReasonService Reason = "least_expected_work"
)

const (
	// maxReportAge bounds the report age, in seconds, that widens the random
	// perturbation of scores.
	maxReportAge = 2.0
	// plannedTargetShare is the share of a first-token target that is planned
	// for. The rest covers errors of the estimates.
	plannedTargetShare = 0.8
	// lateWeight is the score of missing a target by its whole length. Scores
	// are in units of the work of a mean request, so the targets dominate.
	lateWeight = 8.0
	// baseSpread and ageSpread scale the random perturbation of scores: a
	// constant part and a part per second of report age, in units of the work
	// of a mean request. Without it, instances that share an old report would
	// all pick the same engine.
	baseSpread = 0.02
	ageSpread  = 0.10
	// remotePenalty is added to the score of engines in other data centres, so
	// that the instance's own data centre is preferred in near ties only.
	remotePenalty = 0.05
	// remoteRoundTrip is the additional round trip to another data centre, in
	// seconds.
	remoteRoundTrip = 0.003
	// avoidPenalty puts an engine that has just failed the request last.
	avoidPenalty = 1e6
	// kvPenalty puts engines without room for the request's KV cache behind
	// those with room.
	kvPenalty = 20.0
	// minCachedShare is the cached share of a prompt from which the reason of a
	// choice is ReasonCachedPrefix.
	minCachedShare = 0.3
)

// Query describes one request to route.
type Query struct {
	// Group is an index of Router.Groups.
	Group int32
	// Prompt and Output are the predicted numbers of tokens.
	Prompt, Output float64
	// CachedBlocks is the number of leading prompt blocks that each engine
	// caches, or nil. BlockTokens is the size of a block, CacheConfidence
	// returns how far an engine's entry can be relied on, 0 to 1. CacheHolders
	// lists the engines with any cached block, of all groups.
	CachedBlocks    []uint16
	CacheHolders    []int32
	BlockTokens     float64
	CacheConfidence func(engine int32) float64
	// FirstTokenTarget is the remaining part of the first-token target and
	// TokenGapTarget the token gap target, in seconds. Zero means no target; a
	// negative FirstTokenTarget means that it has been missed.
	FirstTokenTarget, TokenGapTarget float64
	// MaxPrefillWait is the longest acceptable wait in the prefill queue, in
	// seconds. Zero means no limit.
	MaxPrefillWait float64
	// IdleOnly restricts the choice to engines without streams and without a
	// prefill queue.
	IdleOnly bool
	// AvoidEngine is the engine that has just failed the request, or None.
	AvoidEngine int32
	// OnlyEngine is the only engine that may be chosen, or None.
	OnlyEngine int32
	// NoSplit excludes prefill and decode on different engines. IgnoreTargets
	// drops the score for missed targets.
	NoSplit, IgnoreTargets bool
}

// Choice is the result of Pick.
type Choice struct {
	// Engine runs the request. If PrefillEngine is not None, the request is
	// split: PrefillEngine prefills it and Engine decodes it.
	Engine        int32
	PrefillEngine int32
	Reason        Reason
	// FirstToken and Gap are the expected time to the first token and token
	// gap, in seconds. PrefillWait is the part of FirstToken that is spent in
	// the prefill queue.
	FirstToken, TokenGap, PrefillWait float64
	// UncachedTokens is the predicted number of tokens to prefill, CachedTokens the
	// number of cached ones.
	UncachedTokens, CachedTokens float64
	// PrefillSeconds is the time that the prefill takes at the engine that runs
	// it, without the wait.
	PrefillSeconds float64
	// Fits reports whether the streams on Engine keep their token gap targets
	// and the prefill queue is short enough.
	Fits bool
}

// Router holds the estimated state of all upstreams of an instance. It is not
// safe for concurrent use.
type Router struct {
	Engines []Engine
	// Groups lists the engine indices per group.
	Groups [][]int32
	// TransferPerToken is the time in seconds to move the KV cache of one
	// prompt token between engines.
	TransferPerToken float64
	rng              uint64
	prices           []cachedPrices
	// peerUpdates lists the times in the last exchange period at which peers'
	// dispatches arrived, peersKnownAt is their mean.
	peerUpdates  []fleet.Instant
	peersKnownAt fleet.Instant
}

// New returns a router whose random perturbation is derived from seed.
func New(seed uint64) *Router {
	return &Router{TransferPerToken: 5e-6, rng: seed*0x9e3779b97f4a7c15 + 1}
}

// gumbelNoise is a table of Gumbel quantiles. The minimum of scores minus
// scaled Gumbel noise is a random choice with probability proportional to
// exp(-score/scale), so that near ties are spread and clear differences decide.
var gumbelNoise = func() [256]float64 {
	var t [256]float64
	for i := range t {
		t[i] = -math.Log(-math.Log((float64(i) + 0.5) / 256))
	}
	return t
}()

// nextRandom returns the next number of a SplitMix64 generator.
func (r *Router) nextRandom() uint64 {
	r.rng += 0x9e3779b97f4a7c15
	z := r.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// candidate is the best engine so far for one way to run a request.
type candidate struct {
	engine int32
	score  float64
}

// offer makes the engine the best one if its score is lower.
func (c *candidate) offer(engine int32, score float64) {
	if score < c.score {
		c.engine, c.score = engine, score
	}
}

// maxCandidates bounds the engines that are scored per choice. The largest
// region at the size planned for in two years has 284 engines. In a larger
// group, a random window of this size together with the engines that cache a
// prefix gives choices as good as scoring all.
const maxCandidates = 288

// search holds the parameters and the best candidates of one choice: local runs
// the whole request, prefill and decode each run one part of a split request.
type search struct {
	now                    fleet.Instant
	q                      *Query
	prices                 *rolePrices
	meanWork               float64 // seconds, the unit of scores
	local, prefill, decode candidate
	splitPossible          bool // whether any engine has a role other than mixed
}

// Pick returns how and on which engines a request runs. It returns false if no
// engine of the group is usable.
func (r *Router) Pick(now fleet.Instant, q *Query) (Choice, bool) {
	engines := r.Groups[q.Group]
	prices := r.pricesOf(now, q)
	none := candidate{None, math.Inf(1)}
	s := search{now: now, q: q, meanWork: math.Max(q.Prompt*prices.secondsPerPromptToken+q.Output*prices.secondsPerOutputToken, minMeanWork), prices: prices, local: none, prefill: none, decode: none}
	r.scoreGroup(&s, engines)
	if s.local.engine == None {
		return Choice{Engine: None, PrefillEngine: None}, false
	}
	c := r.localChoice(now, q, s.local.engine)
	if s.splitPossible && s.prefill.engine != None && s.decode.engine != None && s.prefill.engine != s.decode.engine &&
		s.prefill.score+s.decode.score < s.local.score {
		c = r.splitChoice(now, q, s.prefill.engine, s.decode.engine)
	}
	c.Reason = r.reason(q, &c)
	return c, true
}

// scoreGroup scores the engines of a group. Of a group larger than
// maxCandidates, it scores a random window and the engines that cache a prefix.
func (r *Router) scoreGroup(s *search, engines []int32) {
	if len(engines) <= maxCandidates || s.q.OnlyEngine != None {
		for _, i := range engines {
			r.scoreEngine(s, i)
		}
		return
	}
	start := int(r.nextRandom() % uint64(len(engines)))
	for k := start; k < len(engines); k++ {
		if k == start+maxCandidates && s.local.engine != None {
			break
		}
		r.scoreEngine(s, engines[k])
	}
	for k := 0; k < start && (k < start+maxCandidates-len(engines) || s.local.engine == None); k++ {
		r.scoreEngine(s, engines[k])
	}
	group := r.Engines[engines[0]].Group
	for _, i := range s.q.CacheHolders {
		if r.Engines[i].Group == group {
			r.scoreEngine(s, i)
		}
	}
}

// scoreEngine scores an engine for each part of the request that it may run and
// keeps it where it is the best so far.
func (r *Router) scoreEngine(s *search, i int32) {
	e, q := &r.Engines[i], s.q
	if !e.Usable || (q.OnlyEngine != None && q.OnlyEngine != i) {
		return
	}
	x := r.assess(s.now, q, e, i)
	perturbation := (baseSpread + ageSpread*e.ReportAge(s.now)) * gumbelNoise[r.nextRandom()&255]
	s.local.offer(i, x.localScore(q, e, s.prices, s.meanWork)-perturbation)
	if q.NoSplit || q.OnlyEngine != None {
		return
	}
	s.splitPossible = s.splitPossible || e.Role != fleet.RoleMixed
	if e.Role != fleet.RoleDecode {
		s.prefill.offer(i, x.prefillScore(q, e, s.prices, s.meanWork, r.TransferPerToken)-perturbation)
	}
	if e.Role != fleet.RolePrefill {
		s.decode.offer(i, x.decodeScore(q, e, s.prices, s.meanWork)-perturbation)
	}
}

// minMeanWork is a lower bound of the work of a mean request in seconds, the
// unit of scores.
const minMeanWork = 1e-4

// uncached returns the predicted numbers of tokens to prefill and of cached
// tokens at an engine.
func (r *Router) uncached(q *Query, i int32) (uncached, cached float64) {
	if q.CachedBlocks == nil {
		return q.Prompt, 0
	}
	cached = float64(q.CachedBlocks[i]) * q.BlockTokens
	if cached > 0 && q.CacheConfidence != nil {
		cached *= q.CacheConfidence(i)
	}
	cached = math.Min(cached, q.Prompt)
	return q.Prompt - cached, cached
}

func (r *Router) localChoice(now fleet.Instant, q *Query, i int32) Choice {
	x := r.assess(now, q, &r.Engines[i], i)
	return Choice{
		Engine: i, PrefillEngine: None, FirstToken: x.firstToken + x.gap, TokenGap: x.gap, PrefillWait: x.prefillWait,
		UncachedTokens: x.uncached, CachedTokens: x.cached, PrefillSeconds: x.prefillSeconds, Fits: x.gapAccepted && x.waitAccepted,
	}
}

func (r *Router) splitChoice(now fleet.Instant, q *Query, prefill, decode int32) Choice {
	p := r.assess(now, q, &r.Engines[prefill], prefill)
	d := r.assess(now, q, &r.Engines[decode], decode)
	return Choice{
		Engine: decode, PrefillEngine: prefill, TokenGap: d.gap, PrefillWait: p.prefillWait,
		FirstToken:     p.firstToken + q.Prompt*r.TransferPerToken + d.gap + r.Engines[decode].networkSeconds(),
		UncachedTokens: p.uncached, CachedTokens: p.cached, PrefillSeconds: p.prefillSeconds, Fits: p.waitAccepted && d.gapAccepted,
	}
}

func (r *Router) reason(q *Query, c *Choice) Reason {
	switch {
	case q.OnlyEngine != None:
		return ReasonFallback
	case c.CachedTokens > minCachedShare*q.Prompt:
		return ReasonCachedPrefix
	case lateness(q, c.FirstToken*plannedTargetShare, c.TokenGap) > 0:
		return ReasonLeastLate
	case c.PrefillEngine != None:
		return ReasonSplit
	case r.Engines[c.Engine].Role != fleet.RoleMixed:
		return ReasonOffRole
	}
	return ReasonLeastWork
}

// PickService returns the index of the plain service with the least expected
// work, or None and false if none is usable. The service avoid, which has just
// failed the request, is chosen only if there is no other; None avoids none.
func (r *Router) PickService(group, avoid int32) (int32, bool) {
	best, bestScore := None, math.Inf(1)
	for _, i := range r.Groups[group] {
		e := &r.Engines[i]
		if !e.Usable {
			continue
		}
		calls := math.Max(float64(e.InFlight), e.batch)
		score := (calls + 1) * math.Max(e.ServiceTime, 1e-3)
		if !e.SameDataCentre {
			score += remoteRoundTrip
		}
		if i == avoid {
			score += avoidPenalty
		}
		score *= 1 + baseSpread*float64(r.nextRandom()&255)/256
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best != None
}

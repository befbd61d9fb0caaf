package route

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Reason names the rule that decided a choice.
type Reason string

// Reasons of choices.
const (
	// ReasonCachedPrefix: the engine holds a large part of the prompt.
	ReasonCachedPrefix Reason = "cached_prefix"
	// ReasonLeastWork: all targets are expected to be met; the engine adds the
	// least work.
	ReasonLeastWork Reason = "least_work"
	// ReasonLeastLate: no engine is expected to meet the targets.
	ReasonLeastLate Reason = "least_late"
	// ReasonSplit: prefill and decode on different engines is better.
	ReasonSplit Reason = "split_roles"
	// ReasonOffRole: the engine works outside its role.
	ReasonOffRole Reason = "off_role"
	// ReasonFallback: the prefill engine of a split request failed.
	ReasonFallback Reason = "fallback_local"
	// ReasonService: the plain service with the least expected work.
	ReasonService Reason = "least_expected_work"
)

const (
	// maxAge bounds the uncertainty that a missing report adds, in seconds.
	maxAge = 2.0
	// targetMargin is the part of a target that is planned for; the rest
	// covers errors of the estimates.
	targetMargin = 0.8
	// lateWeight is the score of missing a target by its whole length, in
	// mean requests' work. It puts targets before work.
	lateWeight = 8.0
	// baseSpread and ageSpread are the width of the perturbation of scores,
	// in mean requests' work, without and per second of report age. Instances
	// that share one old report would otherwise pick the same engine.
	baseSpread = 0.02
	ageSpread  = 0.10
	// remotePenalty is added to the score of engines in other data centres,
	// so that home is preferred in near ties only.
	remotePenalty = 0.05
	// remoteSeconds is the added round trip to another data centre.
	remoteSeconds = 0.003
	// avoidPenalty puts an engine that just failed the request last.
	avoidPenalty = 1e6
	// kvPenalty puts engines without room for the request's KV cache behind
	// those with room.
	kvPenalty = 20.0
	// prefixShare is the cached part of a prompt from which a choice is
	// explained by the cache.
	prefixShare = 0.3
)

// Query is one request to route.
type Query struct {
	Group int32
	// Prompt and Output are predicted tokens.
	Prompt, Output float64
	// CachedBlocks is the number of leading prompt blocks per engine, or nil;
	// BlockTokens is the size of a block and Trust the confidence per engine.
	// Holders lists the engines with any cached block, of all groups.
	CachedBlocks    []uint16
	CacheHolders    []int32
	BlockTokens     float64
	CacheConfidence func(engine int32) float64
	// FirstTokenTarget is what is left of the first-token target, Gap the token gap
	// target, in seconds; zero means no target.
	FirstTokenTarget, TokenGapTarget float64
	// MaxPrefillWait is the longest acceptable prefill queue in seconds; zero means any.
	MaxPrefillWait float64
	// IdleOnly restricts the choice to engines without streams and without a
	// prefill queue.
	IdleOnly bool
	// AvoidEngine is an engine that just failed the request, or None.
	AvoidEngine int32
	// OnlyEngine restricts the choice to one engine, or None.
	OnlyEngine int32
	// NoSplit and NoSlack disable the split path and the target terms.
	NoSplit, IgnoreTargets bool
}

// Choice is the outcome of Pick.
type Choice struct {
	Engine        int32
	PrefillEngine int32 // None unless the request is split
	Reason        Reason
	// FirstToken and Gap are the expected seconds; Wait is the part of the
	// first token time spent behind other prefills.
	FirstToken, Gap, PrefillWait float64
	// Uncached is the predicted tokens to prefill, CachedTokens the rest.
	Uncached, CachedTokens float64
	// PrefillSeconds is the prefill work at the engine that prefills.
	PrefillSeconds float64
	// Fits tells that the streams on the target keep their token gap and that
	// the prefill queue is short enough.
	Fits bool
}

// Router holds the state of all upstreams of an instance.
type Router struct {
	Engines []Engine
	// Groups lists the engine indices per group.
	Groups [][]int32
	// TransferPerToken is the seconds to move one prompt token's KV cache.
	TransferPerToken float64
	rng              uint64
	markets          []cachedMarket
	// heard lists when peers' dispatches were learned in the last exchange
	// period, peersAt is the mean of these times.
	heard   []fleet.Instant
	peersAt fleet.Instant
}

// New returns a router whose perturbation is derived from seed.
func New(seed uint64) *Router {
	return &Router{TransferPerToken: 5e-6, rng: seed*0x9e3779b97f4a7c15 + 1}
}

// noise is a table of Gumbel quantiles: the minimum of scores minus scaled
// Gumbel noise is a random choice with probability proportional to
// exp(-score/scale), so near ties spread and clear differences hold.
var noise = func() [256]float64 {
	var t [256]float64
	for i := range t {
		t[i] = -math.Log(-math.Log((float64(i) + 0.5) / 256))
	}
	return t
}()

func (r *Router) random() uint64 {
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

func (c *candidate) offer(engine int32, score float64) {
	if score < c.score {
		c.engine, c.score = engine, score
	}
}

// maxCandidates bounds the engines assessed per choice. The largest region at
// the two-year size has 284; in a larger group a random window of this size and
// the engines that hold a prefix are as good as all.
const maxCandidates = 288

// scan collects the best candidates of one choice.
type scan struct {
	now                    fleet.Instant
	q                      *Query
	market                 *market
	unit                   float64
	local, prefill, decode candidate
	split                  bool
}

// Pick chooses the path and engines of a request; ok is false when no engine
// of the group is usable.
func (r *Router) Pick(now fleet.Instant, q *Query) (Choice, bool) {
	members := r.Groups[q.Group]
	m := r.marketOf(now, q)
	none := candidate{None, math.Inf(1)}
	s := scan{now: now, q: q, unit: math.Max(q.Prompt*m.prefill+q.Output*m.token, minUnit), market: m, local: none, prefill: none, decode: none}
	r.scan(&s, members)
	if s.local.engine == None {
		return Choice{Engine: None, PrefillEngine: None}, false
	}
	c := r.localChoice(now, q, s.local.engine)
	if s.split && s.prefill.engine != None && s.decode.engine != None && s.prefill.engine != s.decode.engine &&
		s.prefill.score+s.decode.score < s.local.score {
		c = r.splitChoice(now, q, s.prefill.engine, s.decode.engine)
	}
	c.Reason = r.reason(q, &c)
	return c, true
}

func (r *Router) scan(s *scan, members []int32) {
	if len(members) <= maxCandidates || s.q.OnlyEngine != None {
		for _, i := range members {
			r.consider(s, i)
		}
		return
	}
	start := int(r.random() % uint64(len(members)))
	for k := start; k < len(members); k++ {
		if k == start+maxCandidates && s.local.engine != None {
			break
		}
		r.consider(s, members[k])
	}
	for k := 0; k < start && (k < start+maxCandidates-len(members) || s.local.engine == None); k++ {
		r.consider(s, members[k])
	}
	group := r.Engines[members[0]].Group
	for _, i := range s.q.CacheHolders {
		if r.Engines[i].Group == group {
			r.consider(s, i)
		}
	}
}

func (r *Router) consider(s *scan, i int32) {
	e, q := &r.Engines[i], s.q
	if !e.Usable || (q.OnlyEngine != None && q.OnlyEngine != i) {
		return
	}
	x := r.assess(s.now, q, e, i)
	spread := (baseSpread + ageSpread*e.ReportAge(s.now)) * noise[r.random()&255]
	s.local.offer(i, x.localScore(q, e, s.market, s.unit)-spread)
	if q.NoSplit || q.OnlyEngine != None {
		return
	}
	s.split = s.split || e.Role != fleet.RoleMixed
	if e.Role != fleet.RoleDecode {
		s.prefill.offer(i, x.prefillScore(q, e, s.market, s.unit, r.TransferPerToken)-spread)
	}
	if e.Role != fleet.RolePrefill {
		s.decode.offer(i, x.decodeScore(q, e, s.market, s.unit)-spread)
	}
}

// minUnit bounds the seconds of a mean request, to which scores are related.
const minUnit = 1e-4

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

// late returns how far expected times exceed the planned part of the targets;
// tail is the gap that gapQuantile of the gaps are expected to stay within.
func late(q *Query, first, tail float64) float64 {
	if q.IgnoreTargets {
		return 0
	}
	out := 0.0
	if q.FirstTokenTarget > 0 {
		out += math.Max(first/q.FirstTokenTarget-targetMargin, 0)
	} else if q.FirstTokenTarget < 0 {
		out += 1 + first
	}
	if q.TokenGapTarget > 0 {
		out += math.Max(tail/q.TokenGapTarget-1, 0)
	}
	return out
}

func (e *Engine) penalty(q *Query, i int32) float64 {
	p := 0.0
	if !e.SameDataCentre {
		p += remotePenalty
	}
	if i == q.AvoidEngine {
		p += avoidPenalty
	}
	if e.kvCapacity > 0 && e.kvUsed+q.Prompt+q.Output > e.kvCapacity {
		p += kvPenalty
	}
	return p
}

func (e *Engine) hop() float64 {
	if e.SameDataCentre {
		return 0
	}
	return remoteSeconds
}

// fits tells that one more sequence keeps the streams on the engine and the
// request itself within the token gap target. The target holds for 95 in 100
// gaps: of the answers on an engine whose mean gap is at the target, nine in ten
// are late. An engine without streams always fits, so that no engine is excluded
// by a wrong estimate for good.
func (e *Engine) fits(now fleet.Instant, q *Query, gap float64) bool {
	if e.RunningSequences(now) < 1 {
		return true
	}
	if q.IdleOnly {
		return false
	}
	target := q.TokenGapTarget
	if e.Decoding > 0 && e.tightestGap > 0 && (target <= 0 || e.tightestGap < target) {
		target = e.tightestGap
	}
	// From here on the target is one for the mean gap.
	target /= e.tail()
	return target <= 0 || gap <= target
}

func (q *Query) short(wait float64) bool {
	if q.IdleOnly {
		return wait <= 0
	}
	return q.MaxPrefillWait <= 0 || wait <= q.MaxPrefillWait
}

// assessment is what the scores of one engine have in common, in seconds.
type assessment struct {
	uncached, cached       float64
	wait, work, gap, first float64
	tail, penalty          float64
	fitsGap, short         bool
}

func (r *Router) assess(now fleet.Instant, q *Query, e *Engine, i int32) (x assessment) {
	x.uncached, x.cached = r.uncached(q, i)
	x.wait = r.wait(e, now)
	x.work = x.uncached * e.Speed.PrefillPerToken
	x.gap = e.ExpectedTokenGap(now, r.peersAt, 1, q.Prompt)
	x.tail = x.gap * e.tail()
	x.first = x.wait + x.work + e.hop()
	x.penalty = e.penalty(q, i)
	x.fitsGap = e.fits(now, q, x.gap)
	x.short = q.short(x.wait) || x.cached > x.uncached && x.first < targetMargin*q.FirstTokenTarget
	return x
}

// heardPeriod is the period of the exchange between peers.
const heardPeriod = time.Second

// ObservePeerExchange records that a peer's dispatches arrived. Each peer sends its own once
// in a period, so what is known of the peers together is as old as the mean of
// the last period's times, not as the latest.
func (r *Router) ObservePeerExchange(now fleet.Instant) {
	if n := len(r.heard); n > 0 && r.heard[n-1] == now {
		return
	}
	kept, sum := r.heard[:0], now
	for _, at := range r.heard {
		if now-at < heardPeriod {
			kept = append(kept, at)
			sum += at
		}
	}
	r.heard = append(kept, now)
	r.peersAt = sum / fleet.Instant(len(r.heard))
}

// wait is the backlog of an engine with the work that peers are expected to
// have sent since then. Without it every instance would see an engine drain
// between two exchanges and refill it.
func (r *Router) wait(e *Engine, now fleet.Instant) float64 {
	unseen := e.unseen(now, r.peersAt)
	if e.peerRate == 0 || unseen <= 0 {
		return e.Backlog(now)
	}
	free := max(e.prefillFree, now-seconds(unseen)) + seconds(e.peerRate*unseen)
	return math.Max((free - now).Seconds(), 0)
}

// misfit is the score of holding the request back or of harming streams.
func misfit(fits bool) float64 {
	if fits {
		return 0
	}
	return lateWeight
}

func (x *assessment) localScore(q *Query, e *Engine, m *market, unit float64) float64 {
	first := x.first + x.gap
	work := m.prefillCost(e, x.uncached) + m.decodeCost(e, q.Output)
	return work/unit + x.penalty + lateWeight*late(q, first, x.tail) + misfit(x.fitsGap && x.short) + m.balance(q, e, first, x.gap)
}

func (x *assessment) prefillScore(q *Query, e *Engine, m *market, unit, transfer float64) float64 {
	first := x.first + q.Prompt*transfer
	return m.prefillCost(e, x.uncached)/unit + x.penalty + lateWeight*late(q, first, 0) + misfit(x.short) + m.balance(q, e, first, 0)
}

func (x *assessment) decodeScore(q *Query, e *Engine, m *market, unit float64) float64 {
	return m.decodeCost(e, q.Output)/unit + x.penalty + lateWeight*late(q, 0, x.tail) + misfit(x.fitsGap) + m.balance(q, e, 0, x.gap)
}

func (r *Router) localChoice(now fleet.Instant, q *Query, i int32) Choice {
	x := r.assess(now, q, &r.Engines[i], i)
	return Choice{
		Engine: i, PrefillEngine: None, FirstToken: x.first + x.gap, Gap: x.gap, PrefillWait: x.wait,
		Uncached: x.uncached, CachedTokens: x.cached, PrefillSeconds: x.work, Fits: x.fitsGap && x.short,
	}
}

func (r *Router) splitChoice(now fleet.Instant, q *Query, prefill, decode int32) Choice {
	p := r.assess(now, q, &r.Engines[prefill], prefill)
	d := r.assess(now, q, &r.Engines[decode], decode)
	return Choice{
		Engine: decode, PrefillEngine: prefill, Gap: d.gap, PrefillWait: p.wait,
		FirstToken: p.first + q.Prompt*r.TransferPerToken + d.gap + r.Engines[decode].hop(),
		Uncached:   p.uncached, CachedTokens: p.cached, PrefillSeconds: p.work, Fits: p.short && d.fitsGap,
	}
}

func (r *Router) reason(q *Query, c *Choice) Reason {
	switch {
	case q.OnlyEngine != None:
		return ReasonFallback
	case c.CachedTokens > prefixShare*q.Prompt:
		return ReasonCachedPrefix
	case late(q, c.FirstToken*targetMargin, c.Gap) > 0:
		return ReasonLeastLate
	case c.PrefillEngine != None:
		return ReasonSplit
	case r.Engines[c.Engine].Role != fleet.RoleMixed:
		return ReasonOffRole
	}
	return ReasonLeastWork
}

// PickService chooses the plain service with the least expected work.
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
			score += remoteSeconds
		}
		if i == avoid {
			score += avoidPenalty
		}
		score *= 1 + baseSpread*float64(r.random()&255)/256
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best != None
}

package route

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// prefillHeadroom is the mean prefill backlog, in seconds, at which a
	// second of a pool's time has the price 1.
	prefillHeadroom = 0.15
	// gapHeadroom is the part of the token gap target at which the price is 1.
	gapHeadroom = 0.7
	// minPrice and maxPrice bound the price of a second of a pool's time.
	minPrice, maxPrice = 0.5, 5
	// balanceWeight is the score of expected times that use up their targets.
	// Within the targets time costs nothing, so it only balances engines.
	balanceWeight = 0.3
	// idleBalanceWeight is the same for a pool at its least price.
	idleBalanceWeight = 2.4
	// minFirst and minGap, in seconds, bound the targets that times are
	// related to; a kind without a target gets them too.
	minFirst, minGap = 0.2, 0.02
	defaultGap       = 0.1
)

// Work outside its role keeps an engine busy for longer. These are the factors
// by role on the time of the same work on a mean engine of the right role; the
// time to the first token there is learned and says nothing about the cost.
var (
	prefillFactor = [...]float64{fleet.RoleMixed: 1.25, fleet.RolePrefill: 1, fleet.RoleDecode: 2}
	decodeFactor  = [...]float64{fleet.RoleMixed: 1.25, fleet.RolePrefill: 2, fleet.RoleDecode: 1}
)

// market holds the price of a second of engine time per role: scarce where
// targets are nearly used up, cheap where there is room. It decides when work
// outside an engine's role is worth its lower efficiency.
type market struct {
	price [3]float64
	// engines is the number of usable engines per role.
	engines [3]float64
	// prefill and token are the seconds per prompt token and per output token
	// on a mean engine of the right role.
	prefill, token float64
}

// pool sums up the engines of one role.
type pool struct {
	n, backlog, gap      float64
	prefillRate, tokRate float64
}

// marketPeriod is how long prices hold; they move with whole pools, and
// measuring them takes a pass over the group's engines.
const marketPeriod = 20 * time.Millisecond

// cachedMarket is the market of one group for one token gap target.
type cachedMarket struct {
	market
	at        fleet.Instant
	gapTarget float64
	valid     bool
}

func (r *Router) marketOf(now fleet.Instant, q *Query) *market {
	for int(q.Group) >= len(r.markets) {
		r.markets = append(r.markets, cachedMarket{})
	}
	c := &r.markets[q.Group]
	if !c.valid || now >= c.at+marketPeriod || c.gapTarget != q.TokenGapTarget {
		*c = cachedMarket{market: r.measure(now, r.Groups[q.Group], q.TokenGapTarget), at: now, gapTarget: q.TokenGapTarget, valid: true}
	}
	return &c.market
}

func (r *Router) measure(now fleet.Instant, members []int32, gapTarget float64) market {
	var pools [3]pool
	for _, i := range members {
		e := &r.Engines[i]
		if !e.Usable {
			continue
		}
		p := &pools[e.Role]
		p.n++
		p.backlog += e.Backlog(now)
		p.gap += e.ExpectedTokenGap(now, r.peersAt, 1, 0)
		p.prefillRate += 1 / e.Speed.PrefillWorkPerToken
		p.tokRate += 1 / e.Speed.TokenCost()
	}
	if gapTarget <= 0 {
		gapTarget = defaultGap
	}
	var m market
	for role := range pools {
		m.engines[role] = pools[role].n
		m.price[role] = pools[role].price(fleet.Role(role), gapTarget)
	}
	m.prefill = 1 / firstOf(pools[fleet.RolePrefill].meanPrefill(), pools[fleet.RoleMixed].meanPrefill(), pools[fleet.RoleDecode].meanPrefill())
	m.token = 1 / firstOf(pools[fleet.RoleDecode].meanToken(), pools[fleet.RoleMixed].meanToken(), pools[fleet.RolePrefill].meanToken())
	return m
}

func (p *pool) meanPrefill() float64 { return p.prefillRate / math.Max(p.n, 1) }
func (p *pool) meanToken() float64   { return p.tokRate / math.Max(p.n, 1) }

// firstOf returns the first positive value, or 1.
func firstOf(values ...float64) float64 {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 1
}

func (p *pool) price(role fleet.Role, gapTarget float64) float64 {
	if p.n == 0 {
		return 1
	}
	backlog := p.backlog / p.n / prefillHeadroom
	gap := p.gap / p.n / gapTarget / gapHeadroom
	price := math.Max(backlog, gap)
	switch role {
	case fleet.RolePrefill:
		price = backlog
	case fleet.RoleDecode:
		price = gap
	}
	return math.Min(math.Max(price, minPrice), maxPrice)
}

// Saturated tells that the pool that does the larger part of a request's work has
// nothing left to spare.
func (r *Router) Saturated(now fleet.Instant, q *Query) bool {
	m := r.marketOf(now, q)
	role, other := fleet.RolePrefill, fleet.RoleDecode
	if q.Prompt*m.prefill < q.Output*m.token {
		role, other = other, role
	}
	if m.engines[role] == 0 {
		role = fleet.RoleMixed
	}
	if m.engines[role] == 0 {
		role = other
	}
	return m.price[role] >= 1
}

func (m *market) prefillCost(e *Engine, uncached float64) float64 {
	return uncached * m.prefill * prefillFactor[e.Role] * m.price[e.Role]
}

func (m *market) decodeCost(e *Engine, output float64) float64 {
	return output * m.token * decodeFactor[e.Role] * m.price[e.Role]
}

// balance relates expected times to their targets. It counts more while a pool is
// idle: then the fastest engine serves best.
func (m *market) balance(q *Query, e *Engine, first, gap float64) float64 {
	weight := balanceWeight
	if m.price[e.Role] <= minPrice {
		weight = idleBalanceWeight
	}
	return weight * (first/math.Max(q.FirstTokenTarget, minFirst) + gap/math.Max(q.TokenGapTarget, minGap))
}

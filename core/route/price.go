package route

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// scarcePrefillBacklog is the mean prefill backlog, in seconds, at which
	// the price is 1.
	scarcePrefillBacklog = 0.15
	// scarceGapShare is the share of the token gap target that the mean token
	// gap uses when the price is 1.
	scarceGapShare = 0.7
	// minPrice and maxPrice bound the price, a factor on the cost of engine
	// time.
	minPrice, maxPrice = 0.5, 5
	// balanceWeight is the score of expected times that use up their targets.
	// Times within the targets have no cost, so this only balances load between
	// engines.
	balanceWeight = 0.3
	// idleBalanceWeight replaces balanceWeight for a role at the lowest price.
	idleBalanceWeight = 2.4
	// minFirstTokenTarget and minTokenGapTarget, in seconds, are lower bounds
	// of the targets in the balance score. They also apply to kinds without a
	// target.
	minFirstTokenTarget, minTokenGapTarget = 0.2, 0.02
	// defaultTokenGapTarget is the token gap target, in seconds, that the
	// prices assume for a request without one.
	defaultTokenGapTarget = 0.1
)

// prefillFactor and decodeFactor are, by role, the time that work takes
// relative to a mean engine of the right role: work outside its role keeps an
// engine busy for longer. The time to the first token is learned separately and
// does not reflect this cost.
var (
	prefillFactor = [...]float64{fleet.RoleMixed: 1.25, fleet.RolePrefill: 1, fleet.RoleDecode: 2}
	decodeFactor  = [...]float64{fleet.RoleMixed: 1.25, fleet.RolePrefill: 2, fleet.RoleDecode: 1}
)

// rolePrices holds a price per role, a factor on the cost of engine time: above
// 1 when targets are nearly used up, below 1 when there is spare capacity. The
// prices decide when work outside an engine's role is worth the lower
// efficiency.
type rolePrices struct {
	price [3]float64
	// engines is the number of usable engines per role.
	engines [3]float64
	// secondsPerPromptToken and secondsPerOutputToken are the times on a mean
	// engine of the right role.
	secondsPerPromptToken, secondsPerOutputToken float64
}

// pool holds sums over the n usable engines of one role: the prefill backlogs
// and expected token gaps in seconds, and the rates in tokens per second.
type pool struct {
	n, backlog, gap        float64
	prefillRate, tokenRate float64
}

// pricePeriod is how long prices are cached. They change only with the load of
// whole roles, and computing them takes a pass over the group's engines.
const pricePeriod = 20 * time.Millisecond

// cachedPrices holds the prices of one group for one token gap target.
type cachedPrices struct {
	rolePrices
	at        fleet.Instant
	gapTarget float64
	valid     bool
}

// pricesOf returns the prices of the query's group for its token gap target, at
// most pricePeriod old.
func (r *Router) pricesOf(now fleet.Instant, q *Query) *rolePrices {
	for int(q.Group) >= len(r.prices) {
		r.prices = append(r.prices, cachedPrices{})
	}
	c := &r.prices[q.Group]
	if !c.valid || now >= c.at+pricePeriod || c.gapTarget != q.TokenGapTarget {
		*c = cachedPrices{rolePrices: r.computePrices(now, r.Groups[q.Group], q.TokenGapTarget), at: now, gapTarget: q.TokenGapTarget, valid: true}
	}
	return &c.rolePrices
}

func (r *Router) computePrices(now fleet.Instant, engines []int32, gapTarget float64) rolePrices {
	var pools [3]pool
	for _, i := range engines {
		e := &r.Engines[i]
		if !e.Usable {
			continue
		}
		p := &pools[e.Role]
		p.n++
		p.backlog += e.Backlog(now)
		p.gap += e.ExpectedTokenGap(now, r.peersKnownAt, 1, 0)
		p.prefillRate += 1 / e.Speed.PrefillWorkPerToken
		p.tokenRate += 1 / e.Speed.TokenCost()
	}
	if gapTarget <= 0 {
		gapTarget = defaultTokenGapTarget
	}
	var prices rolePrices
	for role := range pools {
		prices.engines[role] = pools[role].n
		prices.price[role] = pools[role].price(fleet.Role(role), gapTarget)
	}
	prices.secondsPerPromptToken = 1 / firstPositive(pools[fleet.RolePrefill].meanPrefillRate(), pools[fleet.RoleMixed].meanPrefillRate(), pools[fleet.RoleDecode].meanPrefillRate())
	prices.secondsPerOutputToken = 1 / firstPositive(pools[fleet.RoleDecode].meanTokenRate(), pools[fleet.RoleMixed].meanTokenRate(), pools[fleet.RolePrefill].meanTokenRate())
	return prices
}

func (p *pool) meanPrefillRate() float64 { return p.prefillRate / math.Max(p.n, 1) }
func (p *pool) meanTokenRate() float64   { return p.tokenRate / math.Max(p.n, 1) }

// firstPositive returns the first positive value, or 1 if there is none.
func firstPositive(values ...float64) float64 {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 1
}

// price returns the price of the pool, from minPrice to maxPrice: the mean
// prefill backlog or the mean token gap relative to the value at which the
// price is 1, for mixed engines the larger of the two.
func (p *pool) price(role fleet.Role, gapTarget float64) float64 {
	if p.n == 0 {
		return 1
	}
	backlog := p.backlog / p.n / scarcePrefillBacklog
	gap := p.gap / p.n / gapTarget / scarceGapShare
	price := math.Max(backlog, gap)
	switch role {
	case fleet.RolePrefill:
		price = backlog
	case fleet.RoleDecode:
		price = gap
	}
	return math.Min(math.Max(price, minPrice), maxPrice)
}

// Saturated reports whether the role that does the larger part of the request's
// work has no spare capacity.
func (r *Router) Saturated(now fleet.Instant, q *Query) bool {
	prices := r.pricesOf(now, q)
	role, other := fleet.RolePrefill, fleet.RoleDecode
	if q.Prompt*prices.secondsPerPromptToken < q.Output*prices.secondsPerOutputToken {
		role, other = other, role
	}
	if prices.engines[role] == 0 {
		role = fleet.RoleMixed
	}
	if prices.engines[role] == 0 {
		role = other
	}
	return prices.price[role] >= 1
}

// prefillCost returns the seconds of prefilling uncached tokens on e,
// multiplied by the price of its role.
func (p *rolePrices) prefillCost(e *Engine, uncached float64) float64 {
	return uncached * p.secondsPerPromptToken * prefillFactor[e.Role] * p.price[e.Role]
}

// decodeCost returns the seconds of decoding output tokens on e, multiplied by
// the price of its role.
func (p *rolePrices) decodeCost(e *Engine, output float64) float64 {
	return output * p.secondsPerOutputToken * decodeFactor[e.Role] * p.price[e.Role]
}

// balance returns the score of the expected times relative to their targets. It
// weighs more while a role is idle, because then the fastest engine is the
// best.
func (p *rolePrices) balance(q *Query, e *Engine, firstToken, gap float64) float64 {
	weight := balanceWeight
	if p.price[e.Role] <= minPrice {
		weight = idleBalanceWeight
	}
	return weight * (firstToken/math.Max(q.FirstTokenTarget, minFirstTokenTarget) + gap/math.Max(q.TokenGapTarget, minTokenGapTarget))
}

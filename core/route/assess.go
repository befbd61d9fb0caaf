package route

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// lateness returns by how much the expected times exceed the planned part of
// the targets, as a sum of shares of the targets. tailGap is the expected
// gapQuantile of the token gaps.
func lateness(q *Query, firstToken, tailGap float64) float64 {
	if q.IgnoreTargets {
		return 0
	}
	out := 0.0
	if q.FirstTokenTarget > 0 {
		out += math.Max(firstToken/q.FirstTokenTarget-plannedTargetShare, 0)
	} else if q.FirstTokenTarget < 0 {
		out += 1 + firstToken
	}
	if q.TokenGapTarget > 0 {
		out += math.Max(tailGap/q.TokenGapTarget-1, 0)
	}
	return out
}

// penalty returns the part of the score that does not depend on time.
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

// networkSeconds returns the additional round trip to the engine in seconds.
func (e *Engine) networkSeconds() float64 {
	if e.SameDataCentre {
		return 0
	}
	return remoteRoundTrip
}

// keepsGapTargets reports whether the streams on the engine and the request
// keep their token gap targets when one more sequence joins. The mean gap must
// stay well below the target, which applies to 95 in 100 gaps: if the mean is
// at the target, nine in ten answers miss it. An engine without streams always
// qualifies, so that a wrong estimate cannot exclude it for good.
func (e *Engine) keepsGapTargets(now fleet.Instant, q *Query, gap float64) bool {
	if e.RunningSequences(now) < 1 {
		return true
	}
	if q.IdleOnly {
		return false
	}
	target := q.TokenGapTarget
	if e.Decoding > 0 && e.tightestTokenGapTarget > 0 && (target <= 0 || e.tightestTokenGapTarget < target) {
		target = e.tightestTokenGapTarget
	}
	// The division turns the target for the tail into one for the mean gap.
	target /= e.gapTailFactor()
	return target <= 0 || gap <= target
}

// acceptsWait reports whether a prefill wait in seconds is short enough.
func (q *Query) acceptsWait(wait float64) bool {
	if q.IdleOnly {
		return wait <= 0
	}
	return q.MaxPrefillWait <= 0 || wait <= q.MaxPrefillWait
}

// assessment holds the estimates that the scores of one engine share; times are
// in seconds.
type assessment struct {
	uncached, cached                             float64
	prefillWait, prefillSeconds, gap, firstToken float64
	tailGap, penalty                             float64
	gapAccepted, waitAccepted                    bool
}

// assess returns the estimates for running the request on the engine. A wait
// above the limit is accepted if the engine caches most of the prompt and the
// first token is still expected within the planned part of its target.
func (r *Router) assess(now fleet.Instant, q *Query, e *Engine, i int32) (x assessment) {
	x.uncached, x.cached = r.uncached(q, i)
	x.prefillWait = r.prefillWait(e, now)
	x.prefillSeconds = x.uncached * e.Speed.PrefillPerToken
	x.gap = e.ExpectedTokenGap(now, r.peersKnownAt, 1, q.Prompt)
	x.tailGap = x.gap * e.gapTailFactor()
	x.firstToken = x.prefillWait + x.prefillSeconds + e.networkSeconds()
	x.penalty = e.penalty(q, i)
	x.gapAccepted = e.keepsGapTargets(now, q, x.gap)
	x.waitAccepted = q.acceptsWait(x.prefillWait) || x.cached > x.uncached && x.firstToken < plannedTargetShare*q.FirstTokenTarget
	return x
}

// peerExchangePeriod is the period of the exchange between peers.
const peerExchangePeriod = time.Second

// ObservePeerExchange records that a peer's dispatches arrived. Each peer sends
// its own dispatches once per period, so the knowledge about all peers is as
// old as the mean of the arrival times in the last period, not as the latest
// one.
func (r *Router) ObservePeerExchange(now fleet.Instant) {
	if n := len(r.peerUpdates); n > 0 && r.peerUpdates[n-1] == now {
		return
	}
	kept, sum := r.peerUpdates[:0], now
	for _, at := range r.peerUpdates {
		if now-at < peerExchangePeriod {
			kept = append(kept, at)
			sum += at
		}
	}
	r.peerUpdates = append(kept, now)
	r.peersKnownAt = sum / fleet.Instant(len(r.peerUpdates))
}

// prefillWait returns the expected wait for a prefill at the engine in seconds,
// including the work that peers are expected to have sent since their last
// messages. Without that work, every instance would see an engine drain between
// two exchanges and refill it.
func (r *Router) prefillWait(e *Engine, now fleet.Instant) float64 {
	unseen := e.unseenSeconds(now, r.peersKnownAt)
	if e.peerPrefillRate == 0 || unseen <= 0 {
		return e.Backlog(now)
	}
	free := max(e.prefillDoneAt, now-fromSeconds(unseen)) + fromSeconds(e.peerPrefillRate*unseen)
	return math.Max((free - now).Seconds(), 0)
}

// violationPenalty returns the score of exceeding the wait limit or the token
// gap targets of streams, 0 if ok.
func violationPenalty(ok bool) float64 {
	if ok {
		return 0
	}
	return lateWeight
}

// localScore returns the score of running the whole request on e. Lower scores
// are better.
func (x *assessment) localScore(q *Query, e *Engine, prices *rolePrices, meanWork float64) float64 {
	firstToken := x.firstToken + x.gap
	work := prices.prefillCost(e, x.uncached) + prices.decodeCost(e, q.Output)
	return work/meanWork + x.penalty + lateWeight*lateness(q, firstToken, x.tailGap) + violationPenalty(x.gapAccepted && x.waitAccepted) + prices.balance(q, e, firstToken, x.gap)
}

// prefillScore returns the score of prefilling the request on e and moving its
// KV cache, with transfer seconds per prompt token, to another engine.
func (x *assessment) prefillScore(q *Query, e *Engine, prices *rolePrices, meanWork, transfer float64) float64 {
	firstToken := x.firstToken + q.Prompt*transfer
	return prices.prefillCost(e, x.uncached)/meanWork + x.penalty + lateWeight*lateness(q, firstToken, 0) + violationPenalty(x.waitAccepted) + prices.balance(q, e, firstToken, 0)
}

// decodeScore returns the score of decoding on e a request that another engine
// has prefilled.
func (x *assessment) decodeScore(q *Query, e *Engine, prices *rolePrices, meanWork float64) float64 {
	return prices.decodeCost(e, q.Output)/meanWork + x.penalty + lateWeight*lateness(q, 0, x.tailGap) + violationPenalty(x.gapAccepted) + prices.balance(q, e, 0, x.gap)
}

package fleetsize

import (
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// quietTime is the time of traffic in which no server is given up: the first
	// seconds of traffic rarely show its peak.
	quietTime = 30 * time.Second
	// raiseWait is the time without an increase after which servers are given up
	// while there is traffic. regularInterval and spotInterval are the times between
	// two steps: each step moves cached prompt parts to other engines, and a spot
	// server saves little. regularInterval is also the time between two orders of
	// replacements, since the demand that they must carry varies.
	raiseWait       = 20 * time.Second
	regularInterval = 5 * time.Second
	spotInterval    = 10 * time.Second
	// failureWait is the time after an order without effect in which no server is
	// given up.
	failureWait = 3 * time.Second
	// serversPerStep is the number of servers in the fleet for each one that one
	// step gives up while there is traffic.
	serversPerStep = 10
	// minSaving is the saving, as a share of the present cost, from which spot
	// servers are given up, and minReplaced the one from which they are replaced by
	// others. Regular servers are replaced for any saving.
	minSaving, minReplaced = 0.05, 0.15
)

// mayReduce reports whether servers may be given up or replaced by cheaper ones
// now.
func (p *Planner) mayReduce(in Input, now fleet.Instant) bool {
	if !in.Current || now-p.failedAt < failureWait {
		return false
	}
	for _, s := range p.pools {
		if !s.accepted {
			return false
		}
	}
	if p.beforeTraffic(in, now) {
		return true
	}
	measured := in.Load.MeasuredFor >= quietTime || in.Service.Engine == nil
	return measured && now-p.startedAt >= quietTime && p.meter.settled(now) && now-p.raisedAt >= raiseWait && !waiting(in)
}

// mayReplaceRegular reports whether regular servers may be replaced by spot servers
// now, in traffic. The replacements serve first and meet the same requirement, so
// that no wait for the demand is needed. While servers are replaced after a reclaim,
// the tolerance of another one would take many more spot servers elsewhere.
func (p *Planner) mayReplaceRegular(in Input, now fleet.Instant) bool {
	if !in.Current || now-p.failedAt < failureWait || len(p.meter.history) == 0 {
		return false
	}
	for _, s := range p.pools {
		if !s.accepted || now < s.reclaimedUntil {
			return false
		}
	}
	return true
}

// reduceNeed returns what must be left when servers are given up. A successor that
// does not know the demand of the last minute keeps the number of servers.
func (p *Planner) reduceNeed(in Input, need requirement, now fleet.Instant) requirement {
	if p.predecessor != nil && !p.beforeTraffic(in, now) && !p.known(in, now) {
		total, _, _ := losses(p.predecessor)
		need.all = max(need.all, total)
	}
	return need
}

// reduce brings the fleet nearer to the cheapest one: it orders cheaper servers in
// place of dearer ones, and gives up what is not needed of the servers that are
// ready. With regularOnly it does so only to replace regular servers.
func (p *Planner) reduce(in Input, regularOnly bool, now fleet.Instant) {
	need := p.reduceNeed(in, p.keepNeed(in, now), now)
	target := p.cheapest(in.Service.Scaling, need, nil, false, now)
	wanted := p.counts(func(s *pool) int { return s.wanted })
	if !need.metBy(target) {
		// The data centres are full, and servers can only be replaced after others
		// were given up. The distance between the two needs is spent on that.
		if need = p.reduceNeed(in, p.raiseNeed(in, now), now); !need.metBy(target) {
			return
		}
	}
	saving := 1 - cost(in.Service.Scaling, target)/max(cost(in.Service.Scaling, wanted), 1e-9)
	dear := regularBeyond(wanted, target)
	if saving <= 0 || (dear == 0 && (saving < minSaving || regularOnly)) {
		return
	}
	pools := p.sorted()
	sort.SliceStable(pools, func(i, j int) bool {
		return in.Service.Scaling.Price(pools[i].DataCentre, pools[i].Spot) > in.Service.Scaling.Price(pools[j].DataCentre, pools[j].Spot)
	})
	if (dear > 0 || saving >= minReplaced) && (p.beforeTraffic(in, now) || now-p.replacedAt >= regularInterval) {
		p.replace(in, pools, target, now)
	}
	if regularOnly && waiting(in) {
		return
	}
	ready := p.counts(func(s *pool) int { return min(s.ready, s.wanted) })
	if p.beforeTraffic(in, now) {
		p.reduceAtOnce(in, pools, ready, target, need, now)
		return
	}
	for _, s := range pools {
		if (regularOnly && s.Spot) || now-p.reducedAt < interval(s.Spot) {
			continue
		}
		if n := p.stepDown(s, ready, target[s.Pool], need); n < s.wanted {
			p.order(in, s, n, ReasonCheaper, now)
			p.reduced, p.reducedAt = true, now
			return
		}
	}
}

// reduceAtOnce gives up all servers that the requirement can spare, from the pools
// with the most servers beyond the target. If full data centres gave theirs up one
// after the other, the first would be replaced whole, and the bound on the loss of
// its spot servers would keep the regular servers of the others for good.
func (p *Planner) reduceAtOnce(in Input, pools []*pool, ready, target map[Pool]int, need requirement, now fleet.Instant) {
	wanted := p.counts(func(s *pool) int { return s.wanted })
	fixed := map[Pool]bool{}
	for {
		var most *pool
		for _, s := range pools {
			if n := wanted[s.Pool] - target[s.Pool]; n > 0 && !fixed[s.Pool] && (most == nil || n > wanted[most.Pool]-target[most.Pool]) {
				most = s
			}
		}
		if most == nil {
			break
		}
		id, before := most.Pool, ready[most.Pool]
		ready[id] = min(before, wanted[id]-1)
		if need.metBy(ready) {
			wanted[id]--
		} else {
			ready[id], fixed[id] = before, true
		}
	}
	for _, s := range pools {
		if wanted[s.Pool] < s.wanted {
			p.order(in, s, wanted[s.Pool], ReasonCheaper, now)
			p.reduced, p.reducedAt = true, now
		}
	}
}

// interval returns the time between two steps that give up servers of a kind.
func interval(spot bool) time.Duration {
	if spot {
		return spotInterval
	}
	return regularInterval
}

// regularBeyond returns the number of regular servers beyond a target.
func regularBeyond(wanted, target map[Pool]int) int {
	n := 0
	for id, count := range wanted {
		if !id.Spot {
			n += max(count-target[id], 0)
		}
	}
	return n
}

// replace orders the spot servers that take the place of dearer servers. A data
// centre's maximum holds meanwhile, so that a full one is replaced in parts.
func (p *Planner) replace(in Input, pools []*pool, target map[Pool]int, now fleet.Instant) {
	reason := ReasonCheaper
	if p.beforeTraffic(in, now) {
		reason = ReasonStart
	}
	for _, s := range pools {
		if !s.Spot || now < s.refusedUntil {
			continue
		}
		room := in.Service.Scaling.Max - p.pool(Pool{s.DataCentre, false}).wanted
		if n := min(target[s.Pool], room); n > s.wanted {
			p.order(in, s, n, reason, now)
			p.replacedAt = now
		}
	}
}

// stepDown returns the number to which a pool may be reduced in one step while
// there is traffic.
func (p *Planner) stepDown(s *pool, ready map[Pool]int, target int, need requirement) int {
	total := 0
	for _, n := range ready {
		total += n
	}
	after := make(map[Pool]int, len(ready))
	for id, n := range ready {
		after[id] = n
	}
	for n := max(target, s.wanted-max(1, total/serversPerStep)); n < s.wanted; n++ {
		after[s.Pool] = min(ready[s.Pool], n)
		if need.metBy(after) {
			return n
		}
	}
	return s.wanted
}

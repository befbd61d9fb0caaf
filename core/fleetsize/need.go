package fleetsize

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// startTime is the time of traffic in which reclaimed servers are replaced as
	// if the demand were not known.
	startTime = 20 * time.Second
	// minEngines is the least number of engines, one for each stage.
	minEngines = 2
	// startShare is the share of the servers at the start that must be left after
	// the loss of a data centre while the demand is not known: that of three data
	// centres with the loss of one. All must be left after a reclaim, which is more
	// frequent: with two thirds a reclaim at a peak made a tenth of the answers late.
	startShare = 2.0 / 3
	// The uses of the stages that a fleet is measured by. The few engines of the
	// prefill stage run one long prompt after the other, so that prompts wait at
	// half the capacity; the many slots of the decode stage hardly queue. A server
	// is given up only if the others stay below the keep uses, and after a loss
	// below the keepLoss uses, up to which latency targets hold. Servers are
	// ordered beyond the raise and raiseLoss uses. The distance between the two
	// keeps a steady load with noise from causing orders.
	keepPrefill, keepDecode           = 0.45, 0.60
	keepLossPrefill, keepLossDecode   = 0.60, 0.72
	raisePrefill, raiseDecode         = 0.52, 0.66
	raiseLossPrefill, raiseLossDecode = 0.72, 0.82
	// reclaimShare is the share of the servers that must be left after a loss
	// while the servers of another loss are being replaced.
	reclaimShare = 0.5
	// raiseMargin is the factor beyond the need up to which servers are ordered,
	// so that a rising peak needs few orders.
	raiseMargin = 1.1
)

// floors returns the least number of servers by data centre.
func (p *Planner) floors(in Input, start bool) map[fleet.DataCentre]int {
	out := map[fleet.DataCentre]int{}
	for id := range p.pools {
		n := in.Service.Scaling.Min
		if start {
			n = max(n, p.initial[id.DataCentre])
		}
		out[id.DataCentre] = min(n, in.Service.Scaling.Max)
	}
	return out
}

// startNeed returns the requirement while the demand is not known: the number of
// servers stays the same, in each data centre if eachCentre is set.
func (p *Planner) startNeed(in Input, eachCentre bool) requirement {
	total, largest := 0, 0
	for _, n := range p.initial {
		total += n
		largest = max(largest, n)
	}
	enough := int(math.Ceil(startShare*float64(total) - 1e-9))
	return requirement{all: total, spotLoss: total, centreLoss: min(enough, total-largest), floor: p.floors(in, eachCentre)}
}

// uses are the uses of the stages without a loss and after one.
type uses struct{ prefill, decode, lossPrefill, lossDecode float64 }

var (
	keepUses  = uses{keepPrefill, keepDecode, keepLossPrefill, keepLossDecode}
	raiseUses = uses{raisePrefill, raiseDecode, raiseLossPrefill, raiseLossDecode}
)

// measuredNeed returns the requirement for the highest demand times margin; false
// while no demand is measured.
func (p *Planner) measuredNeed(in Input, u uses, margin float64, now fleet.Instant) (requirement, bool) {
	w, ok := p.meter.peak(now)
	if !ok {
		return requirement{}, false
	}
	w = w.times(margin)
	n := requirement{
		all:      max(w.servers(u.prefill, u.decode), minEngines),
		spotLoss: max(w.servers(u.lossPrefill, u.lossDecode), minEngines),
		floor:    p.floors(in, false),
	}
	if len(n.floor) > 1 {
		n.centreLoss = n.spotLoss
	}
	return n, true
}

// known reports whether the measured demand alone decides: from quietTime of
// traffic on. Before, what was there at the start counts as well.
func (p *Planner) known(in Input, now fleet.Instant) bool {
	return in.Load.MeasuredFor >= quietTime && len(p.meter.history) > 0 && p.meter.settled(now)
}

// keepNeed returns what must be left when servers are given up.
func (p *Planner) keepNeed(in Input, now fleet.Instant) requirement {
	n, ok := p.measuredNeed(in, keepUses, 1, now)
	if ok && p.known(in, now) {
		return n
	}
	return n.and(p.startNeed(in, true))
}

// raiseNeed returns what must be there or on its way.
func (p *Planner) raiseNeed(in Input, now fleet.Instant) requirement {
	return p.raiseNeedWith(in, 1, now)
}

// raiseTarget returns what is ordered when raiseNeed is not met.
func (p *Planner) raiseTarget(in Input, now fleet.Instant) requirement {
	return p.raiseNeedWith(in, raiseMargin, now)
}

func (p *Planner) raiseNeedWith(in Input, margin float64, now fleet.Instant) requirement {
	n, ok := p.measuredNeed(in, raiseUses, margin, now)
	if !ok || in.Load.MeasuredFor < startTime {
		n = n.and(p.startRaise(in))
	}
	for _, s := range p.pools {
		if now < s.reclaimedUntil {
			// The loss has happened. What is needed for another one is ordered when
			// servers are available in this data centre again, since twice as many
			// would be needed in the others.
			left := int(reclaimShare * float64(n.all))
			n.spotLoss, n.centreLoss = min(n.spotLoss, left), min(n.centreLoss, left)
		}
	}
	return n
}

// startRaise returns what must be there or on its way while the demand is not
// known. What is reclaimed is replaced wherever spot servers are available.
func (p *Planner) startRaise(in Input) requirement {
	start := p.startNeed(in, false)
	if p.predecessor != nil {
		// The predecessor may have given up servers by a demand that it knew.
		start = start.atMost(p.predecessor)
	}
	return start
}

// presentNeed returns what carries the present demand times margin, without the
// peak of the last minute and without a loss.
func (p *Planner) presentNeed(in Input, margin float64, now fleet.Instant) requirement {
	n := requirement{floor: p.floors(in, false)}
	w, ok := p.meter.present(now)
	if ok {
		w = w.times(margin)
		n.all = max(w.servers(raisePrefill, raiseDecode), minEngines)
	}
	if !ok || in.Load.MeasuredFor < startTime {
		n.all = max(n.all, p.startRaise(in).all)
	}
	return n
}

// and returns a requirement that includes both.
func (r requirement) and(o requirement) requirement {
	out := requirement{
		all: max(r.all, o.all), spotLoss: max(r.spotLoss, o.spotLoss), centreLoss: max(r.centreLoss, o.centreLoss), floor: map[fleet.DataCentre]int{},
	}
	for _, f := range []map[fleet.DataCentre]int{r.floor, o.floor} {
		for dc, n := range f {
			out.floor[dc] = max(out.floor[dc], n)
		}
	}
	return out
}

// atMost returns the requirement lowered to what a fleet meets, except for the
// least numbers by data centre.
func (r requirement) atMost(n map[Pool]int) requirement {
	total, spot, centre := losses(n)
	r.all, r.spotLoss, r.centreLoss = min(r.all, total), min(r.spotLoss, total-spot), min(r.centreLoss, total-centre)
	return r
}

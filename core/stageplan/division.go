package stageplan

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/placement"
)

// candidate is an engine with its measured or estimated rates.
type candidate struct {
	server placement.Server
	stage  fleet.Role
	// prefill is in prompt tokens per second, decode in events per second with
	// all slots in use.
	prefill, decode float64
	// limited reports whether the engine names a limit, and rateLimit is that
	// limit in requests per second.
	limited   bool
	rateLimit float64
	moved     bool
}

// division is a division of engines with the capacities of its stages.
type division struct {
	engines         []candidate
	load            placement.ServiceLoad
	prefill, decode float64
	// limited reports whether an engine names a limit.
	limited bool
	// count is the number of engines at each stage of each data centre.
	count map[fleet.DataCentre]map[fleet.Role]int
}

// newDivision returns the present division, or false while the rates of either
// stage are unknown.
func newDivision(in Input) (*division, bool) {
	d := &division{load: in.Load, count: map[fleet.DataCentre]map[fleet.Role]int{}}
	var prefillSum, decodeSum, prefillKnown, decodeKnown float64
	for _, e := range in.Engines {
		if e.Leaving || (e.Stage != fleet.RolePrefill && e.Stage != fleet.RoleDecode) {
			continue
		}
		c := candidate{server: e.Server, stage: e.Stage, prefill: e.PrefillRate, decode: e.DecodeRate, limited: e.Limited, rateLimit: e.RateLimit}
		d.limited = d.limited || e.Limited
		if c.prefill > 0 {
			prefillSum, prefillKnown = prefillSum+c.prefill, prefillKnown+1
		}
		if c.decode > 0 {
			decodeSum, decodeKnown = decodeSum+c.decode, decodeKnown+1
		}
		d.engines = append(d.engines, c)
		if d.count[e.DataCentre] == nil {
			d.count[e.DataCentre] = map[fleet.Role]int{}
		}
		d.count[e.DataCentre][e.Stage]++
	}
	if prefillKnown == 0 || decodeKnown == 0 {
		return nil, false
	}
	meanPrefill, meanDecode := prefillSum/prefillKnown, decodeSum/decodeKnown
	for i := range d.engines {
		c := &d.engines[i]
		factor := 1.0
		switch {
		case c.prefill > 0:
			factor = c.prefill / meanPrefill
		case c.decode > 0:
			factor = c.decode / meanDecode
		}
		factor = min(max(factor, minFactor), maxFactor)
		if c.prefill == 0 {
			c.prefill = factor * meanPrefill
		}
		if c.decode == 0 {
			c.decode = factor * meanDecode
		}
		d.applyLimit(c)
		d.add(c, 1)
	}
	return d, true
}

// applyLimit bounds an engine's rates by the limit that it names, for requests of
// the mean size.
func (d *division) applyLimit(c *candidate) {
	if !c.limited || d.load.Requests <= 0 {
		return
	}
	c.prefill = max(min(c.prefill, c.rateLimit*d.load.Uncached/d.load.Requests), 1)
	c.decode = max(min(c.decode, c.rateLimit*d.load.Events/d.load.Requests), 1)
}

// add adds an engine to the capacity of its stage, or removes it with sign -1.
func (d *division) add(c *candidate, sign float64) {
	if c.stage == fleet.RolePrefill {
		d.prefill += sign * c.prefill
	} else {
		d.decode += sign * c.decode
	}
}

// cost returns the cost of a division with the given capacities.
func (d *division) cost(prefill, decode float64) float64 {
	if prefill <= 0 || decode <= 0 {
		return math.Inf(1)
	}
	return math.Pow(d.load.Events/decode, decodeExponent) + prefillWeight*math.Pow(d.load.Uncached/prefill, prefillExponent)
}

// plan moves engines to the stage at which requests wait, while that lowers the
// cost, and stores the moves in p when the cost falls by minGain.
func (d *division) plan(p *Plan) {
	p.Reason = ReasonMeasured
	p.PrefillUse, p.DecodeUse = d.load.Uncached/d.prefill, d.load.Events/d.decode
	p.CostNow = d.cost(d.prefill, d.decode)
	p.CostPlanned = p.CostNow
	p.PrefillWait, p.DecodeWait = d.load.PrefillWait/d.load.Requests, d.load.DecodeWait/d.load.Requests
	to, ok := d.pressed(p)
	if !ok {
		return
	}
	changes, cost := d.moves(to, d.most(p, to))
	p.CostPlanned = cost
	if p.CostNow >= minGain*cost {
		p.Changes = changes
	}
}

// pressed returns the stage at which requests wait much longer than at the
// other, if there is one. What exceeds the limits that engines name is refused
// and doesn't wait, so that a stage beyond its capacity counts too while there
// are limits. The demand of the other stage is then taken for at
// most relievedUse of its capacity: what waits less is not full, whatever the
// estimates say.
func (d *division) pressed(p *Plan) (fleet.Role, bool) {
	switch {
	case p.DecodeWait > minWait && p.DecodeWait > waitRatio*p.PrefillWait, d.limited && p.DecodeUse > max(limitedUse, p.PrefillUse):
		d.load.Uncached = min(d.load.Uncached, relievedUse*d.prefill)
		p.CostNow = d.cost(d.prefill, d.decode)
		return fleet.RoleDecode, true
	case p.PrefillWait > minWait && p.PrefillWait > waitRatio*p.DecodeWait, d.limited && p.PrefillUse > max(limitedUse, p.DecodeUse):
		d.load.Events = min(d.load.Events, relievedUse*d.decode)
		p.CostNow = d.cost(d.prefill, d.decode)
		return fleet.RolePrefill, true
	default:
		return 0, false
	}
}

// most returns the number of engines that one plan may move to a stage.
func (d *division) most(p *Plan, to fleet.Role) int {
	from := p.Prefill
	if to == fleet.RolePrefill {
		from = p.Decode
	}
	return min(int(math.Ceil(maxMoved*float64(from))), from-1)
}

// moves returns up to n changes to a stage, each the one that lowers the cost
// most, and the cost after them. The division itself is not changed.
func (d *division) moves(to fleet.Role, n int) (out []Change, cost float64) {
	prefill, decode := d.prefill, d.decode
	cost = d.cost(prefill, decode)
	taken := map[fleet.DataCentre]int{}
	for i := range d.engines {
		d.engines[i].moved = false
	}
	for range n {
		best := -1
		bestCost := cost
		for i := range d.engines {
			c := &d.engines[i]
			if c.stage == to || c.moved || d.count[c.server.DataCentre][c.stage]-taken[c.server.DataCentre] < 2 {
				continue
			}
			p, q := capacitiesAfter(c, to, prefill, decode)
			x := d.cost(p, q)
			if x < bestCost || (x == bestCost && best >= 0 && before(c, &d.engines[best])) {
				best, bestCost = i, x
			}
		}
		if best < 0 {
			break
		}
		c := &d.engines[best]
		c.moved = true
		taken[c.server.DataCentre]++
		prefill, decode = capacitiesAfter(c, to, prefill, decode)
		cost = bestCost
		out = append(out, Change{Server: c.server, Stage: to})
	}
	return out, cost
}

// capacitiesAfter returns the capacities after a move of an engine to a stage.
func capacitiesAfter(c *candidate, to fleet.Role, prefill, decode float64) (float64, float64) {
	if to == fleet.RolePrefill {
		return prefill + c.prefill, decode - c.decode
	}
	return prefill - c.prefill, decode + c.decode
}

// before orders engines that are equally good, by the hash of their ids.
func before(a, b *candidate) bool {
	return membership.Hash(string(a.server.ID)) < membership.Hash(string(b.server.ID))
}

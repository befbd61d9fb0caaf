package role

import (
	"fmt"
	"math"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// move is one possible change and its gain in engine-seconds.
type move struct {
	engine *engine
	to     fleet.Role
	gain   float64
	rise   float64
}

func (p *Planner) propose(now fleet.Instant, g *group, d sample) {
	g.setContext(d)
	prefill, decode := g.work(d)
	work := prefill + decode
	if work < engineSecondFloor {
		return
	}
	share := prefill / work
	division := p.division(g)
	before := carried(division, d, share)
	later := g.otherMixes(share)
	laterBefore := p.carriedLater(g, division, nil, later)
	var moves []move
	best := 0.0
	for _, e := range g.engines {
		if !g.changeable(now, e) {
			continue
		}
		for _, r := range [...]fleet.Role{fleet.RolePrefill, fleet.RoleDecode} {
			if r == e.Role {
				continue
			}
			with := division.with(p, e, r)
			rise := carried(with, d, share) - before
			if rise < minGain {
				continue
			}
			rise += p.carriedLater(g, with, &move{engine: e, to: r}, later) - laterBefore
			price := g.ChangeWeight * p.config.ChangeTime.Seconds() * g.relativeSpeed(e)
			gain := rise*work*g.dwellSeconds - price
			if rise >= minGain && gain > 0 {
				moves = append(moves, move{e, r, gain, rise})
				best = math.Max(best, gain)
			}
		}
	}
	if len(moves) == 0 {
		return
	}
	m := pickMove(moves, best)
	g.budget--
	g.pending, g.pendingTo, g.pendingAt = m.engine.Upstream, m.to, now
	p.ready = append(p.ready, Change{
		Group: g.Name, Upstream: m.engine.Upstream, To: m.to,
		Reason: fmt.Sprintf("prefill is %.0f%% of the work; from %s to %s carries %.0f%% more of the demand, a gain of %.0f engine-seconds over an expected %.0f s",
			100*share, m.engine.Role, m.to, 100*m.rise, m.gain, g.dwellSeconds),
	})
}

// mix is a demand in tokens per second and its prefill share.
type mix struct {
	demand sample
	share  float64
}

// otherMixes returns the recent mixes that the present one may shift to.
func (g *group) otherMixes(share float64) []mix {
	var out []mix
	for _, d := range g.past {
		if s := g.share(d); math.Abs(s-share) > shiftDistance {
			out = append(out, mix{d, s})
		}
	}
	return out
}

// carriedLater returns the mean part of the given mixes that a division carries
// after the changes that a shift allows. A division that is good now may be too
// far from those that the next mixes need.
func (p *Planner) carriedLater(g *group, d division, done *move, mixes []mix) float64 {
	sum := 0.0
	for _, m := range mixes {
		sum += p.reach(g, d, done, m) / float64(len(mixes))
	}
	return sum
}

// reach returns the part of a mix that is carried after the best changes of one
// shift, each chosen for itself. A move that was already made is given as done.
func (p *Planner) reach(g *group, d division, done *move, m mix) float64 {
	var changed [changesPerShift]*engine
	best := carried(d, m.demand, m.share)
	for i := range g.changesPerShift() {
		next := d
		var tried [numberOfRoles]int
		for _, e := range g.engines {
			role := e.Role
			if done != nil && done.engine == e {
				role = done.to
			}
			if !e.Available || slices.Contains(changed[:i], e) || tried[role] == reachEngines {
				continue
			}
			tried[role]++
			for _, r := range [...]fleet.Role{fleet.RolePrefill, fleet.RoleDecode} {
				with := d
				with.add(p, e, role, -1)
				with.add(p, e, r, 1)
				if c := carried(with, m.demand, m.share); c > best {
					best, next, changed[i] = c, with, e
				}
			}
		}
		d = next
	}
	return best
}

// pickMove prefers the most lightly loaded engine among nearly equal gains.
func pickMove(moves []move, best float64) move {
	var out move
	for _, m := range moves {
		if m.gain < loadTieGain*best {
			continue
		}
		if out.engine == nil || m.engine.Load < out.engine.Load {
			out = m
		}
	}
	return out
}

// changeable excludes engines that are out of service or reported late, and
// the last available engine of a role.
func (g *group) changeable(now fleet.Instant, e *engine) bool {
	if !e.Available || now-e.At > staleAfter {
		return false
	}
	n := 0
	for _, o := range g.engines {
		if o.Available && o.Role == e.Role {
			n++
		}
	}
	return n > 1
}

// relativeSpeed is an engine's speed relative to the group's mean.
func (g *group) relativeSpeed(e *engine) float64 {
	var prefill, decode, n float64
	for _, o := range g.engines {
		prefill += o.prefillRate
		decode += o.decodeRate
		n++
	}
	return (e.prefillRate*n/prefill + e.decodeRate*n/decode) / 2
}

// division is the capacity of the available engines in tokens per second. Work
// outside an engine's role is left out: decode engines take longer over a long
// prompt than its first-token target allows, and prefill engines exceed the
// token gap. Mixed engines do either.
type division struct{ prefill, decode, mixedPrefill, mixedDecode float64 }

func (p *Planner) division(g *group) division {
	var d division
	for _, e := range g.engines {
		if e.Available {
			d.add(p, e, e.Role, 1)
		}
	}
	return d
}

func (d *division) add(p *Planner, e *engine, role fleet.Role, sign float64) {
	switch role {
	case fleet.RolePrefill:
		d.prefill += sign * e.prefillRate
	case fleet.RoleDecode:
		d.decode += sign * e.decodeRate
	default:
		d.mixedPrefill += sign * p.config.MixedEfficiency * e.prefillRate
		d.mixedDecode += sign * p.config.MixedEfficiency * e.decodeRate
	}
}

// with returns the division after a change of one engine.
func (d division) with(p *Planner, e *engine, to fleet.Role) division {
	d.add(p, e, e.Role, -1)
	d.add(p, e, to, 1)
	return d
}

// carried returns the part of a demand, in tokens per second, that a division
// carries on time, 0 to 1; share is the prefill share of the work.
func carried(d division, demand sample, share float64) float64 {
	prefillOn := func(part float64) float64 {
		return math.Min(1, prefillUse*(d.prefill+part*d.mixedPrefill)/math.Max(demand.prompt, engineSecondFloor))
	}
	decodeOn := func(part float64) float64 {
		return math.Min(1, (d.decode+part*d.mixedDecode)/math.Max(demand.output, engineSecondFloor))
	}
	best := 0.0
	for i := range mixedSteps + 1 {
		part := float64(i) / mixedSteps
		best = math.Max(best, share*prefillOn(part)+(1-share)*math.Pow(decodeOn(1-part), decodeLoss))
		if d.mixedPrefill == 0 {
			break
		}
	}
	return best
}

package role

import (
	"fmt"
	"math"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// candidate is a possible change. gain is its gain in engine-seconds,
// servedGain the increase of the served share of the demand.
type candidate struct {
	engine     *engine
	to         fleet.Role
	gain       float64
	servedGain float64
}

// propose issues a change with nearly the best gain, if any change is worth its
// cost.
func (p *Planner) propose(now fleet.Instant, g *group, d sample) {
	g.setMeanContext(d)
	prefill, decode := g.engineSeconds(d)
	totalWork := prefill + decode
	if totalWork < minDivisor {
		return
	}
	share := prefill / totalWork
	present := p.capacityOf(g)
	before := servedShare(present, d, share)
	nextMixes := g.otherMixes(share)
	nextBefore := p.meanServedAfterShift(g, present, nil, nextMixes)
	var candidates []candidate
	best := 0.0
	for _, e := range g.engines {
		if !g.changeable(now, e) {
			continue
		}
		for _, r := range [...]fleet.Role{fleet.RolePrefill, fleet.RoleDecode} {
			if r == e.Role {
				continue
			}
			changed := present.withRole(p, e, r)
			rise := servedShare(changed, d, share) - before
			if rise < minGain {
				continue
			}
			rise += p.meanServedAfterShift(g, changed, &candidate{engine: e, to: r}, nextMixes) - nextBefore
			cost := g.ChangeWeight * p.config.ChangeTime.Seconds() * g.relativeSpeed(e)
			gain := rise*totalWork*g.dwellSeconds - cost
			if rise >= minGain && gain > 0 {
				candidates = append(candidates, candidate{e, r, gain, rise})
				best = math.Max(best, gain)
			}
		}
	}
	if len(candidates) == 0 {
		return
	}
	chosen := pickCandidate(candidates, best)
	g.changesLeft--
	g.pending, g.pendingTo, g.pendingAt = chosen.engine.Upstream, chosen.to, now
	p.ready = append(p.ready, Change{
		Group: g.Name, Upstream: chosen.engine.Upstream, To: chosen.to,
		Reason: fmt.Sprintf("prefill is %.0f%% of the work; changing from %s to %s serves %.0f%% more of the demand on time, a gain of %.0f engine-seconds over an expected %.0f s",
			100*share, chosen.engine.Role, chosen.to, 100*chosen.servedGain, chosen.gain, g.dwellSeconds),
	})
}

// mix is a demand in tokens per second with the prefill share of its work.
type mix struct {
	demand sample
	share  float64
}

// otherMixes returns the recent mixes that differ from the present one.
func (g *group) otherMixes(share float64) []mix {
	var out []mix
	for _, d := range g.recentMixes {
		if s := g.prefillShare(d); math.Abs(s-share) > shiftDistance {
			out = append(out, mix{d, s})
		}
	}
	return out
}

// meanServedAfterShift returns the mean share of the given mixes that is served
// after a shift to each of them and the changes that a shift allows. It keeps
// the planner from roles that suit the present mix but are too far from those
// that the next mixes need.
func (p *Planner) meanServedAfterShift(g *group, c capacity, done *candidate, mixes []mix) float64 {
	sum := 0.0
	for _, m := range mixes {
		sum += p.servedAfterChanges(g, c, done, m) / float64(len(mixes))
	}
	return sum
}

// servedAfterChanges returns the share of a mix that is served after the best
// changes of one shift, chosen greedily. done is a change that has already been
// applied to present, or nil.
func (p *Planner) servedAfterChanges(g *group, present capacity, done *candidate, m mix) float64 {
	var changed [changesPerShift]*engine
	best := servedShare(present, m.demand, m.share)
	for i := range g.changesPerShift() {
		next := present
		var tried [numberOfRoles]int
		for _, e := range g.engines {
			role := e.Role
			if done != nil && done.engine == e {
				role = done.to
			}
			if !e.Available || slices.Contains(changed[:i], e) || tried[role] == maxTriedEngines {
				continue
			}
			tried[role]++
			for _, r := range [...]fleet.Role{fleet.RolePrefill, fleet.RoleDecode} {
				changedCapacity := present
				changedCapacity.add(p, e, role, -1)
				changedCapacity.add(p, e, r, 1)
				if served := servedShare(changedCapacity, m.demand, m.share); served > best {
					best, next, changed[i] = served, changedCapacity, e
				}
			}
		}
		present = next
	}
	return best
}

// pickCandidate returns the candidate with the least loaded engine among those
// with nearly the best gain.
func pickCandidate(candidates []candidate, best float64) candidate {
	var out candidate
	for _, c := range candidates {
		if c.gain < tieGainShare*best {
			continue
		}
		if out.engine == nil || c.engine.Load < out.engine.Load {
			out = c
		}
	}
	return out
}

// changeable reports whether an engine's role may change. It excludes engines
// that are unavailable or have a stale report, and the last available engine of
// a role.
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

// relativeSpeed returns an engine's speed relative to the group's mean.
func (g *group) relativeSpeed(e *engine) float64 {
	var prefill, decode, n float64
	for _, o := range g.engines {
		prefill += o.prefillRate
		decode += o.decodeRate
		n++
	}
	return (e.prefillRate*n/prefill + e.decodeRate*n/decode) / 2
}

// capacity is the capacity of the available engines in tokens per second. It
// excludes work outside an engine's role: decode engines exceed the first-token
// target on long prompts, and prefill engines exceed the token gap target.
// Mixed engines count for both.
type capacity struct{ prefill, decode, mixedPrefill, mixedDecode float64 }

func (p *Planner) capacityOf(g *group) capacity {
	var c capacity
	for _, e := range g.engines {
		if e.Available {
			c.add(p, e, e.Role, 1)
		}
	}
	return c
}

func (c *capacity) add(p *Planner, e *engine, role fleet.Role, sign float64) {
	switch role {
	case fleet.RolePrefill:
		c.prefill += sign * e.prefillRate
	case fleet.RoleDecode:
		c.decode += sign * e.decodeRate
	default:
		c.mixedPrefill += sign * p.config.MixedEfficiency * e.prefillRate
		c.mixedDecode += sign * p.config.MixedEfficiency * e.decodeRate
	}
}

// withRole returns the capacity after a change of one engine.
func (c capacity) withRole(p *Planner, e *engine, to fleet.Role) capacity {
	c.add(p, e, e.Role, -1)
	c.add(p, e, to, 1)
	return c
}

// servedShare returns the share of a demand, in tokens per second, that is
// served on time, 0 to 1, if mixed engines divide their time between prefill
// and decode in the best way. share is the prefill share of the work.
func servedShare(c capacity, demand sample, share float64) float64 {
	prefillOn := func(part float64) float64 {
		return math.Min(1, prefillUtilisation*(c.prefill+part*c.mixedPrefill)/math.Max(demand.prompt, minDivisor))
	}
	decodeOn := func(part float64) float64 {
		return math.Min(1, (c.decode+part*c.mixedDecode)/math.Max(demand.output, minDivisor))
	}
	best := 0.0
	for i := range mixedSteps + 1 {
		part := float64(i) / mixedSteps
		best = math.Max(best, share*prefillOn(part)+(1-share)*math.Pow(decodeOn(1-part), decodeShortfallExponent))
		if c.mixedPrefill == 0 {
			break
		}
	}
	return best
}

package mixshift

import (
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/emulator"
)

// iterationBaseShare is the fraction of time that an engine of speed 1 spends on the
// fixed cost of iterations if each iteration is as long as the token gap allows.
const iterationBaseShare = float64(emulator.IterationBase) / float64(tokenGap)

// prefillBaseShare is that fraction for iterations with the full chunk of a prefill
// engine, 8192 tokens.
const prefillBaseShare = float64(emulator.IterationBase) / (float64(emulator.IterationBase) + 8192*float64(emulator.PrefillPerToken))

// engineRates holds how much work an engine does per second if it does only that
// work, in seconds of an engine of speed 1.
type engineRates struct{ prefill, decode float64 }

// engineRatesOf returns the rates of an engine with the given speed and role.
func engineRatesOf(speed float64, role fleet.Role) engineRates {
	usable := speed - iterationBaseShare
	r := engineRates{
		prefill: usable * emulator.PrefillEfficiency(role),
		decode:  usable * emulator.DecodeEfficiency(role),
	}
	if role == fleet.RolePrefill {
		r.prefill = speed * (1 - prefillBaseShare)
	}
	return r
}

// fluidCapacity returns the highest rate of work with the given prefill share that
// engines with fixed roles can do if the work is divided among them without loss.
func fluidCapacity(engines []engineRates, prefillShare float64) float64 {
	// In the order of comparative advantage for prefill, the best division
	// gives prefill to the engines before a threshold and decode to the rest.
	order := append([]engineRates(nil), engines...)
	sort.Slice(order, func(i, j int) bool {
		return order[i].prefill*order[j].decode > order[j].prefill*order[i].decode
	})
	decode := 0.0
	for _, e := range order {
		decode += e.decode
	}
	prefill := 0.0
	for _, e := range order {
		// Engine e spends the fraction x of its time on prefill so that
		// (prefill + x*e.prefill)/(decode - x*e.decode) = share/(1-share).
		k := prefillShare / (1 - prefillShare)
		x := (k*decode - prefill) / (e.prefill + k*e.decode)
		if x <= 1 {
			x = max(0, x)
			return min((prefill+x*e.prefill)/prefillShare, (decode-x*e.decode)/(1-prefillShare))
		}
		prefill += e.prefill
		decode -= e.decode
	}
	return prefill / prefillShare
}

// bestDivision returns the highest fluid capacity over all assignments of roles to
// engines, and the roles that reach it. Engines of the same speed are
// interchangeable.
func (d Deployment) bestDivision(engineSpeeds []float64, prefillShare float64) (float64, []fleet.Role) {
	byClass := map[float64][]int{}
	var classes []float64
	for i, s := range engineSpeeds {
		if byClass[s] == nil {
			classes = append(classes, s)
		}
		byClass[s] = append(byClass[s], i)
	}
	search := divisionSearch{share: prefillShare, speeds: engineSpeeds, roles: make([]fleet.Role, len(engineSpeeds))}
	search.assign(classes, byClass)
	return search.best, search.bestRoles
}

// divisionSearch tries all assignments of roles and keeps the best one.
type divisionSearch struct {
	share     float64
	speeds    []float64
	roles     []fleet.Role
	best      float64
	bestRoles []fleet.Role
}

// assign tries all roles for the engines of classes, the speed classes that are left.
// byClass holds the engines of each speed class.
func (s *divisionSearch) assign(classes []float64, byClass map[float64][]int) {
	if len(classes) == 0 {
		s.evaluate()
		return
	}
	group := byClass[classes[0]]
	for prefill := 0; prefill <= len(group); prefill++ {
		for mixed := 0; prefill+mixed <= len(group); mixed++ {
			for i, engine := range group {
				s.roles[engine] = roleAt(i, prefill, mixed)
			}
			s.assign(classes[1:], byClass)
		}
	}
}

// roleAt returns the role of engine i of a speed class whose first engines prefill, the
// next ones are mixed and the others decode.
func roleAt(i, prefill, mixed int) fleet.Role {
	switch {
	case i < prefill:
		return fleet.RolePrefill
	case i < prefill+mixed:
		return fleet.RoleMixed
	default:
		return fleet.RoleDecode
	}
}

// evaluate keeps the current roles if their fluid capacity is the highest so far.
func (s *divisionSearch) evaluate() {
	rates := make([]engineRates, len(s.roles))
	for i, r := range s.roles {
		rates[i] = engineRatesOf(s.speeds[i], r)
	}
	if c := fluidCapacity(rates, s.share); c > s.best {
		s.best = c
		s.bestRoles = append([]fleet.Role(nil), s.roles...)
	}
}

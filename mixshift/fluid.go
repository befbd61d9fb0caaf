package mixshift

import (
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/emulator"
)

// baseShare is the part of a slowest engine's time that the fixed cost of
// iterations takes when each iteration lasts as long as the token gap allows.
const baseShare = float64(emulator.IterationBase) / float64(tokenGap)

// prefillBase is the same for iterations with a full prefill chunk.
const prefillBase = float64(emulator.IterationBase) / (float64(emulator.IterationBase) + 8192*float64(emulator.PrefillPerToken))

// rates of an engine in engine seconds per second for each sort of work.
type engineRates struct{ prefill, decode float64 }

func ratesOf(speed float64, role fleet.Role) engineRates {
	usable := speed - baseShare
	r := engineRates{
		prefill: usable * emulator.PrefillEfficiency(role),
		decode:  usable * emulator.DecodeEfficiency(role),
	}
	if role == fleet.RolePrefill {
		r.prefill = speed * (1 - prefillBase)
	}
	return r
}

// fluidCapacity returns the largest rate of work with the given prefill share
// that engines of fixed roles carry when work is divided without loss.
func fluidCapacity(engines []engineRates, prefillShare float64) float64 {
	// Engines take prefill in the order of their comparative advantage, so
	// the best division is a threshold in that order.
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
		// Engine e splits its time: x for prefill. Balance the two sorts.
		// (prefill + x*e.prefill)/(decode - x*e.decode) = share/(1-share)
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

// bestDivision returns the largest capacity over all assignments of whole
// engines to roles, and the roles that reach it. Engines of one speed are
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

type divisionSearch struct {
	share     float64
	speeds    []float64
	roles     []fleet.Role
	best      float64
	bestRoles []fleet.Role
}

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

func (s *divisionSearch) evaluate() {
	rates := make([]engineRates, len(s.roles))
	for i, r := range s.roles {
		rates[i] = ratesOf(s.speeds[i], r)
	}
	if c := fluidCapacity(rates, s.share); c > s.best {
		s.best = c
		s.bestRoles = append([]fleet.Role(nil), s.roles...)
	}
}

package fleetsize

import (
	"math"
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/routes"
)

// requirement is what a fleet must hold.
type requirement struct {
	// all is the least number of servers, spotLoss the least number after the loss
	// of all spot servers of one data centre, and centreLoss the least number
	// after the loss of one data centre.
	all, spotLoss, centreLoss int
	// floor is the least number of servers by data centre.
	floor map[fleet.DataCentre]int
}

// metBy reports whether a fleet meets the requirement.
func (r requirement) metBy(n map[Pool]int) bool {
	total, spot, centre := losses(n)
	perCentre := map[fleet.DataCentre]int{}
	for id, count := range n {
		perCentre[id.DataCentre] += count
	}
	for dc, floor := range r.floor {
		if perCentre[dc] < floor {
			return false
		}
	}
	return total >= r.all && total-spot >= r.spotLoss && total-centre >= r.centreLoss
}

// losses returns the number of servers of a fleet, and the largest numbers that the
// loss of all spot servers of one data centre and that of one data centre take.
func losses(n map[Pool]int) (total, spot, centre int) {
	perCentre := map[fleet.DataCentre]int{}
	for id, count := range n {
		total += count
		perCentre[id.DataCentre] += count
		if id.Spot {
			spot = max(spot, count)
		}
	}
	for _, count := range perCentre {
		centre = max(centre, count)
	}
	return total, spot, centre
}

// cost returns the cost per second of a fleet.
func cost(s *routes.Scaling, n map[Pool]int) float64 {
	sum := 0.0
	for id, count := range n {
		sum += float64(count) * s.Price(id.DataCentre, id.Spot)
	}
	return sum
}

// maxSteps bounds the bounds that cheapest tries of each kind, so that the search
// stays short with hundreds of servers.
const maxSteps = 40

// cheapest returns the cheapest fleet that meets the requirement and has at least
// the servers of base, or the one that comes nearest to it within the maximum of
// each data centre. It tries bounds on the spot servers and on all servers of a
// data centre: with a bound, the number of servers that meets the requirement is
// known, and they are taken where they are cheapest. With spotOnly, no regular
// servers are added to the base.
func (p *Planner) cheapest(scaling *routes.Scaling, need requirement, base map[Pool]int, spotOnly bool, now fleet.Instant) map[Pool]int {
	least, leastSpot := 0, 0
	for id := range p.pools {
		dc := id.DataCentre
		least = max(least, need.floor[dc], base[Pool{dc, false}]+base[Pool{dc, true}])
		leastSpot = max(leastSpot, base[Pool{dc, true}])
	}
	most := max(least, min(max(need.all, need.spotLoss, need.centreLoss), scaling.Max))
	f := p.newFiller(scaling, need, base, spotOnly, now)
	var best []int
	bestMissing, bestCost := math.MaxInt, math.Inf(1)
	step := max(1, (most+maxSteps-1)/maxSteps)
	for all := least; ; all = min(all+step, most) {
		for spot := min(leastSpot, all); ; spot = min(spot+step, all) {
			if missing, c := f.fill(all, spot); missing < bestMissing || (missing == bestMissing && c < bestCost-1e-9) {
				best, bestMissing, bestCost = append(best[:0], f.count...), missing, c
			}
			if spot >= all {
				break
			}
		}
		if all >= most {
			break
		}
	}
	out := make(map[Pool]int, len(best))
	for i, n := range best {
		out[f.units[i].Pool] = n
	}
	return out
}

// unit is a kind of server that can be had in a data centre.
type unit struct {
	Pool
	price float64
	// most is the number that can be had, and base the number that is there.
	most, base int
	// centre is the index of the data centre.
	centre int
}

// filler takes servers where they are cheapest. Its slices are reused, since a
// decision tries hundreds of bounds.
type filler struct {
	need      requirement
	centreMax int
	// units are what can be had, the cheapest first, and floors the least number
	// of servers by the index of the data centre.
	units  []unit
	floors []int
	// count is the number of servers by the index of the unit, and perCentre that
	// by the index of the data centre.
	count, perCentre []int
	total            int
}

// newFiller returns a filler for what can be had. Of a kind that was refused only
// the servers of base can be had, or those that are ordered without a base.
func (p *Planner) newFiller(scaling *routes.Scaling, need requirement, base map[Pool]int, spotOnly bool, now fleet.Instant) *filler {
	f := &filler{need: need, centreMax: scaling.Max}
	centres := map[fleet.DataCentre]int{}
	for _, s := range p.sorted() {
		centre, ok := centres[s.DataCentre]
		if !ok {
			centre = len(centres)
			centres[s.DataCentre] = centre
			f.floors = append(f.floors, need.floor[s.DataCentre])
		}
		u := unit{Pool: s.Pool, price: scaling.Price(s.DataCentre, s.Spot), most: scaling.Max, base: base[s.Pool], centre: centre}
		switch {
		case spotOnly && !s.Spot:
			u.most = u.base
		case now >= s.refusedUntil:
		case base == nil:
			// Servers that are late may still come.
			u.most = s.wanted
		default:
			u.most = u.base
		}
		f.units = append(f.units, u)
	}
	sort.SliceStable(f.units, func(i, j int) bool { return f.units[i].price < f.units[j].price })
	f.count, f.perCentre = make([]int, len(f.units)), make([]int, len(f.floors))
	return f
}

// add adds up to n servers of a unit, with at most spot spot servers and all
// servers in its data centre.
func (f *filler) add(i, n, all, spot int) {
	u := &f.units[i]
	bound := min(u.most, all)
	if u.Spot {
		bound = min(bound, spot)
	}
	n = max(min(n, bound-f.count[i], min(all, f.centreMax)-f.perCentre[u.centre]), 0)
	f.count[i] += n
	f.perCentre[u.centre] += n
	f.total += n
}

// fill sets count to the servers of the base with the cheapest ones added until the
// requirement is met, with at most spot spot servers and all servers in each data
// centre. It returns the number of servers that could not be had and the cost per
// second.
func (f *filler) fill(all, spot int) (missing int, cost float64) {
	f.total = 0
	clear(f.perCentre)
	for i, u := range f.units {
		f.count[i] = u.base
		f.perCentre[u.centre] += u.base
		f.total += u.base
	}
	for i, u := range f.units {
		f.add(i, f.floors[u.centre]-f.perCentre[u.centre], all, spot)
	}
	for centre, floor := range f.floors {
		missing += max(floor-f.perCentre[centre], 0)
	}
	wanted := max(f.need.all, f.need.spotLoss+spot, f.need.centreLoss+all)
	for i, u := range f.units {
		f.add(i, wanted-f.total, all, spot)
		cost += float64(f.count[i]) * u.price
	}
	return missing + max(wanted-f.total, 0), cost
}

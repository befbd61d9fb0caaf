// Package stageplan divides the engines of a service between the prefill and
// the decode stage and says which engine changes next. Answers are short and
// prompts long, so most of the work is reading; a change takes an engine out of
// service for seconds, so a division that is near enough stays.
package stageplan

import (
	"math"
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Change is one engine's next stage.
type Change struct {
	Server placement.Server
	Stage  fleet.Role
}

// Plan is what division is wanted.
type Plan struct {
	// PrefillShare is the part of the engines at the prefill stage.
	PrefillShare float64
	// Tolerance is how many engines the division may be off.
	Tolerance int
}

const (
	// leastDecode and decodePerSlot give the part of the engines that make
	// answers, by the number of requests that an engine runs at once: with few
	// slots, more engines are needed to hold the same answers.
	leastDecode   = 0.22
	decodePerSlot = 1.6
	mostDecode    = 0.6
	// dearTransfer is the time to move the KV cache of a token, as a share of the
	// time to read one, above which all engines make answers and read the prompts
	// themselves: a prompt is moved whole while most of it need not be read.
	// usualRead is the reading speed that is assumed, in tokens a second.
	dearTransfer = 0.25
	usualRead    = 40_000.0
	// decodePerTolerated is how many engines at the decode stage make the loss
	// of one of them bearable. Without room there nothing can be answered,
	// while fewer engines at the prefill stage only read more slowly.
	decodePerTolerated = 8
)

// For returns the plan for a service's engines.
func For(e *routes.Engine, tolerance int) Plan {
	if e.LinkBytesPerSecond > 0 && e.KVBytesPerToken/e.LinkBytesPerSecond > dearTransfer/usualRead {
		return Plan{PrefillShare: 0, Tolerance: tolerance}
	}
	slots := e.Slots
	decode := min(leastDecode+decodePerSlot/float64(max(slots, 1)), mostDecode)
	return Plan{PrefillShare: 1 - decode, Tolerance: tolerance}
}

// Changes returns the changes that bring the division to the plan; none while it
// is within the tolerance. Leaving engines and those without a stage are left
// out.
func (p Plan) Changes(servers []placement.Server) []Change {
	var prefill, decode []placement.Server
	for _, s := range servers {
		switch {
		case s.Leaving:
		case s.Stage == fleet.RolePrefill:
			prefill = append(prefill, s)
		case s.Stage == fleet.RoleDecode:
			decode = append(decode, s)
		}
	}
	total := len(prefill) + len(decode)
	if total < 2 {
		return nil
	}
	wanted := min(max(int(math.Round(p.PrefillShare*float64(total))), 1), total-1)
	if p.PrefillShare == 0 {
		wanted = 0
	}
	missing := wanted - len(prefill)
	switch {
	case missing > p.Tolerance:
		return pick(decode, prefill, missing, fleet.RolePrefill)
	case -missing > min(p.Tolerance, len(decode)/decodePerTolerated):
		return pick(prefill, decode, -missing, fleet.RoleDecode)
	default:
		return nil
	}
}

// pick chooses n of from, each time in the data centre that has most of them
// over those that are at the wanted stage already, so that every data centre
// keeps both stages where it can.
func pick(from, at []placement.Server, n int, stage fleet.Role) []Change {
	sort.Slice(from, func(i, j int) bool {
		return membership.Hash(string(from[i].ID)) < membership.Hash(string(from[j].ID))
	})
	surplus := map[fleet.DataCentre]int{}
	for _, s := range from {
		surplus[s.DataCentre]++
	}
	for _, s := range at {
		surplus[s.DataCentre]--
	}
	var out []Change
	used := map[fleet.UpstreamID]bool{}
	for range n {
		best := -1
		for i, s := range from {
			if !used[s.ID] && (best < 0 || surplus[s.DataCentre] > surplus[from[best].DataCentre]) {
				best = i
			}
		}
		s := from[best]
		used[s.ID] = true
		surplus[s.DataCentre] -= 2
		out = append(out, Change{Server: s, Stage: stage})
	}
	return out
}

// Package stageplan divides the engines of a service between the prefill and
// the decode stage and selects the engines to change. Prompts are long and
// answers short, so most of the work is prefill. A change takes an engine out
// of service for seconds, so a division within the tolerance is left alone.
package stageplan

import (
	"math"
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Change is an engine and the stage that it should change to.
type Change struct {
	Server placement.Server
	Stage  fleet.Role
}

// Plan is the desired division of engines.
type Plan struct {
	// PrefillShare is the share of the engines at the prefill stage.
	PrefillShare float64
	// Tolerance is the number of engines by which the division may differ from
	// PrefillShare.
	Tolerance int
}

const (
	// minDecodeShare, decodeSharePerSlot and maxDecodeShare give the share of
	// decode engines as minDecodeShare + decodeSharePerSlot/slots, at most
	// maxDecodeShare: with fewer slots per engine, more engines are needed for
	// the same number of answers.
	minDecodeShare     = 0.22
	decodeSharePerSlot = 1.6
	maxDecodeShare     = 0.6
	// maxTransferShare is the time to transfer the KV cache of a token, as a
	// share of the token's prefill time, above which all engines decode and
	// prefill the prompts themselves: the KV cache of the whole prompt is
	// transferred, while most of the prompt is cached and needs no prefill.
	// usualPrefillSpeed is the assumed prefill speed in tokens per second.
	maxTransferShare  = 0.25
	usualPrefillSpeed = 40_000.0
	// minDecodePerLoss is the number of decode engines for each one that may be
	// missing within the tolerance. Without decode capacity no request can be
	// answered, while fewer prefill engines only make prefill slower.
	minDecodePerLoss = 8
)

// New returns the plan for a service's engines. tolerance is the number of
// engines by which the division may differ from the plan.
func New(e *routes.Engine, tolerance int) Plan {
	if e.LinkBytesPerSecond > 0 && e.KVBytesPerToken/e.LinkBytesPerSecond > maxTransferShare/usualPrefillSpeed {
		return Plan{PrefillShare: 0, Tolerance: tolerance}
	}
	slots := e.Slots
	decode := min(minDecodeShare+decodeSharePerSlot/float64(max(slots, 1)), maxDecodeShare)
	return Plan{PrefillShare: 1 - decode, Tolerance: tolerance}
}

// Changes returns the changes that bring the division to the plan; none while
// it is within the tolerance. Leaving engines and those without a stage are
// ignored.
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
	case -missing > min(p.Tolerance, len(decode)/minDecodePerLoss):
		return pick(prefill, decode, -missing, fleet.RoleDecode)
	default:
		return nil
	}
}

// pick returns the changes of n servers of from to the stage. staying are the
// servers that are already there. Each change takes a server of the data centre
// with the largest surplus of from over staying, so that every data centre
// keeps both stages where possible. It reorders from, by the hash of the id.
func pick(from, staying []placement.Server, n int, stage fleet.Role) []Change {
	sort.Slice(from, func(i, j int) bool {
		return membership.Hash(string(from[i].ID)) < membership.Hash(string(from[j].ID))
	})
	surplus := map[fleet.DataCentre]int{}
	for _, s := range from {
		surplus[s.DataCentre]++
	}
	for _, s := range staying {
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

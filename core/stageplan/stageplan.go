// Package stageplan divides the engines of a service between the prefill and
// the decode stage and selects the engines to change. Until demand has been
// measured, the division follows the declared slots. Then it follows the
// measured demand and the engines' measured rates. A change takes an engine out
// of service for seconds, so a division that is nearly as good as the best one
// is left alone.
package stageplan

import (
	"math"
	"sort"
	"time"

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

// Input is what a division is planned from.
type Input struct {
	// Engines are all engines of the service; one that is being changed counts
	// at its new stage.
	Engines []placement.EngineState
	Load    placement.ServiceLoad
	// DecodeShare is the share of decode engines that the last plan led to, or
	// the declared one. The division returns to it when engines are lost,
	// replaced or added.
	DecodeShare float64
	// Settled reports whether all engines can be expected to be listed.
	Settled bool
	// MayRestore reports whether the division may return to DecodeShare; it may
	// in any case while a stage has no engine.
	MayRestore bool
}

// Reason says what a division follows; its values are logged.
type Reason string

// Reasons for a division.
const (
	// ReasonShare means the share of the last plan or the declared one.
	ReasonShare Reason = "share"
	// ReasonMeasured means the measured demand and rates.
	ReasonMeasured Reason = "measured"
	// ReasonUnmeasured means that the division is left alone until the demand
	// is measured.
	ReasonUnmeasured Reason = "unmeasured"
)

// Plan is a division and the changes that lead to it.
type Plan struct {
	Reason  Reason
	Changes []Change
	// Prefill and Decode are the numbers of engines at each stage before the
	// changes.
	Prefill, Decode int
	// PrefillUse and DecodeUse are the demand as a share of the stages'
	// capacities before the changes; 0 while they are not measured.
	PrefillUse, DecodeUse float64
	// DecodeShare is the share of decode engines that the plan leads to.
	DecodeShare float64
	// PrefillWait and DecodeWait are the mean queueing times at the stages, as
	// shares of the latency targets.
	PrefillWait, DecodeWait float64
	// CostNow and CostPlanned are the costs of the present and of the planned
	// division.
	CostNow, CostPlanned float64
}

const (
	// minDecodeShare, decodeSharePerSlot and maxDecodeShare give the declared
	// share of decode engines as minDecodeShare + decodeSharePerSlot/slots for
	// streams of usualStreamTimeout, at most maxDecodeShare: with fewer slots
	// per engine, more engines are needed for the same number of answers.
	minDecodeShare     = 0.22
	decodeSharePerSlot = 2.0
	maxDecodeShare     = 0.6
	usualStreamTimeout = 4 * time.Second
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
	// enginesPerTolerance is the number of engines for each one by which the
	// division may be off while there is traffic: a change takes an engine out
	// of service for seconds.
	enginesPerTolerance = 12
	// minMeasured is the time and minRequests the number of requests from which
	// a demand counts as measured.
	minMeasured = 5 * time.Second
	minRequests = 100.0
	// decodeExponent, prefillExponent and prefillWeight give the cost of a
	// division from the use of its stages. The many slots of the decode stage
	// hardly queue until they are nearly full, and then all answers wait. The
	// few engines of the prefill stage run one long prompt after the other, so
	// that prompts wait at half the capacity.
	decodeExponent  = 4
	prefillExponent = 2
	prefillWeight   = 3.0
	// minGain is the ratio between the costs of the present and of the planned
	// division from which engines are changed. A mix that alternates within
	// seconds moves the costs by less.
	minGain = 1.25
	// minWait is the mean queueing time at a stage, as a share of the latency
	// targets, from which engines are moved there, and waitRatio the ratio to
	// that at the other stage.
	minWait   = 0.25
	waitRatio = 2.0
	// relievedUse bounds the use of the stage that gives engines away.
	relievedUse = 0.6
	// limitedUse is the use of a stage beyond which engines are moved there while
	// engines name limits.
	limitedUse = 1.0
	// maxMoved is the share of a stage's engines that one plan changes.
	maxMoved = 0.34
	// minFactor and maxFactor bound the speed of an engine relative to its
	// stage, from which its rate at the other stage is estimated.
	minFactor, maxFactor = 0.4, 2.5
)

// AllDecode reports whether links are so slow that no engine should be at the
// prefill stage.
func AllDecode(e *routes.Engine) bool {
	return e.LinkBytesPerSecond > 0 && e.KVBytesPerToken/e.LinkBytesPerSecond > maxTransferShare/usualPrefillSpeed
}

// New returns the plan for a service's engines.
func New(e *routes.Engine, in Input) Plan {
	var plan Plan
	for _, s := range in.Engines {
		if s.Leaving {
			continue
		}
		switch s.Stage {
		case fleet.RolePrefill:
			plan.Prefill++
		case fleet.RoleDecode:
			plan.Decode++
		}
	}
	plan.DecodeShare = in.DecodeShare
	measured := in.Load.MeasuredFor >= minMeasured && in.Load.Requests*in.Load.MeasuredFor.Seconds() >= minRequests
	if measured && !AllDecode(e) && plan.Prefill+plan.Decode >= 2 {
		if d, ok := newDivision(in); ok {
			d.plan(&plan)
			if len(plan.Changes) > 0 {
				plan.DecodeShare = shareAfter(plan)
				return plan
			}
		}
	}
	plan.Reason = ReasonUnmeasured
	if in.Settled && (in.MayRestore || plan.Decode == 0 || (plan.Prefill == 0 && !AllDecode(e))) {
		plan.Reason = ReasonShare
		tolerance := 0
		if in.Load.MeasuredFor > 0 {
			tolerance = max(1, (plan.Prefill+plan.Decode)/enginesPerTolerance)
		}
		plan.Changes = shareChanges(in.DecodeShare, tolerance, in.Engines)
	}
	return plan
}

// shareAfter returns the share of decode engines after a plan's changes.
func shareAfter(p Plan) float64 {
	decode := p.Decode
	for _, c := range p.Changes {
		if c.Stage == fleet.RoleDecode {
			decode++
		} else {
			decode--
		}
	}
	return float64(decode) / float64(p.Prefill+p.Decode)
}

// DeclaredShare returns the share of decode engines for the declared slots and
// links, and the mean timeout of the streams: the longer an answer may take, the
// longer it holds a slot.
func DeclaredShare(e *routes.Engine, streamTimeout time.Duration) float64 {
	if AllDecode(e) {
		return 1
	}
	if streamTimeout <= 0 {
		streamTimeout = usualStreamTimeout
	}
	share := minDecodeShare + decodeSharePerSlot/float64(max(e.Slots, 1))
	return min(share*float64(streamTimeout)/float64(usualStreamTimeout), maxDecodeShare)
}

// shareChanges returns the changes that bring the division to a share of decode
// engines; none while it is off by at most the tolerance. A decode engine that
// few others stand in for is replaced in any case. Leaving engines and those
// without a stage are ignored.
func shareChanges(decodeShare float64, tolerance int, engines []placement.EngineState) []Change {
	var prefill, decode []placement.Server
	unmeasured := map[fleet.UpstreamID]bool{}
	for _, s := range engines {
		if s.PrefillRate == 0 && s.DecodeRate == 0 {
			unmeasured[s.ID] = true
		}
		switch {
		case s.Leaving:
		case s.Stage == fleet.RolePrefill:
			prefill = append(prefill, s.Server)
		case s.Stage == fleet.RoleDecode:
			decode = append(decode, s.Server)
		}
	}
	total := len(prefill) + len(decode)
	if total < 2 {
		return nil
	}
	wanted := 0
	if decodeShare < 1 {
		wanted = min(max(int(math.Round((1-decodeShare)*float64(total))), 1), total-1)
	}
	switch missing := wanted - len(prefill); {
	case missing > tolerance:
		return pick(decode, prefill, unmeasured, missing, fleet.RolePrefill)
	case -missing > min(tolerance, len(decode)/minDecodePerLoss):
		return pick(prefill, decode, unmeasured, -missing, fleet.RoleDecode)
	default:
		return nil
	}
}

// pick returns the changes of n servers of from to the stage. staying are the
// servers that are already there. Servers that have not been measured are taken
// first, since they have run nothing and have no prompt parts cached. Each change
// takes a server of the data centre with the largest surplus of from over staying,
// so that every data centre keeps both stages where possible. It reorders from, by
// the hash of the id.
func pick(from, staying []placement.Server, unmeasured map[fleet.UpstreamID]bool, n int, stage fleet.Role) []Change {
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
			switch {
			case used[s.ID]:
			case best < 0, unmeasured[s.ID] && !unmeasured[from[best].ID]:
				best = i
			case unmeasured[s.ID] == unmeasured[from[best].ID] && surplus[s.DataCentre] > surplus[from[best].DataCentre]:
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

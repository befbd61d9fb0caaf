package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/routes"
)

const (
	// decodeSlowdown is the factor by which prefill is slower on an engine that
	// also decodes.
	decodeSlowdown = 2.0
	// crossCentreFactor is the factor by which a transfer between data centres
	// takes longer than one within a data centre.
	crossCentreFactor = 2
	// interferenceCost is the delay that prefill on a decoding engine causes to
	// its running answers whatever the prompt's length. interferenceShare is
	// the share of the prefill time by which each answer is delayed in
	// addition: it waits for a piece of prefill before each of its events.
	interferenceCost  = 30 * time.Millisecond
	interferenceShare = 0.3
)

func isPrefill(s *server) bool { return s.Stage == fleet.RolePrefill }
func isDecode(s *server) bool  { return s.Stage == fleet.RoleDecode }

// sharedPart returns the longest part that other requests can share, and the
// number of prompt tokens up to its end; id is "" when there is none.
func sharedPart(r *call.Request) (id string, tokens float64) {
	longest := 0
	upTo := 0
	for i, p := range r.Parts {
		if i == len(r.Parts)-1 && i > 0 {
			break
		}
		upTo += p.Tokens
		if p.Tokens > longest {
			id, tokens, longest = p.ID, float64(upTo), p.Tokens
		}
	}
	return id, tokens
}

// weightStep is the ratio between adjacent home weights. Weights are rounded to
// powers of it, so that instances with slightly different measurements agree.
const weightStep = 1.35

// homeWeight returns the weight of an engine with the given speed in the
// rendezvous hash.
func homeWeight(speed float64) float64 {
	return math.Pow(weightStep, math.Round(math.Log(speed)/math.Log(weightStep)))
}

// home returns the engine that a part is assigned to by weighted rendezvous
// hashing. The result is the same on all instances that know the same engines
// and speeds, and each engine gets parts in proportion to its speed.
func home(part string, list []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range list {
		uniform := (float64(membership.Hash(part, string(s.ID))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / s.weight; score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// prefillTime returns the time to prefill some tokens at a speed in tokens per
// millisecond.
func prefillTime(tokens, speed float64) time.Duration {
	return time.Duration(tokens / speed * float64(time.Millisecond))
}

// transferBetween returns the time of a transfer between two data centres;
// nominal is the time within one.
func transferBetween(nominal time.Duration, from, to fleet.DataCentre) time.Duration {
	if from != to {
		return crossCentreFactor * nominal
	}
	return nominal
}

// transferTime returns the time to transfer the KV cache of some tokens within
// a data centre; ok is false when the service does not declare its link and KV
// cache size.
func (f *Fleet) transferTime(group fleet.GroupName, tokens float64) (took time.Duration, ok bool) {
	if f.table == nil {
		return 0, false
	}
	service := f.table.Service(group)
	if service == nil || service.Engine == nil || service.Engine.LinkBytesPerSecond <= 0 {
		return 0, false
	}
	bytes := tokens * service.Engine.KVBytesPerToken
	return time.Duration(bytes / service.Engine.LinkBytesPerSecond * float64(time.Second)), true
}

// ChooseEngines chooses an engine for both ways to run a request: prefill on a
// separate engine of the prefill stage, or direct, on the engine that also
// decodes. split reports whether the first way should be taken. It is taken
// when engines for both stages are available, unless the transfer takes longer
// than the extra time of direct prefill, including the delay of running
// answers, and direct gives the earlier first event. DecodeWait of prefill is
// the wait for the answer's first event, so that a request that cannot be
// answered in time is refused before its prefill. When the transfer takes at
// most interferenceCost, direct is not computed and has no candidates.
func (f *Fleet) ChooseEngines(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (prefill, direct Choice, split bool) {
	prefill, split = f.ChoosePrefill(group, r, now, skip)
	decode, ok := f.ChooseDecode(group, r, prefill.Server, now, skip)
	if split && ok {
		prefill.DecodeWait, prefill.DecodeQueue, prefill.DecodeLateQueue = decode.Wait, decode.Queue, decode.LateQueue
		prefill.DecodeBacklog, prefill.Transfer = decode.Backlog, decode.Transfer
		if prefill.Transfer <= interferenceCost {
			return prefill, Choice{}, true
		}
	}
	direct, _ = f.ChooseDirect(group, r, now, skip)
	// Without an engine for decode the prefill would be wasted.
	return prefill, direct, split && ok && !f.splitCostsMore(prefill, direct, now)
}

// splitCostsMore reports whether the transfer takes longer than the extra time
// of direct prefill plus its interference with running answers, and direct
// gives the earlier first event.
func (f *Fleet) splitCostsMore(prefill, direct Choice, now fleet.Instant) bool {
	s := f.servers[direct.Server.ID]
	if s == nil {
		return false
	}
	directPrefill := direct.Wait - direct.Queue
	extra := directPrefill - (prefill.Wait - prefill.Queue)
	interference := interferenceCost + time.Duration(interferenceShare*float64(s.totalWork(now).Runs)*float64(directPrefill))
	return prefill.Transfer > extra+interference && direct.Wait+interference < prefill.Wait+prefill.DecodeWait
}

// EngineState is a listed engine with its measured rates, for planning the
// stages.
type EngineState struct {
	Server
	// PrefillRate is the measured prefill speed in prompt tokens per second, and
	// DecodeRate the number of events per second that the engine makes with all
	// slots in use; 0 when unknown.
	PrefillRate, DecodeRate float64
	// Limited reports whether the engine names a limit, and RateLimit is that
	// limit in requests per second.
	Limited   bool
	RateLimit float64
}

// Engines returns the listed engines of a service.
func (f *Fleet) Engines(service *routes.Service, now fleet.Instant) []EngineState {
	list := f.groups[service.Name]
	runs, slots := 0, 0
	for _, s := range list {
		if isDecode(s) && !s.Leaving {
			runs += min(s.totalWork(now).Runs, s.Slots)
			slots += s.Slots
		}
	}
	fullPace := emptyToFullPace / (1 + (emptyToFullPace-1)*float64(runs)/float64(max(slots, 1)))
	var out []EngineState
	for _, s := range list {
		e := EngineState{Server: s.Server}
		if s.speedKnown {
			e.PrefillRate = s.speed * 1000
		}
		if s.pace > 0 {
			e.DecodeRate = float64(s.Slots) * 1000 / (s.pace * fullPace)
		}
		out = append(out, e)
	}
	return out
}

// emptyToFullPace is the ratio between the token gaps of an engine whose slots
// are all in use and of one with a single answer.
const emptyToFullPace = 2.0

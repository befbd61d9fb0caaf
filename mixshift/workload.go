package mixshift

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/emulator"
)

// phase is a period with a constant mix.
type phase struct {
	length time.Duration
	// prefillShare is the fraction of the engines' work that is prefill.
	prefillShare float64
}

// shiftingMix returns phases of three minutes. The prefill share starts at its mean of
// 36% and then alternates between half as much again and half of it.
func shiftingMix() []phase {
	const high, low = 0.54, 0.18
	var out []phase
	for _, share := range []float64{0.36, high, low, high, low} {
		out = append(out, phase{length: 3 * time.Minute, prefillShare: share})
	}
	return out
}

func totalLength(phases []phase) time.Duration {
	var sum time.Duration
	for _, p := range phases {
		sum += p.length
	}
	return sum
}

// arrival is a request as its caller sends it.
type arrival struct {
	at       fleet.Instant
	id       fleet.RequestID
	kind     kindSpec
	member   int
	instance int
	prompt   int      // tokens
	output   int      // tokens
	blocks   []uint64 // hashes of the prompt's whole blocks
}

// work is the time that an engine of speed 1 in the matching role takes.
type work struct{ prefill, decode time.Duration }

func (w work) total() time.Duration { return w.prefill + w.decode }

// prefillWork returns the time to prefill n tokens.
func prefillWork(n int) time.Duration { return time.Duration(n) * emulator.PrefillPerToken }

// decodeWork returns the time that decoding a request adds to iterations.
func decodeWork(prompt, output int) time.Duration {
	context := output*prompt + output*output/2
	return time.Duration(output)*emulator.DecodePerSequence + time.Duration(context)*emulator.DecodePerContextToken
}

// workOf returns the least work of a request. If repeated is set, its blocks are those
// of an earlier request and count as cached.
func workOf(a arrival, repeated bool) work {
	uncached := a.prompt
	if repeated {
		uncached -= len(a.blocks) * emulator.BlockTokens
	}
	return work{prefill: prefillWork(uncached), decode: decodeWork(a.prompt, a.output)}
}

// generator draws random requests of one deployment.
type generator struct {
	rng              *rand.Rand
	nextBlock        uint64
	recent           map[int][]arrival // by member: prompts that may be followed up
	cumulativeDemand []float64         // by member
}

// A follow-up arrives after the caller has read the answer and before the
// conversation ends: between followUpMin and followUpMax after the earlier request.
const (
	followUpMin   = 5 * time.Second
	followUpMax   = time.Minute
	recentPrompts = 32 // kept per member
)

// newGenerator returns a generator whose draws depend on seed only. demand returns a
// member's relative demand.
func newGenerator(seed uint64, demand func(member int) float64) *generator {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0x6d69787368696674)), recent: map[int][]arrival{}}
	sum := 0.0
	for i := range members {
		sum += demand(i)
		g.cumulativeDemand = append(g.cumulativeDemand, sum)
	}
	return g
}

// zipfDemand returns a member's relative demand in the shifting mix.
func zipfDemand(member int) float64 { return 1 / float64(1+member) }

// equalDemand returns the same demand for every member.
func equalDemand(int) float64 { return 1 }

// member draws a random member, weighted by demand.
func (g *generator) member() int {
	x := g.rng.Float64() * g.cumulativeDemand[len(g.cumulativeDemand)-1]
	return sort.SearchFloat64s(g.cumulativeDemand, x)
}

// between draws a random number from lo to hi, both included.
func (g *generator) between(lo, hi int) int { return lo + g.rng.IntN(hi-lo+1) }

// draw returns a random request at the given time and its least work.
func (g *generator) draw(k kindSpec, at fleet.Instant) (arrival, work) {
	a := arrival{at: at, kind: k, member: g.member(), instance: g.rng.IntN(instances)}
	a.output = g.between(k.outputMin, k.outputMax)
	if k.followUp > 0 && g.rng.Float64() < k.followUp {
		if old, ok := g.earlier(a.member, at); ok {
			a.prompt = old.prompt + g.between(50, 300)
			a.blocks = old.blocks
			return a, workOf(a, true)
		}
	}
	a.prompt = g.between(k.promptMin, k.promptMax)
	for range a.prompt / emulator.BlockTokens {
		g.nextBlock++
		a.blocks = append(a.blocks, g.nextBlock*0x9e3779b97f4a7c15)
	}
	if k.followUp > 0 {
		recent := append(g.recent[a.member], a)
		g.recent[a.member] = recent[max(0, len(recent)-recentPrompts):]
	}
	return a, workOf(a, false)
}

// earlier returns a random request of the member that a follow-up can extend.
func (g *generator) earlier(member int, at fleet.Instant) (arrival, bool) {
	var fit []arrival
	for _, a := range g.recent[member] {
		if age := at - a.at; age >= followUpMin && age <= followUpMax {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return arrival{}, false
	}
	return fit[g.rng.IntN(len(fit))], true
}

// meanWork returns an estimate of the mean least work of a kind.
func meanWork(k kindSpec) work {
	const samples = 4000
	const sampleGap = 50 * time.Millisecond
	g := newGenerator(1, zipfDemand)
	var sum work
	for i := range samples {
		_, w := g.draw(k, fleet.Instant(i)*sampleGap)
		sum.prefill += w.prefill
		sum.decode += w.decode
	}
	return work{prefill: sum.prefill / samples, decode: sum.decode / samples}
}

// shortShare is the fraction of the work that short requests make up in every phase.
const shortShare = 0.1

// rates returns the requests per second of each kind that give workPerSecond (seconds
// of an engine of speed 1) with the given prefill share.
func (d Deployment) rates(prefillShare, workPerSecond float64) []float64 {
	specs := d.kinds()
	var part, cost [3]float64 // prefill share and total work of each kind
	for i, k := range specs {
		w := meanWork(k)
		part[i] = float64(w.prefill) / float64(w.total())
		cost[i] = w.total().Seconds()
	}
	rest := 1 - shortShare
	long := (prefillShare - shortShare*part[2] - rest*part[1]) / (part[0] - part[1])
	shares := [3]float64{long, rest - long, shortShare}
	out := make([]float64, len(specs))
	for i := range specs {
		out[i] = max(0, shares[i]) * workPerSecond / cost[i]
	}
	return out
}

// workload draws the arrivals of all phases. The rate in each phase is load times the
// capacity with the best roles.
func (d Deployment) workload(g *generator, phases []phase, load float64) []arrival {
	var out []arrival
	start := fleet.Instant(0)
	for _, p := range phases {
		capacity, _ := d.bestDivision(d.Speeds, p.prefillShare)
		for i, rate := range d.rates(p.prefillShare, capacity*load) {
			out = append(out, g.poisson(d.kinds()[i], rate, start, p.length)...)
		}
		start += p.length
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].id = requestID(i)
	}
	return out
}

// poisson draws the arrivals of a Poisson process with a rate per second.
func (g *generator) poisson(k kindSpec, rate float64, start fleet.Instant, length time.Duration) []arrival {
	var out []arrival
	if rate <= 0 {
		return nil
	}
	at := start
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= start+length {
			return out
		}
		a, _ := g.draw(k, at)
		out = append(out, a)
	}
}

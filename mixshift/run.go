package mixshift

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/emulator"
)

const roleChangeTime = emulator.RoleChangeTime

// Policy creates the schedulers and the planner of a run.
type Policy struct {
	Name      string
	scheduler func(instance int, seed uint64) Scheduler
	planner   func(d Deployment) planner
	// roles returns the roles of the engines at the start.
	roles func(d Deployment) []fleet.Role
}

// meanPrefillShare is the mean prefill share, for which fixed roles are chosen.
const meanPrefillShare = 0.36

// bestFixedRoles returns the best roles for the mean prefill share.
func bestFixedRoles(d Deployment) []fleet.Role {
	_, roles := d.bestDivision(d.Speeds, meanPrefillShare)
	return roles
}

// declaredRoles returns the declared roles of a deployment, or the best fixed ones if
// it declares none.
func declaredRoles(d Deployment) []fleet.Role {
	if len(d.PrefillEngines) == 0 {
		return bestFixedRoles(d)
	}
	roles := make([]fleet.Role, len(d.Speeds))
	for i := range roles {
		roles[i] = fleet.RoleDecode
	}
	for _, i := range d.PrefillEngines {
		roles[i] = fleet.RolePrefill
	}
	return roles
}

func mixedRoles(d Deployment) []fleet.Role { return make([]fleet.Role, len(d.Speeds)) }

// Result holds the figures of a run.
type Result struct {
	Offered, InTime, Refused int
	Goodput                  float64 // fraction of the offered requests answered within their targets
	TokenGoodput             float64 // the same fraction, weighted by prompt and output tokens
	RefusedFraction          float64 // fraction of the offered requests refused
	FirstTokenP95            time.Duration
	TokenGapP95              time.Duration
	RoleChanges              int
	FluidBound               float64 // see fluidBound
	ByKind                   map[fleet.KindName]*KindResult
	Refusals                 map[fleet.Reason]int
	Choices                  map[string]int
	// ByPhase holds the goodput of the requests that arrive in each phase.
	ByPhase []float64
	sim     *Sim
}

// KindResult holds the numbers of requests of one kind, by outcome. LateFirst and
// LateGaps are answers that missed the target for the first token or the token gap.
type KindResult struct {
	Offered, InTime, LateFirst, LateGaps, Unfinished, Refused int
}

// scenario is the input of a run apart from the policy.
type scenario struct {
	deployment Deployment
	seed       uint64
	phases     []phase
	load       float64 // offered work relative to the capacity with the best roles
	faults     faults
	shares     []float64 // by member
	arrivals   []arrival // by time
}

// mixScenario returns the scenario of the shifting mix for one seed.
func mixScenario(d Deployment, seed uint64) scenario {
	phases := shiftingMix()
	// The withdrawn engine is one of the middle speed classes.
	f := faults{
		withdrawnEngine: dataCentres + int(seed)%dataCentres, withdrawAt: 7 * time.Minute, returnAt: 9 * time.Minute,
		partitionedDC: int(seed) % dataCentres, partitionAt: 10*time.Minute + 30*time.Second, partitionEndAt: 11*time.Minute + 30*time.Second,
	}
	return scenario{
		deployment: d, seed: seed, phases: phases, load: 0.9, faults: f,
		shares: equalShares(), arrivals: d.workload(newGenerator(seed, zipfDemand), phases, 0.9),
	}
}

// overloadScenario returns a scenario that offers load times the capacity with every
// member backlogged. Shares are 1, 2 and 3 in turn, and every tenth member sends all
// its requests to one instance.
func overloadScenario(d Deployment, seed uint64, load float64) scenario {
	phases := []phase{{length: 4 * time.Minute, prefillShare: meanPrefillShare}}
	sc := scenario{
		deployment: d, seed: seed, phases: phases, load: load, faults: noFaults(),
		arrivals: d.workload(newGenerator(seed, equalDemand), phases, load),
	}
	for i := range members {
		sc.shares = append(sc.shares, float64(1+i%3))
	}
	for i := range sc.arrivals {
		if sc.arrivals[i].member%10 == 0 {
			sc.arrivals[i].instance = 0
		}
	}
	return sc
}

// shareError returns the largest relative deviation of a member's served cost
// from its share of all cost served, over each whole minute after the first.
func (r Result) shareError(shares []float64) float64 {
	sum := 0.0
	for _, w := range shares {
		sum += w
	}
	worst := 0.0
	for start := time.Minute; start+time.Minute <= r.sim.end; start += time.Minute {
		served := make([]float64, len(shares))
		total := 0.0
		for m, list := range r.sim.servedByMember {
			for _, t := range list {
				if t.at >= start && t.at < start+time.Minute {
					served[m] += t.cost.Seconds()
					total += t.cost.Seconds()
				}
			}
		}
		for m, w := range shares {
			worst = max(worst, math.Abs(served[m]/(total*w/sum)-1))
		}
	}
	return worst
}

func equalShares() []float64 {
	out := make([]float64, members)
	for i := range out {
		out[i] = 1
	}
	return out
}

// Run simulates one policy on one scenario.
func Run(p Policy, sc scenario) Result {
	s := newSim(p, sc)
	s.run()
	return s.result(sc)
}

// newSim returns the simulation of a scenario with all its events scheduled.
func newSim(p Policy, sc scenario) *Sim {
	d := sc.deployment
	s := &Sim{
		deployment: d, rng: rand.New(rand.NewPCG(sc.seed, 7)), faults: sc.faults,
		requests: map[fleet.RequestID]*request{}, servedByMember: map[int][]servedCost{}, choicesByReason: map[string]int{},
		reports: make([]sched.LoadReport, len(d.Speeds)), end: totalLength(sc.phases),
	}
	roles := p.roles(d)
	for i, speed := range d.Speeds {
		e := &engineState{Engine: emulator.New(engineID(i), speed, roles[i]), index: i, dc: i % dataCentres}
		s.engines = append(s.engines, e)
		s.reports[i].Role = roles[i]
	}
	if p.planner != nil {
		s.planner = p.planner(d)
	}
	configure := sched.Configure{Version: 1, Declaration: d.declaration(roles, sc.shares)}
	for i := range instances {
		s.schedulers = append(s.schedulers, p.scheduler(i, sc.seed))
		s.step(i, configure)
	}
	s.scheduleControl()
	s.scheduleFaults()
	for _, a := range sc.arrivals {
		r := &request{arrival: a}
		s.requests[a.id] = r
		s.arrivals = append(s.arrivals, r)
		s.schedule(a.at+clientDelay, func() { s.arrive(r) })
	}
	return s
}

// scheduleControl schedules the periodic control traffic with phases spread over each
// period.
func (s *Sim) scheduleControl() {
	for i := range s.schedulers {
		s.schedule(time.Duration(i)*tickPeriod/instances, func() {
			s.schedulePeriodic(tickPeriod, func() { s.step(i, sched.Tick{}) })
		})
		s.schedule(time.Duration(i)*exchangePeriod/instances, func() {
			s.schedulePeriodic(exchangePeriod, func() { s.exchange(i) })
		})
	}
	for i, e := range s.engines {
		s.announce(e, true, false)
		s.schedule(time.Duration(i)*reportPeriod/time.Duration(len(s.engines)), func() {
			s.schedulePeriodic(reportPeriod, func() { s.report(e) })
			s.schedulePeriodic(cachePeriod, func() { s.cacheEvents(e) })
		})
	}
	s.schedulePeriodic(planPeriod, s.planRoles)
}

// result returns the figures after the run.
func (s *Sim) result(sc scenario) Result {
	out := Result{
		Offered: len(s.arrivals), RoleChanges: s.roleChanges, FluidBound: sc.fluidBound(),
		ByKind: map[fleet.KindName]*KindResult{}, Refusals: map[fleet.Reason]int{}, Choices: s.choicesByReason, sim: s,
	}
	var firsts, gaps []time.Duration
	var tokens, tokensInTime int
	for _, r := range s.arrivals {
		k := out.ByKind[r.kind.Name]
		if k == nil {
			k = &KindResult{}
			out.ByKind[r.kind.Name] = k
		}
		tokens += r.prompt + r.output
		if k.count(r) {
			out.InTime++
			tokensInTime += r.prompt + r.output
		}
		if r.refused {
			out.Refused++
			out.Refusals[r.reason]++
		}
		if r.firstAt > 0 {
			firsts = append(firsts, r.firstAt-r.at)
		}
		gaps = append(gaps, r.tokenGaps...)
	}
	out.ByPhase = s.goodputByPhase(sc.phases)
	out.Goodput = float64(out.InTime) / float64(out.Offered)
	out.TokenGoodput = float64(tokensInTime) / float64(tokens)
	out.RefusedFraction = float64(out.Refused) / float64(out.Offered)
	out.FirstTokenP95 = percentile(firsts, 0.95)
	out.TokenGapP95 = percentile(gaps, 0.95)
	return out
}

// goodputByPhase returns the goodput of the requests that arrive in each phase.
func (s *Sim) goodputByPhase(phases []phase) []float64 {
	var out []float64
	end := fleet.Instant(0)
	i := 0
	for _, p := range phases {
		end += p.length
		var k KindResult
		for ; i < len(s.arrivals) && s.arrivals[i].at < end; i++ {
			k.count(s.arrivals[i])
		}
		out = append(out, float64(k.InTime)/float64(max(1, k.Offered)))
	}
	return out
}

// lateGapsAllowed is the fraction of an answer's token gaps that may exceed the
// target, which is a target for the 95th percentile.
const lateGapsAllowed = 0.05

// count counts a request and reports whether it was answered within its targets.
func (k *KindResult) count(r *request) bool {
	k.Offered++
	switch {
	case r.refused:
		k.Refused++
	case !r.answered:
		k.Unfinished++
	case r.firstAt-r.at > r.kind.FirstTokenTarget:
		k.LateFirst++
	case float64(r.lateGaps) > lateGapsAllowed*float64(r.gaps):
		k.LateGaps++
	default:
		k.InTime++
		return true
	}
	return false
}

// percentile returns the quantile q (0 to 1) of values, or 0 without values. It sorts
// values.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(q*float64(len(values)-1))]
}

// fluidBound returns an upper bound on the fraction of the offered work that can be done:
// the fluid capacity with the best roles at each moment, given the withdrawal and the
// partition of the scenario.
func (sc scenario) fluidBound() float64 {
	const slice = 10 * time.Second
	var carried, offered float64
	start := fleet.Instant(0)
	cache := map[string]float64{}
	for i, p := range sc.phases {
		full, _ := sc.deployment.bestDivision(sc.deployment.Speeds, p.prefillShare)
		for at := start; at < start+p.length; at += slice {
			state := sc.stateAt(at)
			key := string(rune(i)) + state.key
			if _, ok := cache[key]; !ok {
				cache[key] = sc.carriedBy(state, p, full*sc.load)
			}
			carried += cache[key]
			offered += full * sc.load
		}
		start += p.length
	}
	return carried / offered
}

// fleetState holds which engines are available and how they are connected.
type fleetState struct {
	key   string      // differs between states
	parts [][]float64 // speeds of the engines on each side of the partition
	loads []float64   // fraction of the callers on each side
}

// stateAt returns the state of the fleet at a time of the scenario.
func (sc scenario) stateAt(at fleet.Instant) fleetState {
	f := sc.faults
	withdrawn := f.withdrawnEngine >= 0 && at >= f.withdrawAt && at < f.returnAt
	partitioned := f.partitionedDC >= 0 && at >= f.partitionAt && at < f.partitionEndAt
	state := fleetState{parts: make([][]float64, 2), loads: make([]float64, 2)}
	for i, speed := range sc.deployment.Speeds {
		part := 0
		if partitioned && i%dataCentres == f.partitionedDC {
			part = 1
		}
		if !withdrawn || i != f.withdrawnEngine {
			state.parts[part] = append(state.parts[part], speed)
		}
	}
	for i := range instances {
		part := 0
		if partitioned && instanceDataCentre(i) == f.partitionedDC {
			part = 1
		}
		state.loads[part] += 1.0 / instances
	}
	if withdrawn {
		state.key += "w"
	}
	if partitioned {
		state.key += "c"
	}
	return state
}

// carriedBy returns the rate of work that the connected parts of the fleet can do of
// an offered rate.
func (sc scenario) carriedBy(state fleetState, p phase, offered float64) float64 {
	sum := 0.0
	for i, part := range state.parts {
		if state.loads[i] == 0 {
			continue
		}
		capacity, _ := sc.deployment.bestDivision(part, p.prefillShare)
		sum += min(capacity, offered*state.loads[i])
	}
	return sum
}

package role

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Config fixes the planner's parameters; zero values select the defaults.
type Config struct {
	// ChangeTime is the expected time an engine is out of service for a
	// change, with its drain.
	ChangeTime time.Duration
	// Dwell is the assumed time between two shifts of the mix until shifts
	// have been observed.
	Dwell time.Duration
	// MixedEfficiency and OffRoleEfficiency are the speed of a mixed engine
	// and of work outside an engine's role, relative to work in the role.
	MixedEfficiency, OffRoleEfficiency float64
}

const (
	defaultChangeTime        = 10 * time.Second
	defaultDwell             = 5 * time.Minute
	defaultMixedEfficiency   = 0.8
	defaultOffRoleEfficiency = 0.5

	// evalPeriod is how often a division is evaluated.
	evalPeriod = 2 * time.Second
	// staleAfter is the age of a report from which an engine is not changed,
	// and the age of the demand from which nothing is.
	staleAfter = 10 * time.Second
	// settleLimit ends a change that was neither settled nor observed.
	settleLimit = 3 * time.Minute
	// plannedUse is the utilisation up to which all demand is expected to be
	// on time; the rest absorbs bursts.
	plannedUse = 0.9
	// prefillUse is the part of a prefill engine's time that is planned for in
	// relation to decode. Prefill waits in a queue, so it needs headroom for its
	// first-token targets; decode keeps its token gap up to the whole batch.
	prefillUse = 0.95
	// minUse bounds the calibration of plannedUse by what is missed.
	minUse = 0.4
	// minLate is the part of the requests that miss a target from which a change
	// is considered. Routing covers smaller mismatches by work outside the
	// engines' roles, and the model's errors are of this order.
	minLate = 0.5
	// minRequests is how many requests of the short horizon calibrate.
	minRequests = 20
	// minGain is the least rise of the carried part of the demand for which a
	// change is made; smaller ones are within the error of the estimates.
	minGain = 0.03
	// shiftDistance is the change of the prefill share that counts as a shift
	// of the mix. It exceeds the noise of the short horizon at the smallest
	// deployment (standard deviation about 0.04).
	shiftDistance = 0.15
	// settledDistance is how close the short and the middle horizon must be
	// before a change: during a shift the final mix is not yet known.
	settledDistance = 0.07
	// driftLimit is how long a shift may take before it is acted upon
	// although it goes on.
	driftLimit = 90 * time.Second
	// heavyWeight is the declared weight from which a shift gets one change.
	heavyWeight       = 2
	changesPerShift   = 2
	minDwell          = 2 * time.Minute
	maxDwell          = 30 * time.Minute
	dwellGain         = 0.3
	maxBatch          = 256.0
	defaultTargetGap  = 74 * time.Millisecond
	loadTieGain       = 0.9
	minDemandSeconds  = 0.05
	warmupHorizons    = 1
	pendingNothing    = fleet.UpstreamID("")
	numberOfHorizons  = 2
	shortHorizon      = 0
	middleHorizon     = 1
	numberOfRoles     = 3
	noReference       = -1.0
	engineSecondFloor = 1e-9
)

// horizons are the averaging times of the demand. A change must pay at
// both.
var horizons = [numberOfHorizons]time.Duration{12 * time.Second, 35 * time.Second}

// Planner is not safe for concurrent use. The same events give the same
// changes, so planners at several data centres agree without messages.
type Planner struct {
	config Config
	groups []*group
	ready  []Change
}

type engine struct {
	EngineState
	prefillRate, decodeRate float64 // tokens per second in role
}

type group struct {
	Group
	engines []*engine // sorted by id
	prompt  [numberOfHorizons]average
	output  [numberOfHorizons]average
	context average
	// requests and late calibrate the model by what is missed in fact.
	requests, late average
	// meanContext is the tokens of KV cache that a sequence reads per step.
	meanContext float64
	started     fleet.Instant
	demandAt    fleet.Instant
	seen        bool
	evalAt      fleet.Instant

	pending   fleet.UpstreamID
	pendingTo fleet.Role
	pendingAt fleet.Instant

	// reference is the prefill share of the last shift, noReference before
	// the first evaluation; budget is the changes left for that shift.
	reference    float64
	budget       int
	shiftAt      fleet.Instant
	unsettledAt  fleet.Instant
	unsettled    bool
	dwellSeconds float64
}

// average is an exponentially decaying rate per second.
type average struct {
	sum float64
	at  fleet.Instant
}

func (a *average) decay(now fleet.Instant, horizon time.Duration) {
	if now > a.at {
		a.sum *= math.Exp(-(now - a.at).Seconds() / horizon.Seconds())
		a.at = now
	}
}

// rate corrects for the time since the start being short of the horizon.
func (a *average) rate(now, started fleet.Instant, horizon time.Duration) float64 {
	a.decay(now, horizon)
	h := horizon.Seconds()
	filled := 1 - math.Exp(-(now-started).Seconds()/h)
	return a.sum / (h * math.Max(filled, engineSecondFloor))
}

// New returns a planner without groups.
func New(config Config) *Planner {
	if config.ChangeTime == 0 {
		config.ChangeTime = defaultChangeTime
	}
	if config.Dwell == 0 {
		config.Dwell = defaultDwell
	}
	if config.MixedEfficiency == 0 {
		config.MixedEfficiency = defaultMixedEfficiency
	}
	if config.OffRoleEfficiency == 0 {
		config.OffRoleEfficiency = defaultOffRoleEfficiency
	}
	return &Planner{config: config}
}

// Ready returns the pending changes and clears them.
func (p *Planner) Ready() []Change {
	out := p.ready
	p.ready = nil
	return out
}

// Step applies one event at the given time. Times must not decrease.
func (p *Planner) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Group:
		g := p.group(now, ev.Name)
		g.Group = ev
		g.setDefaults()
	case EngineState:
		p.group(now, ev.Group).setEngine(ev)
	case Demand:
		p.group(now, ev.Group).addDemand(now, ev)
	case Settled:
		if g := p.group(now, ev.Group); g.pending == ev.Upstream {
			g.pending = pendingNothing
		}
	}
	for _, g := range p.groups {
		p.evaluate(now, g)
	}
}

func (p *Planner) group(now fleet.Instant, name fleet.GroupName) *group {
	for _, g := range p.groups {
		if g.Name == name {
			return g
		}
	}
	g := &group{Group: Group{Name: name}, started: now, evalAt: now, shiftAt: now, reference: noReference,
		dwellSeconds: p.config.Dwell.Seconds()}
	g.setDefaults()
	p.groups = append(p.groups, g)
	return g
}

func (g *group) setDefaults() {
	if g.Weight <= 0 {
		g.Weight = 1
	}
	if g.TargetGap <= 0 {
		g.TargetGap = defaultTargetGap
	}
}

func (g *group) setEngine(s EngineState) {
	i := sort.Search(len(g.engines), func(i int) bool { return g.engines[i].Upstream >= s.Upstream })
	if i == len(g.engines) || g.engines[i].Upstream != s.Upstream {
		g.engines = append(g.engines, nil)
		copy(g.engines[i+1:], g.engines[i:])
		g.engines[i] = &engine{EngineState: EngineState{Upstream: s.Upstream, At: s.At}}
	}
	e := g.engines[i]
	if s.At < e.At {
		return
	}
	e.EngineState = s
	g.setRates(e)
	if g.pending == s.Upstream && s.Available && s.Role == g.pendingTo {
		g.pending = pendingNothing
	}
}

// setRates computes the tokens per second of an engine that keeps the token gap
// target with sequences of the group's mean context.
func (g *group) setRates(e *engine) {
	gap := g.TargetGap.Seconds()
	perSequence := math.Max(e.Speed.Slope+e.Speed.Context*g.meanContext, engineSecondFloor)
	batch := math.Max(math.Min((gap-e.Speed.Base)/perSequence, maxBatch), 1)
	e.prefillRate = prefillUse / math.Max(e.Speed.PrefillWork, engineSecondFloor)
	e.decodeRate = batch / math.Max(e.Speed.Step(batch, batch*g.meanContext), engineSecondFloor)
}

// updateContext moves the mean context to that of the recent demand.
func (g *group) updateContext(now fleet.Instant) {
	output := g.output[middleHorizon].rate(now, g.started, horizons[middleHorizon])
	if output < engineSecondFloor {
		return
	}
	g.meanContext = g.context.rate(now, g.started, horizons[middleHorizon]) / output
	for _, e := range g.engines {
		g.setRates(e)
	}
}

func (g *group) addDemand(now fleet.Instant, d Demand) {
	if !g.seen {
		g.seen, g.started, g.evalAt, g.shiftAt = true, now, now, now
	}
	g.demandAt = now
	g.context.decay(now, horizons[middleHorizon])
	g.context.sum += d.ContextTokens
	g.requests.decay(now, horizons[shortHorizon])
	g.requests.sum += d.Requests
	g.late.decay(now, horizons[shortHorizon])
	g.late.sum += d.Late
	for h := range horizons {
		g.prompt[h].decay(now, horizons[h])
		g.output[h].decay(now, horizons[h])
		g.prompt[h].sum += d.PromptTokens
		g.output[h].sum += d.OutputTokens
	}
}

// demand is a mix in tokens per second.
type demand struct{ prompt, output float64 }

func (g *group) demandAtHorizon(now fleet.Instant, h int) demand {
	return demand{
		prompt: g.prompt[h].rate(now, g.started, horizons[h]),
		output: g.output[h].rate(now, g.started, horizons[h]),
	}
}

// work returns the demand in mean engine-seconds per second and the share of
// prefill in it.
func (g *group) work(d demand) (total, share float64) {
	var prefill, decode, n float64
	for _, e := range g.engines {
		prefill += e.prefillRate
		decode += e.decodeRate
		n++
	}
	if n == 0 {
		return 0, 0
	}
	a, b := d.prompt*n/prefill, d.output*n/decode
	if a+b < engineSecondFloor {
		return 0, 0
	}
	return a + b, a / (a + b)
}

func (p *Planner) evaluate(now fleet.Instant, g *group) {
	if now-g.evalAt < evalPeriod {
		return
	}
	g.evalAt = now
	g.updateContext(now)
	if g.pending != pendingNothing && now-g.pendingAt > settleLimit {
		g.pending = pendingNothing
	}
	if !g.seen || now-g.demandAt > staleAfter || now-g.started < warmupHorizons*horizons[middleHorizon] {
		return
	}
	if !g.trackShift(now) || g.pending != pendingNothing || g.budget <= 0 {
		return
	}
	p.propose(now, g)
}

// trackShift notices shifts of the mix and refills the budget of changes; it
// reports whether the mix has settled.
func (g *group) trackShift(now fleet.Instant) bool {
	total, short := g.work(g.demandAtHorizon(now, shortHorizon))
	_, middle := g.work(g.demandAtHorizon(now, middleHorizon))
	if total < minDemandSeconds {
		return false
	}
	if math.Abs(short-middle) > settledDistance {
		if !g.unsettled {
			g.unsettled, g.unsettledAt = true, now
		}
		if now-g.unsettledAt < driftLimit {
			return false
		}
	} else {
		g.unsettled = false
	}
	if g.reference == noReference || math.Abs(middle-g.reference) > shiftDistance {
		if g.reference != noReference {
			interval := math.Min(math.Max((now-g.shiftAt).Seconds(), minDwell.Seconds()), maxDwell.Seconds())
			g.dwellSeconds += dwellGain * (interval - g.dwellSeconds)
		}
		g.reference, g.shiftAt, g.budget = middle, now, changesPerShift
		if g.Weight >= heavyWeight {
			g.budget = 1
		}
	}
	return true
}

// move is one possible change and its gain in engine-seconds.
type move struct {
	engine *engine
	to     fleet.Role
	gain   float64
	rise   float64
}

// use is the utilisation up to which demand is expected to be on time. When more
// is missed than the model explains, the model is too hopeful and use falls to
// what the present division, with the given multiple, carries in fact.
func (g *group) use(multiple float64) float64 {
	if g.requests.sum < minRequests {
		return plannedUse
	}
	onTime := 1 - g.late.sum/g.requests.sum
	return math.Max(math.Min(plannedUse, onTime/math.Max(multiple, engineSecondFloor)), minUse)
}

func (p *Planner) propose(now fleet.Instant, g *group) {
	if g.requests.sum >= minRequests && g.late.sum < minLate*g.requests.sum {
		return
	}
	short, middle := g.demandAtHorizon(now, shortHorizon), g.demandAtHorizon(now, middleHorizon)
	work, share := g.work(middle)
	division := p.division(g)
	scratch := make([]option, 0, len(division)+1)
	use := g.use(multiple(division, short))
	before, beforeShort := carried(division, middle, use), carried(division, short, use)
	if math.Min(before, beforeShort) > 1-minGain {
		return
	}
	var moves []move
	best := 0.0
	for _, e := range g.engines {
		if !g.changeable(now, e) {
			continue
		}
		for r := range fleet.Role(numberOfRoles) {
			if r == e.Role {
				continue
			}
			scratch = p.with(scratch, division, e, r)
			rise := math.Min(carried(scratch, middle, use)-before, carried(scratch, short, use)-beforeShort)
			if rise < minGain {
				continue
			}
			price := g.Weight * p.config.ChangeTime.Seconds() * g.relativeSpeed(e)
			gain := rise*work*g.dwellSeconds - price
			if gain > 0 {
				moves = append(moves, move{e, r, gain, rise})
				best = math.Max(best, gain)
			}
		}
	}
	if len(moves) == 0 {
		return
	}
	m := pickMove(moves, best)
	g.budget--
	g.pending, g.pendingTo, g.pendingAt = m.engine.Upstream, m.to, now
	p.ready = append(p.ready, Change{
		Group: g.Name, Upstream: m.engine.Upstream, To: m.to,
		Reason: fmt.Sprintf("prefill is %.0f%% of the work; from %s to %s carries %.0f%% more of the demand, a gain of %.0f engine-seconds over an expected %.0f s",
			100*share, m.engine.Role, m.to, 100*m.rise, m.gain, g.dwellSeconds),
	})
}

// pickMove prefers the most lightly loaded engine among nearly equal gains.
func pickMove(moves []move, best float64) move {
	var out move
	for _, m := range moves {
		if m.gain < loadTieGain*best {
			continue
		}
		if out.engine == nil || m.engine.Load < out.engine.Load {
			out = m
		}
	}
	return out
}

// changeable excludes engines that are out of service or reported late, and
// the last available engine of a role.
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

// relativeSpeed is an engine's speed relative to the group's mean.
func (g *group) relativeSpeed(e *engine) float64 {
	var prefill, decode, n float64
	for _, o := range g.engines {
		prefill += o.prefillRate
		decode += o.decodeRate
		n++
	}
	return (e.prefillRate*n/prefill + e.decodeRate*n/decode) / 2
}

// option is an engine's capacity if it only prefilled or only decoded.
type option struct {
	engine          *engine
	prefill, decode float64
	// advantage is the comparative advantage in prefill.
	advantage float64
}

func (p *Planner) option(e *engine, role fleet.Role) option {
	prefill, decode := p.efficiency(role)
	prefill *= e.prefillRate
	decode *= e.decodeRate
	return option{e, prefill, decode, prefill / math.Max(decode, engineSecondFloor)}
}

// division returns the available engines in order of comparative advantage.
func (p *Planner) division(g *group) []option {
	options := make([]option, 0, len(g.engines))
	for _, e := range g.engines {
		if e.Available {
			options = append(options, p.option(e, e.Role))
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.advantage, a.advantage) })
	return options
}

// with returns a division with one engine in another role. It fills scratch:
// sorting again for each of two moves of 284 engines took 59 ms per evaluation.
func (p *Planner) with(scratch, division []option, e *engine, to fleet.Role) []option {
	scratch = scratch[:0]
	changed, placed := p.option(e, to), false
	for _, o := range division {
		if o.engine == e {
			continue
		}
		if !placed && changed.advantage > o.advantage {
			scratch, placed = append(scratch, changed), true
		}
		scratch = append(scratch, o)
	}
	if !placed {
		scratch = append(scratch, changed)
	}
	return scratch
}

// carried returns the part of a demand that a division carries on time, 0 to 1.
func carried(division []option, d demand, use float64) float64 {
	return math.Min(1, use*multiple(division, d))
}

func (p *Planner) efficiency(role fleet.Role) (prefill, decode float64) {
	switch role {
	case fleet.RolePrefill:
		return 1, p.config.OffRoleEfficiency
	case fleet.RoleDecode:
		return p.config.OffRoleEfficiency, 1
	}
	return p.config.MixedEfficiency, p.config.MixedEfficiency
}

// multiple returns the largest multiple of the demand that the engines, in order
// of comparative advantage, can carry when each divides its time freely. It walks the frontier of possible
// (prefill, decode) totals in order of comparative advantage.
func multiple(options []option, d demand) float64 {
	prefill, decode := 0.0, 0.0
	for _, o := range options {
		decode += o.decode
	}
	for _, o := range options {
		// With a part x of this engine prefilling, the totals are in the
		// proportion of the demand when
		// (prefill + x*o.prefill)*d.output = (decode - x*o.decode)*d.prompt.
		x := (decode*d.prompt - prefill*d.output) / math.Max(o.prefill*d.output+o.decode*d.prompt, engineSecondFloor)
		if x <= 1 {
			x = math.Max(x, 0)
			prefill += x * o.prefill
			decode -= x * o.decode
			break
		}
		prefill += o.prefill
		decode -= o.decode
	}
	m := math.Inf(1)
	if d.prompt > 0 {
		m = math.Min(m, prefill/d.prompt)
	}
	if d.output > 0 {
		m = math.Min(m, decode/d.output)
	}
	return m
}

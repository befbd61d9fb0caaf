package role

import (
	"math"
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
	// MixedEfficiency is the speed of a mixed engine relative to an engine in
	// the role of the work.
	MixedEfficiency float64
}

const (
	defaultChangeTime      = 10 * time.Second
	defaultDwell           = 5 * time.Minute
	defaultMixedEfficiency = 0.8

	// evalPeriod is how often a division is evaluated.
	evalPeriod = time.Second
	// staleAfter is the age of a report from which an engine is not changed,
	// and the age of the demand from which nothing is.
	staleAfter = 10 * time.Second
	// settleLimit ends a change that was neither settled nor observed.
	settleLimit = 3 * time.Minute
	// actLimit is the time after a shift in which its changes may start. Later
	// ones have too little of the dwell time left.
	actLimit = 60 * time.Second
	// maxPast is the number of recent mixes that a division is judged by.
	maxPast = 3
	// reachEngines bounds the engines per role that are tried for later changes.
	reachEngines = 8
	// minUseful bounds the part of a decode step that is spent on sequences.
	minUseful = 0.05
	// mixedSteps is the number of parts in which mixed engines divide their time.
	mixedSteps = 10
	// prefillUse is the part of a prefill engine's time that carries prefill
	// within its first-token targets: prefill queues up in bursts. In MixShift
	// 0.63 to 0.74 of the demand's ratio to the prefill engines' time was carried.
	prefillUse = 0.7
	// decodeLoss is the exponent of the carried part of the decode work. A batch
	// above the token gap target makes all its answers late, while prefill above
	// the capacity is refused one request at a time.
	decodeLoss = 2
	// minGain is the least rise of the carried part of the demand for which a
	// change is made; smaller ones are within the error of the estimates.
	minGain = 0.03
	// heavyWeight is the declared weight from which a shift gets one change.
	heavyWeight       = 2
	changesPerShift   = 2
	minDwell          = 2 * time.Minute
	maxDwell          = 30 * time.Minute
	dwellGain         = 0.3
	maxBatch          = 256.0
	defaultTargetGap  = 74 * time.Millisecond
	loadTieGain       = 0.9
	pendingNothing    = fleet.UpstreamID("")
	numberOfRoles     = 3
	engineSecondFloor = 1e-9
)

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
	history history
	// meanContext is the tokens of KV cache that a sequence reads per step.
	meanContext float64
	demandAt    fleet.Instant
	evalAt      fleet.Instant

	pending   fleet.UpstreamID
	pendingTo fleet.Role
	pendingAt fleet.Instant

	// budget is the changes left for the last shift.
	budget       int
	shiftAt      fleet.Instant
	dwellSeconds float64
	// past is the recent mixes, in tokens per second, oldest first.
	past []sample
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
	g := &group{Group: Group{Name: name}, evalAt: now, shiftAt: now, dwellSeconds: p.config.Dwell.Seconds()}
	g.setDefaults()
	p.groups = append(p.groups, g)
	return g
}

func (g *group) setDefaults() {
	if g.ChangeWeight <= 0 {
		g.ChangeWeight = 1
	}
	if g.TokenGapTarget <= 0 {
		g.TokenGapTarget = defaultTargetGap
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
	known := e.Group != ""
	if known && s.Role != e.Role && g.pending != s.Upstream {
		g.changedElsewhere()
	}
	e.EngineState = s
	g.setRates(e)
	if g.pending == s.Upstream && s.Available && s.Role == g.pendingTo {
		g.pending = pendingNothing
	}
}

// changedElsewhere counts a change that another data centre's planner or an
// operator made against the changes of this shift.
func (g *group) changedElsewhere() {
	g.budget = max(g.budget-1, 0)
}

// setRates computes the tokens per second of an engine that keeps the token gap
// target with sequences of the group's mean context.
func (g *group) setRates(e *engine) {
	gap := g.TokenGapTarget.Seconds()
	perSequence := math.Max(e.Speed.StepPerSequence+e.Speed.StepPerContextToken*g.meanContext, engineSecondFloor)
	batch := math.Max(math.Min((gap-e.Speed.StepBase)/perSequence, maxBatch), 1)
	e.prefillRate = 1 / math.Max(e.Speed.PrefillWorkPerToken, engineSecondFloor)
	e.decodeRate = batch / math.Max(e.Speed.Step(batch, batch*g.meanContext), engineSecondFloor)
}

// setContext sets the mean context to that of a demand.
func (g *group) setContext(d sample) {
	if d.output < engineSecondFloor {
		return
	}
	g.meanContext = d.context / d.output
	for _, e := range g.engines {
		g.setRates(e)
	}
}

func (g *group) addDemand(now fleet.Instant, d Demand) {
	g.demandAt = now
	g.history.add(now, sample{prompt: d.PromptTokens, output: d.OutputTokens, context: d.ContextTokens})
}

// work returns the engine-seconds of a demand on mean engines of the right
// role. It is linear in the demand, so that parts of a demand add up.
func (g *group) work(d sample) (prefill, decode float64) {
	var prefillRate, slope, context, n float64
	for _, e := range g.engines {
		// A full batch spends on its sequences what the gap leaves beyond Base.
		useful := math.Max(1-e.Speed.StepBase/g.TokenGapTarget.Seconds(), minUseful)
		prefillRate += e.prefillRate
		slope += useful / math.Max(e.Speed.StepPerSequence, engineSecondFloor)
		context += useful / math.Max(e.Speed.StepPerContextToken, engineSecondFloor)
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return d.prompt * n / prefillRate, d.output*n/slope + d.context*n/context
}

func (p *Planner) evaluate(now fleet.Instant, g *group) {
	if now-g.evalAt < evalPeriod {
		return
	}
	g.evalAt = now
	if g.pending != pendingNothing && now-g.pendingAt > settleLimit {
		g.pending = pendingNothing
	}
	if now-g.demandAt > staleAfter {
		return
	}
	if before, ok := g.history.shifted(g.work); ok {
		g.startShift(now, before)
	}
	if g.budget <= 0 || g.pending != pendingNothing || now-g.shiftAt > actLimit {
		return
	}
	if d, ok := g.history.current(); ok {
		p.propose(now, g, d)
	}
}

// startShift learns the dwell time and the mix that has ended, and grants the
// changes for the new one.
func (g *group) startShift(now fleet.Instant, ended sample) {
	g.remember(ended)
	interval := math.Min(math.Max((now-g.shiftAt).Seconds(), minDwell.Seconds()), maxDwell.Seconds())
	g.dwellSeconds += dwellGain * (interval - g.dwellSeconds)
	g.shiftAt, g.budget = now, g.changesPerShift()
}

func (g *group) changesPerShift() int {
	if g.ChangeWeight >= heavyWeight {
		return 1
	}
	return changesPerShift
}

// remember keeps a mix among the recent ones in place of a similar one.
func (g *group) remember(d sample) {
	share := g.share(d)
	kept := g.past[:0]
	for _, m := range g.past {
		if math.Abs(g.share(m)-share) > shiftDistance {
			kept = append(kept, m)
		}
	}
	if len(kept) == maxPast {
		kept = kept[:copy(kept, kept[1:])]
	}
	g.past = append(kept, d)
}

func (g *group) share(d sample) float64 {
	prefill, decode := g.work(d)
	return prefill / math.Max(prefill+decode, engineSecondFloor)
}

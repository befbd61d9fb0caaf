package role

import (
	"math"
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Config holds the planner's parameters. Zero values select the defaults.
type Config struct {
	// ChangeTime is the expected time that an engine is out of service for a
	// change, including its drain.
	ChangeTime time.Duration
	// Dwell is the time between two shifts of the mix that is assumed until
	// shifts have been observed.
	Dwell time.Duration
	// MixedEfficiency is the speed of a mixed engine relative to an engine in
	// the role of the work.
	MixedEfficiency float64
}

const (
	defaultChangeTime      = 10 * time.Second
	defaultDwell           = 5 * time.Minute
	defaultMixedEfficiency = 0.8

	// evaluationPeriod is the time between two evaluations of a group's roles.
	evaluationPeriod = time.Second
	// staleAfter is the age of a report from which its engine is not changed,
	// and the age of the demand from which no engine is.
	staleAfter = 10 * time.Second
	// changeTimeout ends a pending change that neither ChangeEnded nor an engine
	// state has ended.
	changeTimeout = 3 * time.Minute
	// changeWindow is the time after a shift in which changes may start. Later
	// ones have too little of the dwell time left.
	changeWindow = 60 * time.Second
	// maxRecentMixes is the number of recent mixes that are considered as the
	// next mix.
	maxRecentMixes = 3
	// maxTriedEngines bounds the engines per role that are tried for changes
	// after the next shift.
	maxTriedEngines = 8
	// minUsefulShare is a lower bound of the share of a decode step that is
	// spent on sequences.
	minUsefulShare = 0.05
	// mixedSteps is the number of steps in which the division of mixed engines'
	// time between prefill and decode is varied.
	mixedSteps = 10
	// prefillUtilisation is the share of a prefill engine's time that can be
	// used within the first-token targets, because prefills queue up in bursts.
	// In BenchmarkMixShift it is 0.63 to 0.74.
	prefillUtilisation = 0.7
	// decodeShortfallExponent is the exponent of the served share of the decode
	// work. A batch above the token gap target delays all its answers, while
	// prefill above the capacity is refused one request at a time.
	decodeShortfallExponent = 2
	// minGain is the least increase of the served share of the demand for which
	// a change is made. Smaller ones are within the error of the estimates.
	minGain = 0.03
	// heavyWeight is the declared weight from which only one change per shift
	// is allowed.
	heavyWeight = 2
	// changesPerShift is the number of changes allowed per shift in a group
	// with a lower weight.
	changesPerShift = 2
	// minDwell and maxDwell bound the time between two shifts that dwellSeconds
	// is learned from, dwellGain is the weight of a new one.
	minDwell  = 2 * time.Minute
	maxDwell  = 30 * time.Minute
	dwellGain = 0.3
	// maxBatch is the largest decode batch assumed for an engine, in sequences.
	maxBatch              = 256.0
	defaultTokenGapTarget = 74 * time.Millisecond
	// tieGainShare is the share of the best gain from which a change counts as
	// equally good.
	tieGainShare    = 0.9
	noPendingChange = fleet.UpstreamID("")
	numberOfRoles   = 3
	// minDivisor replaces smaller divisors, to avoid a division by zero.
	minDivisor = 1e-9
)

// Planner plans role changes. The same events give the same changes, so that
// planners in several data centres agree without messages. It is not safe for
// concurrent use.
type Planner struct {
	config Config
	groups []*group
	ready  []Change
}

// engine is the state of one engine with its capacity.
type engine struct {
	EngineState
	prefillRate, decodeRate float64 // tokens per second in role
}

// group is a group of engines with its demand and its pending change.
type group struct {
	Group
	engines []*engine // sorted by id
	history history
	// meanContext is the mean number of KV cache tokens that a sequence reads
	// per step.
	meanContext float64
	demandAt    fleet.Instant
	evaluatedAt fleet.Instant

	// pending is the engine whose change is in progress, pendingTo its new
	// role.
	pending   fleet.UpstreamID
	pendingTo fleet.Role
	pendingAt fleet.Instant

	// changesLeft is the number of changes still allowed for the last shift.
	changesLeft int
	shiftAt     fleet.Instant
	// dwellSeconds is the learned time between two shifts.
	dwellSeconds float64
	// recentMixes holds the mixes before the present one in tokens per second,
	// oldest first.
	recentMixes []sample
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

// Ready returns the changes since the last call and clears them.
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
	case ChangeEnded:
		if g := p.group(now, ev.Group); g.pending == ev.Upstream {
			g.pending = noPendingChange
		}
	}
	for _, g := range p.groups {
		p.evaluate(now, g)
	}
}

// group returns the group with the given name, which it creates if it is new.
func (p *Planner) group(now fleet.Instant, name fleet.GroupName) *group {
	for _, g := range p.groups {
		if g.Name == name {
			return g
		}
	}
	g := &group{Group: Group{Name: name}, evaluatedAt: now, shiftAt: now, dwellSeconds: p.config.Dwell.Seconds()}
	g.setDefaults()
	p.groups = append(p.groups, g)
	return g
}

func (g *group) setDefaults() {
	if g.ChangeWeight <= 0 {
		g.ChangeWeight = 1
	}
	if g.TokenGapTarget <= 0 {
		g.TokenGapTarget = defaultTokenGapTarget
	}
}

// setEngine stores the state of an engine. It ignores a state that is older
// than the stored one and ends the pending change if the engine is available in
// its new role.
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
		g.countExternalChange()
	}
	e.EngineState = s
	g.setRates(e)
	if g.pending == s.Upstream && s.Available && s.Role == g.pendingTo {
		g.pending = noPendingChange
	}
}

// countExternalChange counts a change that another data centre's planner or an
// operator made towards the changes allowed for this shift.
func (g *group) countExternalChange() {
	g.changesLeft = max(g.changesLeft-1, 0)
}

// setRates computes the tokens per second of an engine that keeps the token gap
// target with sequences of the group's mean context.
func (g *group) setRates(e *engine) {
	gap := g.TokenGapTarget.Seconds()
	perSequence := math.Max(e.Speed.StepPerSequence+e.Speed.StepPerContextToken*g.meanContext, minDivisor)
	batch := math.Max(math.Min((gap-e.Speed.StepBase)/perSequence, maxBatch), 1)
	e.prefillRate = 1 / math.Max(e.Speed.PrefillWorkPerToken, minDivisor)
	e.decodeRate = batch / math.Max(e.Speed.Step(batch, batch*g.meanContext), minDivisor)
}

// setMeanContext sets the mean context to that of the demand.
func (g *group) setMeanContext(d sample) {
	if d.output < minDivisor {
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

// engineSeconds returns the time in seconds that a demand takes on mean engines
// of the right role. It is linear in the demand, so that the work of parts of a
// demand adds up.
func (g *group) engineSeconds(d sample) (prefill, decode float64) {
	var prefillRate, outputRate, contextRate, n float64
	for _, e := range g.engines {
		// A full batch spends TokenGapTarget less StepBase on its sequences.
		useful := math.Max(1-e.Speed.StepBase/g.TokenGapTarget.Seconds(), minUsefulShare)
		prefillRate += e.prefillRate
		outputRate += useful / math.Max(e.Speed.StepPerSequence, minDivisor)
		contextRate += useful / math.Max(e.Speed.StepPerContextToken, minDivisor)
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return d.prompt * n / prefillRate, d.output*n/outputRate + d.context*n/contextRate
}

// evaluate detects a shift of a group's mix and proposes a change while the
// shift allows one.
func (p *Planner) evaluate(now fleet.Instant, g *group) {
	if now-g.evaluatedAt < evaluationPeriod {
		return
	}
	g.evaluatedAt = now
	if g.pending != noPendingChange && now-g.pendingAt > changeTimeout {
		g.pending = noPendingChange
	}
	if now-g.demandAt > staleAfter {
		return
	}
	if before, ok := g.history.detectShift(g.engineSeconds); ok {
		g.startShift(now, before)
	}
	if g.changesLeft <= 0 || g.pending != noPendingChange || now-g.shiftAt > changeWindow {
		return
	}
	if d, ok := g.history.current(); ok {
		p.propose(now, g, d)
	}
}

// startShift updates the dwell time, keeps the mix that has ended and resets
// the number of allowed changes.
func (g *group) startShift(now fleet.Instant, ended sample) {
	g.rememberMix(ended)
	interval := math.Min(math.Max((now-g.shiftAt).Seconds(), minDwell.Seconds()), maxDwell.Seconds())
	g.dwellSeconds += dwellGain * (interval - g.dwellSeconds)
	g.shiftAt, g.changesLeft = now, g.changesPerShift()
}

func (g *group) changesPerShift() int {
	if g.ChangeWeight >= heavyWeight {
		return 1
	}
	return changesPerShift
}

// rememberMix adds a mix to the recent ones and removes similar ones.
func (g *group) rememberMix(d sample) {
	share := g.prefillShare(d)
	kept := g.recentMixes[:0]
	for _, m := range g.recentMixes {
		if math.Abs(g.prefillShare(m)-share) > shiftDistance {
			kept = append(kept, m)
		}
	}
	if len(kept) == maxRecentMixes {
		kept = kept[:copy(kept, kept[1:])]
	}
	g.recentMixes = append(kept, d)
}

func (g *group) prefillShare(d sample) float64 {
	prefill, decode := g.engineSeconds(d)
	return prefill / math.Max(prefill+decode, minDivisor)
}

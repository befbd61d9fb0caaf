package cost

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Speed holds the times that work takes on one engine in one role.
type Speed struct {
	// PrefillPerToken is the seconds per uncached prompt token until the first
	// token, with the usual other work on the engine.
	PrefillPerToken float64
	// PrefillWorkPerToken is the seconds per uncached prompt token that the
	// engine would need without other work.
	PrefillWorkPerToken float64
	// StepBase is the fixed part of a decode step, in seconds.
	StepBase float64
	// StepPerSequence is the additional seconds of a decode step per running
	// sequence.
	StepPerSequence float64
	// StepPerContextToken is the additional seconds of a decode step per token
	// of KV cache that its sequences read.
	StepPerContextToken float64
}

// Step returns the seconds of one decode step with n running sequences that
// hold context tokens of KV cache together.
func (s Speed) Step(n, context float64) float64 {
	return s.StepBase + s.StepPerSequence*n + s.StepPerContextToken*context
}

// ReferenceBatch and ReferenceContext are the numbers of sequences and of KV
// cache tokens at which the decode cost per token is stated. A fixed batch
// keeps cost units comparable across instances and over time.
const (
	ReferenceBatch   = 16
	ReferenceContext = 16 * 1000
)

// TokenCost returns the engine-seconds per output token at the reference batch.
func (s Speed) TokenCost() float64 {
	return s.Step(ReferenceBatch, ReferenceContext) / ReferenceBatch
}

func (s Speed) scaled(f float64) Speed {
	return Speed{PrefillPerToken: s.PrefillPerToken * f, PrefillWorkPerToken: s.PrefillWorkPerToken * f, StepBase: s.StepBase * f, StepPerSequence: s.StepPerSequence * f, StepPerContextToken: s.StepPerContextToken * f}
}

// DefaultSpeed is the speed assumed before any engine of a group has been
// observed.
var DefaultSpeed = Speed{PrefillPerToken: 1e-4, PrefillWorkPerToken: 5e-5, StepBase: 15e-3, StepPerSequence: 4e-4, StepPerContextToken: 1e-7}

const (
	numberOfRoles = 3
	// offRolePenalty multiplies the prior times of work outside an engine's
	// role until it has been observed.
	offRolePenalty = 2
	// priorSamples is the weight of the prior in the fit of decode steps.
	priorSamples = 10
	// sampleDecay is the factor on a group's old decode samples per new one.
	sampleDecay = 0.999
	// levelGain is the least weight of a new sample in an engine's level. The
	// level must change more slowly than the load. Otherwise it would absorb
	// the effect of the batch size and the fit would lose the cost per
	// sequence.
	levelGain = 0.003
	// maxSampleRatio bounds the ratio of a sample to its expected value.
	maxSampleRatio = 3
	// prefillQuantile is the quantile of the observed seconds per token that is
	// used as the prefill time. It is high because queueing that the estimate
	// missed is part of the samples.
	prefillQuantile = 0.8
	// workQuantile is the quantile of the observed seconds per token that is
	// used as the prefill work. It selects the prefills that other work
	// disturbed least.
	workQuantile = 0.1
	// minPrefillStep and maxPrefillStep bound the change of the logarithm of a
	// prefill time per sample.
	minPrefillStep, maxPrefillStep = 0.03, 0.4
	// maxFirstSampleRatio bounds the ratio of the first sample to the estimate
	// before it. A first prefill behind a queue that was not known yet would
	// otherwise give an estimate at which the engine is never chosen again.
	maxFirstSampleRatio = 3
	// initialSamples is the number of first samples whose minimum replaces the
	// prior.
	initialSamples = 5
	// throughputQuantile is the quantile of the seconds per token between two
	// reports that is used as the prefill work. It is low because an engine
	// that was idle for part of the time looks slow.
	throughputQuantile = 0.15
	// learnedSamples is the number of samples from which an engine counts in
	// its group's mean.
	learnedSamples = 3
	// maxPriorReduction bounds the factor by which a coefficient may fall below
	// its prior, so that noise cannot make a cost vanish.
	maxPriorReduction = 5
	// minPrefillTokens is the shortest prefill that is used as a sample.
	// Shorter ones are dominated by the iteration that they share.
	minPrefillTokens = 1000
)

// engineSpeed is the learned state of one engine in one role. Each role has its
// own, because work outside the role is less efficient.
type engineSpeed struct {
	speed Speed
	// prefill and work track quantiles of the logarithms of the prefill times.
	prefill, work quantile
	prefillCount  float64
	// workCount is the number of throughput samples.
	workCount float64
	// level is the engine's decode time relative to the group's model.
	level      float64
	levelCount float64
}

// Speeds learns the speeds of engines, which are identified by dense indices.
// The engines of a group differ mostly by a common factor, so the model of the
// decode step is learned per group and only its level per engine.
type Speeds struct {
	prior   Speed
	engines [][numberOfRoles]engineSpeed
	// declaredSpeed is the declared relative speed per engine.
	declaredSpeed []float64
	groups        []int32
	models        [][numberOfRoles]stepModel
}

// NewSpeeds returns a learner that starts from prior.
func NewSpeeds(prior Speed) *Speeds { return &Speeds{prior: prior} }

// SetGroup assigns an engine to a group. If the engine was not in that group,
// its learned state is reset.
func (s *Speeds) SetGroup(engine, group int32) {
	for int(group) >= len(s.models) {
		s.models = append(s.models, priorByRole(s.prior))
	}
	for int(engine) >= len(s.engines) {
		s.engines = append(s.engines, [numberOfRoles]engineSpeed{})
		s.groups = append(s.groups, -1)
		s.declaredSpeed = append(s.declaredSpeed, 1)
	}
	if s.groups[engine] == group {
		return
	}
	s.groups[engine] = group
	for r := range numberOfRoles {
		s.engines[engine][r] = engineSpeed{level: 1}
		s.updateEngine(engine, fleet.Role(r))
	}
}

// SetDeclaredSpeed sets the declared speed of an engine relative to the others
// of its group, which is 1 until it is set. It ignores a speed that is not
// positive.
func (s *Speeds) SetDeclaredSpeed(engine int32, speed float64) {
	if speed > 0 {
		s.declaredSpeed[engine] = speed
	}
}

// Of returns the current estimate for an engine in a role.
func (s *Speeds) Of(engine int32, role fleet.Role) Speed { return s.engines[engine][role].speed }

// InRole returns the speed of an engine for work in its role: prefill as a
// prefill engine and decode as a decode engine.
func (s *Speeds) InRole(engine int32) Speed {
	out := s.Of(engine, fleet.RoleDecode)
	prefill := s.Of(engine, fleet.RolePrefill)
	out.PrefillPerToken, out.PrefillWorkPerToken = prefill.PrefillPerToken, prefill.PrefillWorkPerToken
	return out
}

// Mean returns the mean speed of a group's engines in a role.
func (s *Speeds) Mean(group int32, role fleet.Role) Speed { return s.models[group][role].speed }

// ObservePrefill updates the prefill time with a prefill of the given tokens
// that took the given seconds.
func (s *Speeds) ObservePrefill(engine int32, role fleet.Role, tokens, seconds float64) {
	if tokens < minPrefillTokens || seconds <= 0 {
		return
	}
	e := &s.engines[engine][role]
	sample := math.Log(seconds / tokens)
	if e.prefillCount == 0 {
		sample = math.Min(sample, math.Log(maxFirstSampleRatio*e.speed.PrefillPerToken))
	}
	e.prefillCount++
	e.prefill.add(sample, prefillQuantile, e.prefillCount)
	if e.workCount == 0 {
		e.work.add(sample, workQuantile, e.prefillCount)
	}
	s.updateEngine(engine, role)
}

// ObserveThroughput updates the prefill work with the seconds per prompt token
// of an engine that prefilled all the time. Once called for an engine, it
// replaces the samples of ObservePrefill for the prefill work.
func (s *Speeds) ObserveThroughput(engine int32, role fleet.Role, perToken float64) {
	e := &s.engines[engine][role]
	sample := math.Log(perToken)
	e.workCount++
	e.work.add(sample, throughputQuantile, e.workCount)
	s.updateEngine(engine, role)
}

// ObserveStep updates the model with a decode step that took the given seconds
// with batch running sequences and context tokens of KV cache.
func (s *Speeds) ObserveStep(engine int32, role fleet.Role, batch, context, seconds float64) {
	if seconds <= 0 || batch <= 0 {
		return
	}
	e := &s.engines[engine][role]
	m := &s.models[s.groups[engine]][role]
	expected := m.speed.Step(batch, context)
	ratio := clamp(seconds/(expected*e.level), 1/maxSampleRatio, maxSampleRatio)
	e.levelCount++
	e.level *= math.Pow(ratio, math.Max(1/(e.levelCount+1), levelGain))
	m.decay()
	m.add(batch, context, expected*ratio, 1)
	s.updateEngine(engine, role)
}

// updateEngine recomputes the speed of an engine in a role. Values that have
// not been observed are derived from the group's observed engines and the
// engine's declared speed.
func (s *Speeds) updateEngine(engine int32, role fleet.Role) {
	e := &s.engines[engine][role]
	m := &s.models[s.groups[engine]][role]
	level := e.level
	if e.levelCount < learnedSamples && m.level > 0 {
		level = m.level / s.declaredSpeed[engine]
	}
	e.speed = m.speed.scaled(level)
	switch {
	case e.prefillCount > 0:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = math.Exp(e.prefill.value), math.Exp(e.work.value)
	case m.prefill > 0:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = m.prefill/s.declaredSpeed[engine], m.work/s.declaredSpeed[engine]
	default:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = m.speed.PrefillPerToken, m.speed.PrefillWorkPerToken
	}
}

// Refresh recomputes the groups' models and updates all engines. It is meant to
// be called about once per second.
func (s *Speeds) Refresh() {
	for g := range s.models {
		for r := range numberOfRoles {
			s.refreshModel(int32(g), fleet.Role(r))
		}
	}
	for e := range s.engines {
		if s.groups[e] < 0 {
			continue
		}
		for r := range numberOfRoles {
			s.updateEngine(int32(e), fleet.Role(r))
		}
	}
}

// refreshModel fits the model, normalises the mean level of its engines to 1
// and updates the mean prefill times.
func (s *Speeds) refreshModel(group int32, role fleet.Role) {
	m := &s.models[group][role]
	m.fit()
	var level, prefill, work, nLevel, nPrefill, declared, declaredPrefill float64
	for e := range s.engines {
		if s.groups[e] != group {
			continue
		}
		x := &s.engines[e][role]
		if x.levelCount >= learnedSamples {
			level += math.Log(x.level)
			declared += math.Log(s.declaredSpeed[e])
			nLevel++
		}
		if x.prefillCount >= learnedSamples {
			prefill += x.prefill.value
			work += x.work.value
			declaredPrefill += math.Log(s.declaredSpeed[e])
			nPrefill++
		}
	}
	if nPrefill > 0 {
		m.speed.PrefillPerToken, m.speed.PrefillWorkPerToken = math.Exp(prefill/nPrefill), math.Exp(work/nPrefill)
		scale := math.Exp(declaredPrefill / nPrefill)
		m.prefill, m.work = m.speed.PrefillPerToken*scale, m.speed.PrefillWorkPerToken*scale
	}
	if nLevel > 0 {
		s.rescale(group, role, math.Exp(level/nLevel))
		m.level = math.Exp(declared / nLevel) // the mean level is now 1
	}
}

// rescale moves a common factor from the engines' levels to the model.
func (s *Speeds) rescale(group int32, role fleet.Role, f float64) {
	m := &s.models[group][role]
	m.speed.StepBase *= f
	m.speed.StepPerSequence *= f
	m.speed.StepPerContextToken *= f
	for i := range m.xy {
		m.xy[i] *= f
	}
	for e := range s.engines {
		if s.groups[e] == group && s.engines[e][role].levelCount > 0 {
			s.engines[e][role].level /= f
		}
	}
}

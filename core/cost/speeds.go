package cost

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Speed describes one engine in one role.
type Speed struct {
	// PrefillPerToken is seconds per uncached prompt token until the first token, with
	// what usually shares the engine.
	PrefillPerToken float64
	// PrefillWorkPerToken is the engine's seconds per uncached prompt token: what it
	// could do without other work.
	PrefillWorkPerToken float64
	// StepBase is the seconds of a decode step before its sequences.
	StepBase float64
	// StepPerSequence is the additional seconds of a decode step per running sequence.
	StepPerSequence float64
	// StepPerContextToken is the additional seconds of a decode step per token of KV
	// cache that its sequences read.
	StepPerContextToken float64
}

// Step returns the seconds of one decode step with n running sequences whose
// KV caches hold context tokens together.
func (s Speed) Step(n, context float64) float64 {
	return s.StepBase + s.StepPerSequence*n + s.StepPerContextToken*context
}

// ReferenceBatch and ReferenceContext are the batch at which decode cost per
// token is stated. A fixed batch keeps cost units comparable across instances
// and over time.
const (
	ReferenceBatch   = 16
	ReferenceContext = 16 * 1000
)

// TokenCost returns engine-seconds per output token at the reference batch.
func (s Speed) TokenCost() float64 {
	return s.Step(ReferenceBatch, ReferenceContext) / ReferenceBatch
}

func (s Speed) scaled(f float64) Speed {
	return Speed{PrefillPerToken: s.PrefillPerToken * f, PrefillWorkPerToken: s.PrefillWorkPerToken * f, StepBase: s.StepBase * f, StepPerSequence: s.StepPerSequence * f, StepPerContextToken: s.StepPerContextToken * f}
}

// DefaultSpeed is the prior before any engine of a group has been observed.
var DefaultSpeed = Speed{PrefillPerToken: 1e-4, PrefillWorkPerToken: 5e-5, StepBase: 15e-3, StepPerSequence: 4e-4, StepPerContextToken: 1e-7}

const (
	roles = 3
	// offRolePenalty multiplies the prior time of work outside an engine's
	// role until it has been observed.
	offRolePenalty = 2
	// priorSamples is the weight of the prior shape of decode steps.
	priorSamples = 10
	// shapeDecay is the factor on old decode samples of a group per new one.
	shapeDecay = 0.999
	// levelGain is the least weight of a new sample in an engine's level. The
	// level must move slower than the load, or it would explain what the batch
	// causes and the slope would be lost.
	levelGain = 0.003
	// maxSampleRatio bounds the influence of one sample.
	maxSampleRatio = 3
	// prefillQuantile of the observed seconds per token is the speed: queueing
	// that the estimate missed only ever adds to a sample.
	prefillQuantile = 0.8
	// workQuantile is the quantile of the least disturbed prefills.
	workQuantile = 0.1
	// minPrefillStep and maxPrefillStep bound the change of the logarithm of a
	// prefill speed per sample.
	minPrefillStep, maxPrefillStep = 0.03, 0.4
	// maxFirstRatio bounds the first sample relative to the estimate before it.
	// A first prefill behind a queue that was not known yet would otherwise
	// teach a speed at which the engine is never chosen again.
	maxFirstRatio = 3
	// firstSamples replace the prior by their least.
	firstSamples = 5
	// throughputQuantile of the samples between two reports is the speed: an
	// engine that was idle for a while between them looks slow.
	throughputQuantile = 0.15
	// learnedSamples is how many samples an engine needs to enter its group's
	// mean.
	learnedSamples = 3
	// minPart bounds how far a coefficient falls below its prior, so that noise
	// cannot make a cost vanish.
	minPart = 5
	// minPrefillTokens is the shortest prefill that teaches a speed; shorter
	// ones are dominated by the iteration that they share.
	minPrefillTokens = 1000
)

// engineSpeed is the learned state of one engine in one role. Speeds of a role
// are kept apart because off-role work is less efficient.
type engineSpeed struct {
	speed Speed
	// prefill and work follow the logarithms of the prefill speeds.
	prefill, work quantile
	prefillCount  float64
	// workCount is the number of throughput samples.
	workCount float64
	// level is the engine's decode time relative to the group's shape.
	level      float64
	levelCount float64
}

// shape is the decode step of a group's mean engine in one role: weighted
// least squares of step time over 1, batch and context.
type shape struct {
	speed, prior Speed
	// level, prefill and work are the means over the observed engines, each
	// scaled to a machine of speed 1; zero level means none.
	level, prefill, work float64
	xx                   [3][3]float64
	xy                   [3]float64
}

// contextUnit scales context so that the regressors are of one magnitude.
const contextUnit = 1e4

// Speeds learns the speeds of engines, which are dense indices. Engines of a
// group differ mostly by a common factor, so the shape of the decode step is
// learned per group and only its level per engine.
type Speeds struct {
	prior   Speed
	engines [][roles]engineSpeed
	// machine is the declared relative speed per engine.
	machine []float64
	groups  []int32
	shapes  [][roles]shape
}

// NewSpeeds returns a learner that starts from prior.
func NewSpeeds(prior Speed) *Speeds { return &Speeds{prior: prior} }

// SetGroup places an engine in a group of engines of one kind of work.
func (s *Speeds) SetGroup(engine, group int32) {
	for int(group) >= len(s.shapes) {
		s.shapes = append(s.shapes, priorByRole(s.prior))
	}
	for int(engine) >= len(s.engines) {
		s.engines = append(s.engines, [roles]engineSpeed{})
		s.groups = append(s.groups, -1)
		s.machine = append(s.machine, 1)
	}
	if s.groups[engine] == group {
		return
	}
	s.groups[engine] = group
	for r := range roles {
		s.engines[engine][r] = engineSpeed{level: 1}
		s.solve(engine, fleet.Role(r))
	}
}

// SetDeclaredSpeed declares an engine's speed relative to the others of its group; zero
// means 1.
func (s *Speeds) SetDeclaredSpeed(engine int32, speed float64) {
	if speed > 0 {
		s.machine[engine] = speed
	}
}

func priorByRole(p Speed) [roles]shape {
	var out [roles]shape
	for r := range out {
		speed := p
		switch fleet.Role(r) {
		case fleet.RoleDecode:
			speed.PrefillPerToken *= offRolePenalty
			speed.PrefillWorkPerToken *= offRolePenalty
		case fleet.RolePrefill:
			speed = p.scaled(offRolePenalty)
			speed.PrefillPerToken, speed.PrefillWorkPerToken = p.PrefillPerToken, p.PrefillWorkPerToken
		}
		out[r] = shape{speed: speed, prior: speed}
	}
	return out
}

// withPrior returns the samples with the prior's at small and large batches.
func (h shape) withPrior(scale float64) shape {
	for _, x := range [...][2]float64{{1, 1000}, {32, 32_000}, {8, 80_000}} {
		h.add(x[0], x[1], scale*h.prior.Step(x[0], x[1]), priorSamples/3.0)
	}
	return h
}

func (h *shape) add(batch, context, seconds, weight float64) {
	x := [3]float64{1, batch, context / contextUnit}
	for i := range x {
		for j := range x {
			h.xx[i][j] += weight * x[i] * x[j]
		}
		h.xy[i] += weight * x[i] * seconds
	}
}

func (h *shape) decay() {
	for i := range h.xx {
		for j := range h.xx {
			h.xx[i][j] *= shapeDecay
		}
		h.xy[i] *= shapeDecay
	}
}

// solve recomputes the coefficients.
func (h *shape) solve() {
	all := h.withPrior(h.speed.Step(ReferenceBatch, ReferenceContext) / h.prior.Step(ReferenceBatch, ReferenceContext))
	a, y := all.xx, all.xy
	for i := range 3 {
		if math.Abs(a[i][i]) < 1e-12 {
			return
		}
		for j := i + 1; j < 3; j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < 3; k++ {
				a[j][k] -= f * a[i][k]
			}
			y[j] -= f * y[i]
		}
	}
	var c [3]float64
	for i := 2; i >= 0; i-- {
		c[i] = y[i]
		for k := i + 1; k < 3; k++ {
			c[i] -= a[i][k] * c[k]
		}
		c[i] /= a[i][i]
	}
	h.speed.StepBase = math.Max(c[0], h.prior.StepBase/minPart)
	h.speed.StepPerSequence = math.Max(c[1], h.prior.StepPerSequence/minPart)
	h.speed.StepPerContextToken = math.Max(c[2]/contextUnit, h.prior.StepPerContextToken/minPart)
}

// Of returns the current estimate for an engine in a role.
func (s *Speeds) Of(engine int32, role fleet.Role) Speed { return s.engines[engine][role].speed }

// InRole returns the speeds of an engine for work in its role: prefill as a
// prefill engine and decode as a decode engine.
func (s *Speeds) InRole(engine int32) Speed {
	out := s.Of(engine, fleet.RoleDecode)
	prefill := s.Of(engine, fleet.RolePrefill)
	out.PrefillPerToken, out.PrefillWorkPerToken = prefill.PrefillPerToken, prefill.PrefillWorkPerToken
	return out
}

// Mean returns the mean of a group's engines in a role.
func (s *Speeds) Mean(group int32, role fleet.Role) Speed { return s.shapes[group][role].speed }

// ObservePrefill learns from a prefill of tokens that took seconds.
func (s *Speeds) ObservePrefill(engine int32, role fleet.Role, tokens, seconds float64) {
	if tokens < minPrefillTokens || seconds <= 0 {
		return
	}
	e := &s.engines[engine][role]
	sample := math.Log(seconds / tokens)
	if e.prefillCount == 0 {
		sample = math.Min(sample, math.Log(maxFirstRatio*e.speed.PrefillPerToken))
	}
	e.prefillCount++
	e.prefill.add(sample, prefillQuantile, e.prefillCount)
	if e.workCount == 0 {
		e.work.add(sample, workQuantile, e.prefillCount)
	}
	s.solve(engine, role)
}

// ObserveThroughput learns the seconds per prompt token of an engine that was busy with
// prefill all the time. From then on it stands for the throughput speed.
func (s *Speeds) ObserveThroughput(engine int32, role fleet.Role, perToken float64) {
	e := &s.engines[engine][role]
	sample := math.Log(perToken)
	e.workCount++
	e.work.add(sample, throughputQuantile, e.workCount)
	s.solve(engine, role)
}

// quantile follows a quantile of a stream of samples. Its step grows while
// samples stay on one side and shrinks when they change sides, so that it is
// calm on steady samples and still follows a change of load within seconds.
type quantile struct {
	value, step float64
	up          bool
}

// add moves the quantile by one sample. The first samples replace the prior by
// their least.
func (q *quantile) add(sample, share float64, count float64) {
	if count == 1 || count <= firstSamples && sample < q.value {
		q.value, q.step = sample, minPrefillStep
		return
	}
	up := sample >= q.value
	if up == q.up {
		q.step = math.Min(q.step*2, maxPrefillStep)
	} else {
		q.step = math.Max(q.step/2, minPrefillStep)
	}
	q.up = up
	if up {
		q.value += math.Min(q.step*share, sample-q.value)
	} else {
		q.value -= math.Min(q.step*(1-share), q.value-sample)
	}
}

// ObserveStep learns that a decode step with batch running sequences and
// context tokens of KV cache took seconds.
func (s *Speeds) ObserveStep(engine int32, role fleet.Role, batch, context, seconds float64) {
	if seconds <= 0 || batch <= 0 {
		return
	}
	e := &s.engines[engine][role]
	h := &s.shapes[s.groups[engine]][role]
	expected := h.speed.Step(batch, context)
	ratio := clamp(seconds/(expected*e.level), 1/maxSampleRatio, maxSampleRatio)
	e.levelCount++
	e.level *= math.Pow(ratio, math.Max(1/(e.levelCount+1), levelGain))
	h.decay()
	h.add(batch, context, expected*ratio, 1)
	s.solve(engine, role)
}

// solve combines what is known of an engine. What has not been observed in a
// role follows the observed engines by the declared speed of the machine.
func (s *Speeds) solve(engine int32, role fleet.Role) {
	e := &s.engines[engine][role]
	h := &s.shapes[s.groups[engine]][role]
	level := e.level
	if e.levelCount < learnedSamples && h.level > 0 {
		level = h.level / s.machine[engine]
	}
	e.speed = h.speed.scaled(level)
	switch {
	case e.prefillCount > 0:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = math.Exp(e.prefill.value), math.Exp(e.work.value)
	case h.prefill > 0:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = h.prefill/s.machine[engine], h.work/s.machine[engine]
	default:
		e.speed.PrefillPerToken, e.speed.PrefillWorkPerToken = h.speed.PrefillPerToken, h.speed.PrefillWorkPerToken
	}
}

// Refresh recomputes the groups' shapes and moves engines without samples to
// them. It is called about once a second.
func (s *Speeds) Refresh() {
	for g := range s.shapes {
		for r := range roles {
			s.refreshShape(int32(g), fleet.Role(r))
		}
	}
	for e := range s.engines {
		if s.groups[e] < 0 {
			continue
		}
		for r := range roles {
			s.solve(int32(e), fleet.Role(r))
		}
	}
}

// refreshShape solves the shape, moves the mean level of its engines to 1 and
// takes the mean prefill speed.
func (s *Speeds) refreshShape(group int32, role fleet.Role) {
	h := &s.shapes[group][role]
	h.solve()
	var level, prefill, work, nLevel, nPrefill, machine, machinePrefill float64
	for e := range s.engines {
		if s.groups[e] != group {
			continue
		}
		x := &s.engines[e][role]
		if x.levelCount >= learnedSamples {
			level += math.Log(x.level)
			machine += math.Log(s.machine[e])
			nLevel++
		}
		if x.prefillCount >= learnedSamples {
			prefill += x.prefill.value
			work += x.work.value
			machinePrefill += math.Log(s.machine[e])
			nPrefill++
		}
	}
	if nPrefill > 0 {
		h.speed.PrefillPerToken, h.speed.PrefillWorkPerToken = math.Exp(prefill/nPrefill), math.Exp(work/nPrefill)
		scale := math.Exp(machinePrefill / nPrefill)
		h.prefill, h.work = h.speed.PrefillPerToken*scale, h.speed.PrefillWorkPerToken*scale
	}
	if nLevel > 0 {
		s.rescale(group, role, math.Exp(level/nLevel))
		h.level = math.Exp(machine / nLevel) // the mean level is 1 now
	}
}

// rescale moves a common factor from the engines' levels to the shape.
func (s *Speeds) rescale(group int32, role fleet.Role, f float64) {
	h := &s.shapes[group][role]
	h.speed.StepBase *= f
	h.speed.StepPerSequence *= f
	h.speed.StepPerContextToken *= f
	for i := range h.xy {
		h.xy[i] *= f
	}
	for e := range s.engines {
		if s.groups[e] == group && s.engines[e][role].levelCount > 0 {
			s.engines[e][role].level /= f
		}
	}
}

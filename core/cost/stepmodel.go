package cost

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// stepModel is the decode step of a group's mean engine in one role, fitted by
// weighted least squares of the step time over a constant, the batch and the
// context.
type stepModel struct {
	speed, prior Speed
	// level, prefill and work are means over the observed engines, each scaled
	// to an engine with a declared speed of 1. A zero level means no engines.
	level, prefill, work float64
	// xx and xy are the weighted sums of the normal equations of the fit.
	xx [3][3]float64
	xy [3]float64
}

// contextUnit scales the context so that the regressors have the same
// magnitude.
const contextUnit = 1e4

// priorByRole returns the models before any observation, by role.
func priorByRole(p Speed) [numberOfRoles]stepModel {
	var out [numberOfRoles]stepModel
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
		out[r] = stepModel{speed: speed, prior: speed}
	}
	return out
}

// withPriorSamples returns the model with samples of the prior, multiplied by
// scale, at a small, a large and a long-context batch.
func (m stepModel) withPriorSamples(scale float64) stepModel {
	for _, x := range [...][2]float64{{1, 1000}, {32, 32_000}, {8, 80_000}} {
		m.add(x[0], x[1], scale*m.prior.Step(x[0], x[1]), priorSamples/3.0)
	}
	return m
}

func (m *stepModel) add(batch, context, seconds, weight float64) {
	x := [3]float64{1, batch, context / contextUnit}
	for i := range x {
		for j := range x {
			m.xx[i][j] += weight * x[i] * x[j]
		}
		m.xy[i] += weight * x[i] * seconds
	}
}

func (m *stepModel) decay() {
	for i := range m.xx {
		for j := range m.xx {
			m.xx[i][j] *= sampleDecay
		}
		m.xy[i] *= sampleDecay
	}
}

// fit recomputes the coefficients from the samples.
func (m *stepModel) fit() {
	all := m.withPriorSamples(m.speed.Step(ReferenceBatch, ReferenceContext) / m.prior.Step(ReferenceBatch, ReferenceContext))
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
	m.speed.StepBase = math.Max(c[0], m.prior.StepBase/maxPriorReduction)
	m.speed.StepPerSequence = math.Max(c[1], m.prior.StepPerSequence/maxPriorReduction)
	m.speed.StepPerContextToken = math.Max(c[2]/contextUnit, m.prior.StepPerContextToken/maxPriorReduction)
}

// quantile tracks a quantile of a stream of samples. Its step grows while
// samples stay on one side and shrinks when they change sides, so that it is
// stable on steady samples and still follows a change of load within seconds.
type quantile struct {
	value, step float64
	rising      bool
}

// add updates the estimate of the quantile share, 0 to 1, with the sample
// number count. The minimum of the first samples replaces the prior.
func (q *quantile) add(sample, share float64, count float64) {
	if count == 1 || count <= initialSamples && sample < q.value {
		q.value, q.step = sample, minPrefillStep
		return
	}
	up := sample >= q.value
	if up == q.rising {
		q.step = math.Min(q.step*2, maxPrefillStep)
	} else {
		q.step = math.Max(q.step/2, minPrefillStep)
	}
	q.rising = up
	if up {
		q.value += math.Min(q.step*share, sample-q.value)
	} else {
		q.value -= math.Min(q.step*(1-share), q.value-sample)
	}
}

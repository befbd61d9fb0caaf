package cost

import (
	"math"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Speed describes one engine. The step time of a decode batch of n sequences
// is Base + Slope*n.
type Speed struct {
	// Prefill is seconds per uncached prompt token.
	Prefill float64
	// Base is the seconds of a decode step before its sequences.
	Base float64
	// Slope is the additional seconds of a decode step per running sequence.
	Slope float64
}

// Step returns the seconds of one decode step with n running sequences.
func (s Speed) Step(n float64) float64 { return s.Base + s.Slope*n }

// ReferenceBatch is the batch at which decode cost per token is stated. A
// fixed batch keeps cost units comparable across instances and over time.
const ReferenceBatch = 16

// TokenCost returns engine-seconds per output token at the reference batch.
func (s Speed) TokenCost() float64 { return s.Step(ReferenceBatch) / ReferenceBatch }

// DefaultSpeed is the prior before any engine of a group has been observed.
var DefaultSpeed = Speed{Prefill: 1e-4, Base: 15e-3, Slope: 4e-4}

const (
	roles = 3
	// offRolePenalty multiplies the prior time of work outside an engine's
	// role until it has been observed.
	offRolePenalty = 1.4
	// priorWeight is the weight of the group's mean in samples.
	priorWeight = 2
	// sampleDecay is the factor on old decode samples per new sample; the
	// effective memory is 50 samples.
	sampleDecay = 0.98
	// maxPrefillSamples bounds the weight of old prefill samples.
	maxPrefillSamples = 30
	// learnedSamples is how many samples an engine needs to enter its group's
	// mean.
	learnedSamples = 3
	// minPrefillTokens is the shortest prefill that teaches a speed; shorter
	// ones are dominated by transport and step times.
	minPrefillTokens = 200
)

// engineSpeed is the learned state of one engine in one role. Speeds of a role
// are kept apart because off-role work is less efficient.
type engineSpeed struct {
	speed        Speed
	prefillLog   float64
	prefillCount float64
	// Weighted least squares of step time y over batch x.
	n, x, xx, y, xy float64
}

// Speeds learns the speeds of engines, which are dense indices.
type Speeds struct {
	prior   Speed
	engines [][roles]engineSpeed
	groups  []int32
	means   [][roles]Speed
}

// NewSpeeds returns a learner that starts from prior.
func NewSpeeds(prior Speed) *Speeds { return &Speeds{prior: prior} }

// SetGroup places an engine in a group of engines of one kind of work.
func (s *Speeds) SetGroup(engine, group int32) {
	for int(group) >= len(s.means) {
		s.means = append(s.means, priorByRole(s.prior))
	}
	for int(engine) >= len(s.engines) {
		s.engines = append(s.engines, [roles]engineSpeed{})
		s.groups = append(s.groups, -1)
	}
	if s.groups[engine] == group {
		return
	}
	s.groups[engine] = group
	for r := range roles {
		s.engines[engine][r] = engineSpeed{speed: s.means[group][r]}
	}
}

func priorByRole(p Speed) [roles]Speed {
	var out [roles]Speed
	for r := range out {
		out[r] = p
	}
	out[fleet.RoleDecode].Prefill *= offRolePenalty
	out[fleet.RolePrefill].Base *= offRolePenalty
	out[fleet.RolePrefill].Slope *= offRolePenalty
	return out
}

// Of returns the current estimate for an engine in a role.
func (s *Speeds) Of(engine int32, role fleet.Role) Speed { return s.engines[engine][role].speed }

// Mean returns the mean of a group's engines in a role.
func (s *Speeds) Mean(group int32, role fleet.Role) Speed { return s.means[group][role] }

// ObservePrefill learns from a prefill of tokens that took seconds.
func (s *Speeds) ObservePrefill(engine int32, role fleet.Role, tokens, seconds float64) {
	if tokens < minPrefillTokens || seconds <= 0 {
		return
	}
	e := &s.engines[engine][role]
	sample := clamp(seconds/tokens, e.speed.Prefill/5, e.speed.Prefill*5)
	e.prefillCount = math.Min(e.prefillCount+1, maxPrefillSamples)
	e.prefillLog += (math.Log(sample) - e.prefillLog) / e.prefillCount
	s.solve(engine, role)
}

// ObserveStep learns that a decode step with batch running sequences took
// seconds.
func (s *Speeds) ObserveStep(engine int32, role fleet.Role, batch, seconds float64) {
	if seconds <= 0 || batch <= 0 {
		return
	}
	e := &s.engines[engine][role]
	seconds = math.Min(seconds, 5*e.speed.Step(batch))
	e.n = e.n*sampleDecay + 1
	e.x = e.x*sampleDecay + batch
	e.xx = e.xx*sampleDecay + batch*batch
	e.y = e.y*sampleDecay + seconds
	e.xy = e.xy*sampleDecay + batch*seconds
	s.solve(engine, role)
}

// solve combines the samples with the group's mean as two pseudo-samples, so
// that samples at a single batch size still give a sane slope.
func (s *Speeds) solve(engine int32, role fleet.Role) {
	e := &s.engines[engine][role]
	mean := s.means[s.groups[engine]][role]
	weight := priorWeight + e.prefillCount
	e.speed.Prefill = math.Exp((priorWeight*math.Log(mean.Prefill) + e.prefillCount*e.prefillLog) / weight)
	if e.n == 0 {
		e.speed.Base, e.speed.Slope = mean.Base, mean.Slope
		return
	}
	n, x, xx, y, xy := e.n, e.x, e.xx, e.y, e.xy
	// The pseudo-samples keep the group's shape and take the engine's level,
	// because engines of a group differ mostly by a common factor.
	scale := (e.y + priorWeight*mean.Step(e.x/e.n)) / (e.n + priorWeight) / mean.Step(e.x/e.n)
	for _, at := range [...]float64{1, 2 * ReferenceBatch} {
		v := mean.Step(at) * scale
		n += priorWeight
		x += priorWeight * at
		xx += priorWeight * at * at
		y += priorWeight * v
		xy += priorWeight * at * v
	}
	slope := math.Max((n*xy-x*y)/(n*xx-x*x), mean.Slope*scale/10)
	e.speed.Slope = slope
	e.speed.Base = math.Max((y-slope*x)/n, mean.Base*scale/10)
}

// Refresh recomputes the groups' means and moves engines without samples to
// them. It is called about once a second.
func (s *Speeds) Refresh() {
	for g := range s.means {
		for r := range roles {
			s.refreshMean(int32(g), fleet.Role(r))
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

func (s *Speeds) refreshMean(group int32, role fleet.Role) {
	var prefill, base, slope, nPrefill, nDecode float64
	for e := range s.engines {
		if s.groups[e] != group {
			continue
		}
		x := &s.engines[e][role]
		if x.prefillCount >= learnedSamples {
			prefill += math.Log(x.speed.Prefill)
			nPrefill++
		}
		if x.n >= learnedSamples {
			base += x.speed.Base
			slope += x.speed.Slope
			nDecode++
		}
	}
	mean := &s.means[group][role]
	if nPrefill > 0 {
		mean.Prefill = math.Exp(prefill / nPrefill)
	}
	if nDecode > 0 {
		mean.Base, mean.Slope = base/nDecode, slope/nDecode
	}
}

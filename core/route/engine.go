// Package route chooses where a request runs: filter, score, pick, with a
// reason for each choice.
package route

import (
	"math"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// None is the index of no engine.
const None = int32(-1)

// maxRecent bounds the dispatches and ends remembered per engine since its
// last report; an engine whose reports stop keeps the newest.
const maxRecent = 256

// change is one dispatch or end of work at an engine after its last report.
type change struct {
	at fleet.Instant
	// prefill is seconds of prefill work, zero for an end.
	prefill float64
	// sequences is +1 for a dispatch that decodes, -1 for an end.
	sequences int8
	kv        float32
}

// Engine is the estimated state of one upstream.
type Engine struct {
	Group fleet.GroupName
	Role  fleet.Role
	// Usable tells that the upstream may receive new work.
	Usable bool
	// SameDataCentre tells that it is in the instance's own data centre.
	SameDataCentre bool
	// Speed is the learned speed in the current role.
	Speed cost.Speed
	// ReportedAt is the time of the last report, valid if Reported.
	ReportedAt fleet.Instant
	Reported   bool
	// InFlight is the instance's own running work, Decoding the part of it
	// that decodes at this engine.
	InFlight, Decoding int

	// prefillFree is when the known prefill work is expected to be done.
	prefillFree fleet.Instant
	// prefillSent is all prefill seconds known to have been sent here.
	prefillSent float64
	// peerSent is the prefill seconds that peers have sent since the last
	// refresh, peerRate its learned rate in seconds per second.
	peerSent, peerRate float64
	// peerStarts and peerContext are the same for sequences and KV cache.
	peerStarts, peerContext rate
	// batch and kvUsed are as of asOf.
	asOf  fleet.Instant
	batch float64
	// gapError is the recent ratio of observed over expected token gaps; it
	// follows what the learned speed leaves out. Zero means no samples.
	gapError float64
	// gapTail is the learned ratio of the gap that gapQuantile of the gaps stay
	// within over the expected mean gap. Zero means no samples.
	gapTail float64
	// MeanStreamSeconds is the learned mean seconds of a stream here.
	MeanStreamSeconds  float64
	kvUsed, kvCapacity float64
	// tightestGap is the smallest token gap target of the own streams here.
	tightestGap float64
	recent      []change
	// ServiceTime is the learned seconds of one call at a plain service.
	ServiceTime float64
}

// Load is the part of a report that routing uses.
type Load struct {
	At                 fleet.Instant
	Running, Waiting   int
	WaitingPrompt      float64
	KVUsed, KVCapacity float64
}

// Backlog returns the expected seconds until the engine could start another
// prefill.
func (e *Engine) Backlog(now fleet.Instant) float64 {
	return math.Max((e.prefillFree - now).Seconds(), 0)
}

// RunningSequences returns the expected number of running sequences.
func (e *Engine) RunningSequences(now fleet.Instant) float64 {
	return math.Max(e.batch*e.remaining(now), float64(e.Decoding))
}

// ContextTokens returns the expected tokens of KV cache in use.
func (e *Engine) ContextTokens(now fleet.Instant) float64 { return e.kvUsed * e.remaining(now) }

// remaining is the part of the sequences known at asOf that still run. Ends of
// peers' streams are not announced, so the mean life of a stream stands for them.
func (e *Engine) remaining(now fleet.Instant) float64 {
	if now <= e.asOf {
		return 1
	}
	life := e.MeanStreamSeconds
	if life <= 0 {
		life = initialLife
	}
	return math.Exp(-(now - e.asOf).Seconds() / life)
}

// gapErrorGain is the weight of a new sample in the recent gap error.
const gapErrorGain = 0.1

// minGapError and maxGapError bound the correction of expected gaps.
const minGapError, maxGapError = 0.8, 2

// ObserveGap compares an observed token gap with the expected one.
func (e *Engine) ObserveGap(now fleet.Instant, seconds float64) {
	ratio := seconds / e.Speed.Step(math.Max(e.RunningSequences(now), 1), e.ContextTokens(now))
	if e.gapError == 0 {
		e.gapError = 1
	}
	e.gapError += gapErrorGain * (math.Min(math.Max(ratio, minGapError), maxGapError) - e.gapError)
}

const (
	// gapQuantile is the part of token gaps that is planned to meet the target.
	// The target holds for 95 in 100 gaps of each answer, and load still grows
	// after the choice: with 0.95 here, 7 to 14 in 100 answers of the
	// answer-heavy phases of the shifting mix are late.
	gapQuantile = 0.99
	// initialGapTail is assumed until gaps have been observed.
	initialGapTail = 1 / targetMargin
	// gapGrowth is the factor on the tail for what joins an engine after the
	// choice: answers get mean gaps 4 to 7% above the expected ones, 10% where
	// the load rises.
	gapGrowth = 1.1
	// gapTailStep is the largest change of the logarithm of the tail per sample.
	gapTailStep = 0.03
	// maxGapTail bounds the tail. An iteration with a whole prefill chunk takes
	// several times as long as one without.
	maxGapTail = 6
)

// ObserveLongestGap learns from the longest of n token gaps, in seconds. A
// mean over the gaps would hide the iterations that prefill lengthens.
func (e *Engine) ObserveLongestGap(now fleet.Instant, n int, longest float64) {
	if e.gapTail == 0 {
		e.gapTail = initialGapTail / gapGrowth
	}
	step := gapTailStep * math.Pow(gapQuantile, float64(n))
	if longest <= e.gapTail*e.ExpectedTokenGap(now, now, 0, 0) {
		step -= gapTailStep
	}
	e.gapTail = math.Min(math.Max(e.gapTail*math.Exp(step), 1), maxGapTail)
}

// tail is the factor on an expected gap that is planned for.
func (e *Engine) tail() float64 {
	if e.gapTail == 0 {
		return initialGapTail
	}
	return e.gapTail * gapGrowth
}

// CorrectSpeed returns a speed whose decode step includes the recent gap error of
// an engine that decodes.
func (e *Engine) CorrectSpeed(s cost.Speed) cost.Speed {
	if e.gapError == 0 || e.Role == fleet.RolePrefill {
		return s
	}
	s.StepBase *= e.gapError
	s.StepPerSequence *= e.gapError
	s.StepPerContextToken *= e.gapError
	return s
}

// ExpectedTokenGap returns the expected token gap with more sequences and context.
func (e *Engine) ExpectedTokenGap(now, peersAt fleet.Instant, sequences, context float64) float64 {
	unseen := e.unseen(now, peersAt)
	sequences += e.peerStarts.perSecond * unseen
	context += e.peerContext.perSecond * unseen
	gap := e.Speed.Step(e.RunningSequences(now)+sequences, e.ContextTokens(now)+context)
	if e.gapError == 0 {
		return gap
	}
	return gap * e.gapError
}

// initialLife is the assumed seconds that a stream runs at an engine.
const initialLife = 5

// lifeGain is the weight of a finished stream in the mean life.
const lifeGain = 0.05

// ObserveStreamDuration learns from a stream that ran for seconds.
func (e *Engine) ObserveStreamDuration(seconds float64) {
	if e.MeanStreamSeconds <= 0 {
		e.MeanStreamSeconds = seconds
	}
	e.MeanStreamSeconds += lifeGain * (seconds - e.MeanStreamSeconds)
}

// PrefillDone returns the prefill seconds expected to have been worked off
// since the start; differences give the part of a time spent on prefill.
func (e *Engine) PrefillDone(now fleet.Instant) float64 { return e.prefillSent - e.Backlog(now) }

// ReportAge returns the seconds since the last report, at most two.
func (e *Engine) ReportAge(now fleet.Instant) float64 {
	if !e.Reported {
		return maxAge
	}
	return math.Min((now - e.ReportedAt).Seconds(), maxAge)
}

// Report replaces the engine's state by a report and adds what is known to
// have changed since then.
func (e *Engine) Report(l Load) {
	if e.Reported && l.At < e.ReportedAt {
		return
	}
	e.Reported, e.ReportedAt = true, l.At
	kept := e.recent[:0]
	for _, c := range e.recent {
		if c.at >= l.At {
			kept = append(kept, c)
		}
	}
	e.recent = kept
	e.batch = float64(l.Running)
	if e.Role != fleet.RolePrefill {
		// What waits at other engines mostly decodes there after its prefill.
		e.batch += float64(l.Waiting)
	}
	e.kvUsed, e.kvCapacity = l.KVUsed, l.KVCapacity
	e.asOf = l.At
	e.prefillFree = l.At + seconds(l.WaitingPrompt*e.Speed.PrefillPerToken)
	for _, c := range e.recent {
		e.apply(c)
	}
}

func (e *Engine) apply(c change) {
	if c.prefill > 0 {
		e.prefillFree = max(e.prefillFree, c.at) + seconds(c.prefill)
	}
	if c.at > e.asOf {
		left := e.remaining(c.at)
		e.batch *= left
		e.kvUsed *= left
		e.asOf = c.at
	}
	e.batch += float64(c.sequences)
	e.kvUsed += float64(c.kv)
}

func (e *Engine) add(c change) {
	if e.Reported && c.at < e.ReportedAt {
		return
	}
	if len(e.recent) == maxRecent {
		copy(e.recent, e.recent[maxRecent/2:])
		e.recent = e.recent[:maxRecent/2]
	}
	e.recent = append(e.recent, c)
	e.prefillSent += c.prefill
	e.apply(c)
}

// Dispatched records work sent to the engine by this instance or a peer:
// prefill seconds, whether it decodes here, and the KV cache it will use.
func (e *Engine) Dispatched(at fleet.Instant, prefill float64, decodes bool, kv float64) {
	c := change{at: at, prefill: prefill, kv: float32(kv)}
	if decodes {
		c.sequences = 1
	}
	e.add(c)
}

// PeerDispatched records work that a peer sent to the engine.
func (e *Engine) PeerDispatched(at fleet.Instant, prefill float64, decodes bool, kv float64) {
	e.peerSent += prefill
	if decodes {
		e.peerStarts.sum++
		e.peerContext.sum += kv
	}
	e.Dispatched(at, prefill, decodes, kv)
}

// peerRateGain is the weight of a new second in the rate of peers' work.
const peerRateGain = 0.3

// Refresh learns the rate of peers' work over the last elapsed seconds.
func (e *Engine) Refresh(elapsed float64) {
	e.peerRate += peerRateGain * (e.peerSent/math.Max(elapsed, 1e-3) - e.peerRate)
	e.peerSent = 0
	e.peerStarts.refresh(elapsed)
	e.peerContext.refresh(elapsed)
}

// rate is a learned amount per second.
type rate struct{ sum, perSecond float64 }

func (r *rate) refresh(elapsed float64) {
	r.perSecond += peerRateGain * (r.sum/math.Max(elapsed, 1e-3) - r.perSecond)
	r.sum = 0
}

// maxUnseen bounds, in seconds, the time over which unseen work of peers is
// extrapolated. With 1 s MixShift loses 3 points of tokens; with 0.5 s eight
// instances with deep queues leave a sixth of the engines' time unused in the
// loop tests.
const maxUnseen = 0.3

// unseen is the seconds over which peers' dispatches are not known yet. What
// was sent before the last report is part of the report.
func (e *Engine) unseen(now, peersAt fleet.Instant) float64 {
	return math.Min((now - max(peersAt, e.ReportedAt)).Seconds(), maxUnseen)
}

// RecordGapTarget records the token gap target of a stream that starts at the engine.
func (e *Engine) RecordGapTarget(gap float64) {
	if e.Decoding == 0 || gap < e.tightestGap {
		e.tightestGap = gap
	}
}

// Reset clears what was known about the previous process.
func (e *Engine) Reset() {
	e.Reported, e.batch, e.kvUsed, e.prefillFree, e.gapTail = false, 0, 0, 0, 0
	e.recent = e.recent[:0]
}

func seconds(s float64) fleet.Instant { return fleet.Instant(s * 1e9) }

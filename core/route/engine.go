// Package route chooses the engines or the plain service that run a request. It
// filters and scores the upstreams of the group, picks the one with the lowest
// score and reports a reason for each choice.
package route

import (
	"math"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// None is the engine index that stands for no engine.
const None = int32(-1)

// maxRecentDispatches bounds the dispatches remembered per engine since its
// last report. An engine without new reports keeps the newest ones.
const maxRecentDispatches = 256

// dispatch is work that was sent to an engine, kept until a report covers it.
type dispatch struct {
	at fleet.Instant
	// prefillSeconds is the expected prefill time in seconds.
	prefillSeconds float64
	// sequences is 1 for a dispatch that decodes at the engine, otherwise 0.
	sequences int8
	kvTokens  float32
}

// Engine is the estimated state of one upstream. Plain services use it, too.
type Engine struct {
	Group fleet.GroupName
	Role  fleet.Role
	// Usable reports whether the upstream may receive new work.
	Usable bool
	// SameDataCentre reports whether the upstream is in the instance's own data
	// centre.
	SameDataCentre bool
	// Speed is the learned speed in the current role.
	Speed cost.Speed
	// ReportedAt is the time of the last load report. It is valid if Reported
	// is set.
	ReportedAt fleet.Instant
	Reported   bool
	// InFlight is the number of this instance's requests that run here,
	// Decoding the number of those that decode here.
	InFlight, Decoding int

	// prefillDoneAt is the expected time at which all known prefill work is
	// done.
	prefillDoneAt fleet.Instant
	// prefillDispatched is the sum of all known prefill work sent here, in
	// seconds.
	prefillDispatched float64
	// peerPrefill is the prefill work in seconds that peers have sent since the
	// last refresh, peerPrefillRate its learned rate in seconds per second.
	peerPrefill, peerPrefillRate float64
	// peerSequences and peerContext are the same for sequences and for tokens
	// of KV cache.
	peerSequences, peerContext rate
	// estimatedAt is the time for which batch, the number of running sequences,
	// and kvUsed are estimated.
	estimatedAt fleet.Instant
	batch       float64
	// gapError is the recent ratio of observed to expected token gaps. It
	// corrects for effects that the learned speed does not model. Zero means no
	// samples.
	gapError float64
	// gapTailRatio is the learned ratio of the gapQuantile of the token gaps to
	// the expected mean gap. Zero means no samples.
	gapTailRatio float64
	// MeanStreamSeconds is the learned mean duration of a stream here, in
	// seconds.
	MeanStreamSeconds float64
	// kvUsed and kvCapacity are in tokens of KV cache. A kvCapacity of zero
	// means that it is not known.
	kvUsed, kvCapacity float64
	// tightestTokenGapTarget is the smallest token gap target of the instance's
	// own streams here, in seconds.
	tightestTokenGapTarget float64
	recentDispatches       []dispatch
	// ServiceTime is the learned duration of one call at a plain service, in
	// seconds.
	ServiceTime float64
}

// Load is the part of a load report that routing uses. WaitingPrompt, KVUsed
// and KVCapacity are in tokens.
type Load struct {
	At                 fleet.Instant
	Running, Waiting   int
	WaitingPrompt      float64
	KVUsed, KVCapacity float64
}

// Backlog returns the expected time in seconds until the engine can start
// another prefill.
func (e *Engine) Backlog(now fleet.Instant) float64 {
	return math.Max((e.prefillDoneAt - now).Seconds(), 0)
}

// RunningSequences returns the expected number of running sequences at now, at
// least Decoding.
func (e *Engine) RunningSequences(now fleet.Instant) float64 {
	return math.Max(e.batch*e.remainingShare(now), float64(e.Decoding))
}

// ContextTokens returns the expected number of KV cache tokens in use at now.
func (e *Engine) ContextTokens(now fleet.Instant) float64 { return e.kvUsed * e.remainingShare(now) }

// remainingShare returns the expected share of the sequences known at
// estimatedAt that still run at now, 0 to 1. Peers do not announce the end of
// their streams, so the share decays with the mean duration of a stream.
func (e *Engine) remainingShare(now fleet.Instant) float64 {
	if now <= e.estimatedAt {
		return 1
	}
	meanSeconds := e.MeanStreamSeconds
	if meanSeconds <= 0 {
		meanSeconds = initialStreamSeconds
	}
	return math.Exp(-(now - e.estimatedAt).Seconds() / meanSeconds)
}

// gapErrorGain is the weight of a new sample in the recent gap error.
const gapErrorGain = 0.1

// minGapError and maxGapError bound the correction of expected gaps.
const minGapError, maxGapError = 0.8, 2

// ObserveTokenGap updates the gap error with an observed token gap, in seconds.
func (e *Engine) ObserveTokenGap(now fleet.Instant, seconds float64) {
	ratio := seconds / e.Speed.Step(math.Max(e.RunningSequences(now), 1), e.ContextTokens(now))
	if e.gapError == 0 {
		e.gapError = 1
	}
	e.gapError += gapErrorGain * (math.Min(math.Max(ratio, minGapError), maxGapError) - e.gapError)
}

const (
	// gapQuantile is the quantile of the token gaps that is planned to meet the
	// target. The target allows 5 in 100 gaps of an answer to be longer, but
	// load still grows after the choice: at 0.95, 7 to 14 in 100 answers of
	// answer-heavy phases miss their target.
	gapQuantile = 0.99
	// initialGapTail is the tail ratio assumed until gaps have been observed.
	initialGapTail = 1 / plannedTargetShare
	// gapGrowthFactor allows for requests that join the engine after the
	// choice: mean gaps turn out 4 to 7% above the expected ones, 10% when the
	// load rises.
	gapGrowthFactor = 1.1
	// gapTailStep is the largest change of the logarithm of the tail ratio per
	// sample.
	gapTailStep = 0.03
	// maxGapTail bounds the tail ratio. An iteration with a whole prefill chunk
	// takes several times as long as one without.
	maxGapTail = 6
)

// ObserveLongestTokenGap updates the tail ratio with the longest of n token gaps, in
// seconds. The mean of the gaps would hide the few iterations that a prefill
// lengthens.
func (e *Engine) ObserveLongestTokenGap(now fleet.Instant, n int, longest float64) {
	if e.gapTailRatio == 0 {
		e.gapTailRatio = initialGapTail / gapGrowthFactor
	}
	// If a share gapQuantile of the gaps is below the ratio times the expected
	// gap, the longest of n gaps is below it with probability gapQuantile^n. At
	// that probability the steps up and down cancel out.
	step := gapTailStep * math.Pow(gapQuantile, float64(n))
	if longest <= e.gapTailRatio*e.ExpectedTokenGap(now, now, 0, 0) {
		step -= gapTailStep
	}
	e.gapTailRatio = math.Min(math.Max(e.gapTailRatio*math.Exp(step), 1), maxGapTail)
}

// gapTailFactor returns the ratio of the planned token gap to the expected mean
// gap.
func (e *Engine) gapTailFactor() float64 {
	if e.gapTailRatio == 0 {
		return initialGapTail
	}
	return e.gapTailRatio * gapGrowthFactor
}

// CorrectSpeed returns s with its decode times multiplied by the recent gap
// error. It returns s unchanged for a prefill engine or without samples.
func (e *Engine) CorrectSpeed(s cost.Speed) cost.Speed {
	if e.gapError == 0 || e.Role == fleet.RolePrefill {
		return s
	}
	s.StepBase *= e.gapError
	s.StepPerSequence *= e.gapError
	s.StepPerContextToken *= e.gapError
	return s
}

// ExpectedTokenGap returns the expected token gap in seconds with the given
// additional sequences and tokens of KV cache. Dispatches of peers are known up
// to peersAt; those that peers are expected to have sent since then are added.
func (e *Engine) ExpectedTokenGap(now, peersAt fleet.Instant, sequences, context float64) float64 {
	unseen := e.unseenSeconds(now, peersAt)
	sequences += e.peerSequences.perSecond * unseen
	context += e.peerContext.perSecond * unseen
	gap := e.Speed.Step(e.RunningSequences(now)+sequences, e.ContextTokens(now)+context)
	if e.gapError == 0 {
		return gap
	}
	return gap * e.gapError
}

// initialStreamSeconds is the stream duration assumed until streams have ended.
const initialStreamSeconds = 5

// streamSecondsGain is the weight of a finished stream in the mean duration.
const streamSecondsGain = 0.05

// ObserveStreamDuration updates the mean stream duration with a finished stream
// that ran for the given seconds.
func (e *Engine) ObserveStreamDuration(seconds float64) {
	if e.MeanStreamSeconds <= 0 {
		e.MeanStreamSeconds = seconds
	}
	e.MeanStreamSeconds += streamSecondsGain * (seconds - e.MeanStreamSeconds)
}

// PrefillDone returns the prefill work, in seconds, expected to be done by now.
// The difference between two calls is the time spent on prefill between them.
func (e *Engine) PrefillDone(now fleet.Instant) float64 { return e.prefillDispatched - e.Backlog(now) }

// ReportAge returns the seconds since the last load report, at most
// maxReportAge.
func (e *Engine) ReportAge(now fleet.Instant) float64 {
	if !e.Reported {
		return maxReportAge
	}
	return math.Min((now - e.ReportedAt).Seconds(), maxReportAge)
}

// Report replaces the estimate by a load report and applies the dispatches that
// are newer than the report. It ignores a report older than the last one.
func (e *Engine) Report(l Load) {
	if e.Reported && l.At < e.ReportedAt {
		return
	}
	e.Reported, e.ReportedAt = true, l.At
	kept := e.recentDispatches[:0]
	for _, d := range e.recentDispatches {
		if d.at >= l.At {
			kept = append(kept, d)
		}
	}
	e.recentDispatches = kept
	e.batch = float64(l.Running)
	if e.Role != fleet.RolePrefill {
		// Requests that wait at any other engine mostly decode there after
		// their prefill.
		e.batch += float64(l.Waiting)
	}
	e.kvUsed, e.kvCapacity = l.KVUsed, l.KVCapacity
	e.estimatedAt = l.At
	e.prefillDoneAt = l.At + fromSeconds(l.WaitingPrompt*e.Speed.PrefillPerToken)
	for _, d := range e.recentDispatches {
		e.apply(d)
	}
}

// apply adds a dispatch to the estimate, which it first brings forward to the
// time of the dispatch.
func (e *Engine) apply(d dispatch) {
	if d.prefillSeconds > 0 {
		e.prefillDoneAt = max(e.prefillDoneAt, d.at) + fromSeconds(d.prefillSeconds)
	}
	if d.at > e.estimatedAt {
		share := e.remainingShare(d.at)
		e.batch *= share
		e.kvUsed *= share
		e.estimatedAt = d.at
	}
	e.batch += float64(d.sequences)
	e.kvUsed += float64(d.kvTokens)
}

// add keeps a dispatch until a report covers it and applies it. It ignores a
// dispatch that is older than the last report.
func (e *Engine) add(d dispatch) {
	if e.Reported && d.at < e.ReportedAt {
		return
	}
	if len(e.recentDispatches) == maxRecentDispatches {
		copy(e.recentDispatches, e.recentDispatches[maxRecentDispatches/2:])
		e.recentDispatches = e.recentDispatches[:maxRecentDispatches/2]
	}
	e.recentDispatches = append(e.recentDispatches, d)
	e.prefillDispatched += d.prefillSeconds
	e.apply(d)
}

// Dispatched records work sent to the engine by this instance or a peer: its
// prefill time in seconds, whether it decodes here, and its tokens of KV cache.
func (e *Engine) Dispatched(at fleet.Instant, prefill float64, decodes bool, kv float64) {
	d := dispatch{at: at, prefillSeconds: prefill, kvTokens: float32(kv)}
	if decodes {
		d.sequences = 1
	}
	e.add(d)
}

// PeerDispatched records work that a peer sent to the engine, as Dispatched
// does, and counts it in the rates of peers' work.
func (e *Engine) PeerDispatched(at fleet.Instant, prefill float64, decodes bool, kv float64) {
	e.peerPrefill += prefill
	if decodes {
		e.peerSequences.sum++
		e.peerContext.sum += kv
	}
	e.Dispatched(at, prefill, decodes, kv)
}

// peerRateGain is the weight of the last refresh period in the rate of peers'
// work.
const peerRateGain = 0.3

// Refresh updates the rates of peers' work from the last elapsed seconds.
func (e *Engine) Refresh(elapsed float64) {
	e.peerPrefillRate += peerRateGain * (e.peerPrefill/math.Max(elapsed, 1e-3) - e.peerPrefillRate)
	e.peerPrefill = 0
	e.peerSequences.refresh(elapsed)
	e.peerContext.refresh(elapsed)
}

// rate is a learned amount per second.
type rate struct{ sum, perSecond float64 }

func (r *rate) refresh(elapsed float64) {
	r.perSecond += peerRateGain * (r.sum/math.Max(elapsed, 1e-3) - r.perSecond)
	r.sum = 0
}

// maxUnseenSeconds bounds the time over which peers' work that is not known yet
// is extrapolated. Longer times lose throughput: with 1 s BenchmarkMixShift
// loses 3 percentage points of tokens, and with 0.5 s eight instances with deep
// queues leave a sixth of the engines' time unused.
const maxUnseenSeconds = 0.3

// unseenSeconds returns the time in seconds for which peers' dispatches are not
// known yet. Work sent before the last load report is part of the report.
func (e *Engine) unseenSeconds(now, peersAt fleet.Instant) float64 {
	return math.Min((now - max(peersAt, e.ReportedAt)).Seconds(), maxUnseenSeconds)
}

// RecordTokenGapTarget records the token gap target, in seconds, of a stream that
// starts at the engine.
func (e *Engine) RecordTokenGapTarget(gap float64) {
	if e.Decoding == 0 || gap < e.tightestTokenGapTarget {
		e.tightestTokenGapTarget = gap
	}
}

// Reset clears the estimate after the upstream's process has been replaced.
func (e *Engine) Reset() {
	e.Reported, e.batch, e.kvUsed, e.prefillDoneAt, e.gapTailRatio = false, 0, 0, 0, 0
	e.recentDispatches = e.recentDispatches[:0]
}

func fromSeconds(s float64) fleet.Instant { return fleet.Instant(s * 1e9) }

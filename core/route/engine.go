// Package route chooses where a request runs: filter, score, pick, with a
// reason for each choice.
package route

import (
	"math"
	"time"

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
	// Home tells that it is in the instance's own data centre.
	Home bool
	// Speed is the learned speed in the current role.
	Speed cost.Speed
	// ReportedAt is the time of the last report, valid if Reported.
	ReportedAt fleet.Instant
	Reported   bool
	// InFlight is the instance's own running work, Decoding the part of it
	// that decodes at this engine.
	InFlight, Decoding int

	reportedBatch float64
	// prefillFree is when the known prefill work is expected to be done.
	prefillFree fleet.Instant
	// prefillSent is all prefill seconds known to have been sent here.
	prefillSent float64
	// peerSent is the prefill seconds that peers have sent since the last
	// refresh, peerRate its learned rate in seconds per second.
	peerSent, peerRate float64
	batch              float64
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

// Batch returns the expected number of running sequences.
func (e *Engine) Batch() float64 { return math.Max(e.batch, float64(e.Decoding)) }

// PrefillDone returns the prefill seconds expected to have been worked off
// since the start; differences give the part of a time spent on prefill.
func (e *Engine) PrefillDone(now fleet.Instant) float64 { return e.prefillSent - e.Backlog(now) }

// Age returns the seconds since the last report, at most two.
func (e *Engine) Age(now fleet.Instant) float64 {
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
	e.reportedBatch = float64(l.Running + l.Waiting)
	e.batch = e.reportedBatch
	e.kvUsed, e.kvCapacity = l.KVUsed, l.KVCapacity
	e.prefillFree = l.At + seconds(l.WaitingPrompt*e.Speed.Prefill)
	for _, c := range e.recent {
		e.apply(c)
	}
}

func (e *Engine) apply(c change) {
	if c.prefill > 0 {
		e.prefillFree = max(e.prefillFree, c.at) + seconds(c.prefill)
	}
	e.batch = math.Max(e.batch+float64(c.sequences), 0)
	e.kvUsed = math.Max(e.kvUsed+float64(c.kv), 0)
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
	e.Dispatched(at, prefill, decodes, kv)
}

// peerRateGain is the weight of a new second in the rate of peers' work.
const peerRateGain = 0.3

// unreportedDecay is the time constant, in seconds, with which work of others
// is forgotten once reports stop; it is the order of an answer's length.
const unreportedDecay = 10

// reportsStopped is the age of the last report from which work of others is
// forgotten.
const reportsStopped = 2 * time.Second

// Refresh learns the rate of peers' work over the last elapsed seconds and
// forgets work of others that no report confirms any more. Without that an
// engine whose reports stop would look full for good.
func (e *Engine) Refresh(now fleet.Instant, elapsed float64) {
	e.peerRate += peerRateGain * (e.peerSent/math.Max(elapsed, 1e-3) - e.peerRate)
	e.peerSent = 0
	if e.Reported && now-e.ReportedAt < reportsStopped {
		return
	}
	keep := math.Exp(-elapsed / unreportedDecay)
	e.batch = float64(e.Decoding) + (e.batch-float64(e.Decoding))*keep
	e.kvUsed *= keep
}

// Ended records that work of this instance left the engine.
func (e *Engine) Ended(at fleet.Instant, decoded bool, kv float64) {
	c := change{at: at, kv: float32(-kv)}
	if decoded {
		c.sequences = -1
	}
	e.add(c)
}

// Protect records the token gap target of a stream that starts at the engine.
func (e *Engine) Protect(gap float64) {
	if e.Decoding == 0 || gap < e.tightestGap {
		e.tightestGap = gap
	}
}

// Restart clears what was known about the previous process.
func (e *Engine) Restart() {
	e.Reported, e.batch, e.kvUsed, e.prefillFree = false, 0, 0, 0
	e.recent = e.recent[:0]
}

func seconds(s float64) fleet.Instant { return fleet.Instant(s * 1e9) }

package fleetsize

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// peakTime is the time whose highest demand counts. Loads swing with periods
	// of more than ten seconds, and bursts come tens of seconds apart.
	peakTime = 60 * time.Second
	// minMeasured is the time from which a demand counts as measured, and
	// coldTime the time for which its average does not count: at first nothing is
	// cached, and new engines would start as empty.
	minMeasured, coldTime = 10 * time.Second, 25 * time.Second
	// busyWait is the mean queueing time, as a share of the latency targets, above
	// which no server is given up. If requests wait for shortWait on average for
	// shortTime, the measured rates are taken for too high: by as much as makes
	// the present demand need shortStep times the fleet, up to maxCorrection.
	busyWait, shortWait = 0.15, 0.35
	shortTime           = 3 * time.Second
	shortStep           = 1.3
	maxCorrection       = 3.0
	// effectTime is the time after new servers serve, or after a correction, in which
	// the average of the queueing times follows, and correctionTime the time in which a correction
	// that is not confirmed falls to half.
	effectTime, correctionTime = 12 * time.Second, 2 * time.Minute
)

// work is a demand in engines that are fully used at each stage.
type work struct{ prefill, decode float64 }

func (w work) times(x float64) work { return work{w.prefill * x, w.decode * x} }

// servers returns the number of servers that carry the work at the given uses of
// the stages.
func (w work) servers(prefill, decode float64) int {
	return int(math.Ceil(w.prefill/prefill-1e-9)) + int(math.Ceil(w.decode/decode-1e-9))
}

type measurement struct {
	work
	at fleet.Instant
}

// meter keeps the demand of the last peakTime.
type meter struct {
	history []measurement
	// since is when the demand was first measured.
	since fleet.Instant
	// correction is the factor by which the demand is larger than the measured
	// rates say, as of correctedAt; less than 1 counts as 1.
	correction  float64
	correctedAt fleet.Instant
	// short reports whether requests wait for long, and shortSince since when.
	short      bool
	shortSince fleet.Instant
	// incompleteAt is when servers that were expected were last missing.
	incompleteAt fleet.Instant
}

// add measures the demand. ready is the number of servers that are there, expected
// that of those that are there or on their way. Nothing is added while the rates of
// either stage are unknown, as for services without engines.
func (m *meter) add(in Input, ready, expected int, now fleet.Instant) {
	if ready < expected {
		m.incompleteAt = now
	}
	for len(m.history) > 0 && now-m.history[0].at > peakTime {
		m.history = m.history[1:]
	}
	if in.Load.MeasuredFor < minMeasured {
		return
	}
	prefillRate, decodeRate := meanRates(in)
	if prefillRate == 0 || decodeRate == 0 {
		return
	}
	if len(m.history) == 0 {
		m.since = now
	}
	w := work{prefill: in.Load.RecentUncached / prefillRate, decode: in.Load.RecentEvents / decodeRate}
	if in.Load.MeasuredFor >= coldTime {
		w.prefill, w.decode = max(w.prefill, in.Load.Uncached/prefillRate), max(w.decode, in.Load.Events/decodeRate)
	}
	m.history = append(m.history, measurement{at: now, work: w})
	m.correct(in, ready, now)
}

// meanRates returns the mean of the known rates of the engines.
func meanRates(in Input) (prefill, decode float64) {
	var prefillKnown, decodeKnown float64
	for _, e := range in.Servers {
		if e.PrefillRate > 0 {
			prefill, prefillKnown = prefill+e.PrefillRate, prefillKnown+1
		}
		if e.DecodeRate > 0 {
			decode, decodeKnown = decode+e.DecodeRate, decodeKnown+1
		}
	}
	return prefill / max(prefillKnown, 1), decode / max(decodeKnown, 1)
}

// correct raises the correction if requests wait for long and no missing servers
// explain it.
func (m *meter) correct(in Input, ready int, now fleet.Instant) {
	if waitShare(in) <= shortWait {
		m.short = false
		return
	}
	if !m.short {
		m.short, m.shortSince = true, now
	}
	if now-m.shortSince < shortTime || now-m.incompleteAt < effectTime || (m.correction > 0 && now-m.correctedAt < effectTime) {
		return
	}
	w := m.highest()
	needed := w.prefill/raisePrefill + w.decode/raiseDecode
	if needed <= 0 {
		return
	}
	factor := shortStep * float64(ready) / needed
	m.correction, m.correctedAt = min(max(m.corrected(now), factor), maxCorrection), now
}

// corrected returns the correction now.
func (m *meter) corrected(now fleet.Instant) float64 {
	half := math.Exp2(-float64(now-m.correctedAt) / float64(correctionTime))
	return 1 + max(m.correction-1, 0)*half
}

// waitShare returns the longer of the mean queueing times at the two stages, as a
// share of the latency targets.
func waitShare(in Input) float64 {
	if in.Load.Requests <= 0 {
		return 0
	}
	return max(in.Load.PrefillWait, in.Load.DecodeWait) / in.Load.Requests
}

// waiting reports whether requests wait so long that no server can be missed.
func waiting(in Input) bool { return waitShare(in) > busyWait }

// settled reports whether the demand, if it can be measured, has been measured for
// quietTime.
func (m *meter) settled(now fleet.Instant) bool {
	return len(m.history) == 0 || now-m.since >= quietTime
}

// highest returns the highest measured demand of the last peakTime.
func (m *meter) highest() work {
	var out work
	for _, h := range m.history {
		if h.prefill+h.decode > out.prefill+out.decode {
			out = h.work
		}
	}
	return out
}

// peak returns the highest demand of the last peakTime; false while there is none.
func (m *meter) peak(now fleet.Instant) (work, bool) {
	return m.highest().times(m.corrected(now)), len(m.history) > 0
}

// present returns the last measured demand; false while there is none.
func (m *meter) present(now fleet.Instant) (work, bool) {
	if len(m.history) == 0 {
		return work{}, false
	}
	return m.history[len(m.history)-1].work.times(m.corrected(now)), true
}

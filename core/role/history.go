package role

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// samplePeriod is the time that one sample covers.
	samplePeriod = time.Second
	// maxSamples bounds the samples that are kept.
	maxSamples = 64
	// minSamples is how many samples the noise is estimated from at least.
	minSamples = 16
	// settleSamples is how many samples after a shift estimate the new mix. With
	// 3, goodput in MixShift at Hrafnsey was 73.4% instead of 78.7%.
	settleSamples = 4
	// shiftDistance is the least change of the prefill share that counts as a
	// shift of the mix.
	shiftDistance = 0.12
	// shortExtra raises the distance for short windows: with shiftDistance alone,
	// two seconds of 22 requests/s passed 6 standard deviations once in ten hours.
	shortExtra = 2
	// shiftSigmas is the least change in standard deviations of a window's mean.
	// Sums of few requests have long tails; 5 would do for normal noise.
	shiftSigmas = 6
)

// windows are the spans, in samples, whose mean mix is compared with the present
// one. Short ones find large shifts early, long ones find small shifts in noise.
var windows = [...]int{2, 4, 8, 16, 32}

// sample is the tokens that arrived in one period.
type sample struct{ prompt, output, context float64 }

func (s *sample) add(o sample) {
	s.prompt += o.prompt
	s.output += o.output
	s.context += o.context
}

func (s sample) scaled(f float64) sample {
	return sample{s.prompt * f, s.output * f, s.context * f}
}

// history detects change points of the mix in the samples since the last one.
type history struct {
	// samples are the newest whole periods with demand; open is the present one.
	samples []sample
	open    sample
	openAt  fleet.Instant
	started bool
	// regime sums up the first samples of the present mix. It stops at
	// maxSamples, so that slow drift is measured from a fixed point.
	regime sample
	count  int
}

// add enters tokens that arrived by now.
func (h *history) add(now fleet.Instant, s sample) {
	if !h.started {
		h.started, h.openAt = true, now
	}
	h.close(now)
	h.open.add(s)
}

// close ends the periods before now.
func (h *history) close(now fleet.Instant) {
	for ; now-h.openAt >= samplePeriod; h.openAt += samplePeriod {
		if h.count < maxSamples {
			h.regime.add(h.open)
			h.count++
		}
		h.keep(h.open)
		h.open = sample{}
	}
}

// keep adds a whole period. Empty ones say nothing about the mix, and the noise
// of an idle time would make the first requests after it a shift.
func (h *history) keep(s sample) {
	if s == (sample{}) {
		return
	}
	if len(h.samples) == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxSamples-1]
	}
	h.samples = append(h.samples, s)
}

// current returns the tokens per second of the present mix; ok is false until
// enough has been seen of it.
func (h *history) current() (mean sample, ok bool) {
	if h.count < settleSamples {
		return sample{}, false
	}
	return h.regime.scaled(1 / float64(h.count)), true
}

// shifted reports a shift of the prefill share of the work with the mean of the
// mix before it, and starts over with the samples after it.
func (h *history) shifted(work func(sample) (prefill, decode float64)) (before sample, ok bool) {
	if len(h.samples) < minSamples {
		return sample{}, false
	}
	prefill, decode := work(h.regime)
	total := prefill + decode
	if total <= 0 {
		return sample{}, false
	}
	reference := prefill / total
	deviations, totals, noise := h.deviations(work, reference)
	for _, w := range windows {
		from := len(deviations) - w
		if from < 0 {
			break
		}
		sum, within := 0.0, 0.0
		for i := from; i < len(deviations); i++ {
			sum += deviations[i]
			within += totals[i]
		}
		// The reference is itself a mean of count samples.
		deviation := noise * math.Sqrt(float64(w)+float64(w*w)/float64(h.count))
		distance := shiftDistance * (1 + shortExtra/float64(w))
		if math.Abs(sum) > distance*within && math.Abs(sum) > shiftSigmas*deviation {
			before = h.regime.scaled(1 / float64(h.count))
			h.restart((w + 1) / 2)
			return before, true
		}
	}
	return sample{}, false
}

// restart begins a new mix with the given number of newest samples.
func (h *history) restart(newest int) {
	n := copy(h.samples, h.samples[len(h.samples)-newest:])
	h.samples = h.samples[:n]
	h.regime, h.count = sample{}, n
	for _, s := range h.samples {
		h.regime.add(s)
	}
}

// deviations returns by how many engine-seconds of prefill each sample exceeds
// the reference share, its engine-seconds of work, and the standard deviation of
// the former. The difference of successive samples excludes the shift itself from
// the noise.
func (h *history) deviations(work func(sample) (prefill, decode float64), reference float64) (out, totals []float64, noise float64) {
	sum := 0.0
	for i, s := range h.samples {
		prefill, decode := work(s)
		d := prefill*(1-reference) - decode*reference
		if i > 0 {
			step := d - out[i-1]
			sum += step * step
		}
		out = append(out, d)
		totals = append(totals, prefill+decode)
	}
	return out, totals, math.Sqrt(sum / float64(2*max(len(out)-1, 1)))
}

package role

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// samplePeriod is the time that one sample covers.
	samplePeriod = time.Second
	// maxSamples bounds the number of samples that are kept.
	maxSamples = 64
	// minSamples is the least number of samples from which the noise is
	// estimated.
	minSamples = 16
	// newMixSamples is the number of samples after a shift from which the new
	// mix is estimated. With 3, BenchmarkMixShift loses 5 percentage points of
	// goodput.
	newMixSamples = 4
	// shiftDistance is the least change of the prefill share that counts as a
	// shift of the mix.
	shiftDistance = 0.12
	// shortWindowFactor raises the distance for short windows. With
	// shiftDistance alone, the noise of two seconds of 22 requests/s exceeds 6
	// standard deviations once in ten hours.
	shortWindowFactor = 2
	// shiftSigmas is the least change in standard deviations of a window's
	// mean. Sums over few requests have long tails; for normal noise 5 would
	// suffice.
	shiftSigmas = 6
)

// windows are the lengths, in samples, of the windows whose mean mix is
// compared with the baseline. Short windows detect large shifts early, long
// ones detect small shifts in noise.
var windows = [...]int{2, 4, 8, 16, 32}

// sample holds the prompt tokens, output tokens and tokens of KV cache read by
// a demand, in one period or, as a mean, per second.
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
	// samples are the newest complete periods with demand, partial is the
	// present period.
	samples      []sample
	partial      sample
	partialStart fleet.Instant
	started      bool
	// baseline is the sum of the first baselineSamples samples of the present
	// mix. It stops growing at maxSamples samples, so that slow drift is
	// measured from a fixed point.
	baseline        sample
	baselineSamples int
}

// add records tokens that arrived by now.
func (h *history) add(now fleet.Instant, s sample) {
	if !h.started {
		h.started, h.partialStart = true, now
	}
	h.closePeriods(now)
	h.partial.add(s)
}

// closePeriods completes the periods that ended by now.
func (h *history) closePeriods(now fleet.Instant) {
	for ; now-h.partialStart >= samplePeriod; h.partialStart += samplePeriod {
		if h.baselineSamples < maxSamples {
			h.baseline.add(h.partial)
			h.baselineSamples++
		}
		h.appendSample(h.partial)
		h.partial = sample{}
	}
}

// appendSample adds a complete period. It skips empty periods: they contain no
// information about the mix, and as they lower the estimated noise, the first
// requests after an idle time would look like a shift.
func (h *history) appendSample(s sample) {
	if s == (sample{}) {
		return
	}
	if len(h.samples) == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxSamples-1]
	}
	h.samples = append(h.samples, s)
}

// current returns the mean tokens per second of the present mix. ok is false
// until there are newMixSamples samples of it.
func (h *history) current() (mean sample, ok bool) {
	if h.baselineSamples < newMixSamples {
		return sample{}, false
	}
	return h.baseline.scaled(1 / float64(h.baselineSamples)), true
}

// detectShift reports whether the prefill share of the work has shifted. If so,
// it returns the mean of the mix before the shift and restarts the baseline
// with the samples after it. work returns the engine-seconds of a sample.
func (h *history) detectShift(work func(sample) (prefill, decode float64)) (before sample, ok bool) {
	if len(h.samples) < minSamples {
		return sample{}, false
	}
	prefill, decode := work(h.baseline)
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
		sum, windowWork := 0.0, 0.0
		for i := from; i < len(deviations); i++ {
			sum += deviations[i]
			windowWork += totals[i]
		}
		// The baseline is itself a mean of baselineSamples samples.
		deviation := noise * math.Sqrt(float64(w)+float64(w*w)/float64(h.baselineSamples))
		distance := shiftDistance * (1 + shortWindowFactor/float64(w))
		if math.Abs(sum) > distance*windowWork && math.Abs(sum) > shiftSigmas*deviation {
			before = h.baseline.scaled(1 / float64(h.baselineSamples))
			h.restartBaseline((w + 1) / 2)
			return before, true
		}
	}
	return sample{}, false
}

// restartBaseline begins a new mix with the given number of newest samples.
func (h *history) restartBaseline(newest int) {
	n := copy(h.samples, h.samples[len(h.samples)-newest:])
	h.samples = h.samples[:n]
	h.baseline, h.baselineSamples = sample{}, n
	for _, s := range h.samples {
		h.baseline.add(s)
	}
}

// deviations returns, per sample, by how many engine-seconds its prefill work
// exceeds the reference share, its total engine-seconds, and the standard
// deviation of the former. The noise is estimated from differences of
// successive samples, so that a shift does not count as noise.
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

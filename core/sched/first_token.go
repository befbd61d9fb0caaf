package sched

import (
	"math"
)

// firstTokenError tracks the ratio of observed to expected first-token time of
// one kind, as exponentially weighted averages of the ratio and of its
// absolute deviation. It covers what the estimate leaves out, such as prefill
// that shares an engine with decode. Kinds are tracked separately because
// short prompts exceed their few expected milliseconds several times over,
// which says nothing about long prompts.
type firstTokenError struct{ mean, deviation float64 }

const (
	// firstTokenErrorGain is the weight of a new sample in the averages.
	firstTokenErrorGain = 0.05
	// maxFirstTokenFactor bounds the correction, so that an engine that
	// stalled for a while does not make every later request look late.
	maxFirstTokenFactor = 2
	// firstTokenErrorDecay is the part of a kind's error that remains after a
	// second. Without decay, a kind whose requests are all refused would get
	// no new samples and keep its error for ever.
	firstTokenErrorDecay = 0.97
)

// observe adds a sample, the ratio of observed to expected first-token time.
func (e *firstTokenError) observe(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.2), 5)
	e.deviation += firstTokenErrorGain * (math.Abs(ratio-e.mean) - e.deviation)
	e.mean += firstTokenErrorGain * (ratio - e.mean)
}

// decay moves the error towards none; it is called once a second.
func (e *firstTokenError) decay() {
	e.deviation *= firstTokenErrorDecay
	e.mean = 1 + (e.mean-1)*firstTokenErrorDecay
}

// upperEstimate returns an expected first-token time, in seconds, raised by
// the mean error and its deviation.
func (e *firstTokenError) upperEstimate(expected float64) float64 {
	return expected * math.Min(math.Max(e.mean+e.deviation, 1), maxFirstTokenFactor)
}

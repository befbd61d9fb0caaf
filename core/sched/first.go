package sched

import (
	"math"
)

// firstError is how far first tokens of one kind are off the estimate: the mean
// and the mean deviation of observed over expected times. It covers what the
// estimate leaves out, such as prefill that shares an engine with decode. Kinds
// are kept apart because short prompts miss their few expected milliseconds by
// a multiple, which says nothing about long ones.
type firstError struct{ mean, deviation float64 }

const (
	// firstErrorGain is the weight of a new first-token time in the error.
	firstErrorGain = 0.05
	// maxFirstFactor bounds the correction: an engine that stalled for a while
	// must not make every later request look late.
	maxFirstFactor = 2
	// firstErrorKept is the part of a kind's error that is left after a second.
	// A kind whose requests are all refused would otherwise never learn better.
	firstErrorKept = 0.97
)

func (e *firstError) observe(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.2), 5)
	e.deviation += firstErrorGain * (math.Abs(ratio-e.mean) - e.deviation)
	e.mean += firstErrorGain * (ratio - e.mean)
}

func (e *firstError) decay() {
	e.deviation *= firstErrorKept
	e.mean = 1 + (e.mean-1)*firstErrorKept
}

// planned is an expected first-token time with its usual error.
func (e *firstError) planned(expected float64) float64 {
	return expected * math.Min(math.Max(e.mean+e.deviation, 1), maxFirstFactor)
}

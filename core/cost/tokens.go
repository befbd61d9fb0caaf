// Package cost estimates the cost of requests: prompt tokens corrected by
// reported usage, output tokens as quantiles learned online, and engine speeds
// learned from observed times to the first token and token gaps.
package cost

import (
	"math"
	"math/bits"
)

const (
	// histogramBuckets covers 1 to 2^18 tokens with two buckets per octave.
	histogramBuckets = 36
	// histogramWindow is the number of samples at which all counts are halved,
	// so that old answers lose influence.
	histogramWindow = 128
	// memberSamples is the weight of the kind's value in a member's estimate,
	// in samples.
	memberSamples = 8
	// ratioGain is the weight of a new sample in the prompt correction.
	ratioGain = 0.05
	// defaultOutputFraction is the share of the maximum that is predicted
	// before any answer of a kind has been seen.
	defaultOutputFraction = 0.5
)

// histogram counts answer lengths in logarithmic buckets.
type histogram struct {
	counts [histogramBuckets]uint16
	total  uint32
	sum    float64
}

func bucketOf(n int) int {
	if n < 1 {
		n = 1
	}
	log := bits.Len(uint(n)) - 1
	half := 0
	if log > 0 && n>>(log-1)&1 == 1 {
		half = 1
	}
	return min(2*log+half, histogramBuckets-1)
}

// bucketValue returns the geometric middle of a bucket in tokens.
func bucketValue(b int) float64 {
	low := math.Ldexp(1, b/2)
	if b%2 == 1 {
		return low * 1.73
	}
	return low * 1.22
}

func (h *histogram) add(n int) {
	if h.total >= histogramWindow {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += uint32(h.counts[i])
		}
		h.sum /= 2
	}
	h.counts[bucketOf(n)]++
	h.total++
	h.sum += float64(n)
}

// quantile returns the length in tokens that a share q of the answers does not
// exceed, or 0 without answers.
func (h *histogram) quantile(q float64) float64 {
	want := q * float64(h.total)
	seen := 0.0
	for i, c := range h.counts {
		seen += float64(c)
		if c > 0 && seen >= want {
			return bucketValue(i)
		}
	}
	return 0
}

func (h *histogram) mean() float64 { return h.sum / float64(h.total) }

// Tokens predicts token counts. Members and kinds are identified by dense
// indices.
type Tokens struct {
	kinds   []kindTokens
	members map[memberKind]*histogram
}

type kindTokens struct {
	output histogram
	// promptRatio is the mean ratio of reported to estimated prompt tokens.
	promptRatio float64
}

type memberKind struct{ member, kind int32 }

// maxMemberHistograms bounds the state per member and kind to about 1 MB.
const maxMemberHistograms = 8192

// NewTokens returns a predictor without samples.
func NewTokens() *Tokens { return &Tokens{members: map[memberKind]*histogram{}} }

// Grow makes room for the kinds 0 to n-1.
func (t *Tokens) Grow(n int) {
	for len(t.kinds) < n {
		t.kinds = append(t.kinds, kindTokens{promptRatio: 1})
	}
}

// Prompt returns the caller side's estimate of a prompt's length corrected by
// the kind's reported usage.
func (t *Tokens) Prompt(kind int32, estimate int) float64 {
	return float64(estimate) * t.kinds[kind].promptRatio
}

// Output returns the predicted quantile q of the answer length in tokens, at
// most limit.
func (t *Tokens) Output(member, kind int32, q float64, limit int) float64 {
	return t.predict(member, kind, limit, func(h *histogram) float64 { return h.quantile(q) })
}

// OutputMean returns the predicted mean answer length in tokens, at most limit.
func (t *Tokens) OutputMean(member, kind int32, limit int) float64 {
	return t.predict(member, kind, limit, (*histogram).mean)
}

// predict combines the kind's and the member's values, weighted by the member's
// number of samples.
func (t *Tokens) predict(member, kind int32, limit int, value func(*histogram) float64) float64 {
	k := &t.kinds[kind]
	out := defaultOutputFraction * float64(limit)
	if k.output.total > 0 {
		out = value(&k.output)
	}
	if h := t.members[memberKind{member, kind}]; h != nil && h.total > 0 {
		n := float64(h.total)
		out = (n*value(h) + memberSamples*out) / (n + memberSamples)
	}
	if limit > 0 {
		out = math.Min(out, float64(limit))
	}
	return math.Max(out, 1)
}

// Observe updates the predictions with one finished answer. estimate is the
// caller side's prompt estimate. Zero counts are ignored.
func (t *Tokens) Observe(member, kind int32, estimate, prompt, output int) {
	k := &t.kinds[kind]
	if estimate > 0 && prompt > 0 {
		ratio := float64(prompt) / float64(estimate)
		k.promptRatio += ratioGain * (clamp(ratio, 0.1, 10) - k.promptRatio)
	}
	if output <= 0 {
		return
	}
	k.output.add(output)
	key := memberKind{member, kind}
	h := t.members[key]
	if h == nil {
		if len(t.members) >= maxMemberHistograms {
			return
		}
		h = &histogram{}
		t.members[key] = h
	}
	h.add(output)
}

func clamp(x, low, high float64) float64 { return math.Min(math.Max(x, low), high) }

package role

import (
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestIdleTime guards against detecting a shift in the first requests after an
// idle time, whose lack of noise made any change look significant.
func TestIdleTime(t *testing.T) {
	work := func(s sample) (prefill, decode float64) { return s.prompt, s.output }
	var h history
	now := fleet.Instant(0)
	offer := func(n int, even, odd sample) {
		for i := range n {
			h.add(now, even)
			if i%2 == 1 {
				h.add(now, odd)
			}
			now += time.Second
		}
	}
	offer(100, sample{prompt: 1, output: 3}, sample{prompt: 6, output: 2})
	offer(100, sample{}, sample{})
	offer(2, sample{prompt: 6, output: 2}, sample{})
	if _, ok := h.detectShift(work); ok {
		t.Error("one request after an idle time is a shift")
	}
	offer(60, sample{prompt: 20, output: 2}, sample{})
	if _, ok := h.detectShift(work); !ok {
		t.Error("a minute of another mix is no shift")
	}
}

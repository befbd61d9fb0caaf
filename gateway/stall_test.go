package gateway

import (
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/placement"
)

// TestStallTimerFiresAtOnce guards against the end of the process, or a data race, when
// the limit of an attempt has passed before its watch is set up.
func TestStallTimerFiresAtOnce(t *testing.T) {
	p := &proxyRequest{deadline: time.Now()}
	for range 2000 {
		w := p.watchStall(placement.Choice{}, 0, true, func() {})
		w.progress()
		if err := w.end(nil); err != nil {
			t.Fatal(err)
		}
	}
}

package usage

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestRestoredStore guards against two sets of counts for a window, a fencing number
// that is given out twice or a lower one after a higher one, and holders that act in
// the order A, B, A, when the store comes back from an older copy: at any moment, once
// or twice, with the holder alive, killed or frozen, and with instances that start
// again in between.
func TestRestoredStore(t *testing.T) {
	for seed := range int64(120) {
		for _, fencing := range []bool{false, true} {
			name := fmt.Sprintf("seed %d, fencing %v", seed, fencing)
			w, _ := settledWorld(fencing)
			random := rand.New(rand.NewSource(seed))
			first := w.store.Copy()
			for range 1 + random.Intn(3) {
				copied := w.store.Copy()
				if random.Intn(2) == 0 {
					copied = first
				}
				w.advance(time.Duration(random.Intn(120))*step, 0.5)
				if random.Intn(2) == 0 {
					// The holder changes after the copy was made.
					w.stopHolder(random, true)
					w.advance(time.Duration(random.Intn(120))*step, 0.5)
				}
				w.store.Down = true
				w.advance(time.Duration(random.Intn(80))*step, 0.5)
				if random.Intn(3) == 0 {
					w.stopHolder(random, random.Intn(2) == 0)
				}
				w.store.Down = false
				w.store.Restore(copied)
				w.advance(time.Duration(random.Intn(60))*step, 0.5)
			}
			w.advance(40*time.Second, 0.5)
			w.checkRules(t, name)
			if _, ok := w.accepted[w.present()-4]; !ok {
				t.Errorf("%s: window %d not reported, 40 s after the last return", name, w.present()-4)
			}
		}
	}
}

// stopHolder kills the holder, and starts it again later, or freezes it.
func (w *world) stopHolder(random *rand.Rand, killed bool) {
	n := w.holderNode()
	if n == nil {
		return
	}
	pause := time.Duration(1+random.Intn(6)) * time.Second
	if !killed {
		n.frozenUntil = w.now + pause
		return
	}
	n.stopped = true
	i := n.index
	w.later(pause, func() { w.nodes[i] = w.start(i) })
}

// TestHolderContinuesAfterRestore guards against reports that are left out although the
// holder that has sent the last ones is alive.
func TestHolderContinuesAfterRestore(t *testing.T) {
	for moment := range 25 {
		w, first := settledWorld(false)
		copied := w.store.Copy()
		w.advance(9*time.Second+time.Duration(moment)*2*step, 0.5)
		w.store.Down = true
		w.advance(2*time.Second, 0.5)
		w.store.Down = false
		w.store.Restore(copied)
		w.finish(t, fmt.Sprintf("moment %d", moment), first)
	}
}

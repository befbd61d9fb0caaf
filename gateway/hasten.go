package gateway

import (
	"sync"
	"time"
)

// openWatches holds the watches of the attempts in flight. Safe for concurrent use.
type openWatches struct {
	mu   sync.Mutex
	open map[*stallWatch]struct{}
}

// add adds a watch and returns the function that removes it.
func (o *openWatches) add(w *stallWatch) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[*stallWatch]struct{}{}
	}
	o.open[w] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, w)
	}
}

// LinksPartitioned makes attempts that wait for the first bytes of an answer move to
// another instance soon, instead of after the time that a server may take.
func (g *Gateway) LinksPartitioned() {
	// The watches ask Links, whose state is about to change.
	go func() {
		g.watches.mu.Lock()
		defer g.watches.mu.Unlock()
		for w := range g.watches.open {
			w.hasten()
		}
	}()
}

// hasten decides about the attempt after recheckTime, unless its answer has begun: open
// connections may live on while others can't be opened.
func (w *stallWatch) hasten() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.answer != nil || w.ended || w.moved || w.reserving {
		return
	}
	if time.Until(w.firesAt) > recheckTime {
		w.timer.Reset(recheckTime)
	}
}

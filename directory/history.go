package directory

import (
	"context"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/store"
)

const (
	// maxChanges bounds the changes kept for instances that follow the store
	// through this one.
	maxChanges = 1024
	// maxContactAge is how long after its last contact with the store an
	// instance serves changes: one watch call and some time for its answer.
	maxContactAge = watchWait + 600*time.Millisecond
)

// history holds the most recent changes. Safe for concurrent use.
type history struct {
	mu sync.Mutex
	// changes holds all changes after revision from up to revision to.
	changes   []store.Change
	from, to  int64
	contactAt time.Time
	// changed is closed and replaced at the next change.
	changed chan struct{}
}

func newHistory() history { return history{changed: make(chan struct{})} }

// restart drops all changes after the whole store was read at a revision.
func (h *history) restart(at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.from, h.to, h.contactAt = nil, at, at, time.Now()
	h.notify()
}

// add appends the changes up to a revision; changes may be empty.
func (h *history) add(changes []store.Change, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt = time.Now()
	h.to = max(h.to, at)
	if len(changes) == 0 {
		return
	}
	h.changes = append(h.changes, changes...)
	if over := len(h.changes) - maxChanges; over > 0 {
		h.from = h.changes[over-1].Revision
		h.changes = append([]store.Change(nil), h.changes[over:]...)
	}
	h.notify()
}

// notify wakes all waiting calls of after. The caller holds mu.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// after implements Directory.After.
func (h *history) after(ctx context.Context, revision int64, wait time.Duration) ([]store.Change, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		h.mu.Lock()
		changed := h.changed
		stale := time.Since(h.contactAt) > maxContactAge
		compacted := revision < h.from
		to := max(h.to, revision)
		var out []store.Change
		for _, c := range h.changes {
			if c.Revision > revision {
				out = append(out, c)
			}
		}
		h.mu.Unlock()
		switch {
		case stale:
			return nil, 0, store.ErrUnavailable
		case compacted:
			return nil, 0, store.ErrCompacted
		case len(out) > 0 || ended:
			return out, to, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

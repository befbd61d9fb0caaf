package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/store"
)

const (
	// maxChanges bounds the number of changes kept for instances that follow
	// the store through this one.
	maxChanges = 1024
	// maxHistoryBytes bounds the keys and values of the changes kept. It has
	// room for the largest configuration, of 1 MB, beside the entries of the
	// largest fleet.
	maxHistoryBytes = 4 << 20
	// maxContactAge is how long after its last contact with the store an
	// instance serves changes: one watch call and some time for its answer.
	maxContactAge = watchWait + 600*time.Millisecond
)

// history holds the latest change of each key that changed recently. An earlier
// change of the same key is dropped, since whoever catches up needs only the
// last value. Safe for concurrent use.
type history struct {
	mu sync.Mutex
	// changes lead from the state at revision from to the state at revision to.
	// They are in order of revision, at most one for each key.
	changes  []store.Change
	from, to int64
	// bytes is the size of the keys and values in changes.
	bytes     int
	contactAt time.Time
	// changed is closed and replaced at the next change.
	changed chan struct{}
}

func newHistory() history { return history{changed: make(chan struct{})} }

// restart drops all changes after the whole store was read at a revision.
func (h *history) restart(at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.bytes, h.from, h.to, h.contactAt = nil, 0, at, at, time.Now()
	h.notify()
}

// add records the changes up to a revision; changes may be empty.
func (h *history) add(changes []store.Change, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt = time.Now()
	h.to = max(h.to, at)
	if len(changes) == 0 {
		return
	}
	changes = latestOfEachKey(changes)
	replaced := make(map[string]bool, len(changes))
	for _, c := range changes {
		replaced[c.Key] = true
	}
	// A new slice, since the clearing of dropped changes must not affect the
	// results of after.
	kept := make([]store.Change, 0, len(h.changes)+len(changes))
	for _, c := range h.changes {
		if !replaced[c.Key] {
			kept = append(kept, c)
		}
	}
	h.changes = append(kept, changes...)
	h.trim()
	h.notify()
}

// trim drops the oldest changes beyond maxChanges and maxHistoryBytes, and
// updates bytes. The caller holds mu.
func (h *history) trim() {
	h.bytes = 0
	for i, c := range slices.Backward(h.changes) {
		h.bytes += changeBytes(c)
		if h.bytes > maxHistoryBytes || len(h.changes)-i > maxChanges {
			h.bytes -= changeBytes(c)
			h.from = c.Revision
			h.changes = slices.Clone(h.changes[i+1:])
			return
		}
	}
}

// size returns the number of changes held and the bytes of their keys and
// values.
func (h *history) size() (changes, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.changes), h.bytes
}

func changeBytes(c store.Change) int { return len(c.Key) + len(c.Value) }

// latestOfEachKey returns the last change of each key, in their order.
func latestOfEachKey(changes []store.Change) []store.Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	out := make([]store.Change, 0, len(last))
	for i, c := range changes {
		if last[c.Key] == i {
			out = append(out, c)
		}
	}
	return out
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

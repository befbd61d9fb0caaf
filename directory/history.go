package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	// instance serves changes: one watch call of a hub and some time for its
	// answer.
	maxContactAge = hubWatchWait + 600*time.Millisecond
	// followedTime is how long after a call of after an instance counts as a
	// hub.
	followedTime = 10 * time.Second
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
	bytes int
	// contactAt is when the changes were last known to be complete.
	contactAt time.Time
	// followedAt is when after was last called.
	followedAt time.Time
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

// add records the changes up to a revision, which are complete as of contactAt;
// changes may be empty.
func (h *history) add(changes []store.Change, at int64, contactAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt = contactAt
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

// age returns the time since the changes were last known to be complete.
func (h *history) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.contactAt)
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

// followed reports whether other instances follow the store through this one.
func (h *history) followed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.followedAt.IsZero() && time.Since(h.followedAt) < followedTime
}

// after implements Directory.After.
func (h *history) after(ctx context.Context, revision int64, wait time.Duration) (store.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		h.mu.Lock()
		h.followedAt = time.Now()
		changed := h.changed
		age := time.Since(h.contactAt)
		compacted := revision < h.from
		behind := store.EraOf(revision) > store.EraOf(h.to)
		out := store.Batch{Revision: max(h.to, revision), Age: age}
		for _, c := range h.changes {
			if c.Revision > revision {
				out.Changes = append(out.Changes, c)
			}
		}
		h.mu.Unlock()
		switch {
		case age > maxContactAge:
			return store.Batch{}, errors.Wrapf(store.ErrUnavailable, "no contact with the store for %v", age)
		case compacted:
			return store.Batch{}, store.ErrCompacted
		case behind:
			return store.Batch{}, errors.Wrap(store.ErrUnavailable, "not read since the store has come back from a copy")
		case len(out.Changes) > 0 || ended:
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-time.After(maxContactAge - age + time.Millisecond):
			// The contact may have been lost meanwhile.
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		}
	}
}

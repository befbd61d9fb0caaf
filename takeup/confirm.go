package takeup

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// reads are the reads of one record. At most one is under way; those who ask meanwhile
// share the next one, since one that has begun may show the record as of before.
type reads struct {
	running, next *read
}

// read is one read of a record; its result is set before done is closed.
type read struct {
	done     chan struct{}
	versions []string
	err      error
}

// Confirm returns the versions that a service's record names at a moment after the call,
// and applies them. The error is store.ErrNotFound if there is no record.
func (k *Keeper) Confirm(ctx context.Context, group fleet.GroupName) ([]string, error) {
	r := k.join(group)
	select {
	case <-r.done:
		return r.versions, r.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "read record of software versions")
	}
}

// join returns the read that begins next, and begins it if none is under way.
func (k *Keeper) join(group fleet.GroupName) *read {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.reads[group]
	if all == nil {
		all = &reads{}
		k.reads[group] = all
	}
	if all.next == nil {
		all.next = &read{done: make(chan struct{})}
	}
	r := all.next
	if all.running == nil {
		all.running, all.next = r, nil
		go k.runReads(group, all)
	}
	return r
}

// runReads makes one read after the other until nobody waits for one.
func (k *Keeper) runReads(group fleet.GroupName, all *reads) {
	for r := all.running; r != nil; {
		r.versions, r.err = k.readRecord(group)
		close(r.done)
		k.mu.Lock()
		all.running, all.next = all.next, nil
		r = all.running
		k.mu.Unlock()
	}
}

// readRecord reads a record from the store and applies it.
func (k *Keeper) readRecord(group fleet.GroupName) ([]string, error) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	entry, err := k.Store.Get(ctx, key(group))
	if err != nil {
		return nil, errors.Wrap(err, "read record of software versions")
	}
	r, err := decode(key(group), entry.Value)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(group, entry.Revision, r.Versions)
	if time.Since(k.restoredAt) < rewriteTime {
		return nil, errors.New("the store has come back from a copy: the record may be an older one")
	}
	return r.Versions, nil
}

// rewriteTime is the time in which instances write records again that the store has lost.
const rewriteTime = 3 * time.Second

// firstEra is the highest era that a store has which has never come back from a copy.
const firstEra = 1

// noteEra records the store's era. The caller holds mu.
func (k *Keeper) noteEra(era int64) {
	if era <= k.era {
		return
	}
	// An instance that has just started can't tell how long ago a later era began.
	if k.era >= 0 || era > firstEra {
		k.restoredAt = time.Now()
	}
	k.era = era
}

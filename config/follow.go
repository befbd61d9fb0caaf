package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/store"
)

const (
	// watchWait bounds how long a lost watch event delays a version. Twenty
	// watchers at this wait cost the platform 5 reads a second.
	watchWait = 4 * time.Second
	// pollPeriod is the mean time between reads of an instance that does not
	// watch. With its jitter it stays below the 10 s within which a version
	// is in force everywhere; 390 instances cost 65 reads a second of the
	// platform's 2,000, and an unchanged value is not sent.
	pollPeriod = 6 * time.Second
	// pollSlice is how often an instance checks whether it has become a
	// watcher.
	pollSlice = 500 * time.Millisecond
	// quietPause follows a watch without news, so that a service that answers
	// early, as with stale reads, is not asked in a tight loop.
	quietPause = 200 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 4 * time.Second
)

// Run follows the platform's value until ctx ends. watcher tells whether this
// instance holds the watch of its data centre; the others read seldom, as a
// safety net behind the exchange between peers. It may change at any time.
func (k *Keeper) Run(ctx context.Context, watcher func() bool) {
	pause := firstRetry
	// The first read does not wait: an absent value must not delay the start.
	for first := true; ctx.Err() == nil; first = false {
		var err error
		before := k.Version()
		if first || !watcher() {
			err = k.read(ctx, 0)
		} else {
			err = k.read(ctx, watchWait)
		}
		switch {
		case err != nil:
			sleep(ctx, jitter(pause))
			pause = min(2*pause, lastRetry)
			continue
		case !watcher():
			k.idle(ctx, watcher)
		case k.Version() == before:
			sleep(ctx, jitter(quietPause))
		}
		pause = firstRetry
	}
}

// idle waits for the next poll, or until the instance becomes a watcher.
func (k *Keeper) idle(ctx context.Context, watcher func() bool) {
	for left := jitter(pollPeriod); left > 0 && ctx.Err() == nil && !watcher(); left -= pollSlice {
		sleep(ctx, min(left, pollSlice))
	}
}

// read takes one look at the platform's value, waiting up to wait for a change.
func (k *Keeper) read(ctx context.Context, wait time.Duration) error {
	k.mu.Lock()
	known := k.revision
	k.mu.Unlock()
	entry, err := store.ReadNewer(ctx, k.Store, CurrentKey, known, wait)
	switch {
	case errors.Is(err, store.ErrNotChanged), errors.Is(err, store.ErrNotFound) && wait > 0:
		k.Observer.ConfigRead(true)
		return nil
	case errors.Is(err, store.ErrNotFound):
		k.Observer.ConfigRead(true)
		return err
	case err != nil:
		if ctx.Err() == nil {
			k.Observer.ConfigRead(false)
			k.Log.Warn("read configuration", zap.Error(err))
		}
		return err
	}
	k.Observer.ConfigRead(true)
	k.mu.Lock()
	k.revision = entry.Revision
	k.mu.Unlock()
	record, err := decodeRecord(entry)
	if err != nil {
		k.refuse(Record{}, SourcePlatform, reasonInvalid)
		return err
	}
	k.Observer.ConfigStored(record.Version)
	var refused *NotInForce
	if err := k.offer(record, SourcePlatform); err != nil && !errors.As(err, &refused) {
		return err
	}
	return nil
}

// jitter spreads a pause over three quarters to five quarters of its length,
// so that instances started together do not read together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

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
	// watchTimeout bounds a watch, and with it the delay of a version whose
	// watch event is lost. With this value twenty watchers cost the platform 5
	// reads a second.
	watchTimeout = 4 * time.Second
	// pollPeriod is the mean time between the reads of an instance that does
	// not watch. With jitter it stays below the 10 s within which a version
	// must be in force everywhere. 390 instances cost the platform 65 of its
	// 2,000 reads a second, and an unchanged value is not sent.
	pollPeriod = 6 * time.Second
	// watcherCheckInterval is the time between two checks of whether the
	// instance has become a watcher.
	watcherCheckInterval = 500 * time.Millisecond
	// emptyWatchPause is the mean pause after a watch without a new version, so
	// that a platform that answers early, as with stale reads, is not called in
	// a tight loop.
	emptyWatchPause = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean pause after a failed read.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// Run follows the platform's current version until ctx ends. watcher reports
// whether this instance holds a watch for its data centre, which may change at
// any time. The other instances learn versions from their peers and poll the
// platform only as a fallback.
func (k *Keeper) Run(ctx context.Context, watcher func() bool) {
	pause := minRetryDelay
	// The first read does not wait for a value, so that an absent one does not
	// delay the start.
	for first := true; ctx.Err() == nil; first = false {
		var err error
		before := k.Version()
		if first || !watcher() {
			err = k.read(ctx, 0)
		} else {
			err = k.read(ctx, watchTimeout)
		}
		switch {
		case err != nil:
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxRetryDelay)
			continue
		case !watcher():
			k.waitForPoll(ctx, watcher)
		case k.Version() == before:
			sleep(ctx, jitter(emptyWatchPause))
		}
		pause = minRetryDelay
	}
}

// waitForPoll waits until the next poll is due or the instance becomes a
// watcher.
func (k *Keeper) waitForPoll(ctx context.Context, watcher func() bool) {
	for remaining := jitter(pollPeriod); remaining > 0 && ctx.Err() == nil && !watcher(); remaining -= watcherCheckInterval {
		sleep(ctx, min(remaining, watcherCheckInterval))
	}
}

// read reads the platform's current record, waiting up to wait for a change,
// and puts it in force if it is newer.
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

// jitter returns a random duration between three quarters and five quarters of
// d, so that instances started together do not read together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

package directory

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// step reads the whole store when the revision is 0 and the changes after it
// otherwise. It returns the new revision.
func (d *Directory) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		asked, clock := time.Now(), d.Clock()
		entries, at, err := d.Store.Range(ctx, "", d.relevant)
		if err == nil {
			d.setConnected()
			d.applyAll(entries, at, d.earliestChange(0))
			d.confirm(clock, at)
			d.setComplete(asked)
			d.history.restart(at)
		}
		return at, err
	}
	batch, since, asked, err := d.changes(ctx, revision)
	if err != nil {
		return 0, err
	}
	d.setConnected()
	next := max(batch.Revision, revision)
	if len(batch.Changes) > 0 {
		d.apply(batch.Changes, since)
	}
	d.confirm(asked, next)
	d.setComplete(time.Now().Add(-batch.Age))
	d.history.add(batch.Changes, next, d.completeAt)
	if len(batch.Changes) > 0 {
		// Changes often come in bursts; the next call returns those of the
		// pause together.
		select {
		case <-ctx.Done():
		case <-time.After(batchDelay):
		}
	}
	return next, nil
}

// relevant reports whether a key is used. What other writers keep in the store is
// not held.
func (d *Directory) relevant(key string) bool {
	if strings.HasPrefix(key, unfollowedPrefix) {
		return false
	}
	return key == d.Decoder.ConfigurationKey() || strings.HasPrefix(key, d.Decoder.ServersPrefix()) || strings.HasPrefix(key, OwnPrefix)
}

// changes returns the changes after a revision from the hub, or from the store
// when the hub cannot answer, and the earliest time at which they may have been
// made. asked is the time on Clock up to which the store confirms that they are
// complete; 0 if it does not.
func (d *Directory) changes(ctx context.Context, revision int64) (batch store.Batch, since, asked fleet.Instant, err error) {
	if d.HubChanges != nil {
		batch, err := d.HubChanges(ctx, revision, hubWatchWait)
		if err == nil {
			// The hub may have learned of the changes late.
			return batch, d.earliestChange(0), 0, nil
		}
	}
	wait := watchWait
	if d.history.followed() {
		wait = hubWatchWait
	}
	if !d.isConnected() {
		// A store that has come back from a copy shows it in its answer only.
		wait = confirmWait
	}
	sent := time.Now()
	asked = d.Clock()
	batch, err = d.Store.WatchPrefix(ctx, "", revision, wait)
	if batch.Revision < revision {
		// The answer of a watch that was cut.
		asked = 0
	}
	batch.Changes = slices.DeleteFunc(batch.Changes, func(c store.Change) bool { return !d.relevant(c.Key) })
	return batch, d.earliestChange(time.Since(sent)), asked, err
}

// earliestChange returns the earliest time at which the changes of an answer may
// have been made, given how long the store held it back. An answer that was held
// back came with the first change; any other change may date from the last
// complete state. After an outage of the store it is the present: entries may
// have expired because of the outage, and their servers write them again.
func (d *Directory) earliestChange(held time.Duration) fleet.Instant {
	now := d.now()
	since := d.completeAt.Sub(d.start)
	switch {
	case held > deliveryTime:
		return max(since, now-deliveryTime)
	case now-since > minOutage:
		return now
	}
	return since
}

// ListAge returns the time since all changes of the store up to then were known here.
func (d *Directory) ListAge() time.Duration {
	if at := d.listedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(d.start)
}

// setComplete records that all changes up to a time are applied.
func (d *Directory) setComplete(at time.Time) {
	d.completeAt = at
	d.listedAt.Store(&at)
}

// Package takeup keeps in the platform's store which software versions may have begun
// streams (core/takeup). A version is recorded before streams begin at it, so that an
// instance that has started after all others were lost knows it from the record, and one
// that has missed news by reading the record.
package takeup

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// checkInterval is the time between two looks for records that have to be written.
	checkInterval = 100 * time.Millisecond
	// addStep and removeStep are the mean delays of a write for each listed instance,
	// so that one of them writes. Streams wait for a version to be recorded; one that
	// is named too long does no harm.
	addStep    = 5 * time.Millisecond
	removeStep = 20 * time.Millisecond
	// retryPause is the wait after a failed write, and callTimeout bounds it.
	retryPause  = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	// maxRecordBytes bounds a record.
	maxRecordBytes = 8 << 10
)

// Store is the part of the store's client that a Keeper needs.
type Store interface {
	// Get returns the entry as of a moment after the call, not an older one.
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (store.Entry, error)
}

// Options holds the dependencies of a Keeper.
type Options struct {
	Store Store
	// Instances returns the number of listed instances.
	Instances func() int
	// Changes returns the records that have to be written, and Learn is called with
	// each record that is read.
	Changes func() []takeup.RecordChange
	Learn   func(group fleet.GroupName, versions []string)
	Log     *zap.Logger
}

// Keeper keeps the records of one instance. Safe for concurrent use.
type Keeper struct {
	Options
	mu sync.Mutex
	// revisions are those of the records that were last seen, and scheduled holds the
	// services whose record is about to be written.
	revisions map[fleet.GroupName]int64
	scheduled map[fleet.GroupName]bool
	reads     map[fleet.GroupName]*reads
	// era is the highest era of the store that was seen, -1 for none, and restoredAt when
	// it took the place of an earlier one.
	era        int64
	restoredAt time.Time
}

// record is a service's record in the store.
type record struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// New returns a Keeper that knows no records.
func New(o Options) *Keeper {
	return &Keeper{Options: o, revisions: map[fleet.GroupName]int64{}, scheduled: map[fleet.GroupName]bool{}, reads: map[fleet.GroupName]*reads{}, era: -1}
}

// Run writes records until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range k.Changes() {
				k.schedule(ctx, c)
			}
		}
	}
}

// schedule lets a record be written after a random delay, if it is still to be changed
// then.
func (k *Keeper) schedule(ctx context.Context, c takeup.RecordChange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.scheduled[c.Group] {
		return
	}
	k.scheduled[c.Group] = true
	step := removeStep
	if c.Added {
		step = addStep
	}
	time.AfterFunc(rand.N(step*time.Duration(max(k.Instances(), 1))+1), func() {
		for _, now := range k.Changes() {
			if now.Group == c.Group && ctx.Err() == nil && !k.write(ctx, now) {
				time.Sleep(retryPause)
			}
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.scheduled, c.Group)
	})
}

// write writes a record and reports whether it did.
func (k *Keeper) write(ctx context.Context, c takeup.RecordChange) bool {
	raw, err := json.Marshal(record{Service: string(c.Group), Versions: c.Versions})
	if err != nil {
		k.Log.Error("record of software versions not encoded", zap.String("service", string(c.Group)), logline.Error(err))
		return false
	}
	k.mu.Lock()
	revision := k.revisions[c.Group]
	k.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	entry, err := k.Store.CompareAndSwap(ctx, key(c.Group), revision, raw, "")
	k.Log.Info("record of software versions", zap.String("service", string(c.Group)), zap.Strings("versions", c.Versions), zap.Bool("written", err == nil), logline.Error(err))
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if errors.Is(err, store.ErrConflict) {
			k.revisions[c.Group] = entry.Revision
		}
		return false
	}
	k.apply(c.Group, entry.Revision, c.Versions)
	return true
}

// EntryChanged takes over a change of an entry under directory.VersionsPrefix.
func (k *Keeper) EntryChanged(c store.Change) {
	if c.Deleted {
		k.forget(c.Key)
		return
	}
	r, err := decode(c.Key, c.Value)
	if err != nil {
		k.Log.Warn("store entry ignored", zap.String("key", c.Key), logline.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(fleet.GroupName(r.Service), c.Revision, r.Versions)
}

// apply applies a record, unless a newer one is known. The caller holds mu.
func (k *Keeper) apply(group fleet.GroupName, revision int64, versions []string) {
	if revision < k.revisions[group] {
		return
	}
	k.revisions[group] = revision
	k.noteEra(store.EraOf(revision))
	k.Learn(group, versions)
}

// forget takes note of a record that is gone, which is written again.
func (k *Keeper) forget(entryKey string) {
	raw, err := hex.DecodeString(strings.TrimPrefix(entryKey, directory.VersionsPrefix))
	if err != nil {
		return
	}
	k.mu.Lock()
	delete(k.revisions, fleet.GroupName(raw))
	k.mu.Unlock()
	k.Learn(fleet.GroupName(raw), nil)
}

// decode decodes a record. It returns an error for one that no instance writes.
func decode(entryKey string, value []byte) (record, error) {
	var r record
	if len(value) > maxRecordBytes {
		return r, errors.Errorf("record of software versions has %d bytes, over %d", len(value), maxRecordBytes)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.Wrap(err, "decode record of software versions")
	}
	if key(fleet.GroupName(r.Service)) != entryKey {
		return r, errors.New("record of software versions has another service than its key")
	}
	for _, version := range r.Versions {
		if len(version) > takeup.MaxSoftwareBytes {
			return r, errors.Errorf("record of software versions has a name of %d bytes", len(version))
		}
	}
	return r, nil
}

// key returns the store's key for a service.
func key(group fleet.GroupName) string {
	return directory.VersionsPrefix + hex.EncodeToString([]byte(group))
}

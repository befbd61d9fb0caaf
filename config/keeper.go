// Package config keeps the declaration in force at one instance: it applies
// changes through the platform's service and follows changes made elsewhere.
package config

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/platform"
)

// CurrentKey holds the declaration in force.
const CurrentKey = "config/current"

const (
	watchWait  = 20 * time.Second
	retryPause = 500 * time.Millisecond
)

// Record is the value of CurrentKey.
type Record struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	Text     string `json:"text"`
}

// Keeper is safe for concurrent use.
type Keeper struct {
	store   platform.Store
	onForce func(*declare.Index)

	mu       sync.Mutex
	record   Record
	revision int64
	index    *declare.Index
}

// NewKeeper returns a keeper; onForce is called for each version put in force.
func NewKeeper(store platform.Store, onForce func(*declare.Index)) *Keeper {
	return &Keeper{store: store, onForce: onForce}
}

// Index returns the declaration in force, or nil.
func (k *Keeper) Index() *declare.Index {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index
}

// Record returns the record in force.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Run follows the platform's value until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		after := k.revision
		k.mu.Unlock()
		entry, err := k.store.Watch(ctx, CurrentKey, after, watchWait)
		if err == nil {
			err = k.offer(entry)
		}
		if err != nil {
			sleep(ctx, retryPause)
		}
	}
}

// Apply writes a new version based on the current one and puts it in force.
func (k *Keeper) Apply(ctx context.Context, changeID, author, text string) (Record, error) {
	if _, err := declfile.Parse("declaration", []byte(text)); err != nil {
		return Record{}, err
	}
	entry, err := k.store.Get(ctx, CurrentKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Record{}, errors.Wrap(err, "read current configuration")
	}
	var current Record
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &current); err != nil {
			return Record{}, errors.Wrap(err, "decode current configuration")
		}
	}
	next := Record{Version: current.Version + 1, ChangeID: changeID, Author: author, Text: text}
	raw, err := json.Marshal(next)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode configuration")
	}
	written, err := k.store.CompareAndSwap(ctx, CurrentKey, entry.Revision, raw, "")
	if err != nil {
		return Record{}, errors.Wrapf(err, "write configuration version %d", next.Version)
	}
	return next, k.offer(written)
}

// Offer puts a record from a peer in force if its version is newer.
func (k *Keeper) Offer(record Record) error { return k.force(record, 0) }

// offer puts an entry in force if its version is newer.
func (k *Keeper) offer(entry platform.Entry) error {
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	return k.force(record, entry.Revision)
}

func (k *Keeper) force(record Record, revision int64) error {
	declaration, err := declfile.Parse("declaration", []byte(record.Text))
	if err != nil {
		return errors.Wrapf(err, "configuration version %d", record.Version)
	}
	k.mu.Lock()
	k.revision = max(k.revision, revision)
	newer := record.Version > k.record.Version
	if newer {
		k.record = record
		k.index = declare.NewIndex(record.Version, declaration)
	}
	index := k.index
	k.mu.Unlock()
	if newer {
		k.onForce(index)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

package config

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/inifile"
	"github.com/bramleywick/bramleywick/store"
)

// Change is one operator's wish.
type Change struct {
	// ID is unique per change. A repeated apply with the same id finds the
	// first one's result.
	ID     string
	Author string
	File   string
	Text   string
	// Base is the version on which the change is based; 0 accepts any, and
	// BaseNone expects that there is none yet.
	Base int64
	// revertOf is the version whose text was taken.
	revertOf int64
}

// BaseNone is the base of a deployment's first configuration.
const BaseNone = -1

// Bounds of reading back after a lost answer. A write that is still under way
// in the network may take effect within this time.
const (
	settleTime  = 5 * time.Second
	settlePause = 250 * time.Millisecond
)

// Check parses and validates a declaration without changing anything.
func (k *Keeper) Check(file, text string) (*declare.Declaration, error) {
	d, err := declfile.Parse(file, []byte(text))
	if err != nil {
		return nil, err
	}
	return d, k.barOperators(file, d)
}

// barOperators refuses members' keys that are operators' keys.
func (k *Keeper) barOperators(file string, d *declare.Declaration) error {
	var faults inifile.Faults
	for _, m := range d.Members {
		for _, hash := range m.KeyHashes {
			for _, barred := range k.OperatorKeyHashes {
				if hash == barred {
					faults = append(faults, inifile.Fault{
						File: file, Line: m.Pos.Line, Message: "member " + string(m.ID) + ": the key is an operator's key",
						Expected: "a key of the member's own",
					})
				}
			}
		}
	}
	return faults.Err()
}

// Apply makes the text the next version and puts it in force here. It returns
// the accepted stamp. Faults of the text are inifile.Faults; *Moved, *TooLarge,
// store.ErrUnavailable and store.ErrRateLimited mean that nothing was
// changed; *Undecided means that the answer was lost and not settled.
func (k *Keeper) Apply(ctx context.Context, c Change) (Stamp, error) {
	if c.ID == "" {
		return Stamp{}, ErrNoChangeID
	}
	if _, err := k.Check(c.File, c.Text); err != nil {
		return Stamp{}, err
	}
	entry, current, err := k.current(ctx)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "read the current configuration; nothing was changed")
	}
	if done, ok := current.find(c.ID); ok {
		return done, k.force(current)
	}
	stored := current
	current = k.newest(current)
	if c.Base != 0 && max(c.Base, 0) != current.Version {
		return Stamp{}, k.moved(ctx, c.Base, current)
	}
	next, raw, err := k.prepare(ctx, c, current, stored)
	if err != nil {
		return Stamp{}, err
	}
	written, err := k.Store.CompareAndSwap(ctx, CurrentKey, entry.Revision, raw, "")
	switch {
	case errors.Is(err, store.ErrConflict):
		return k.afterConflict(ctx, c, current)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return k.settle(ctx, c, entry.Revision, current.Version, err)
	case err != nil:
		return Stamp{}, errors.Wrapf(err, "write configuration version %d; nothing was changed", next.Version)
	}
	k.mu.Lock()
	k.revision = max(k.revision, written.Revision)
	k.mu.Unlock()
	k.Observer.ConfigStored(next.Version)
	return next.Stamp, k.force(next)
}

// force puts an accepted record in force here. A newer one that arrived in the
// meantime stays.
func (k *Keeper) force(record Record) error {
	var refused *NotInForce
	if err := k.offer(record, SourceApply); err != nil && !errors.As(err, &refused) {
		return err
	}
	return nil
}

// current reads the platform's record; an absent one has version 0.
func (k *Keeper) current(ctx context.Context) (store.Entry, Record, error) {
	entry, err := k.Store.Get(ctx, CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, Record{}, nil
	}
	if err != nil {
		return store.Entry{}, Record{}, err
	}
	record, err := decodeRecord(entry)
	return entry, record, err
}

// newest returns the record in force when the platform's is older, as after a
// restored store. A stale read gives the same picture, and its write conflicts.
func (k *Keeper) newest(stored Record) Record {
	if inForce := k.Record(); inForce.Version > stored.Version {
		return inForce
	}
	return stored
}

// prepare archives the current version and builds the next one. The archive
// comes first, so that no accepted version is ever without its predecessor.
// stored is the platform's record; it differs from current after a restore.
func (k *Keeper) prepare(ctx context.Context, c Change, current, stored Record) (Record, []byte, error) {
	k.mu.Lock()
	version := k.versions.Next(current.Version)
	k.mu.Unlock()
	next := Record{Text: c.Text, Recent: current.stamps(), Stamp: Stamp{
		Version: version, ChangeID: c.ID, Author: c.Author, File: c.File,
		AppliedAt: time.Now().UTC().Truncate(time.Millisecond), RevertOf: c.revertOf,
	}}
	if _, err := encodeRecord(next); err != nil {
		return Record{}, nil, err
	}
	for _, r := range []Record{stored, current} {
		if err := k.archive(ctx, r); err != nil {
			return Record{}, nil, errors.Wrapf(err, "archive configuration version %d; nothing was changed", r.Version)
		}
		if stored.Version == current.Version {
			break
		}
	}
	next.Recent = k.prune(ctx, next.Recent)
	raw, err := encodeRecord(next)
	return next, raw, err
}

// archive stores a version under its history key. Creating a key with the same
// content twice does no harm, so an unknown outcome is tried once more.
func (k *Keeper) archive(ctx context.Context, r Record) error {
	if r.Version == 0 {
		return nil
	}
	r.Recent = nil
	raw, err := encodeRecord(r)
	if err != nil {
		return err
	}
	for attempt := 0; attempt < 2; attempt++ {
		_, err = k.Store.CompareAndSwap(ctx, historyKey(r.Version), 0, raw, "")
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// prune deletes versions beyond HistoryLimit and returns the stamps that stay.
// A version whose key could not be deleted stays listed and is tried again at
// the next change.
func (k *Keeper) prune(ctx context.Context, stamps []Stamp) []Stamp {
	if len(stamps) <= HistoryLimit {
		return stamps
	}
	kept := append([]Stamp(nil), stamps[:HistoryLimit]...)
	for _, s := range stamps[HistoryLimit:] {
		if err := k.deleteHistory(ctx, s.Version); err != nil && len(kept) < HistoryLimit+historyOverhang {
			k.Log.Warn("delete old configuration", zap.Int64("version", s.Version), zap.Error(err))
			kept = append(kept, s)
		}
	}
	return kept
}

func (k *Keeper) deleteHistory(ctx context.Context, version int64) error {
	entry, err := k.Store.Get(ctx, historyKey(version))
	if err == nil {
		err = k.Store.CompareAndDelete(ctx, historyKey(version), entry.Revision)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// afterConflict tells the operator what changed in the meantime.
func (k *Keeper) afterConflict(ctx context.Context, c Change, based Record) (Stamp, error) {
	_, current, err := k.current(ctx)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "the configuration changed in the meantime; nothing was changed by this call; read what changed")
	}
	// The same change may have been sent twice.
	if done, ok := current.find(c.ID); ok {
		return done, k.force(current)
	}
	return Stamp{}, k.moved(ctx, based.Version, current)
}

// settle reads back after a lost answer. The change took effect if its id is
// found. It never will if the revision that it compared against is gone.
// Otherwise the write may still arrive, so nothing is decided.
func (k *Keeper) settle(ctx context.Context, c Change, compared, based int64, cause error) (Stamp, error) {
	ctx, stop := context.WithTimeout(ctx, settleTime)
	defer stop()
	for ctx.Err() == nil {
		entry, current, err := k.current(ctx)
		if err == nil {
			if done, ok := current.find(c.ID); ok {
				return done, k.force(current)
			}
			if entry.Revision > compared {
				return Stamp{}, k.moved(ctx, based, current)
			}
		}
		sleep(ctx, settlePause)
	}
	return Stamp{}, &Undecided{ChangeID: c.ID, Cause: cause}
}

// moved describes what was accepted after the base.
func (k *Keeper) moved(ctx context.Context, base int64, current Record) *Moved {
	e := &Moved{Base: base, Current: current.Version, Since: current.since(base)}
	old, err := k.Show(ctx, base)
	if err != nil {
		return e
	}
	before, errOld := declfile.Parse("declaration", []byte(old.Text))
	after, errNew := declfile.Parse("declaration", []byte(current.Text))
	if errOld == nil && errNew == nil {
		e.Changes = declare.Diff(before, after)
	}
	return e
}

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

// Change is a change of the configuration that an operator asks for.
type Change struct {
	// ID identifies the change. Applying a change again with the same id
	// returns the result of the first time.
	ID     string
	Author string
	File   string
	Text   string
	// Base is the version on which the change is based. 0 accepts any version;
	// BaseNone requires that there is none yet.
	Base int64
	// revertOf is the version to which the change reverts, or 0.
	revertOf int64
}

// BaseNone is the Base of a deployment's first configuration.
const BaseNone = -1

// readBackTimeout bounds the time of reading back after the answer to a write
// was lost, in which a write still under way in the network may take effect.
// readBackInterval is the time between two reads.
const (
	readBackTimeout  = 5 * time.Second
	readBackInterval = 250 * time.Millisecond
)

// Check parses and validates a declaration without applying it.
func (k *Keeper) Check(file, text string) (*declare.Declaration, error) {
	d, err := declfile.Parse(file, []byte(text))
	if err != nil {
		return nil, err
	}
	return d, k.refuseOperatorKeys(file, d)
}

// refuseOperatorKeys returns an error if an operator's key is declared as a
// member's.
func (k *Keeper) refuseOperatorKeys(file string, d *declare.Declaration) error {
	var faults inifile.Faults
	for _, m := range d.Members {
		for _, hash := range m.KeyHashes {
			for _, operatorKey := range k.OperatorKeyHashes {
				if hash == operatorKey {
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

// Apply makes the text the next version and puts it in force at this instance.
// It returns the stamp of the accepted version. An invalid text gives
// inifile.Faults. With *Moved, *TooLarge, store.ErrUnavailable and
// store.ErrRateLimited nothing was changed. *Undecided means that the answer
// was lost and the outcome is unknown.
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
		return done, k.putInForce(current)
	}
	stored := current
	current = k.newest(current)
	if c.Base != 0 && max(c.Base, 0) != current.Version {
		return Stamp{}, k.newMoved(ctx, c.Base, current)
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
		return k.readBack(ctx, c, entry.Revision, current.Version, err)
	case err != nil:
		return Stamp{}, errors.Wrapf(err, "write configuration version %d; nothing was changed", next.Version)
	}
	k.mu.Lock()
	k.revision = max(k.revision, written.Revision)
	k.mu.Unlock()
	k.Observer.ConfigStored(next.Version)
	return next.Stamp, k.putInForce(next)
}

// putInForce puts an accepted record in force at this instance, unless a newer
// one has arrived in the meantime.
func (k *Keeper) putInForce(record Record) error {
	var refused *NotInForce
	if err := k.offer(record, SourceApply); err != nil && !errors.As(err, &refused) {
		return err
	}
	return nil
}

// current reads the platform's current record. If there is none, the record has
// version 0.
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

// newest returns the newer of the record in force and the platform's. The
// platform's is older after its store was restored, and also with a stale
// read; the write then fails with a conflict.
func (k *Keeper) newest(stored Record) Record {
	if inForce := k.Record(); inForce.Version > stored.Version {
		return inForce
	}
	return stored
}

// prepare archives the current version and returns the next one with its
// encoding. The archive is written first, so that the predecessor of an
// accepted version is always kept. stored is the platform's record; it differs
// from current after its store was restored.
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

// archive stores a version under its history key. It tries once more after an
// unknown outcome, because creating a key twice with the same content is
// idempotent.
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

// prune deletes the versions beyond HistoryLimit and returns the remaining
// stamps. A version whose key could not be deleted remains listed, so that the
// next change tries again.
func (k *Keeper) prune(ctx context.Context, stamps []Stamp) []Stamp {
	if len(stamps) <= HistoryLimit {
		return stamps
	}
	kept := append([]Stamp(nil), stamps[:HistoryLimit]...)
	for _, s := range stamps[HistoryLimit:] {
		if err := k.deleteHistory(ctx, s.Version); err != nil && len(kept) < HistoryLimit+maxUndeletedVersions {
			k.Log.Warn("delete old configuration", zap.Int64("version", s.Version), zap.Error(err))
			kept = append(kept, s)
		}
	}
	return kept
}

// deleteHistory deletes the history key of a version, if it exists.
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

// afterConflict returns the result of a change whose write failed with a
// conflict: the stamp if the same change was accepted before, or else *Moved.
func (k *Keeper) afterConflict(ctx context.Context, c Change, base Record) (Stamp, error) {
	_, current, err := k.current(ctx)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "the configuration changed in the meantime; nothing was changed by this call; read what changed")
	}
	// The same change may have been sent twice.
	if done, ok := current.find(c.ID); ok {
		return done, k.putInForce(current)
	}
	return Stamp{}, k.newMoved(ctx, base.Version, current)
}

// readBack determines the outcome of a write whose answer was lost. The change
// took effect if its id is found. It cannot take effect any more if the
// revision that the write compared against was replaced, and the result is
// *Moved. Otherwise the write may still arrive, and after readBackTimeout the
// result is *Undecided with the error of the write as its cause.
func (k *Keeper) readBack(ctx context.Context, c Change, compared, base int64, cause error) (Stamp, error) {
	ctx, stop := context.WithTimeout(ctx, readBackTimeout)
	defer stop()
	for ctx.Err() == nil {
		entry, current, err := k.current(ctx)
		if err == nil {
			if done, ok := current.find(c.ID); ok {
				return done, k.putInForce(current)
			}
			if entry.Revision > compared {
				return Stamp{}, k.newMoved(ctx, base, current)
			}
		}
		sleep(ctx, readBackInterval)
	}
	return Stamp{}, &Undecided{ChangeID: c.ID, Cause: cause}
}

// newMoved returns the error with the versions accepted after the base and
// their differences to it.
func (k *Keeper) newMoved(ctx context.Context, base int64, current Record) *Moved {
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

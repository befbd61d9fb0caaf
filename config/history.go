package config

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/store"
)

// ErrNoVersion is returned for a version that was never accepted or is no
// longer kept.
var ErrNoVersion = errors.New("no such configuration version")

// Show returns the record of a version; 0 means the one in force, which needs
// no call to the platform. It returns ErrNoVersion if the version is not kept.
func (k *Keeper) Show(ctx context.Context, version int64) (Record, error) {
	record := k.Record()
	switch {
	case version == record.Version || version == 0:
		if record.Version == 0 {
			return Record{}, errors.Wrap(ErrNoVersion, "no configuration is in force")
		}
		return record, nil
	case version < 0:
		return Record{}, errors.Wrapf(ErrNoVersion, "version %d", version)
	}
	entry, err := k.Store.Get(ctx, historyKey(version))
	if errors.Is(err, store.ErrNotFound) {
		return k.showCurrent(ctx, version)
	}
	if err != nil {
		return Record{}, errors.Wrapf(err, "read configuration version %d", version)
	}
	return decodeRecord(entry)
}

// showCurrent returns the platform's current record if it has the given
// version, which may not be in force here yet.
func (k *Keeper) showCurrent(ctx context.Context, version int64) (Record, error) {
	_, current, err := k.current(ctx)
	if err != nil {
		return Record{}, errors.Wrapf(err, "read configuration version %d", version)
	}
	if current.Version != version {
		return Record{}, errors.Wrapf(ErrNoVersion, "version %d", version)
	}
	return current, nil
}

// History returns the stamps of the version in force and of earlier ones,
// newest first. A limit of 0 returns all that are kept.
func (k *Keeper) History(limit int) []Stamp {
	stamps := k.Record().stamps()
	if limit > 0 && limit < len(stamps) {
		stamps = stamps[:limit]
	}
	return stamps
}

// Revert applies the text of an old version as the next version. c.Text and
// c.File are ignored.
func (k *Keeper) Revert(ctx context.Context, version int64, c Change) (Stamp, error) {
	if version <= 0 {
		return Stamp{}, errors.Wrapf(ErrNoVersion, "revert to version %d", version)
	}
	old, err := k.Show(ctx, version)
	if err != nil {
		return Stamp{}, errors.Wrapf(err, "revert to version %d; nothing was changed", version)
	}
	c.Text, c.File, c.revertOf = old.Text, old.File, version
	if c.File == "" {
		c.File = "declaration"
	}
	return k.Apply(ctx, c)
}

// Diff returns the differences from one version to another; 0 means the
// version in force.
func (k *Keeper) Diff(ctx context.Context, from, to int64) ([]declare.Change, error) {
	before, err := k.declaration(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := k.declaration(ctx, to)
	if err != nil {
		return nil, err
	}
	return declare.Diff(before, after), nil
}

// declaration returns the parsed declaration of a version.
func (k *Keeper) declaration(ctx context.Context, version int64) (*declare.Declaration, error) {
	record, err := k.Show(ctx, version)
	if err != nil {
		return nil, err
	}
	d, err := declfile.Parse("declaration", []byte(record.Text))
	return d, errors.Wrapf(err, "configuration version %d", record.Version)
}

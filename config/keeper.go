// Package config keeps the declaration in force at one instance: it applies
// changes through the platform's service and follows changes made elsewhere.
package config

import (
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/store"
)

// Source is where a record came from.
type Source string

// Sources of a record.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	SourceApply    Source = "apply"
)

// Observer counts what happens to offered records.
type Observer interface {
	// ConfigInForce is called with each version put in force.
	ConfigInForce(version int64)
	// ConfigRefused is called for each record that was not put in force; the
	// reason is "older", "forked" or "invalid".
	ConfigRefused(source Source, reason string)
	// ConfigRead is called after each read of the platform's value.
	ConfigRead(ok bool)
	// ConfigStored is called with the version of each value read from the
	// platform. One below the version in force means a stale read or a
	// restored store; it is reported once, because an unchanged value is not
	// sent again.
	ConfigStored(version int64)
}

// reasonInvalid counts a record that this program cannot decode.
const reasonInvalid = "invalid"

// Options are the parts that a keeper works with.
type Options struct {
	Store store.Store
	// OnInForce is called for each version put in force, in order of versions
	// and never concurrently.
	OnInForce func(*declare.Index)
	// Observer and Log may be nil.
	Observer Observer
	Log      *zap.Logger
	// OperatorKeyHashes are the digests of operators' keys, which never work as
	// members' keys.
	OperatorKeyHashes []string
}

// Keeper is safe for concurrent use.
type Keeper struct {
	Options

	// forcing serialises offers, so that OnForce sees rising versions.
	forcing sync.Mutex

	mu       sync.Mutex
	versions declare.VersionTracker
	record   Record
	index    *declare.Index
	// revision is the platform's revision of the last read value. It falls
	// when the store was restored, so that the next write ends the watch.
	revision int64
	// refused is the last record that was reported as not put in force, so
	// that the same one is logged once.
	refused declare.Stamp
}

// NewKeeper returns a keeper with nothing in force.
func NewKeeper(o Options) *Keeper {
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnInForce == nil {
		o.OnInForce = func(*declare.Index) {}
	}
	return &Keeper{Options: o}
}

type noObserver struct{}

func (noObserver) ConfigInForce(int64)          {}
func (noObserver) ConfigRefused(Source, string) {}
func (noObserver) ConfigRead(bool)              {}
func (noObserver) ConfigStored(int64)           {}

// Index returns the declaration in force, or nil.
func (k *Keeper) Index() *declare.Index {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index
}

// Record returns the record in force, for operators and for peers that lag.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Version returns the version in force; 0 means none.
func (k *Keeper) Version() int64 { return k.Record().Version }

// ObserveVersion records that a version is in force at another instance, so that the
// next change here is given a higher one.
func (k *Keeper) ObserveVersion(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions.Observe(version)
}

// Offer puts a record from a peer in force if it is newer. A record that is
// already in force gives nil, an older or forked one *NotInForce.
func (k *Keeper) Offer(record Record) error { return k.offer(record, SourcePeer) }

func (k *Keeper) offer(record Record, source Source) error {
	k.forcing.Lock()
	defer k.forcing.Unlock()
	k.mu.Lock()
	verdict := k.versions.Compare(record.versionStamp())
	current := k.versions.Current()
	k.mu.Unlock()
	switch verdict {
	case declare.VersionSame:
		return nil
	case declare.VersionOlder, declare.VersionForked:
		k.refuse(record, source, string(verdict))
		return &NotInForce{Verdict: verdict, Offered: record.Stamp, Current: current, Source: source}
	}
	declaration, err := declfile.Parse("declaration", []byte(record.Text))
	if err != nil {
		k.refuse(record, source, reasonInvalid)
		return errors.Wrapf(err, "configuration version %d from %s", record.Version, source)
	}
	index := declare.NewIndex(record.Version, declaration, k.OperatorKeyHashes...)
	k.mu.Lock()
	k.versions.Offer(record.versionStamp())
	k.record = record
	k.index = index
	k.mu.Unlock()
	k.OnInForce(index)
	k.Observer.ConfigInForce(record.Version)
	k.Log.Info("configuration in force", zap.Int64("version", record.Version),
		zap.String("change_id", record.ChangeID), zap.String("source", string(source)))
	return nil
}

// refuse counts a record that is not put in force and logs it once.
func (k *Keeper) refuse(record Record, source Source, reason string) {
	k.Observer.ConfigRefused(source, reason)
	k.mu.Lock()
	known := k.refused == record.versionStamp()
	k.refused = record.versionStamp()
	current := k.versions.Current()
	k.mu.Unlock()
	if known {
		return
	}
	k.Log.Warn("configuration not put in force", zap.String("reason", reason),
		zap.Int64("version", record.Version), zap.String("change_id", record.ChangeID),
		zap.String("source", string(source)), zap.Int64("version_in_force", current.Version))
}

// Package config manages the declaration in force at one instance: it applies
// changes through the platform and follows changes made elsewhere.
package config

import (
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/store"
)

// Source says where a record came from.
type Source string

// Sources of a record.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	SourceApply    Source = "apply"
)

// Observer is notified of what happens to records.
type Observer interface {
	// ConfigInForce is called with each version put in force.
	ConfigInForce(version int64)
	// ConfigRefused is called for each record that was not put in force. The
	// reason is "older", "forked" or "invalid".
	ConfigRefused(source Source, reason string)
	// ConfigRead is called after each read of the platform's current record.
	ConfigRead(ok bool)
	// ConfigStored is called with the version of each record read from or
	// written to the platform. A version below the one in force means a stale
	// read or a restored store; such a record is reported once, because the
	// platform does not send an unchanged value again.
	ConfigStored(version int64)
}

// reasonInvalid is the reason for a record that cannot be decoded.
const reasonInvalid = "invalid"

// Options holds the dependencies of a Keeper.
type Options struct {
	Store store.Store
	// OnInForce is called for each version put in force, in rising order and
	// never concurrently. It may be nil.
	OnInForce func(*declare.Index)
	// Observer and Log may be nil.
	Observer Observer
	Log      *zap.Logger
	// OperatorKeyHashes lists the hashes of the operators' keys, which are
	// never accepted as members' keys.
	OperatorKeyHashes []string
}

// Keeper holds the configuration in force at one instance. It is safe for
// concurrent use.
type Keeper struct {
	Options

	// offerMu serialises offers, so that OnInForce is called with rising
	// versions.
	offerMu sync.Mutex

	mu       sync.Mutex
	versions declare.VersionTracker
	record   Record
	index    *declare.Index
	// revision is the platform's revision of the last value read or written. It
	// decreases after the store was restored, so that the next write ends the
	// watch.
	revision int64
	// lastRefused is the last record that was logged as not put in force, so
	// that the same one is not logged again.
	lastRefused declare.Stamp
}

// NewKeeper returns a keeper with no configuration in force.
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

// Index returns the declaration in force, or nil if there is none.
func (k *Keeper) Index() *declare.Index {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index
}

// Record returns the record in force, for operators and for peers with an older
// one. Its version is 0 if there is none.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Version returns the version in force; 0 means none.
func (k *Keeper) Version() int64 { return k.Record().Version }

// ObserveVersion records that a version is in force at another instance, so
// that the next change applied here gets a higher one.
func (k *Keeper) ObserveVersion(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions.Observe(version)
}

// Offer puts a record from a peer in force if it is newer. It returns nil for
// the record that is already in force and *NotInForce for an older or forked
// one.
func (k *Keeper) Offer(record Record) error { return k.offer(record, SourcePeer) }

// offer is Offer for a record from any source.
func (k *Keeper) offer(record Record, source Source) error {
	k.offerMu.Lock()
	defer k.offerMu.Unlock()
	k.mu.Lock()
	comparison := k.versions.Compare(record.versionStamp())
	current := k.versions.Current()
	k.mu.Unlock()
	switch comparison {
	case declare.VersionSame:
		return nil
	case declare.VersionOlder, declare.VersionForked:
		k.refuse(record, source, string(comparison))
		return &NotInForce{Comparison: comparison, Offered: record.Stamp, Current: current, Source: source}
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

// refuse reports a record that is not put in force, and logs it unless the
// last one was the same.
func (k *Keeper) refuse(record Record, source Source, reason string) {
	k.Observer.ConfigRefused(source, reason)
	k.mu.Lock()
	known := k.lastRefused == record.versionStamp()
	k.lastRefused = record.versionStamp()
	current := k.versions.Current()
	k.mu.Unlock()
	if known {
		return
	}
	k.Log.Warn("configuration not put in force", zap.String("reason", reason),
		zap.Int64("version", record.Version), zap.String("change_id", record.ChangeID),
		zap.String("source", string(source)), zap.Int64("version_in_force", current.Version))
}

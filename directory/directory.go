// Package directory follows a deployment in the platform's store: the
// operators' configuration, the servers and the instances. It applies changes
// in order of revision and keeps the last known state while the store is
// unreachable.
package directory

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// watchWait is how long the store may hold a watch call. An unresponsive
	// connection is noticed only when the call ends, and operators require
	// that a change applies within 2 s.
	watchWait = 1500 * time.Millisecond
	// hubWatchWait is the same for an instance through which others follow the
	// store, and for their calls to it. The longer it is, the later they notice
	// that the hub has lost the store or does not answer.
	hubWatchWait = time.Second
	// deliveryTime bounds the time in which an event of a waiting watch arrives.
	deliveryTime = 300 * time.Millisecond
	// minOutage is the time without knowledge of the store after which entries
	// may have expired because the servers could not renew them. A shorter gap
	// is a delay of this instance.
	minOutage = 2500 * time.Millisecond
	// batchDelay is the wait after changes before the next watch call, so that
	// one call returns several changes.
	batchDelay = 100 * time.Millisecond
	// maxUnanswered is the number of calls without an answer after which the
	// entries are read in place of their changes.
	maxUnanswered = 2
	// minRetryPause and maxRetryPause bound the wait after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// expiryInterval is the time between two checks for removed server entries
	// whose SuspectTime has passed.
	expiryInterval = 250 * time.Millisecond
	// OwnPrefix is the prefix of all keys that instances write.
	OwnPrefix = "bramleywick/"
	// InstancesPrefix is the prefix of the keys of instances.
	InstancesPrefix = OwnPrefix + "instances/"
	// VerdictsPrefix and TrialsPrefix are the prefixes of the keys of verdicts of the
	// quarantine and of claims of trials.
	VerdictsPrefix = OwnPrefix + "verdicts/"
	TrialsPrefix   = OwnPrefix + "trials/"
	// VersionsPrefix is the prefix of the keys of records of software versions.
	VersionsPrefix = OwnPrefix + "versions/"
	// unfollowedPrefix is the prefix of keys that only the holder of a duty reads.
	// A hub would forward their large values to all instances otherwise.
	unfollowedPrefix = OwnPrefix + "usage/"
)

// Decoder decodes the documents that operators and servers write.
type Decoder interface {
	ConfigurationKey() string
	ServersPrefix() string
	ParseConfiguration(raw []byte) (routes.Configuration, error)
	ParseServerEntry(key string, raw []byte) (listing.Entry, error)
}

// Instance is the store entry that an instance writes about itself.
type Instance struct {
	ID         fleet.InstanceID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Address is the address at which it listens for other instances.
	Address string `json:"address"`
	// Relay is the address at which it takes requests that others relay; "" if it takes
	// none.
	Relay string `json:"relay,omitempty"`
	// Cores is its CPU capacity in cores.
	Cores float64 `json:"cores"`
}

// Observer is notified of changes. Its methods are never called concurrently.
type Observer interface {
	ConfigurationChanged(*routes.Table)
	ServersChanged([]placement.Server)
	InstancesChanged([]Instance)
}

// Options holds the dependencies and parameters of a Directory.
type Options struct {
	Store    store.PrefixReader
	Decoder  Decoder
	Observer Observer
	Log      *zap.Logger
	// HubChanges returns the changes after a revision from the hub; it may be
	// nil. It returns an error when there is no hub or the hub cannot answer.
	HubChanges func(ctx context.Context, after int64, wait time.Duration) (store.Batch, error)
	// OnDeparture is called when a server's process is found to leave; it may be
	// nil.
	OnDeparture func(fleet.Process, listing.Source)
	// SuspectTime is how long a server may still be used after the removal of
	// its entry together with many others.
	SuspectTime time.Duration
	// Freshness bounds the age of the configuration.
	Freshness freshness.Config
	// Clock is a clock that includes suspended time; nil for boottime.Now.
	Clock func() fleet.Instant
	// AskPeer asks another instance for its configuration, if that is newer than
	// the revision, and for its age; it may be nil.
	AskPeer func(ctx context.Context, known int64) (PeerConfiguration, error)
	// OnRestore is called when the store has come back from an older copy; it may be
	// nil.
	OnRestore func()
	// OnEntry is called with each change of an entry under OwnPrefix that is not an
	// instance's; it may be nil.
	OnEntry func(store.Change)
	// OnConfirmation is called with the result of each attempt to confirm the
	// configuration by the hub, the store or another instance; it may be nil.
	OnConfirmation func(source string, confirmed bool)
}

// Directory follows a deployment in the store.
type Directory struct {
	Options
	table atomic.Pointer[routes.Table]

	mu        sync.Mutex
	list      *listing.List
	instances map[string]Instance
	// ownKeys is the set of existing keys with OwnPrefix.
	ownKeys map[string]bool
	// unreadable is the set of keys whose value could not be decoded, so that
	// each is logged only once.
	unreadable map[string]bool
	start      time.Time
	history    history
	// connected reports whether the last call to the store or the hub
	// succeeded.
	connected bool
	synced    atomic.Bool
	restores  restores

	// freshMu guards the following fields. It is locked after mu.
	freshMu sync.Mutex
	tracker *freshness.Tracker
	// configurationUpTo is the store's revision up to which all changes of the
	// configuration were seen, and newestConfiguration the newest of them, in
	// force or not.
	configurationUpTo   int64
	newestConfiguration []byte
	// hubReportAt is the time on Clock of the hub's last report.
	hubReportAt fleet.Instant

	// completeAt is when all changes up to then were last known to be applied.
	// Only Run uses it; listedAt is the same for others.
	completeAt time.Time
	listedAt   atomic.Pointer[time.Time]
}

// New returns an empty Directory.
func New(o Options) *Directory {
	start := time.Now()
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	return &Directory{
		Options: o, tracker: freshness.New(o.Freshness), list: listing.New(listing.Config{SuspectTime: o.SuspectTime}),
		instances: map[string]Instance{}, ownKeys: map[string]bool{}, unreadable: map[string]bool{}, start: start, completeAt: start, history: newHistory(),
		restores: restores{unconfirmed: map[string]fleet.Instant{}},
	}
}

// Table returns the configuration in force; nil before the first one is read.
func (d *Directory) Table() *routes.Table { return d.table.Load() }

// Synced reports whether the store has been read completely once.
func (d *Directory) Synced() bool { return d.synced.Load() }

// KeyExists reports whether a key with OwnPrefix exists, as of the last change
// read.
func (d *Directory) KeyExists(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownKeys[key]
}

// now returns the time since the Directory was created.
func (d *Directory) now() fleet.Instant { return time.Since(d.start) }

// Run follows the store until the context ends.
func (d *Directory) Run(ctx context.Context) {
	go d.expireRemoved(ctx)
	var confirming sync.WaitGroup
	confirming.Go(func() { d.keepConfirmed(ctx) })
	defer confirming.Wait()
	pause := minRetryPause
	revision := int64(0)
	unanswered := 0
	for ctx.Err() == nil {
		from := revision
		if unanswered > 0 && unanswered%maxUnanswered == 0 {
			// The history may have grown too long for the store to send it in
			// time; its entries have not.
			from = 0
		}
		next, err := d.step(ctx, from)
		if err == nil {
			revision, unanswered, pause = next, 0, minRetryPause
			continue
		}
		if errors.Is(err, store.ErrNoAnswer) {
			unanswered++
		}
		if errors.Is(err, store.ErrCompacted) {
			d.Log.Info("the store's history cannot be used; reading its entries", zap.Int64("revision", store.NumberOf(revision)), logline.Error(err))
			revision = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		d.setDisconnected(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// After returns the changes after a revision. It waits up to wait for a change.
// It returns store.ErrUnavailable when this instance has had no contact with the
// store within maxContactAge, and store.ErrCompacted when it no longer has all
// changes after the revision.
func (d *Directory) After(ctx context.Context, revision int64, wait time.Duration) (store.Batch, error) {
	return d.history.after(ctx, revision, wait)
}

// HistorySize returns the number of changes that are kept for other instances
// and the bytes of their keys and values.
func (d *Directory) HistorySize() (changes, bytes int) { return d.history.size() }

func (d *Directory) setDisconnected(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connected {
		d.Log.Warn("store lost; the last known state stays in force", logline.Error(err))
	}
	d.connected = false
}

func (d *Directory) setConnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.connected {
		d.Log.Info("store reached")
	}
	d.connected = true
}

// applyAll replaces the servers and instances by those in the whole store as of a
// revision. Those that are missing may have been removed at since or later.
func (d *Directory) applyAll(entries []store.Entry, at int64, since fleet.Instant) {
	d.mu.Lock()
	now := d.now()
	var servers []listing.Entry
	instances, ownKeys, existing := map[string]Instance{}, map[string]bool{}, map[string]bool{}
	restored := d.enterEra(at)
	hasConfiguration := false
	for _, e := range entries {
		existing[e.Key] = true
		if strings.HasPrefix(e.Key, OwnPrefix) {
			ownKeys[e.Key] = true
		}
		switch {
		case e.Key == d.Decoder.ConfigurationKey():
			hasConfiguration = true
			d.applyConfigurations([]store.Change{{Entry: e}}, true)
		case strings.HasPrefix(e.Key, d.Decoder.ServersPrefix()):
			if s, ok := d.server(e); ok {
				servers = append(servers, s)
			}
		case strings.HasPrefix(e.Key, InstancesPrefix):
			if i, ok := d.instance(e); ok {
				instances[e.Key] = i
			}
		default:
			d.notifyEntry(store.Change{Entry: e})
		}
	}
	if !hasConfiguration {
		d.setBehind(d.table.Load() != nil)
	}
	if restored {
		d.list.ReplaceRestored(servers, at, now)
	} else {
		d.list.Replace(servers, at, since, now)
	}
	d.keepInstances(instances, restored, now)
	d.reportDepartures()
	for key := range d.ownKeys {
		if !ownKeys[key] {
			d.notifyEntry(store.Change{Entry: store.Entry{Key: key}, Deleted: true})
		}
	}
	d.instances, d.ownKeys = instances, ownKeys
	maps.DeleteFunc(d.unreadable, func(key string, _ bool) bool { return !existing[key] })
	d.notifyServers()
	d.notifyInstances()
	d.mu.Unlock()
	d.synced.Store(true)
}

// apply applies changes in order of revision, which were made at since or later.
// A deleted configuration stays in force.
func (d *Directory) apply(changes []store.Change, since fleet.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers, instances := false, false
	d.applyConfigurations(changes, true)
	for _, c := range changes {
		switch {
		case c.Deleted:
			delete(d.ownKeys, c.Key)
			delete(d.unreadable, c.Key)
		case strings.HasPrefix(c.Key, OwnPrefix):
			d.ownKeys[c.Key] = true
		}
		switch {
		case strings.HasPrefix(c.Key, d.Decoder.ServersPrefix()):
			servers = true
			if c.Deleted {
				id := fleet.UpstreamID(strings.TrimPrefix(c.Key, d.Decoder.ServersPrefix()))
				d.list.Remove(id, c.Revision, since)
				d.Log.Info("server entry removed", zap.String("server", string(id)), zap.Int64("revision", store.NumberOf(c.Revision)),
					zap.Duration("at_most_ago", d.now()-since))
			} else if s, ok := d.server(c.Entry); ok {
				fresh := d.list.Put(s, d.now())
				d.Log.Info("server entry", zap.String("server", string(s.ID)), zap.String("service", string(s.Group)), zap.String("software", s.SoftwareVersion),
					zap.Stringer("stage", s.Stage), zap.Bool("leaving", s.Leaving), zap.Int64("born", s.StartTime),
					zap.Int64("revision", store.NumberOf(c.Revision)), zap.Bool("newer", fresh))
				d.reportDepartures()
			}
		case strings.HasPrefix(c.Key, InstancesPrefix):
			instances = true
			delete(d.restores.unconfirmed, c.Key)
			if c.Deleted {
				delete(d.instances, c.Key)
			} else if i, ok := d.instance(c.Entry); ok {
				d.instances[c.Key] = i
			}
		default:
			d.notifyEntry(c)
		}
	}
	if servers {
		d.notifyServers()
	}
	if instances {
		d.notifyInstances()
	}
}

// expireRemoved notifies the observer of the servers every expiryInterval while
// the SuspectTime of a removed server runs, so that it is dropped when it ends.
func (d *Directory) expireRemoved(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mu.Lock()
			if d.list.HasRemoved() {
				d.notifyServers()
			}
			if d.dropUnconfirmed(d.now()) {
				d.notifyInstances()
			}
			d.mu.Unlock()
		}
	}
}

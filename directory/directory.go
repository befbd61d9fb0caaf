// Package directory follows what the platform's store says of a deployment: the
// operators' configuration, the servers and the instances. It applies what it
// reads in order of revision and keeps the last known state while the store
// cannot be reached.
package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// watchWait is how long the store may hold a watch. A silent connection is
	// noticed at its end, and the operators' bound for a change is 2 s.
	watchWait = 1500 * time.Millisecond
	// gather is the wait after changes before the next call.
	gather = 100 * time.Millisecond
	// firstPause and lastPause bound the wait after a failed call.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// tick is the time between two looks for entries that stay lost.
	tick = 250 * time.Millisecond
	// OwnPrefix precedes all keys that instances write.
	OwnPrefix = "bramleywick/"
	// InstancesPrefix precedes the key of an instance.
	InstancesPrefix = OwnPrefix + "instances/"
)

// Decoder decodes the documents of the operators and the servers.
type Decoder interface {
	ConfigurationKey() string
	ServersPrefix() string
	Configuration(raw []byte) (routes.Configuration, error)
	Server(key string, raw []byte) (listing.Entry, error)
}

// Instance is what an instance writes about itself.
type Instance struct {
	ID         fleet.InstanceID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Address is where it listens for other instances.
	Address string `json:"address"`
	// Cores is its processor in cores.
	Cores float64 `json:"cores"`
}

// Observer is told of changes. The calls come from one goroutine at a time.
type Observer interface {
	ConfigurationChanged(*routes.Table)
	ServersChanged([]placement.Server)
	InstancesChanged([]Instance)
}

// Options are the parts that a directory works with.
type Options struct {
	Store    store.PrefixReader
	Decoder  Decoder
	Observer Observer
	Log      *zap.Logger
	// HubChanges, which may be nil, follows the store for this instance; it fails
	// with store.ErrUnavailable when there is none or it does not know.
	HubChanges func(ctx context.Context, after int64, wait time.Duration) ([]store.Change, int64, error)
	// SuspectTime is how long a server whose entry was lost with many others
	// may still be used.
	SuspectTime time.Duration
}

// Directory follows the store.
type Directory struct {
	Options
	table atomic.Pointer[routes.Table]

	mu        sync.Mutex
	list      *listing.List
	instances map[string]Instance
	// present are the project's other keys that exist.
	present map[string]bool
	// unreadable are keys whose value could not be decoded, so that each is
	// logged once.
	unreadable map[string]bool
	start      time.Time
	history    history
	connected  bool
	synced     atomic.Bool
}

// New returns a directory that knows nothing yet.
func New(o Options) *Directory {
	return &Directory{
		Options: o, list: listing.New(listing.Config{SuspectTime: o.SuspectTime}),
		instances: map[string]Instance{}, present: map[string]bool{}, unreadable: map[string]bool{}, start: time.Now(), history: newHistory(),
	}
}

// Table returns the configuration in force, or nil before the first.
func (d *Directory) Table() *routes.Table { return d.table.Load() }

// Synced tells that the store has been read once.
func (d *Directory) Synced() bool { return d.synced.Load() }

// KeyExists tells whether one of the project's keys exists, as last heard.
func (d *Directory) KeyExists(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.present[key]
}

func (d *Directory) now() fleet.Instant { return time.Since(d.start) }

// Run follows the store until the context ends.
func (d *Directory) Run(ctx context.Context) {
	go d.watchLost(ctx)
	pause := firstPause
	revision := int64(0)
	for ctx.Err() == nil {
		next, err := d.step(ctx, revision)
		if err == nil {
			revision, pause = next, firstPause
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			d.Log.Info("the store's history is gone; reading everything", zap.Int64("revision", revision))
			revision = 0
			continue
		}
		d.lost(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, lastPause)
	}
}

// step reads everything when the revision is 0 and else what has changed.
func (d *Directory) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		entries, at, err := d.Store.Range(ctx, "")
		if err == nil {
			d.found()
			d.replace(entries)
			d.history.restart(at)
		}
		return at, err
	}
	changes, at, err := d.changes(ctx, revision)
	if err != nil {
		return 0, err
	}
	d.found()
	if len(changes) == 0 {
		d.history.add(nil, max(at, revision))
		return max(at, revision), nil
	}
	d.apply(changes)
	d.history.add(changes, at)
	// Changes often come together; one call takes all of the pause.
	select {
	case <-ctx.Done():
	case <-time.After(gather):
	}
	return max(at, revision), nil
}

// changes asks the hub, where there is one that knows, and else the store.
func (d *Directory) changes(ctx context.Context, revision int64) ([]store.Change, int64, error) {
	if d.HubChanges != nil {
		changes, at, err := d.HubChanges(ctx, revision, watchWait)
		if !errors.Is(err, store.ErrUnavailable) {
			return changes, at, err
		}
	}
	return d.Store.WatchPrefix(ctx, "", revision, watchWait)
}

// After returns the changes after a revision that this instance has followed, as
// soon as there is one or after wait. store.ErrUnavailable means that the
// instance itself has not heard of the store lately, store.ErrCompacted that it
// does not keep changes from so long ago.
func (d *Directory) After(ctx context.Context, revision int64, wait time.Duration) ([]store.Change, int64, error) {
	return d.history.after(ctx, revision, wait)
}

func (d *Directory) lost(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connected {
		d.Log.Warn("store lost; the last known state stays in force", logline.Error(err))
	}
	d.connected = false
}

func (d *Directory) found() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.connected {
		d.Log.Info("store reached")
	}
	d.connected = true
}

func (d *Directory) replace(entries []store.Entry) {
	d.mu.Lock()
	var servers []listing.Entry
	instances, present := map[string]Instance{}, map[string]bool{}
	for _, e := range entries {
		present[e.Key] = strings.HasPrefix(e.Key, OwnPrefix)
		switch {
		case e.Key == d.Decoder.ConfigurationKey():
			d.configure(e.Value)
		case strings.HasPrefix(e.Key, d.Decoder.ServersPrefix()):
			if s, ok := d.server(e); ok {
				servers = append(servers, s)
			}
		case strings.HasPrefix(e.Key, InstancesPrefix):
			if i, ok := d.instance(e); ok {
				instances[e.Key] = i
			}
		}
	}
	d.list.Replace(servers, d.now())
	d.instances, d.present = instances, present
	d.tellServers()
	d.tellInstances()
	d.mu.Unlock()
	d.synced.Store(true)
}

func (d *Directory) apply(changes []store.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers, instances := false, false
	for _, c := range changes {
		if strings.HasPrefix(c.Key, OwnPrefix) {
			d.present[c.Key] = !c.Deleted
		}
		switch {
		case c.Key == d.Decoder.ConfigurationKey():
			if !c.Deleted {
				d.configure(c.Value)
			}
		case strings.HasPrefix(c.Key, d.Decoder.ServersPrefix()):
			servers = true
			if c.Deleted {
				id := fleet.UpstreamID(strings.TrimPrefix(c.Key, d.Decoder.ServersPrefix()))
				d.list.Remove(id, d.now())
				d.Log.Info("server entry removed", zap.String("server", string(id)), zap.Int64("revision", c.Revision))
			} else if s, ok := d.server(c.Entry); ok {
				fresh := d.list.Put(s)
				d.Log.Info("server entry", zap.String("server", string(s.ID)), zap.String("service", string(s.Group)),
					zap.Stringer("stage", s.Stage), zap.Bool("leaving", s.Leaving), zap.Int64("born", s.StartTime),
					zap.Int64("revision", c.Revision), zap.Bool("newer", fresh))
			}
		case strings.HasPrefix(c.Key, InstancesPrefix):
			instances = true
			if c.Deleted {
				delete(d.instances, c.Key)
			} else if i, ok := d.instance(c.Entry); ok {
				d.instances[c.Key] = i
			}
		}
	}
	if servers {
		d.tellServers()
	}
	if instances {
		d.tellInstances()
	}
}

// configure puts a configuration in force unless it is older than the one in
// force.
func (d *Directory) configure(raw []byte) {
	c, err := d.Decoder.Configuration(raw)
	if err != nil {
		d.Log.Error("the configuration cannot be read; the one in force stays", logline.Error(err))
		return
	}
	if now := d.table.Load(); now != nil && c.Version <= now.Version {
		return
	}
	table := routes.Compile(c)
	d.table.Store(table)
	d.Log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	d.Observer.ConfigurationChanged(table)
}

func (d *Directory) server(e store.Entry) (listing.Entry, bool) {
	s, err := d.Decoder.Server(e.Key, e.Value)
	if err != nil {
		d.complain(e.Key, err)
		return listing.Entry{}, false
	}
	delete(d.unreadable, e.Key)
	return s, true
}

func (d *Directory) instance(e store.Entry) (Instance, bool) {
	var i Instance
	if err := json.Unmarshal(e.Value, &i); err != nil {
		d.complain(e.Key, err)
		return Instance{}, false
	}
	return i, true
}

func (d *Directory) complain(key string, err error) {
	if d.unreadable[key] {
		return
	}
	d.unreadable[key] = true
	d.Log.Warn("store entry ignored", zap.String("key", key), logline.Error(err))
}

func (d *Directory) tellServers() { d.Observer.ServersChanged(d.list.Servers(d.now())) }

func (d *Directory) tellInstances() {
	list := make([]Instance, 0, len(d.instances))
	for _, i := range d.instances {
		list = append(list, i)
	}
	d.Observer.InstancesChanged(list)
}

// watchLost ends the use of servers whose entries stay lost.
func (d *Directory) watchLost(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mu.Lock()
			if d.list.HasMissing() {
				d.tellServers()
			}
			d.mu.Unlock()
		}
	}
}

package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/platform"
)

// newAuthority provisions the order holder's part of an instance.
func (d *Daemon) newAuthority(store platform.Store) *authority.Authority {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return authority.New(authority.Options{
		Store: store, Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Start: hex.EncodeToString(raw[:]), Engines: d.engines, Times: authority.DefaultTimes, Log: d.log,
		Drains: &localDrains{
			dispatcher: d.dispatcher, store: store, self: d.settings.Instance,
			seen: map[fleet.UpstreamID]authority.Mark{},
		},
	})
}

// startAuthority runs the authority until ctx ends.
func (d *Daemon) startAuthority(ctx context.Context) {
	d.authorityDone = make(chan struct{})
	go func() {
		defer close(d.authorityDone)
		d.authority.Run(ctx)
	}()
}

// localDrains marks engines at this instance only. A drain is acknowledged only
// while the platform lists this instance and no other; otherwise no engine is
// taken away.
type localDrains struct {
	dispatcher *dispatch.Dispatcher
	store      platform.Store
	self       fleet.InstanceID

	mu   sync.Mutex
	seen map[fleet.UpstreamID]authority.Mark
}

// Mark implements authority.Drains.
func (l *localDrains) Mark(_ context.Context, m authority.Mark) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.seen[m.Upstream]
	if m.Fence < seen.Fence {
		return errors.Errorf("mark of upstream %s has fencing number %d after %d", m.Upstream, m.Fence, seen.Fence)
	}
	l.seen[m.Upstream] = m
	if m.On != seen.On {
		l.dispatcher.Step(sched.UpstreamState{Upstream: m.Upstream, Available: true, Leaving: m.On})
	}
	return nil
}

// Acknowledged implements authority.Drains.
func (l *localDrains) Acknowledged(ctx context.Context, m authority.Mark) bool {
	l.mu.Lock()
	seen := l.seen[m.Upstream]
	l.mu.Unlock()
	if seen != m {
		return false
	}
	list, err := l.store.Instances(ctx)
	if err != nil {
		return false
	}
	// An empty list says nothing about other instances.
	if len(list) != 1 || fleet.InstanceID(list[0].ID) != l.self {
		return false
	}
	for _, u := range l.dispatcher.Status().Upstreams {
		if u.ID == m.Upstream {
			return u.InFlight == 0
		}
	}
	return true
}

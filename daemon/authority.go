package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/platform"
)

// newAuthority provisions the order holder's part of an instance. Without
// FleetDrains.Call a drain is acknowledged only while this instance is alone.
func (d *Daemon) newAuthority(store platform.Store) *authority.Authority {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	d.drains = &authority.FleetDrains{
		Local: authority.NewLocalDrain(traffic{d.dispatcher}),
		Self:  d.settings.Instance, Store: store,
	}
	return authority.New(authority.Options{
		Store: store, Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Start: hex.EncodeToString(raw[:]), Engines: d.engines, Drains: d.drains,
		Times: authority.DefaultTimes, Log: d.log,
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

// traffic is the scheduler's side of a drain.
type traffic struct{ dispatcher *dispatch.Dispatcher }

// SetLeaving implements authority.Traffic.
func (t traffic) SetLeaving(id fleet.UpstreamID, leaving bool) {
	t.dispatcher.Step(sched.UpstreamState{Upstream: id, Available: true, Leaving: leaving})
}

// InFlight implements authority.Traffic.
func (t traffic) InFlight(id fleet.UpstreamID) int {
	for _, u := range t.dispatcher.Status().Upstreams {
		if u.ID == id {
			return u.InFlight
		}
	}
	return 0
}

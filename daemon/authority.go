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
// a way to call its peers a drain is acknowledged only while it is alone.
func (d *Daemon) newAuthority(store platform.Store) *authority.Authority {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	d.localDrain = authority.NewLocalDrain(traffic{d.dispatcher})
	return authority.New(authority.Options{
		Store: store, Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Start: hex.EncodeToString(raw[:]), Engines: d.engines,
		Drains: authority.NewFleetDrains(d.localDrain, d.settings.Instance, store, nil),
		Times:  authority.DefaultTimes, Log: d.log,
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

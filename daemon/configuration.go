package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/operator"
	"github.com/bramleywick/bramleywick/store"
)

// newStore provisions the client of the platform's service. The client bounds
// each call itself, because a watch outlasts any fixed timeout of the transport.
func (d *Daemon) newStore() store.Store {
	limits := d.settings.PlatformLimits
	if limits == (store.Limits{}) {
		limits = store.DefaultLimits()
	}
	client := store.NewLimitedClient(d.settings.Platform, &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: platformIdleConnections, IdleConnTimeout: platformIdleTimeout},
	}, limits)
	client.SetObserver(d.metrics.RegisterPlatformCalls())
	return client
}

const (
	platformIdleConnections = 16
	// platformIdleTimeout is below the idle timeouts of usual servers: a write
	// on a connection that the server has just closed has an unknown outcome.
	platformIdleTimeout = 2 * time.Second
)

// newKeeper provisions the keeper of the configuration.
func (d *Daemon) newKeeper(store store.Store) *config.Keeper {
	return config.NewKeeper(config.Options{
		Store: store, OnInForce: d.putInForce, Observer: d.metrics.RegisterConfiguration(), Log: d.log,
		OperatorKeyHashes: d.settings.OperatorKeyHashes,
	})
}

// watchesConfiguration tells whether this instance holds a watch on the
// platform's configuration; one or two instances of a data centre do.
func (d *Daemon) watchesConfiguration() bool { return d.cluster.watches.Load() }

// VersionsInForce implements config.VersionLister: this instance and every other one
// that is known.
func (d *Daemon) VersionsInForce() []config.InstanceVersion {
	out := []config.InstanceVersion{{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Version: d.keeper.Version(),
	}}
	for _, i := range d.Instances() {
		if i.Status == membership.InstanceGone {
			continue
		}
		out = append(out, config.InstanceVersion{Instance: i.ID, DataCentre: i.DataCentre, Version: i.ConfigVersion})
	}
	return out
}

// Drain implements operator.Drainer. The incarnation is empty when no report of
// the upstream has been seen; the mark is then tied to the first one.
func (d *Daemon) Drain(_ context.Context, id fleet.UpstreamID) (fleet.Incarnation, error) {
	if err := d.DrainUpstream(id); err != nil {
		return "", err
	}
	for _, u := range d.Upstreams() {
		if u.ID == id {
			return u.Incarnation, nil
		}
	}
	return "", nil
}

// operatorOptions provisions the operators' calls.
func (d *Daemon) operatorOptions() operator.Options {
	return operator.Options{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		KeyHashes: d.settings.OperatorKeyHashes, Keeper: d.keeper, Scheduler: d.dispatcher,
		Counters: d.metrics, InForce: d, Drainer: d, Orders: d, Log: d.log,
	}
}

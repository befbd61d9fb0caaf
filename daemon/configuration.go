package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/httphead"
	"github.com/bramleywick/bramleywick/operator"
	"github.com/bramleywick/bramleywick/store"
)

// newStore returns a client of the platform's key-value service. The client sets
// the timeout of each call itself, because a watch takes longer than any fixed
// timeout of the transport.
func (d *Daemon) newStore() store.Store {
	limits := d.settings.PlatformLimits
	if limits == (store.Limits{}) {
		limits = store.DefaultLimits()
	}
	client := store.NewLimitedClient(d.settings.Platform, &http.Client{
		Transport: httphead.Transport{Base: &http.Transport{MaxIdleConnsPerHost: platformIdleConnections, IdleConnTimeout: platformIdleTimeout}},
	}, limits)
	client.SetObserver(d.metrics.RegisterPlatformCalls())
	return client
}

const (
	platformIdleConnections = 16
	// platformIdleTimeout is shorter than the idle timeout of common servers,
	// because a write on a connection that the server has just closed has an
	// unknown outcome.
	platformIdleTimeout = 2 * time.Second
)

// newKeeper returns the keeper of the configuration, which calls putInForce for each
// new version.
func (d *Daemon) newKeeper(store store.Store) *config.Keeper {
	return config.NewKeeper(config.Options{
		Store: store, OnInForce: d.putInForce, Observer: d.metrics.RegisterConfiguration(), Log: d.log,
		OperatorKeyHashes: d.settings.OperatorKeyHashes,
	})
}

// watchesConfiguration reports whether this instance watches the platform's
// configuration; one or two instances of a data centre do.
func (d *Daemon) watchesConfiguration() bool { return d.cluster.watchesConfig.Load() }

// VersionsInForce implements config.VersionLister: it returns the configuration
// version of this instance and of every other known one that is not gone.
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

// Drain implements operator.Drainer. It returns the incarnation that is drained,
// or "" if no report of the upstream has been seen; the mark then applies to the
// first incarnation seen.
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

// operatorOptions returns the options of the operators' API.
func (d *Daemon) operatorOptions() operator.Options {
	return operator.Options{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		KeyHashes: d.settings.OperatorKeyHashes, Keeper: d.keeper, Scheduler: d.dispatcher,
		Counters: d.metrics, Versions: d, Drainer: d, OrderLister: d, Log: d.log,
	}
}

package daemon

import (
	"net/http"
	"time"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/operator"
	"github.com/bramleywick/bramleywick/platform"
)

// newStore provisions the client of the platform's service. The client bounds
// each call itself, because a watch outlasts any fixed timeout of the transport.
func (d *Daemon) newStore() platform.Store {
	limits := d.settings.PlatformLimits
	if limits == (platform.Limits{}) {
		limits = platform.DefaultLimits()
	}
	client := platform.NewLimitedClient(d.settings.Platform, &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: platformIdleConnections, IdleConnTimeout: platformIdleTimeout},
	}, limits)
	client.Observe(d.metrics.NewPlatform())
	return client
}

const (
	platformIdleConnections = 16
	// platformIdleTimeout is below the idle timeouts of usual servers: a write
	// on a connection that the server has just closed has an unknown outcome.
	platformIdleTimeout = 2 * time.Second
)

// newKeeper provisions the keeper of the configuration.
func (d *Daemon) newKeeper(store platform.Store) *config.Keeper {
	return config.NewKeeper(config.Options{
		Store: store, OnForce: d.putInForce, Observer: d.metrics.NewConfiguration(), Log: d.log,
		BarredHashes: d.settings.OperatorKeyHashes,
	})
}

// watchesConfiguration tells whether this instance holds a watch on the
// platform's configuration. Without a membership every instance does.
func (d *Daemon) watchesConfiguration() bool { return true }

// VersionsInForce implements config.InForce for an instance without a
// membership: it knows of itself only.
func (d *Daemon) VersionsInForce() []config.InstanceVersion {
	return []config.InstanceVersion{{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Version: d.keeper.Version(),
	}}
}

// operatorOptions provisions the operators' calls.
func (d *Daemon) operatorOptions() operator.Options {
	return operator.Options{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		KeyHashes: d.settings.OperatorKeyHashes, Keeper: d.keeper, Scheduler: d.dispatcher,
		Counters: d.metrics, InForce: d, Log: d.log,
	}
}

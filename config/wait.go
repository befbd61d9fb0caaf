package config

import (
	"context"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// InstanceVersion is the version in force at one live instance.
type InstanceVersion struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Version is 0 if the instance has no configuration in force.
	Version int64
}

// VersionLister lists the version in force at every live instance, including
// this one.
type VersionLister interface {
	VersionsInForce() []InstanceVersion
}

// versionPollInterval is the time between two checks of the versions in force.
const versionPollInterval = 100 * time.Millisecond

// WaitInForce waits until every live instance has the version or a newer one in
// force, or until ctx ends. It returns the instances that do not.
func WaitInForce(ctx context.Context, instances VersionLister, version int64) []InstanceVersion {
	for {
		behind := InstancesBehind(instances, version)
		if len(behind) == 0 || ctx.Err() != nil {
			return behind
		}
		sleep(ctx, versionPollInterval)
	}
}

// InstancesBehind returns the live instances that have an older version in
// force.
func InstancesBehind(instances VersionLister, version int64) []InstanceVersion {
	var behind []InstanceVersion
	for _, i := range instances.VersionsInForce() {
		if i.Version < version {
			behind = append(behind, i)
		}
	}
	return behind
}

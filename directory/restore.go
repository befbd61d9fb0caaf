package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/store"
)

// A store that comes back from an older copy lacks what was written since. The
// operator and the servers write it again; until they have, what this instance knows
// is newer than the store.

// relistTime is what listing.RewriteTime is for instances: the longest time between two
// renewals of their registration, with which they notice the loss, and one more write.
const relistTime = renewInterval*5/4 + 500*time.Millisecond

// restores is what a Directory knows of the store's returns from copies. The
// Directory's mu guards it.
type restores struct {
	// era is the store's era, and revision that at which it was first read in it.
	era, revision int64
	// at is when the present era was first seen; 0 if it is the first one seen.
	at fleet.Instant
	// behind reports whether the store lacks the configuration in force, or has an
	// older one.
	behind bool
	// unconfirmed holds the keys of instances that the store has lost, and when they
	// are dropped.
	unconfirmed map[string]fleet.Instant
}

// Era returns the store's era, as of the last complete reading; 0 before that.
func (d *Directory) Era() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restores.era
}

// enterEra records the era of a complete reading of the store and reports whether the
// store has come back from a copy since the one before. The caller holds mu.
func (d *Directory) enterEra(revision int64) (restored bool) {
	era, before := store.EraOf(revision), d.restores.era
	if era == before && d.restores.revision > 0 {
		return false
	}
	restored = d.restores.revision > 0
	d.restores.era, d.restores.revision = era, revision
	if !restored {
		return false
	}
	d.restores.at = d.now()
	d.Log.Warn("the store has come back from an older copy", zap.Int64("era", era), zap.Int64("before", before),
		zap.Int64("revision", store.NumberOf(revision)))
	if d.OnRestore != nil {
		d.OnRestore()
	}
	return true
}

// setBehind records whether the store lacks the configuration in force, so that it
// does not show the operator's newest one. The caller holds mu.
func (d *Directory) setBehind(behind bool) {
	if behind && !d.restores.behind {
		d.Log.Warn("the store lacks the configuration in force, which stays", zap.Int64("version", d.table.Load().Version))
	}
	d.restores.behind = behind
}

// rewritten reports whether the operator has had the time to write again what the
// store has lost. The caller holds mu.
func (d *Directory) rewritten() bool {
	return d.restores.at == 0 || d.now()-d.restores.at >= listing.RewriteTime
}

// keepInstances adds the instances to a complete reading that the store has lost and
// that have not had the time to be listed again. The caller holds mu.
func (d *Directory) keepInstances(instances map[string]Instance, restored bool, now fleet.Instant) {
	for key, i := range d.instances {
		if _, ok := instances[key]; ok {
			delete(d.restores.unconfirmed, key)
			continue
		}
		if restored {
			d.restores.unconfirmed[key] = now + relistTime
		}
		if _, ok := d.restores.unconfirmed[key]; ok {
			instances[key] = i
		}
	}
}

// dropUnconfirmed drops the instances that have not been listed again in time, and
// reports whether there were any. The caller holds mu.
func (d *Directory) dropUnconfirmed(now fleet.Instant) bool {
	dropped := false
	for key, until := range d.restores.unconfirmed {
		if now >= until {
			delete(d.restores.unconfirmed, key)
			delete(d.instances, key)
			dropped = true
		}
	}
	return dropped
}

package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// restores is what a Directory knows of the store's returns from copies. The
// Directory's mu guards it.
type restores struct {
	// era is the store's era, and revision that at which it was first read in it.
	era, revision int64
	// at is when the present era was first seen; 0 if it is the first one seen.
	at fleet.Instant
}

// Era returns the store's era, as of the last complete reading; 0 before that.
func (d *Directory) Era() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restores.era
}

// RestoredWithin reports whether the store has come back from a copy less than a time
// ago.
func (d *Directory) RestoredWithin(t time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restores.at > 0 && d.now()-d.restores.at < t
}

// enterEra records the era of a complete reading of the store. The caller holds mu.
func (d *Directory) enterEra(revision int64) {
	era, before := store.EraOf(revision), d.restores.era
	if era == before && d.restores.revision > 0 {
		return
	}
	restored := d.restores.revision > 0
	d.restores.era, d.restores.revision = era, revision
	if !restored {
		return
	}
	d.restores.at = d.now()
	d.Log.Warn("the store has come back from an older copy", zap.Int64("era", era), zap.Int64("before", before),
		zap.Int64("revision", store.NumberOf(revision)))
	if d.OnRestore != nil {
		d.OnRestore()
	}
}

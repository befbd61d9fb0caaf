package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/store"
)

// ServerLeaves records that a server has said in an answer that its process
// leaves.
func (d *Directory) ServerLeaves(p fleet.Process) {
	d.depart([]listing.Departure{{Process: p}}, listing.SourceAnswer)
}

// LearnDepartures records the processes of which another instance reports that
// they leave.
func (d *Directory) LearnDepartures(list []listing.Departure) { d.depart(list, listing.SourcePeer) }

// Departures returns processes that leave, as far as it was learned within a time
// and not from the store.
func (d *Directory) Departures(within time.Duration) []listing.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Departures(within, d.now())
}

// depart records processes that leave. The servers are out of use when it
// returns.
func (d *Directory) depart(list []listing.Departure, source listing.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, departure := range list {
		d.list.Depart(departure.Process, source, departure.Age, d.now())
	}
	if d.reportDepartures() > 0 {
		d.notifyServers()
	}
}

// reportDepartures logs and counts the departures that the list has learned, and
// returns their number. The caller holds mu.
func (d *Directory) reportDepartures() int {
	learned := d.list.TakeLearned()
	for _, n := range learned {
		listed, _ := d.list.Get(n.Process.Server)
		d.Log.Info("server leaves", zap.String("server", string(n.Process.Server)), zap.Int64("born", n.Process.StartTime),
			zap.Stringer("source", n.Source), zap.Duration("known_for", n.Age), zap.Bool("listed", listed.Process() == n.Process),
			zap.Int64("revision", store.NumberOf(listed.Revision)))
		if d.OnDeparture != nil {
			d.OnDeparture(n.Process, n.Source)
		}
	}
	return len(learned)
}

package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// listPeriod is the time between two reads of the platform's list: 78
	// reads a second from 390 instances, 4% of what the platform handles.
	// Departures travel faster between the peers.
	listPeriod = 5 * time.Second
	// listPeriodDown is the pause while the platform does not answer.
	listPeriodDown = 10 * time.Second
	// listPeriodUnlisted is the time between two reads while the instance waits
	// for its own row or for recorded orders to end. A fleet that starts as a whole makes 390
	// reads a second for as long as the list lags.
	listPeriodUnlisted = time.Second
	listTimeout        = 3 * time.Second
)

// followInstances reads the platform's list until ctx ends. The first read
// falls within the first second, so that a fleet that starts as a whole does
// not read at one instant.
func (d *Daemon) followInstances(ctx context.Context, node *peer.Node) {
	pause := rand.N(200 * time.Millisecond)
	up := true
	reason := ""
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		list, err := d.readInstances(ctx)
		if up != (err == nil) {
			up = err == nil
			d.log.Info("platform's list of instances", zap.Bool("available", up), zap.Error(err))
		}
		if err != nil {
			d.listing.missed(err)
		} else {
			d.listing.took(list, d.settings.Instance, d.Addresses.Peers)
			node.ApplyMembership(membership.InstancesListed{Rows: rowsOf(list)})
			d.adoptMarks(ctx)
		}
		d.logReadiness(&reason)
		pause = d.listPause(up)
	}
}

// listPause is the time until the next read, varied by a fifth so that the
// instances do not read at one instant.
func (d *Daemon) listPause(up bool) time.Duration {
	period := listPeriod
	if !up {
		period = listPeriodDown
	}
	if reason, _ := d.listing.state(); reason != "" || d.localDrain.HeldByRecords() > 0 {
		period = listPeriodUnlisted
	}
	return period*4/5 + rand.N(period*2/5)
}

func (d *Daemon) readInstances(ctx context.Context) ([]store.InstanceInfo, error) {
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	return d.cluster.store.Instances(ctx)
}

func rowsOf(list []store.InstanceInfo) []membership.ListRow {
	rows := make([]membership.ListRow, 0, len(list))
	for _, i := range list {
		rows = append(rows, membership.ListRow{
			ID: i.ID, Address: i.Address, DataCentre: fleet.DataCentre(i.DataCentre), Leaving: i.Leaving,
		})
	}
	return rows
}

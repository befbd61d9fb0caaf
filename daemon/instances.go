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
	// listPeriod is the mean time between two reads of the platform's list of
	// instances. 390 instances make 78 reads a second, 4% of the platform's
	// limit. Departures spread faster through the exchange with peers.
	listPeriod = 5 * time.Second
	// listPeriodDown is the mean time between reads while the platform does not
	// answer.
	listPeriodDown = 10 * time.Second
	// listPeriodUnlisted is the mean time between reads while the instance is
	// not listed or holds engines because of recorded orders. A fleet of 390
	// instances that starts at once makes 390 reads a second until the list
	// names them.
	listPeriodUnlisted = time.Second
	// listTimeout bounds a read of the list, and of the order records.
	listTimeout = 3 * time.Second
)

// followInstances reads the platform's list of instances periodically until ctx
// ends. The first read has a random delay of up to 200 ms, so that the instances
// of a fleet that starts at once do not all read at the same time.
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
			d.listing.readFailed(err)
		} else {
			d.listing.readSucceeded(list, d.settings.Instance, d.Addresses.Peers)
			node.ApplyMembership(membership.InstancesListed{Rows: membershipRows(list)})
			d.adoptMarks(ctx)
		}
		d.logReadiness(&reason)
		pause = d.listPause(up)
	}
}

// listPause returns the time until the next read. up is false while the platform does
// not answer. The time varies by up to a fifth either way, so that the instances do not
// all read at the same time.
func (d *Daemon) listPause(up bool) time.Duration {
	period := listPeriod
	if !up {
		period = listPeriodDown
	}
	if reason, _ := d.listing.status(); reason != "" || d.localDrain.HeldByRecords() > 0 {
		period = listPeriodUnlisted
	}
	return period*4/5 + rand.N(period*2/5)
}

// readInstances reads the platform's list of instances.
func (d *Daemon) readInstances(ctx context.Context) ([]store.InstanceInfo, error) {
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	return d.cluster.store.Instances(ctx)
}

// membershipRows converts the platform's list to the rows of package membership.
func membershipRows(list []store.InstanceInfo) []membership.ListRow {
	rows := make([]membership.ListRow, 0, len(list))
	for _, i := range list {
		rows = append(rows, membership.ListRow{
			ID: i.ID, Address: i.Address, DataCentre: fleet.DataCentre(i.DataCentre), Leaving: i.Leaving,
		})
	}
	return rows
}

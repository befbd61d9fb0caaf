package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/platform"
)

const (
	// listPeriod is the time between two reads of the platform's list: 78
	// reads a second from 390 instances, 4% of what the platform handles.
	// Departures travel faster between the peers.
	listPeriod = 5 * time.Second
	// listPeriodDown is the pause while the platform does not answer.
	listPeriodDown = 10 * time.Second
	listTimeout    = 3 * time.Second
)

// followInstances reads the platform's list until ctx ends. The first read
// falls within the first second, so that a fleet that starts as a whole does
// not read at one instant.
func (d *Daemon) followInstances(ctx context.Context, node *peer.Node) {
	pause := rand.N(200 * time.Millisecond)
	up := true
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		rows, err := d.readInstances(ctx)
		if up != (err == nil) {
			up = err == nil
			d.log.Info("platform's list of instances", zap.Bool("available", up), zap.Error(err))
		}
		pause = listPeriod*4/5 + rand.N(listPeriod*2/5)
		if err != nil {
			pause = listPeriodDown*4/5 + rand.N(listPeriodDown*2/5)
			continue
		}
		node.Member(membership.Listed{Rows: rows})
	}
}

func (d *Daemon) readInstances(ctx context.Context) ([]membership.Row, error) {
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	list, err := d.cluster.store.Instances(ctx)
	if err != nil {
		return nil, err
	}
	return rowsOf(list), nil
}

func rowsOf(list []platform.InstanceInfo) []membership.Row {
	rows := make([]membership.Row, 0, len(list))
	for _, i := range list {
		rows = append(rows, membership.Row{
			ID: i.ID, Address: i.Address, DataCentre: fleet.DataCentre(i.DataCentre), Leaving: i.Leaving,
		})
	}
	return rows
}

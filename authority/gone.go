package authority

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/store"
)

// recordPrefix is the common prefix of the engines' order keys.
const recordPrefix = "order/"

// awaitListing waits until the platform lists this instance. Only then does its
// later absence from the list prove that it is gone. An empty list means that
// the platform keeps none; then no process is ever confirmed to be gone.
func (a *Authority) awaitListing(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := a.Store.Instances(ctx)
		if err == nil && len(list) == 0 {
			return
		}
		for _, i := range list {
			if err == nil && fleet.InstanceID(i.ID) == a.Instance {
				a.mu.Lock()
				a.process.Listed = true
				a.mu.Unlock()
				a.running.Add(1)
				go a.watchGone(ctx)
				return
			}
		}
		sleep(ctx, a.Times.LeaseRetryInterval)
	}
}

// watchGone reports to the engines' state machines which processes the platform
// has confirmed to be gone: those whose instance has been missing from the list
// for MaxDeliveryDelay, after which nothing that they sent can still arrive.
func (a *Authority) watchGone(ctx context.Context) {
	defer a.running.Done()
	for ctx.Err() == nil {
		sleep(ctx, a.Times.IdlePollInterval)
		attempts := a.attempts()
		if len(attempts) == 0 {
			// An absence only counts while the list is being read.
			a.absentSince = map[fleet.InstanceID]fleet.Instant{}
			continue
		}
		list, err := a.Store.Instances(ctx)
		if err != nil || len(list) == 0 {
			continue
		}
		gone := a.missing(attempts, list)
		a.reportGone(context.WithoutCancel(ctx), gone)
	}
}

// missing returns the processes whose instance has been absent from every list
// read for MaxDeliveryDelay.
func (a *Authority) missing(attempts []order.Process, list []store.InstanceInfo) (gone []order.Process) {
	for _, i := range list {
		delete(a.absentSince, fleet.InstanceID(i.ID))
	}
	now := a.clock.now()
	for _, p := range attempts {
		if slices.ContainsFunc(list, func(i store.InstanceInfo) bool { return i.ID == string(p.Instance) }) {
			continue
		}
		first, known := a.absentSince[p.Instance]
		if !known {
			a.absentSince[p.Instance] = now
		}
		if known && p.Listed && now-first >= a.Times.MaxDeliveryDelay {
			gone = append(gone, p)
		}
	}
	return gone
}

// attempts returns the processes of other instances that may still send.
func (a *Authority) attempts() []order.Process {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []order.Process
	for _, e := range a.engines {
		for _, p := range e.machine.Status().Record.Attempts {
			if p.Instance != a.Instance {
				list = append(list, p)
			}
		}
	}
	return list
}

func (a *Authority) reportGone(ctx context.Context, gone []order.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.engines {
		a.stepEngine(ctx, e, order.ProcessesGone{Processes: gone})
	}
}

// releasePredecessor removes earlier processes of this instance from the
// attempts after MaxDeliveryDelay, when nothing that they sent can still
// arrive. They have ended, otherwise this process could not have bound their
// listen addresses.
func (a *Authority) releasePredecessor(ctx context.Context) {
	sleep(ctx, a.Times.MaxDeliveryDelay)
	for ctx.Err() == nil {
		if a.releaseOnce(ctx) {
			return
		}
		sleep(ctx, a.Times.IdlePollInterval)
	}
}

// releaseOnce removes earlier processes of this instance from all order
// records. done reports whether no record has to be written again.
func (a *Authority) releaseOnce(ctx context.Context) (done bool) {
	entries, err := a.Store.List(ctx, recordPrefix)
	if err != nil {
		return false
	}
	done = true
	for _, entry := range entries {
		var record order.Record
		if json.Unmarshal(entry.Value, &record) != nil {
			continue
		}
		next, changed := record.WithoutPredecessors(a.process)
		if !changed {
			continue
		}
		if _, err := a.swapJSON(ctx, entry.Key, entry.Revision, next, ""); err != nil {
			done = false
		}
	}
	return done
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

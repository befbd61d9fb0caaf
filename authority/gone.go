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

// awaitListing waits until the platform lists this instance. Only then does the
// instance's later absence from the list prove anything. An empty list means
// that the platform keeps none; then no process is ever confirmed to be gone.
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
				a.active.Add(1)
				go a.watchGone(ctx)
				return
			}
		}
		pause(ctx, a.Times.LeaseRetryInterval)
	}
}

// watchGone tells the engines' machines which processes the platform has
// confirmed to be gone: those whose instance has been missing from the list for
// LateLimit, after which nothing that they sent can still arrive.
func (a *Authority) watchGone(ctx context.Context) {
	defer a.active.Done()
	for ctx.Err() == nil {
		pause(ctx, a.Times.IdlePollInterval)
		attempts := a.attempts()
		if len(attempts) == 0 {
			// An absence counts only while it is looked at.
			a.absent = map[fleet.InstanceID]fleet.Instant{}
			continue
		}
		list, err := a.Store.Instances(ctx)
		if err != nil || len(list) == 0 {
			continue
		}
		gone := a.missing(attempts, list)
		a.tellGone(context.WithoutCancel(ctx), gone)
	}
}

// missing returns the processes whose instance has been absent at every look
// for LateLimit.
func (a *Authority) missing(attempts []order.Process, list []store.InstanceInfo) (gone []order.Process) {
	for _, i := range list {
		delete(a.absent, fleet.InstanceID(i.ID))
	}
	now := a.clock.now()
	for _, p := range attempts {
		if slices.ContainsFunc(list, func(i store.InstanceInfo) bool { return i.ID == string(p.Instance) }) {
			continue
		}
		since, known := a.absent[p.Instance]
		if !known {
			a.absent[p.Instance] = now
		}
		if known && p.Listed && now-since >= a.Times.MaxDeliveryDelay {
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

func (a *Authority) tellGone(ctx context.Context, gone []order.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.engines {
		a.stepEngine(ctx, e, order.ProcessesGone{Processes: gone})
	}
}

// releasePredecessor removes earlier processes of this instance from the
// attempts. They have ended, because this process could not otherwise have
// bound their listen addresses; what they sent is waited out first.
func (a *Authority) releasePredecessor(ctx context.Context) {
	pause(ctx, a.Times.MaxDeliveryDelay)
	for ctx.Err() == nil {
		if a.releaseOnce(ctx) {
			return
		}
		pause(ctx, a.Times.IdlePollInterval)
	}
}

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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

package authority

import (
	"context"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/leaseholder"
)

// stepLease applies an event to the lease and executes its commands. The caller
// holds the lock.
func (a *Authority) stepLease(ctx context.Context, ev lease.Event) {
	a.lease.Step(a.clock.now(), ev)
	for _, c := range a.lease.Ready() {
		runAsync(ctx, a, func(ctx context.Context) lease.Event { return a.callLease(ctx, c) },
			func(answer lease.Event) {
				if answer != nil { // Revoke has none
					a.stepLease(ctx, answer)
				}
			})
	}
	term := a.lease.Term()
	if term == a.lastTerm {
		return
	}
	if term.Fence != a.lastTerm.Fence {
		a.Log.Info("order lease", zap.Int64("fence", term.Fence))
		if a.Observer != nil {
			a.Observer.SetLeaseFence(term.Fence)
		}
	}
	a.lastTerm = term
	for _, e := range a.engines {
		a.stepEngine(ctx, e, order.TermChanged{Term: term})
	}
}

func (a *Authority) holderKey() string { return "lease/orders/" + string(a.DataCentre) }
func (a *Authority) fenceKey() string  { return "fence/orders/" + string(a.DataCentre) }

func (a *Authority) callLease(ctx context.Context, c lease.Command) lease.Event {
	return leaseholder.Execute(ctx, a.Store, leaseholder.Keys{Holder: a.holderKey(), Fence: a.fenceKey()}, c)
}

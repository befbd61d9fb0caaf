package authority

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/store"
)

// stepLease applies an event to the lease and starts its commands. The caller
// holds the lock.
func (a *Authority) stepLease(ctx context.Context, ev lease.Event) {
	a.lease.Step(a.clock.now(), ev)
	for _, c := range a.lease.Ready() {
		perform(ctx, a, func(ctx context.Context) lease.Event { return a.callLease(ctx, c) },
			func(answer lease.Event) {
				if answer != nil { // Revoke has none
					a.stepLease(ctx, answer)
				}
			})
	}
	now := a.lease.Authority()
	if now == a.last {
		return
	}
	if now.Fence != a.last.Fence {
		a.Log.Info("order lease", zap.Int64("fence", now.Fence))
		if a.Observer != nil {
			a.Observer.Held(now.Fence)
		}
	}
	a.last = now
	for _, e := range a.engines {
		a.stepEngine(ctx, e, order.Authorize{Authority: now})
	}
}

func (a *Authority) holderKey() string { return "lease/orders/" + string(a.DataCentre) }
func (a *Authority) fenceKey() string  { return "fence/orders/" + string(a.DataCentre) }

func (a *Authority) callLease(ctx context.Context, c lease.Command) lease.Event {
	switch c := c.(type) {
	case lease.Grant:
		granted, err := a.Store.GrantLease(ctx, c.TTL)
		if err != nil {
			return leaseFailed(c.Call, err)
		}
		return lease.Granted{Call: c.Call, LeaseID: granted.ID}
	case lease.WriteHolder:
		_, err := a.swapJSON(ctx, a.holderKey(), 0, c.Holder, c.LeaseID)
		return leaseDone(c.Call, err)
	case lease.ReadHolder:
		var holder lease.Holder
		revision, err := a.readJSON(ctx, a.holderKey(), &holder)
		if err != nil {
			return leaseFailed(c.Call, err)
		}
		if revision == 0 {
			return lease.HolderRead{Call: c.Call}
		}
		return lease.HolderRead{Call: c.Call, Holder: &holder}
	case lease.ReadFence:
		var fence lease.Fence
		revision, err := a.readJSON(ctx, a.fenceKey(), &fence)
		if err != nil {
			return leaseFailed(c.Call, err)
		}
		return lease.FenceRead{Call: c.Call, Fence: fence, Revision: revision}
	case lease.WriteFence:
		_, err := a.swapJSON(ctx, a.fenceKey(), c.Revision, c.Fence, "")
		return leaseDone(c.Call, err)
	case lease.Renew:
		return leaseDone(c.Call, a.Store.RenewLease(ctx, c.LeaseID))
	case lease.Revoke:
		_ = a.Store.RevokeLease(ctx, c.LeaseID)
	}
	return nil
}

func leaseDone(call int64, err error) lease.Event {
	if err != nil {
		return leaseFailed(call, err)
	}
	return lease.Done{Call: call}
}

func leaseFailed(call int64, err error) lease.Event {
	cause := lease.CauseUnavailable
	switch {
	case errors.Is(err, store.ErrUnknown):
		cause = lease.CauseUnknown
	case errors.Is(err, store.ErrConflict):
		cause = lease.CauseConflict
	case errors.Is(err, store.ErrLeaseLost):
		cause = lease.CauseLost
	}
	return lease.Failed{Call: call, Cause: cause}
}

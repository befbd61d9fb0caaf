package scaling

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/fleetsize"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/logline"
)

// send sends orders, some at a time. After a refusal no further call is made until
// its cause is known. It returns false when the duty is lost.
func (e *Executor) send(ctx context.Context, s *routes.Service, state *service, orders []fleetsize.Order) bool {
	for len(orders) > 0 {
		batch := orders[:min(len(orders), ordersAtOnce)]
		orders = orders[len(batch):]
		errs := e.sendBatch(ctx, s, batch)
		refused := false
		for _, err := range errs {
			refused = refused || errors.Is(err, duty.ErrRefused)
		}
		higher, err := false, error(nil)
		if refused {
			higher, err = e.higherFence(ctx)
		}
		if higher {
			e.Log.Warn("duty lost: another holder has a higher number", zap.Int64("fence", e.term.Fence))
			e.Holder.Refused(e.term.Fence)
			e.services = map[fleet.GroupName]*service{}
			return false
		}
		failed := false
		for i, o := range batch {
			result := resultOf(errs[i], err)
			failed = failed || result == fleetsize.ResultDelayed || result == fleetsize.ResultUnknown
			e.finish(s, state, o, result, errs[i])
		}
		if failed {
			// What has not been sent is decided again when the API answers.
			for _, o := range orders {
				state.planner.Finish(o, fleetsize.ResultDelayed, e.now())
			}
			return true
		}
		if len(orders) > 0 {
			e.sleep(ctx, batchInterval)
		}
	}
	return true
}

// sendBatch sends orders at the same time and returns their errors. Those that have
// not been written when another is refused are not sent.
func (e *Executor) sendBatch(ctx context.Context, s *routes.Service, batch []fleetsize.Order) []error {
	errs := make([]error, len(batch))
	var pending sync.WaitGroup
	var refused atomic.Bool
	by := e.Holder.Call(e.term)
	mayAct := by.Check
	by.Check = func() error {
		if refused.Load() {
			return duty.ErrTermOver
		}
		if mayAct == nil {
			return nil
		}
		return mayAct()
	}
	for i, o := range batch {
		pending.Add(1)
		go func() {
			defer pending.Done()
			errs[i] = e.Cloud.OrderServers(ctx, by, duty.ServerOrder{
				Service: s.Name, DataCentre: o.DataCentre, Servers: o.Servers, Spot: o.Spot,
			})
			if errors.Is(errs[i], duty.ErrRefused) {
				refused.Store(true)
			}
		}()
	}
	pending.Wait()
	return errs
}

// higherFence reports whether the store has a higher fencing number of the duty.
func (e *Executor) higherFence(ctx context.Context) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	var fence lease.Fence
	_, err := leaseholder.ReadJSON(ctx, e.Store, e.FenceKey, &fence)
	return fence.Number > e.term.Fence, err
}

// resultOf returns the result of an order. fenceErr is not nil if the cause of a
// refusal is not known; the order had no effect then.
func resultOf(err, fenceErr error) fleetsize.Result {
	switch {
	case err == nil:
		return fleetsize.ResultAccepted
	case errors.Is(err, duty.ErrRefused) && fenceErr == nil:
		return fleetsize.ResultUnavailable
	case errors.Is(err, duty.ErrRefused), errors.Is(err, duty.ErrRateLimited), errors.Is(err, duty.ErrUnavailable), errors.Is(err, duty.ErrTermOver):
		return fleetsize.ResultDelayed
	default:
		return fleetsize.ResultUnknown
	}
}

// finish passes the result of an order to the planner and counts it.
func (e *Executor) finish(s *routes.Service, state *service, o fleetsize.Order, result fleetsize.Result, err error) {
	state.planner.Finish(o, result, e.now())
	switch {
	case errors.Is(err, duty.ErrRateLimited), errors.Is(err, duty.ErrTermOver):
		// The API has answered, or was not called.
	case result == fleetsize.ResultAccepted || result == fleetsize.ResultUnavailable:
		e.failures = 0
	default:
		if e.failures == 0 {
			e.failingSince = e.now()
		}
		e.failures++
	}
	e.Observer.ServersOrdered(result.String())
	e.Log.Info("servers ordered", zap.String("service", string(s.Name)), zap.String("data_centre", string(o.DataCentre)), zap.Bool("spot", o.Spot),
		zap.Int("servers", o.Servers), zap.Stringer("result", result), zap.Int64("fence", e.term.Fence), logline.Error(err))
}

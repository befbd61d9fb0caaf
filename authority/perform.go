package authority

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/platform"
	"github.com/bramleywick/bramleywick/upstream"
)

const (
	// callTimeout bounds one call to the platform or an engine.
	callTimeout = 5 * time.Second
	// slotTries bounds the compare-and-swap attempts at a contended slot.
	slotTries = 5
)

// stepLease applies an event to the lease and starts its commands. The caller
// holds the lock.
func (a *Authority) stepLease(ctx context.Context, ev lease.Event) {
	a.lease.Step(a.clock.now(), ev)
	for _, c := range a.lease.Ready() {
		a.active.Add(1)
		go a.performLease(ctx, c)
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

func (a *Authority) performLease(ctx context.Context, c lease.Command) {
	defer a.active.Done()
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	ev := a.callLease(call, c)
	if ev == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLease(ctx, ev)
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
	case errors.Is(err, platform.ErrUnknown):
		cause = lease.CauseUnknown
	case errors.Is(err, platform.ErrConflict):
		cause = lease.CauseConflict
	case errors.Is(err, platform.ErrLeaseLost):
		cause = lease.CauseLost
	}
	return lease.Failed{Call: call, Cause: cause}
}

// readJSON reads a key; revision 0 means that it is absent.
func (a *Authority) readJSON(ctx context.Context, key string, out any) (revision int64, err error) {
	entry, err := a.Store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, errors.Wrapf(json.Unmarshal(entry.Value, out), "decode %s", key)
}

func (a *Authority) swapJSON(ctx context.Context, key string, revision int64, in any, leaseID string) (int64, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", key)
	}
	entry, err := a.Store.CompareAndSwap(ctx, key, revision, raw, leaseID)
	return entry.Revision, err
}

// stepEngine applies an event to an engine's machine and starts its command.
// The caller holds the lock.
func (a *Authority) stepEngine(ctx context.Context, e *engine, ev order.Event) {
	e.machine.Step(a.clock.now(), ev)
	for _, c := range e.machine.Ready() {
		if (a.stopping || e.retired) && c.Head().Before != 0 {
			continue
		}
		a.active.Add(1)
		go a.performOrder(ctx, e, c)
	}
}

func (a *Authority) performOrder(ctx context.Context, e *engine, c order.Command) {
	defer a.active.Done()
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	ev := a.callOrder(call, e, c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepEngine(ctx, e, ev)
}

// late tells whether a command may no longer begin.
func (a *Authority) late(before fleet.Instant) bool { return before != 0 && a.clock.now() >= before }

func (a *Authority) callOrder(ctx context.Context, e *engine, c order.Command) order.Event {
	switch c := c.(type) {
	case order.ReadRecord:
		return a.readRecord(ctx, e, c)
	case order.WriteRecord:
		return a.writeRecord(ctx, e, c)
	case order.TakeSlot:
		return a.takeSlot(ctx, e, c)
	case order.FreeSlot:
		return a.freeSlot(ctx, e, c)
	case order.Mark:
		return a.markEngine(ctx, e, c)
	case order.CheckDrain:
		return a.checkDrain(ctx, e, c)
	case order.ReadState:
		return a.readState(ctx, e, c)
	case order.Send:
		return a.send(ctx, e, c)
	}
	return order.Tick{}
}

func recordKey(id fleet.UpstreamID) string { return "order/" + string(id) }

func (a *Authority) readRecord(ctx context.Context, e *engine, c order.ReadRecord) order.Event {
	var record order.Record
	revision, err := a.readJSON(ctx, recordKey(e.id), &record)
	if err != nil {
		return order.Failed{Call: c.Call}
	}
	return order.RecordRead{Call: c.Call, Record: record, Revision: revision}
}

func (a *Authority) writeRecord(ctx context.Context, e *engine, c order.WriteRecord) order.Event {
	if a.late(c.Before) {
		return order.Failed{Call: c.Call}
	}
	revision, err := a.swapJSON(ctx, recordKey(e.id), c.Revision, c.Record, "")
	if err != nil {
		return order.Failed{Call: c.Call}
	}
	a.logRecord(e, c.Record)
	return order.RecordWritten{Call: c.Call, Revision: revision}
}

func (a *Authority) logRecord(e *engine, r order.Record) {
	if r.Order == nil {
		return
	}
	if a.Observer != nil {
		a.Observer.Ordered(r.Phase)
	}
	a.Log.Info("order", zap.String("upstream", string(e.id)), zap.String("order", r.Order.ID),
		zap.String("phase", string(r.Phase)), zap.Int64("fence", r.Fence), zap.Int("attempts", len(r.Attempts)))
}

func (a *Authority) slotKey(e *engine) string { return "slot/" + string(e.group.Load().Name) }

func (a *Authority) takeSlot(ctx context.Context, e *engine, c order.TakeSlot) order.Event {
	for range slotTries {
		var slot order.Slot
		revision, err := a.readJSON(ctx, a.slotKey(e), &slot)
		if err != nil || a.late(c.Before) {
			return order.Failed{Call: c.Call}
		}
		next, ok := slot.Admit(c.Change, e.group.Load().WeightLoads)
		if !ok || slot.Holds(c.Change) {
			return order.SlotAnswered{Call: c.Call, OK: ok}
		}
		if _, err = a.swapJSON(ctx, a.slotKey(e), revision, next, ""); err == nil {
			return order.SlotAnswered{Call: c.Call, OK: true}
		}
	}
	return order.Failed{Call: c.Call}
}

func (a *Authority) freeSlot(ctx context.Context, e *engine, c order.FreeSlot) order.Event {
	for range slotTries {
		var slot order.Slot
		revision, err := a.readJSON(ctx, a.slotKey(e), &slot)
		if err != nil || a.late(c.Before) {
			return order.Failed{Call: c.Call}
		}
		next, changed := slot.Release(e.id, c.Fence, c.Keep)
		if !changed {
			return order.SlotAnswered{Call: c.Call, OK: true}
		}
		if _, err = a.swapJSON(ctx, a.slotKey(e), revision, next, ""); err == nil {
			return order.SlotAnswered{Call: c.Call, OK: true}
		}
	}
	return order.Failed{Call: c.Call}
}

func (a *Authority) markEngine(ctx context.Context, e *engine, c order.Mark) order.Event {
	if a.late(c.Before) {
		return order.Failed{Call: c.Call}
	}
	e.fence = c.Fence
	if err := a.Drains.Mark(ctx, Mark{Upstream: e.id, Fence: c.Fence, On: c.On}); err != nil {
		return order.Failed{Call: c.Call}
	}
	return order.Marked{Call: c.Call}
}

// checkDrain fetches the load report only after the acknowledgements, so that
// a request sent before them is counted in it.
func (a *Authority) checkDrain(ctx context.Context, e *engine, c order.CheckDrain) order.Event {
	acknowledged := a.Drains.Acknowledged(ctx, Mark{Upstream: e.id, Fence: e.fence, On: true})
	load, err := a.Engines.Load(ctx, e.address)
	if err != nil {
		return order.Failed{Call: c.Call}
	}
	return order.DrainChecked{
		Call: c.Call, Acknowledged: acknowledged,
		Running: load.Running + load.Waiting, Incarnation: load.Incarnation,
	}
}

func (e *engine) close() {
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
}

// closeAll also closes the connection for readings.
func (e *engine) closeAll() {
	e.close()
	if e.idle != nil {
		e.idle.Close()
		e.idle = nil
	}
}

func (a *Authority) readState(ctx context.Context, e *engine, c order.ReadState) order.Event {
	e.close()
	state, err := e.readIdle(ctx, c)
	if err != nil {
		state, err = e.readFresh(ctx, c)
	}
	role, ok := fleet.ParseRole(state.Role)
	if err != nil || !ok {
		return order.Failed{Call: c.Call}
	}
	return order.StateRead{Call: c.Call, State: order.State{
		Incarnation: state.Incarnation, InProgress: state.InProgress, Settled: state.Settled,
		Current: order.Desired{Model: state.Model, Adapter: state.Adapter, Version: state.Version, Role: role},
	}}
}

// errNotIdle tells that a reading needs a new connection.
var errNotIdle = errors.New("no connection for this reading")

// readIdle reads on the kept connection. It fails when the engine has closed
// it, and for a reading whose connection an order will use.
func (e *engine) readIdle(ctx context.Context, c order.ReadState) (state upstream.EngineState, err error) {
	if e.idle == nil {
		return state, errNotIdle
	}
	if !c.Connect {
		state, err = e.idle.State(ctx)
	}
	if c.Connect || err != nil {
		e.idle.Close()
		e.idle = nil
		err = errNotIdle
	}
	return state, err
}

func (e *engine) readFresh(ctx context.Context, c order.ReadState) (upstream.EngineState, error) {
	conn, err := upstream.DialOrders(ctx, e.address)
	if err != nil {
		return upstream.EngineState{}, err
	}
	state, err := conn.State(ctx)
	switch {
	case err != nil:
		conn.Close()
	case c.Connect:
		e.conn = conn
	default:
		e.idle = conn
	}
	return state, err
}

func (a *Authority) send(ctx context.Context, e *engine, c order.Send) order.Event {
	defer e.close()
	left := c.Before - a.clock.now()
	if left <= 0 || e.conn == nil {
		return order.Answered{Call: c.Call, Answer: order.AnswerNotSent}
	}
	err := e.conn.Send(ctx, wireOrder(c), time.Now().Add(left))
	if err != nil {
		a.Log.Warn("order not taken", zap.String("upstream", string(e.id)), zap.Error(err))
	}
	return order.Answered{Call: c.Call, Answer: answerOf(err)}
}

func wireOrder(c order.Send) upstream.OrderRequest {
	d := c.Order.Desired
	action := upstream.ActionChangeRole
	if c.Order.From.LoadsWeights(d) {
		action = upstream.ActionLoad
	}
	return upstream.OrderRequest{
		ID: c.Order.ID, Number: c.Number, Incarnation: c.Order.Incarnation, Action: action,
		Model: d.Model, Adapter: d.Adapter, Version: d.Version, Role: d.Role.String(),
	}
}

func answerOf(err error) order.Answer {
	switch {
	case err == nil:
		return order.AnswerTaken
	case errors.Is(err, upstream.ErrOrderStale):
		return order.AnswerStale
	case errors.Is(err, upstream.ErrOrderBusy):
		return order.AnswerBusy
	case errors.Is(err, upstream.ErrOrderRefused):
		return order.AnswerRefused
	case errors.Is(err, upstream.ErrOrderNotSent):
		return order.AnswerNotSent
	}
	return order.AnswerLost
}

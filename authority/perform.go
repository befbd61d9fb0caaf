package authority

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
)

// callTimeout bounds one call to the platform or an engine.
const callTimeout = 5 * time.Second

// runAsync executes one command in a goroutine and applies its answer under the
// lock. The caller holds the lock.
func runAsync[Event any](ctx context.Context, a *Authority, call func(context.Context) Event, step func(Event)) {
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		limited, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		ev := call(limited)
		a.mu.Lock()
		defer a.mu.Unlock()
		step(ev)
	}()
}

// stepEngine applies an event to an engine's state machine and executes its
// command. The caller holds the lock.
func (a *Authority) stepEngine(ctx context.Context, e *engine, ev order.Event) {
	e.machine.Step(a.clock.now(), ev)
	for _, c := range e.machine.Ready() {
		if (a.stopping || e.retired) && c.Head().StartBefore != 0 {
			continue
		}
		runAsync(ctx, a, func(ctx context.Context) order.Event { return a.callOrder(ctx, e, c) },
			func(answer order.Event) { a.stepEngine(ctx, e, answer) })
	}
}

// expired reports whether a command may no longer begin. 0 means no limit.
func (a *Authority) expired(before fleet.Instant) bool { return before != 0 && a.clock.now() >= before }

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
	if a.expired(c.StartBefore) {
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
		a.Observer.OrderRecorded(r.Phase)
	}
	a.Log.Info("order", zap.String("upstream", string(e.id)), zap.String("order", r.Order.ID),
		zap.String("phase", string(r.Phase)), zap.Int64("fence", r.Fence), zap.Int("attempts", len(r.Attempts)))
}

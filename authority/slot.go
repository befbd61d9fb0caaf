package authority

import (
	"context"

	"github.com/bramleywick/bramleywick/core/order"
)

// slotTries bounds the compare-and-swap attempts on a contended slot.
const slotTries = 5

func (a *Authority) slotKey(e *engine) string { return "slot/" + string(e.group.Load().Name) }

func (a *Authority) takeSlot(ctx context.Context, e *engine, c order.TakeSlot) order.Event {
	return a.changeSlot(ctx, e, c.Header, func(slot order.Slot) (order.Slot, bool, bool) {
		next, ok := slot.Admit(c.Change, e.group.Load().ConcurrentWeightLoads)
		return next, ok && !slot.Contains(c.Change), ok
	})
}

func (a *Authority) freeSlot(ctx context.Context, e *engine, c order.FreeSlot) order.Event {
	return a.changeSlot(ctx, e, c.Header, func(slot order.Slot) (order.Slot, bool, bool) {
		next, changed := slot.Release(e.id, c.Fence, c.Keep)
		return next, changed, true
	})
}

// changeSlot replaces the slot of an engine's group. change returns the next
// slot, whether it must be written, and the OK of the answer if it need not be.
func (a *Authority) changeSlot(ctx context.Context, e *engine, h order.Header, change func(order.Slot) (next order.Slot, write, ok bool)) order.Event {
	for range slotTries {
		var slot order.Slot
		revision, err := a.readJSON(ctx, a.slotKey(e), &slot)
		if err != nil || a.expired(h.StartBefore) {
			return order.Failed{Call: h.Call}
		}
		next, write, ok := change(slot)
		if !write {
			return order.SlotAnswered{Call: h.Call, OK: ok}
		}
		if _, err = a.swapJSON(ctx, a.slotKey(e), revision, next, ""); err == nil {
			return order.SlotAnswered{Call: h.Call, OK: true}
		}
	}
	return order.Failed{Call: h.Call}
}

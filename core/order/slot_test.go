package order_test

import (
	"testing"

	"github.com/bramleywick/bramleywick/core/order"
)

// TestSlot guards against more changes at once in a group than are allowed.
func TestSlot(t *testing.T) {
	a := order.Change{Upstream: "a", OrderID: "a", Fence: 1}
	b := order.Change{Upstream: "b", OrderID: "b", Fence: 1}
	c := order.Change{Upstream: "c", OrderID: "c", Fence: 1}
	role := order.Change{Upstream: "r", OrderID: "r", Fence: 1, ChangesRole: true}
	slot, ok := order.Slot{}.Admit(a, 2)
	if !ok {
		t.Fatal("the first load is refused")
	}
	if _, ok := slot.Admit(role, 2); ok {
		t.Error("a change of role beside a load")
	}
	if slot, ok = slot.Admit(b, 2); !ok {
		t.Error("a second load within the limit is refused")
	}
	if _, ok := slot.Admit(c, 2); ok {
		t.Error("a third load above the limit")
	}
	if again, ok := slot.Admit(a, 2); !ok || len(again.Changes) != 2 {
		t.Error("an admitted change is not admitted again")
	}
	later := b
	later.Fence = 2
	if _, changed := (order.Slot{Changes: []order.Change{later}}).Release("b", 1, ""); changed {
		t.Error("a replaced holder removes its successor's change")
	}
	if next, changed := slot.Release("a", 2, ""); !changed || len(next.Changes) != 1 {
		t.Error("a settled change is not removed")
	}
	if alone, _ := (order.Slot{}).Admit(role, 2); len(alone.Changes) != 1 {
		t.Error("a change of role alone is refused")
	} else if _, ok := alone.Admit(a, 2); ok {
		t.Error("a load beside a change of role")
	}
}

// TestDesiredFillFrom guards against loading weights that are not declared.
func TestDesiredFillFrom(t *testing.T) {
	current := order.Desired{Model: "m", Adapter: "a", Version: "3"}
	if (order.Desired{}).FillFrom(current) != current || (order.Desired{Model: "m", Adapter: "a"}).FillFrom(current) != current {
		t.Error("an open field is not kept")
	}
	if next := (order.Desired{Model: "n"}).FillFrom(current); next != (order.Desired{Model: "n"}) {
		t.Errorf("got %+v", next)
	}
}

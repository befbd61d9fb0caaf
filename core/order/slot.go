package order

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Change is one running change in a group's slot.
type Change struct {
	Upstream fleet.UpstreamID `json:"upstream"`
	OrderID  string           `json:"order_id"`
	Fence    int64            `json:"fence"`
	// ChangesRole tells that the change alters the engine's role.
	ChangesRole bool `json:"role"`
}

// Slot is the value of a group's slot key: the changes under way. A change of
// role excludes every other change; loads of weights are allowed up to a limit.
type Slot struct {
	Changes []Change `json:"changes,omitempty"`
}

// Admit returns the slot with the change added; ok is false when the running
// changes exclude it. A change that is already there is admitted again.
func (s Slot) Admit(c Change, loads int) (next Slot, ok bool) {
	if s.Contains(c) {
		return s, true
	}
	for _, other := range s.Changes {
		if other.ChangesRole || c.ChangesRole || other.Upstream == c.Upstream {
			return s, false
		}
	}
	if len(s.Changes) >= max(loads, 1) {
		return s, false
	}
	return Slot{Changes: append(slices.Clone(s.Changes), c)}, true
}

// Contains tells whether the change is in the slot.
func (s Slot) Contains(c Change) bool { return slices.Contains(s.Changes, c) }

// Release returns the slot without the changes of an upstream that a holder
// with the given fencing number or an earlier one has entered, except the order
// keep. A holder that has been replaced cannot remove its successor's change.
func (s Slot) Release(upstream fleet.UpstreamID, fence int64, keep string) (next Slot, changed bool) {
	kept := slices.DeleteFunc(slices.Clone(s.Changes), func(c Change) bool {
		return c.Upstream == upstream && c.Fence <= fence && (keep == "" || c.OrderID != keep)
	})
	return Slot{Changes: kept}, len(kept) != len(s.Changes)
}

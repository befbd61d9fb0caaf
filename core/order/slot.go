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
	// ChangesRole reports whether the change alters the engine's role.
	ChangesRole bool `json:"role"`
}

// Slot is the value of a group's slot key: the changes under way. A role change
// excludes every other change; loads of weights are allowed up to a limit.
type Slot struct {
	Changes []Change `json:"changes,omitempty"`
}

// Admit returns the slot with the change added. ok is false if the running
// changes exclude it; loads is the limit of weight loads. A change that is
// already in the slot is admitted again.
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

// Contains reports whether the change is in the slot.
func (s Slot) Contains(c Change) bool { return slices.Contains(s.Changes, c) }

// Release returns the slot without the upstream's changes that were added under
// the given fencing number or a lower one, except that of the order keep. A
// replaced holder thus cannot remove its successor's change. changed reports
// whether any was removed.
func (s Slot) Release(upstream fleet.UpstreamID, fence int64, keep string) (next Slot, changed bool) {
	kept := slices.DeleteFunc(slices.Clone(s.Changes), func(c Change) bool {
		return c.Upstream == upstream && c.Fence <= fence && (keep == "" || c.OrderID != keep)
	})
	return Slot{Changes: kept}, len(kept) != len(s.Changes)
}

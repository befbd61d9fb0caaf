// Package order is the state machine that gives orders to one engine: to load a
// model, an adapter or a version, or to change the role. It performs no I/O:
// events go in through Step, calls come out of Ready, one at a time.
//
// Every order is written to the platform before it is sent. The
// compare-and-swap writes of the record put all orders for an engine in one
// sequence, and its list of attempts names every process that may still send
// the order.
package order

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Desired is the part of an engine's state that orders change.
type Desired struct {
	Model   fleet.ModelName `json:"model,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Role    fleet.Role      `json:"role"`
	// KeepRole means that the engine keeps its role and Role is ignored. It is
	// never set in a record.
	KeepRole bool `json:"-"`
}

// FillFrom returns d with the unspecified parts taken from current. Without a
// model, d leaves model, adapter and version unspecified; without a version, it
// accepts the version that is loaded.
func (d Desired) FillFrom(current Desired) Desired {
	if d.Model == "" {
		d.Model, d.Adapter, d.Version = current.Model, current.Adapter, current.Version
	}
	if d.Version == "" && d.Model == current.Model {
		d.Version = current.Version
	}
	if d.KeepRole {
		d.Role, d.KeepRole = current.Role, false
	}
	return d
}

// LoadsWeights reports whether a change from d to next reads from the weight
// store.
func (d Desired) LoadsWeights(next Desired) bool {
	return d.Model != next.Model || d.Version != next.Version || d.Adapter != next.Adapter
}

// InterruptsService reports whether a change from d to next stops the engine
// from serving. Adding an adapter to an engine without one does not; replacing
// an adapter would interrupt the requests that use the old one.
func (d Desired) InterruptsService(next Desired) bool {
	if d.Model != next.Model || d.Version != next.Version || d.Role != next.Role {
		return true
	}
	return d.Adapter != next.Adapter && d.Adapter != ""
}

// Process identifies one process of an instance.
type Process struct {
	Instance fleet.InstanceID `json:"instance"`
	// Start distinguishes successive processes of one instance.
	Start string `json:"start"`
	// Listed reports whether the platform's list has contained the instance.
	// Only then does its later absence prove that it is gone.
	Listed bool `json:"listed,omitempty"`
}

// Phase is the progress of an order.
type Phase string

// Phases of an order.
const (
	// PhaseNone means that no order has been given yet.
	PhaseNone Phase = ""
	// PhaseDraining means that the order is announced and certainly not sent.
	PhaseDraining Phase = "draining"
	// PhaseSending means that the order may have been sent.
	PhaseSending Phase = "sending"
	// PhaseSettled means that the engine reported the end of the order.
	PhaseSettled Phase = "settled"
	// PhaseUndone means that the order was abandoned, or that the engine
	// restarted before the change took effect.
	PhaseUndone Phase = "undone"
)

// Order is one change of an engine.
type Order struct {
	ID string `json:"id"`
	// Incarnation identifies the engine process for which the order is meant.
	Incarnation fleet.Incarnation `json:"incarnation"`
	From        Desired           `json:"from"`
	Desired     Desired           `json:"desired"`
	Sender      Process           `json:"sender"`
	// Sequence counts the orders for this engine.
	Sequence int64 `json:"sequence"`
}

// Record is the value of an engine's order key.
type Record struct {
	// Fence is the fencing number of the holder that last adopted the record.
	Fence int64  `json:"fence"`
	Phase Phase  `json:"phase"`
	Order *Order `json:"order,omitempty"`
	// Attempts are the processes that may still send Order.
	Attempts []Process `json:"attempts,omitempty"`
	// Marked reports whether instances may have been asked to stop sending work
	// to the engine. A new holder contacts them only about engines for which it
	// is set.
	Marked bool `json:"marked,omitempty"`
}

// Open reports whether an order is under way.
func (r Record) Open() bool { return r.Phase == PhaseDraining || r.Phase == PhaseSending }

// AllowsNewOrder reports whether an order other than the recorded one may be
// given. An engine that checks fencing numbers refuses a delayed copy of the
// old order once it has seen a higher number. Any other engine would execute
// it, so every process that may still send it must be excluded first.
func (r Record) AllowsNewOrder(checksFencing bool) bool {
	return !r.Open() && (checksFencing || len(r.Attempts) == 0)
}

func (r Record) hasAttempt(p Process) bool { return slices.Contains(r.Attempts, p) }

func (r Record) withoutAttempt(p Process) Record {
	r.Attempts = slices.DeleteFunc(slices.Clone(r.Attempts), func(q Process) bool { return q == p })
	return r
}

// WithoutPredecessors returns the record without the attempts of earlier
// processes of the same instance. changed reports whether there were any.
func (r Record) WithoutPredecessors(p Process) (next Record, changed bool) {
	before := len(r.Attempts)
	r.Attempts = slices.DeleteFunc(slices.Clone(r.Attempts), func(q Process) bool {
		return q.Instance == p.Instance && q.Start != p.Start
	})
	return r, len(r.Attempts) != before
}

func (r Record) withAttempt(p Process) Record {
	if !r.hasAttempt(p) {
		r.Attempts = append(slices.Clone(r.Attempts), p)
	}
	return r
}

// sequenceBits is the number of bits of a fencing number that count orders
// within one holder's term, so that the engine also refuses a delayed copy of
// an earlier order of the same holder. It leaves 2^33 holders within the 53
// bits that JSON numbers keep.
const sequenceBits = 20

// FencingNumber returns the fencing number that is sent to the engine. It rises with
// each holder and, within a holder's term, with each order for the engine.
func FencingNumber(fence, sequence int64) int64 {
	return fence<<sequenceBits | sequence&(1<<sequenceBits-1)
}

// State is the state that an engine reports.
type State struct {
	Incarnation fleet.Incarnation
	Current     Desired
	// InProgress is the id of the order that is being executed.
	InProgress string
	// Settled is the id of the order that ended last.
	Settled string
}

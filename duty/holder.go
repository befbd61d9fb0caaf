// Package duty holds the lease of a duty that one instance at a time performs,
// and defines the calls that its holder makes to the platform's API.
package duty

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/leaseholder"
)

const (
	// stepInterval is the time between two checks of the lease.
	stepInterval = 200 * time.Millisecond
	// margin is subtracted from the lease's validity on the local clock.
	margin = 600 * time.Millisecond
	// retryInterval is the wait after a failed attempt to get or renew the
	// lease.
	retryInterval = 500 * time.Millisecond
	// unfitTime is how long the instance keeps the lease after MayHold has become
	// false: the list of instances may change back at once.
	unfitTime = time.Second
	// releaseTimeout bounds the release of the lease in a planned stop.
	releaseTimeout = time.Second
)

// Keys returns the store keys of a duty's lease.
func Keys(duty string) leaseholder.Keys {
	prefix := "bramleywick/duties/" + duty
	return leaseholder.Keys{Holder: prefix + "/holder", Fence: prefix + "/fence"}
}

// Options holds the dependencies and parameters of a Holder.
type Options struct {
	Duty     string
	Instance fleet.InstanceID
	// Process distinguishes successive processes of the instance.
	Process string
	Store   leaseholder.Store
	// Keys are the store keys of the lease; the zero value selects those of Duty.
	Keys leaseholder.Keys
	// TTL is the lease duration.
	TTL time.Duration
	// MayCompete reports whether the instance may compete for the lease now.
	MayCompete func() bool
	// MayHold reports whether the instance may keep the lease; nil means always.
	MayHold func() bool
	// Now reads the clock; nil selects boottime.Now, so that a lease that expired
	// while the process was frozen is not taken for valid.
	Now func() fleet.Instant
	Log *zap.Logger
}

// Term is a period in which the instance may act as the holder.
type Term struct {
	// Fence is the fencing number.
	Fence int64
	// Era is the store's era, and First reports whether certainly no instance has held
	// the duty before.
	Era   int64
	First bool
}

// Holder competes for the lease of one duty and keeps it. Safe for concurrent
// use.
type Holder struct {
	o       Options
	machine *lease.Machine
	// wake makes Run execute a requested resignation at once.
	wake chan struct{}
	// unfitSince is since when MayHold is false; 0 while it is true. Only Tick uses it.
	unfitSince fleet.Instant

	mu   sync.Mutex
	term lease.Term
	// actFrom is the earliest time of a call under the current fencing number.
	actFrom fleet.Instant
	// ended is the highest fencing number that must not be used again.
	ended int64
	// resign is the requested resignation, or nil.
	resign *lease.Resign
	// lastTerm is the last term that has not been given up, of the store's present
	// era as far as Tick knows. actedLast is the fencing number of the one in which
	// the store came back from a copy, if no other instance can have acted after it.
	lastTerm  lease.Term
	actedLast int64
	// era is the store's era at the last Tick, and restoredAt when it rose last.
	era        int64
	restoredAt fleet.Instant
}

// NewHolder returns a Holder that competes for the lease once it runs.
func NewHolder(o Options) *Holder {
	if o.Keys == (leaseholder.Keys{}) {
		o.Keys = Keys(o.Duty)
	}
	if o.Now == nil {
		o.Now = boottime.Now
	}
	o.Log = o.Log.With(zap.String("duty", o.Duty))
	return &Holder{o: o, wake: make(chan struct{}, 1), machine: lease.New(lease.Config{
		Instance: o.Instance, Process: o.Process, TTL: o.TTL, Margin: margin, RetryInterval: retryInterval, PollInterval: o.TTL,
	})}
}

// Run competes for the lease and renews it until the context ends, and then
// releases it.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			end, stop := context.WithTimeout(context.Background(), releaseTimeout)
			h.step(end, lease.Release{})
			stop()
			return
		case <-ticker.C:
		case <-h.wake:
		}
		h.Tick(ctx)
	}
}

// Tick executes a requested resignation, and renews the lease or competes for it.
// Run calls it every 200 ms; it must not be called concurrently.
func (h *Holder) Tick(ctx context.Context) {
	h.resignIfUnfit()
	h.mu.Lock()
	resign := h.resign
	h.resign = nil
	h.mu.Unlock()
	if resign != nil {
		h.step(ctx, *resign)
	}
	h.checkEra(ctx)
	if h.machine.Term().Fence > 0 || h.o.MayCompete() && !h.yields() {
		h.step(ctx, lease.Tick{})
	}
}

// yieldTime is the time after the store's return from a copy, in lease durations, in
// which only the instance competes that has acted last: it knows what the store has
// lost. Its lease may be in the copy and has to run out there first.
const yieldTime = 2

// yields reports whether the instance leaves the lease to the one that has acted last.
func (h *Holder) yields() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restoredAt > 0 && h.actedLast == 0 && h.o.Now()-h.restoredAt < yieldTime*h.o.TTL
}

// checkEra ends the term if the store has come back from an older copy since it began.
// Another instance may have acted after it in the same era if its lease had expired, and
// the wait of a successor had passed, before that was noticed, and in an era in between.
func (h *Holder) checkEra(ctx context.Context) {
	era := leaseholder.Era(h.o.Store)
	h.mu.Lock()
	if era > h.era && h.era > 0 {
		h.restoredAt, h.actedLast = h.o.Now(), 0
	}
	h.era = era
	last := h.lastTerm
	if last.Fence == 0 || last.Era == era {
		h.mu.Unlock()
		return
	}
	h.lastTerm = lease.Term{}
	if era == last.Era+1 && h.o.Now() < last.ValidUntil+h.o.TTL {
		h.actedLast = last.Fence
	}
	h.o.Log.Warn("duty lost: the store has come back from an older copy", zap.Int64("fence", last.Fence), zap.Int64("era", era),
		zap.Int64("before", last.Era), zap.Bool("acted_last", h.actedLast > 0))
	h.mu.Unlock()
	h.step(ctx, lease.Resign{Fence: last.Fence})
}

// ActedLast reports whether a term ended because the store came back from an older copy,
// and no other instance can have acted in the same era after it.
func (h *Holder) ActedLast(fence int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fence > 0 && fence == h.actedLast
}

// resignIfUnfit gives up the lease if the instance may no longer keep it.
func (h *Holder) resignIfUnfit() {
	fence := h.machine.Term().Fence
	if fence == 0 || h.o.MayHold == nil || h.o.MayHold() {
		h.unfitSince = 0
		return
	}
	now := h.o.Now()
	if h.unfitSince == 0 {
		h.unfitSince = now
	}
	if now-h.unfitSince >= unfitTime {
		h.Resign(fence, 0)
	}
}

// step passes an event to the lease's state machine and executes the resulting
// commands one after the other.
func (h *Holder) step(ctx context.Context, ev lease.Event) {
	pending := []lease.Event{ev}
	for len(pending) > 0 {
		h.machine.Step(h.o.Now(), pending[0])
		pending = pending[1:]
		h.setTerm(h.machine.Term())
		for _, c := range h.machine.Ready() {
			answer := leaseholder.Execute(ctx, h.o.Store, h.o.Keys, c)
			if answer != nil {
				pending = append(pending, answer)
			}
		}
	}
}

// setTerm records the lease's present term.
func (h *Holder) setTerm(term lease.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term.Fence != h.term.Fence {
		h.o.Log.Info("lease of a duty", zap.Int64("fence", term.Fence))
		h.actFrom = h.o.Now()
		if !term.First {
			// The previous holder may just have made a call.
			h.actFrom += h.o.TTL
		}
	}
	h.term = term
	if term.Fence > 0 {
		h.lastTerm = term
	}
}

// Term returns the present term. It returns false unless the instance may act
// now: the lease is valid and of the store's present era, one lease duration has passed
// since a predecessor's lease could have been valid, and the fencing number has not been
// refused.
func (h *Holder) Term() (Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.o.Now()
	if !h.term.Valid(at) || at < h.actFrom || h.term.Fence <= h.ended || h.term.Era != leaseholder.Era(h.o.Store) {
		return Term{}, false
	}
	return Term{Fence: h.term.Fence, Era: h.term.Era, First: h.term.First}, true
}

// Check returns ErrTermOver unless the instance may make a call with a fencing
// number now. It is called right before a call is written.
func (h *Holder) Check(fence int64) error {
	if term, ok := h.Term(); !ok || term.Fence != fence {
		return ErrTermOver
	}
	return nil
}

// Call returns the identification of a call in a term.
func (h *Holder) Call(t Term) Call {
	return Call{Holder: h.o.Instance, Fence: t.Fence, Check: func() error { return h.Check(t.Fence) }}
}

// Refused records that a call was refused because of a higher fencing number.
// The number is not used again, and the lease is given up, so that this or
// another instance gets a higher one.
func (h *Holder) Refused(fence int64) { h.Resign(fence, 0) }

// Resign gives up the lease with a fencing number, which is not used again. The
// instance doesn't compete for a duration.
func (h *Holder) Resign(fence int64, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence <= h.ended {
		return
	}
	h.ended = fence
	if h.lastTerm.Fence == fence {
		h.lastTerm = lease.Term{}
	}
	if h.term.Fence != fence {
		return
	}
	h.o.Log.Warn("duty given up", zap.Int64("fence", fence), zap.Duration("wait", wait))
	h.resign = &lease.Resign{Fence: fence, Wait: wait}
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Package claim runs calls at most once: it executes the commands of core/claim
// against the platform's service.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// storeTimeout bounds one call to the platform, which normally answers
	// within milliseconds.
	storeTimeout = 2 * time.Second
	// firstCallWait is the default of Claims.FirstCallWait. A plain service
	// answers most calls sooner.
	firstCallWait = 5 * time.Second
	// outcomeWait bounds how long an answer is held back until its outcome is
	// stored, in case the platform is slow.
	outcomeWait = time.Second
	// outcomeRetryInterval is the wait before an outcome is written again after
	// the platform failed the write.
	outcomeRetryInterval = 500 * time.Millisecond
	// leasePeriod is how long new claims are put under the same lease. One
	// lease per instance and period replaces a delete per claim.
	leasePeriod = 10 * time.Minute
	// maxKeyAhead is how far a key's time may be ahead of the instance's clock.
	maxKeyAhead = claim.ClockSkew
)

// Call is one call that may run at most once.
type Call struct {
	Member fleet.MemberID
	// Key is the caller's idempotency key.
	Key          string
	Method, Path string
	Body         []byte
}

// SendResult is the result of sending a call. Refusal is set if no byte of the
// call reached an upstream, AnswerLost if the call may have run but its answer
// was lost. Answer is set otherwise.
type SendResult struct {
	Answer     claim.Answer
	Refusal    *fleet.Refusal
	AnswerLost error
}

// Claims claims calls in a store. It is safe for concurrent use.
type Claims struct {
	// FirstCallWait is how long a repeated call waits for the first one.
	FirstCallWait time.Duration
	// OnOutcome, if set, receives the outcome of each claimed call and whether
	// it is known to be stored.
	OnOutcome func(p claim.Phase, stored bool)

	store    store.Store
	instance fleet.InstanceID
	start    time.Time
	now      func() time.Time

	pending sync.WaitGroup

	mu     sync.Mutex
	leases map[time.Duration]grantedLease
}

type grantedLease struct {
	id          string
	usableUntil time.Time
}

// New returns claims that are kept in store.
func New(store store.Store, instance fleet.InstanceID) *Claims {
	return &Claims{
		store: store, instance: instance, start: wallClock(), now: wallClock,
		leases: map[time.Duration]grantedLease{}, FirstCallWait: firstCallWait,
	}
}

// wallClock returns the time without its monotonic reading. The monotonic clock
// may stop while a computer is suspended, and a key's age must not.
func wallClock() time.Time { return time.Now().Round(0) }

// Wait blocks until every outcome is stored or abandoned.
func (c *Claims) Wait() { c.pending.Wait() }

// Do claims the call and runs send at most once, if the call is the first one
// with its key. replayed reports whether answer is the recorded answer of an
// earlier call. refusal is nil if there is an answer.
func (c *Claims) Do(ctx context.Context, call Call, send func(context.Context) SendResult) (answer claim.Answer, replayed bool, refusal *fleet.Refusal) {
	config, lifetime, refusal := c.configure(call)
	if refusal != nil {
		return claim.Answer{}, false, refusal
	}
	r := &execution{
		claims: c, lifetime: lifetime, machine: claim.New(config),
		// A caller that disconnects must not end a claim halfway.
		ctx: context.WithoutCancel(ctx),
		key: "claim/" + url.PathEscape(string(call.Member)) + "/" + url.PathEscape(call.Key),
	}
	r.step(claim.Start{})
	return r.runUntilSent(ctx, send)
}

// configure returns the state machine's configuration for a call and the
// minimum lifetime of its claim, or a refusal if the key is not valid or the
// time in it is not accepted.
func (c *Claims) configure(call Call) (claim.Config, time.Duration, *fleet.Refusal) {
	config := claim.Config{
		Attempt: newAttempt(), Instance: c.instance, Wait: c.FirstCallWait,
		BodyHash: claim.Hash(call.Method, call.Path, call.Body),
	}
	if !claim.ValidKey(call.Key) {
		return config, 0, fleet.Refuse(fleet.ReasonBadRequest, "the idempotency key must be 1 to %d printable ASCII characters without spaces", claim.MaxKeyBytes)
	}
	created, ok := claim.CreatedAt(call.Key)
	if !ok {
		return config, claim.OpaqueClaimLifetime, nil
	}
	now := c.now()
	age := now.Sub(created)
	if age < -maxKeyAhead || age >= claim.MaxTimedKeyAge {
		return config, 0, fleet.Refuse(fleet.ReasonBadRequest, "the idempotency key was created %s ago; at most %s is accepted", age.Round(time.Second), claim.MaxTimedKeyAge)
	}
	config.SendBefore = now.Sub(c.start) + claim.MaxTimedKeyAge - age
	return config, claim.TimedClaimLifetime, nil
}

func newAttempt() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// lease returns the id of the lease under which new claims are written. Every
// claim lives for at least lifetime, because the lease lives that much longer
// than new claims are put under it. The error wraps that of the platform.
func (c *Claims) lease(ctx context.Context, lifetime time.Duration) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.leases[lifetime]; c.now().Before(l.usableUntil) {
		return l.id, nil
	}
	requestedAt := c.now()
	granted, err := c.store.GrantLease(ctx, lifetime+leasePeriod+claim.ClockSkew)
	if err != nil {
		return "", errors.Wrap(err, "grant a lease for claims")
	}
	c.leases[lifetime] = grantedLease{id: granted.ID, usableUntil: requestedAt.Add(leasePeriod)}
	return granted.ID, nil
}

// dropLease forgets a lease that the platform no longer has, so that the next
// claim requests a new one.
func (c *Claims) dropLease(lifetime time.Duration, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases[lifetime].id == id {
		delete(c.leases, lifetime)
	}
}

// execution executes the commands of one call.
type execution struct {
	claims      *Claims
	ctx         context.Context
	key         string
	lifetime    time.Duration
	leaseID     string
	machine     *claim.Machine
	nextCommand claim.Command
}

func (r *execution) step(ev claim.Event) {
	r.machine.Step(r.claims.now().Sub(r.claims.start), ev)
	r.nextCommand = nil
	for _, c := range r.machine.Ready() {
		r.nextCommand = c
	}
}

// runUntilSent executes commands until the call is to be sent or has ended, and
// then sends it.
func (r *execution) runUntilSent(ctx context.Context, send func(context.Context) SendResult) (claim.Answer, bool, *fleet.Refusal) {
	for {
		switch c := r.nextCommand.(type) {
		case claim.Run:
			return r.send(ctx, send)
		case claim.Refuse:
			return claim.Answer{}, false, c.Refusal
		case claim.Replay:
			return c.Answer, true, nil
		default:
			r.step(r.call(c))
		}
	}
}

func (r *execution) send(ctx context.Context, send func(context.Context) SendResult) (claim.Answer, bool, *fleet.Refusal) {
	sent := send(ctx)
	switch {
	case sent.Refusal != nil:
		r.step(claim.NotSent{})
	case sent.AnswerLost != nil:
		r.step(claim.AnswerLost{})
	default:
		r.step(claim.Answered{Answer: sent.Answer})
	}
	r.storeOutcome()
	if sent.AnswerLost != nil {
		return claim.Answer{}, false, &fleet.Refusal{
			Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeUnknown, Detail: sent.AnswerLost.Error(),
		}
	}
	return sent.Answer, false, sent.Refusal
}

// storeOutcome stores the outcome. It returns after outcomeWait at the latest
// and continues in the background.
func (r *execution) storeOutcome() {
	stored := make(chan struct{})
	r.claims.pending.Add(1)
	go func() {
		defer r.claims.pending.Done()
		defer close(stored)
		for {
			if end, ended := r.nextCommand.(claim.Finish); ended {
				if r.claims.OnOutcome != nil {
					r.claims.OnOutcome(end.Phase, end.Stored)
				}
				return
			}
			ev := r.call(r.nextCommand)
			if _, refused := ev.(claim.Unavailable); refused {
				time.Sleep(outcomeRetryInterval)
			}
			r.step(ev)
		}
	}()
	select {
	case <-stored:
	case <-time.After(outcomeWait):
	}
}

// call executes one call to the platform.
func (r *execution) call(c claim.Command) claim.Event {
	switch c := c.(type) {
	case claim.Write:
		return r.write(c)
	case claim.Watch:
		ctx, stop := context.WithTimeout(r.ctx, c.Wait+storeTimeout)
		defer stop()
		return found(r.claims.store.Watch(ctx, r.key, c.After, c.Wait))
	default:
		ctx, stop := context.WithTimeout(r.ctx, storeTimeout)
		defer stop()
		return found(r.claims.store.Get(ctx, r.key))
	}
}

// found converts the result of a read to an event.
func found(entry store.Entry, err error) claim.Event {
	if errors.Is(err, store.ErrNotFound) {
		return claim.Found{}
	}
	ev := claim.Found{Revision: entry.Revision}
	if err != nil || json.Unmarshal(entry.Value, &ev.Record) != nil {
		return claim.Unavailable{}
	}
	return ev
}

// write writes the claim or its outcome under a lease and returns the event
// that answers the command.
func (r *execution) write(c claim.Write) claim.Event {
	raw, err := json.Marshal(c.Record)
	if err != nil {
		return claim.Unavailable{}
	}
	ctx, stop := context.WithTimeout(r.ctx, storeTimeout)
	defer stop()
	if c.Record.Phase == claim.PhaseClaimed || r.leaseID == "" {
		if r.leaseID, err = r.claims.lease(ctx, r.lifetime); err != nil {
			return claim.Unavailable{}
		}
	}
	entry, err := r.claims.store.CompareAndSwap(ctx, r.key, c.Revision, raw, r.leaseID)
	switch {
	case err == nil:
		return claim.Written{Revision: entry.Revision}
	case errors.Is(err, store.ErrConflict):
		return claim.Conflict{}
	case errors.Is(err, store.ErrOutcomeUnknown):
		return claim.Unknown{}
	case errors.Is(err, store.ErrLeaseLost):
		r.claims.dropLease(r.lifetime, r.leaseID)
	}
	return claim.Unavailable{}
}

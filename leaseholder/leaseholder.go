// Package leaseholder executes the commands of core/lease against a key-value
// store.
package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/store"
)

// Store is the part of a key-value store's client that a lease needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (store.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	RenewLease(ctx context.Context, id string) error
	RevokeLease(ctx context.Context, id string) error
}

// Keys holds the two store keys of a lease, described in core/lease.
type Keys struct {
	Holder string
	Fence  string
}

// Eras is an optional interface of a Store that may come back from an older copy of
// itself.
type Eras interface {
	// Era returns the highest era that an answer of the store has named.
	Era() int64
}

// Era returns the era of a store; 0 for one without eras.
func Era(s Store) int64 {
	if s, ok := s.(Eras); ok {
		return s.Era()
	}
	return 0
}

// Execute executes a command and returns the resulting event; nil when the command
// has none. The lease is lost if the store has entered another era than that to which
// the command is bound.
func Execute(ctx context.Context, s Store, keys Keys, c lease.Command) lease.Event {
	ev := execute(ctx, s, keys, c)
	if era := c.BoundEra(); ev != nil && era > 0 && era != Era(s) {
		return lease.Failed{Call: c.CallNumber(), Cause: lease.CauseLeaseExpired}
	}
	return ev
}

func execute(ctx context.Context, s Store, keys Keys, c lease.Command) lease.Event {
	switch c := c.(type) {
	case lease.Grant:
		granted, err := s.GrantLease(ctx, c.TTL)
		if err != nil {
			return failed(c.Call, err)
		}
		return lease.Granted{Call: c.Call, LeaseID: granted.ID, Era: granted.Era}
	case lease.WriteHolder:
		_, err := SwapJSON(ctx, s, keys.Holder, 0, c.Holder, c.LeaseID)
		return done(c.Call, err)
	case lease.ReadHolder:
		var holder lease.Holder
		revision, err := ReadJSON(ctx, s, keys.Holder, &holder)
		if err != nil {
			return failed(c.Call, err)
		}
		if revision == 0 {
			return lease.HolderRead{Call: c.Call}
		}
		return lease.HolderRead{Call: c.Call, Holder: &holder}
	case lease.ReadFence:
		var fence lease.Fence
		revision, err := ReadJSON(ctx, s, keys.Fence, &fence)
		if err != nil {
			return failed(c.Call, err)
		}
		return lease.FenceRead{Call: c.Call, Fence: fence, Revision: revision}
	case lease.WriteFence:
		_, err := SwapJSON(ctx, s, keys.Fence, c.Revision, c.Fence, "")
		return done(c.Call, err)
	case lease.Renew:
		return done(c.Call, s.RenewLease(ctx, c.LeaseID))
	case lease.Revoke:
		// A lease that is not revoked expires by itself.
		_ = s.RevokeLease(ctx, c.LeaseID)
	}
	return nil
}

// done returns the event for a call without a result.
func done(call int64, err error) lease.Event {
	if err != nil {
		return failed(call, err)
	}
	return lease.Done{Call: call}
}

// failed returns the event for a call that failed.
func failed(call int64, err error) lease.Event {
	cause := lease.CauseUnavailable
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		cause = lease.CauseUnknown
	case errors.Is(err, store.ErrConflict):
		cause = lease.CauseConflict
	case errors.Is(err, store.ErrLeaseLost):
		cause = lease.CauseLeaseExpired
	}
	return lease.Failed{Call: call, Cause: cause}
}

// ReadJSON decodes a key's value into out and returns its revision; 0 without
// an error when the key does not exist.
func ReadJSON(ctx context.Context, s Store, key string, out any) (revision int64, err error) {
	entry, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, errors.Wrapf(json.Unmarshal(entry.Value, out), "decode %s", key)
}

// SwapJSON writes a key if its revision is unchanged, 0 meaning that it does
// not exist, and returns the new revision. A leaseID of "" attaches no lease.
func SwapJSON(ctx context.Context, s Store, key string, revision int64, in any, leaseID string) (int64, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", key)
	}
	entry, err := s.CompareAndSwap(ctx, key, revision, raw, leaseID)
	return entry.Revision, err
}

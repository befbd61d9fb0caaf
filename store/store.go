// Package store is the typed client of the platform's key-value service:
// compare-and-swap, leases, watches and the list of live instances.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the platform's service stores.
const MaxValueBytes = 1 << 20

// Typed results of a failed call. Use errors.Is; the wrapped error carries the
// step and the peer.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform write outcome unknown")
	// ErrConflict means that the revision compared against is not current.
	ErrConflict = errors.New("platform revision conflict")
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("platform key not found")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform value too large")
	// ErrRateLimited means that the service refused the call before acting.
	ErrRateLimited = errors.New("platform rate limited")
	// ErrLeaseLost means that the lease has lapsed or was never granted.
	ErrLeaseLost = errors.New("platform lease lost")
)

// Result is the outcome of a call as a metric's label.
type Result string

// Results of a call. A conflict, an absent key and an unchanged value are
// answers of a service that works.
const (
	ResultOK          Result = "ok"
	ResultUnavailable Result = "unavailable"
	ResultUnknown     Result = "unknown"
	ResultRateLimited Result = "rate_limited"
	ResultLeaseLost   Result = "lease_lost"
	ResultTooLarge    Result = "too_large"
)

// Results lists every result, so that counters can be registered at zero.
func Results() []Result {
	return []Result{ResultOK, ResultUnavailable, ResultUnknown, ResultRateLimited, ResultLeaseLost, ResultTooLarge}
}

// ResultOf returns the result of a call that ended with err.
func ResultOf(err error) Result {
	switch {
	case errors.Is(err, ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, ErrOutcomeUnknown):
		return ResultUnknown
	case errors.Is(err, ErrRateLimited):
		return ResultRateLimited
	case errors.Is(err, ErrLeaseLost):
		return ResultLeaseLost
	case errors.Is(err, ErrTooLarge):
		return ResultTooLarge
	default:
		return ResultOK
	}
}

// Entry is one value with its revision.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with every write to the service; 0 means absent.
	Revision int64 `json:"revision"`
}

// Lease is a granted lease. Keys written under it disappear when it lapses.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl_ns"`
}

// InstanceInfo is one row of the platform's lagging list of instances.
type InstanceInfo struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Store is the platform's service as the rest of the program uses it.
type Store interface {
	// Get returns the entry of a key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is still revision (0:
	// absent) and returns the new entry. leaseID is optional. With ErrConflict
	// the entry's revision is the current one where the service tells it.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (Entry, error)
	// CompareAndDelete removes the key if its revision is still revision.
	CompareAndDelete(ctx context.Context, key string, revision int64) error
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease by its TTL or returns ErrLeaseLost.
	RenewLease(ctx context.Context, id string) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, id string) error
	// Watch blocks until the key's revision exceeds after, or until wait has
	// passed, and returns the present entry.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
	// Instances returns the platform's lagging list of instances.
	Instances(ctx context.Context) ([]InstanceInfo, error)
}

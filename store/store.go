// Package store is the client of the platform's key-value service:
// compare-and-swap, leases, watches and the list of live instances.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the platform's service stores.
const MaxValueBytes = 1 << 20

// Errors of a failed call, to be compared with errors.Is. The returned errors
// wrap them with the call and the service's address.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform write outcome unknown")
	// ErrConflict means that the revision compared against is not current.
	ErrConflict = errors.New("platform revision conflict")
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("platform key not found")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform value too large")
	// ErrRateLimited means that the call was rejected before it had any effect.
	ErrRateLimited = errors.New("platform rate limited")
	// ErrLeaseLost means that the lease has expired or was never granted.
	ErrLeaseLost = errors.New("platform lease lost")
)

// Result is the outcome of a call as a metric label.
type Result string

// Results of a call. A conflict, an absent key and an unchanged value count as
// ResultOK, since the service works.
const (
	ResultOK             Result = "ok"
	ResultUnavailable    Result = "unavailable"
	ResultOutcomeUnknown Result = "unknown"
	ResultRateLimited    Result = "rate_limited"
	ResultLeaseLost      Result = "lease_lost"
	ResultTooLarge       Result = "too_large"
)

// Results returns every result, so that counters can be registered at zero.
func Results() []Result {
	return []Result{ResultOK, ResultUnavailable, ResultOutcomeUnknown, ResultRateLimited, ResultLeaseLost, ResultTooLarge}
}

// ResultOf returns the result of a call that returned err.
func ResultOf(err error) Result {
	switch {
	case errors.Is(err, ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, ErrOutcomeUnknown):
		return ResultOutcomeUnknown
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

// Entry is the value of a key with its revision.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with every write to the service. 0 means that the key
	// is absent.
	Revision int64 `json:"revision"`
}

// Lease is a granted lease. Keys written under it are removed when it expires.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl_ns"`
	// Era is the store's era in which it was granted.
	Era int64 `json:"-"`
}

// InstanceInfo is one row of the platform's list of instances, which may be
// outdated.
type InstanceInfo struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// Store is the interface to the platform's key-value service.
type Store interface {
	// Get returns the entry of a key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's revision is still revision (0:
	// absent) and returns the new entry. leaseID is optional. With ErrConflict,
	// the entry's revision is the current one if the service reports it.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (Entry, error)
	// CompareAndDelete removes the key if its revision is still revision, and
	// returns ErrConflict if it differs.
	CompareAndDelete(ctx context.Context, key string, revision int64) error
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease by its TTL or returns ErrLeaseLost.
	RenewLease(ctx context.Context, id string) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, id string) error
	// Watch blocks until the key's revision exceeds after or until wait has
	// passed, and returns the current entry.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
	// Instances returns the platform's list of instances, which may be
	// outdated.
	Instances(ctx context.Context) ([]InstanceInfo, error)
}

package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the history after the requested revision is no longer
// available, or too long. The current entries must be read again.
var ErrCompacted = errors.New("platform history is gone")

// ErrNoAnswer means that no answer to a read came in time. It wraps
// ErrUnavailable.
var ErrNoAnswer = errors.Wrap(ErrUnavailable, "no answer in time")

// Change is one change of a key.
type Change struct {
	Entry
	// Deleted reports that the key was removed. Value is empty then.
	Deleted bool
}

// Batch is what is known of the changes after a revision.
type Batch struct {
	Changes []Change
	// Revision is the revision up to which the changes are complete.
	Revision int64
	// Age is how long ago they were last known to be complete; 0 for an answer
	// of the store itself.
	Age time.Duration
}

// PrefixReader reads and watches all keys with a prefix.
type PrefixReader interface {
	// Range returns the entries with the prefix whose key satisfies keep, and the
	// revision up to which they are at least current.
	Range(ctx context.Context, prefix string, keep func(key string) bool) ([]Entry, int64, error)
	// WatchPrefix returns the changes after a revision, as soon as there is one
	// or after wait, and the revision from which to continue. It returns
	// ErrCompacted if the history after that revision is gone, or so long that the
	// current entries are read sooner.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
}

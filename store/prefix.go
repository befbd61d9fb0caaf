package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted means that the history after the revision asked for is gone;
// the present entries have to be read anew.
var ErrCompacted = errors.New("platform history is gone")

// Change is one change of a key.
type Change struct {
	Entry
	// Deleted tells that the key was removed; Value is empty then.
	Deleted bool
}

// PrefixReader reads and follows all keys with a prefix.
type PrefixReader interface {
	// Range returns all entries with the prefix and the revision up to which
	// they are at least current.
	Range(ctx context.Context, prefix string) ([]Entry, int64, error)
	// WatchPrefix returns the changes after a revision, as soon as there is
	// one or after wait, and the revision to continue from.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
}

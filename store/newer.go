package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrNotChanged means that a key still has the revision that the reader knows.
var ErrNotChanged = errors.New("platform value not changed")

// NewerReader is an optional interface of a Store that omits a value which the
// reader already has. Otherwise a configuration of some hundred kilobytes that
// is read every few seconds would exceed an instance's budget of 22 KB/s.
type NewerReader interface {
	// ReadNewer returns the entry as soon as its revision exceeds known. After
	// wait it returns the current entry if its revision differs from known, and
	// ErrNotChanged otherwise. A wait of 0 returns at once.
	ReadNewer(ctx context.Context, key string, known int64, wait time.Duration) (Entry, error)
}

var _ NewerReader = (*Client)(nil)

// ReadNewer implements NewerReader.
func (c *Client) ReadNewer(ctx context.Context, key string, known int64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"key":     {key},
		"after":   {strconv.FormatInt(known, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"omit":    {"1"},
	}
	out, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode(), wait: wait})
	return Entry{Key: key, Value: out.Value, Revision: out.Revision}, err
}

// ReadNewer calls the store's ReadNewer if it implements NewerReader, and
// otherwise Watch or Get.
func ReadNewer(ctx context.Context, s Store, key string, known int64, wait time.Duration) (Entry, error) {
	if reader, ok := s.(NewerReader); ok {
		return reader.ReadNewer(ctx, key, known, wait)
	}
	var entry Entry
	var err error
	if wait > 0 {
		entry, err = s.Watch(ctx, key, known, wait)
	} else {
		entry, err = s.Get(ctx, key)
	}
	if err == nil && entry.Revision == known {
		return Entry{}, ErrNotChanged
	}
	return entry, err
}

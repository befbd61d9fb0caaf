package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Body is the JSON body of every call to the platform's HTTP interface.
type Body struct {
	Key      string         `json:"key,omitempty"`
	Value    []byte         `json:"value,omitempty"`
	Revision int64          `json:"revision,omitempty"`
	LeaseID  string         `json:"lease_id,omitempty"`
	TTL      time.Duration  `json:"ttl_ns,omitempty"`
	Entries  []Entry        `json:"entries,omitempty"`
	List     []InstanceInfo `json:"instances,omitempty"`
}

// maxBodyBytes bounds a response body: a list of entries of the largest size
// in base64 would exceed it, so List is used on prefixes with small values.
const maxBodyBytes = 16 << 20

// Client is the HTTP adapter of Store. Each call has a timeout and passes a
// local rate limiter. An attempt is repeated only when it certainly had no
// effect.
type Client struct {
	base   string
	http   *http.Client
	limits Limits
	reads  *limiter
	writes *limiter
	// observe may be nil.
	observe func(call string, result Result)
}

// SetObserver sets a function that is told of each attempt: the call, such as
// "GET /v1/kv", and its result. It is set before the first call.
func (c *Client) SetObserver(observe func(call string, result Result)) { c.observe = observe }

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:7000", with DefaultLimits.
func NewClient(base string, httpClient *http.Client) *Client {
	return NewLimitedClient(base, httpClient, DefaultLimits())
}

// NewLimitedClient returns a client with the given limits.
func NewLimitedClient(base string, httpClient *http.Client, limits Limits) *Client {
	return &Client{
		base: base, http: httpClient, limits: limits,
		reads: newLimiter(limits.ReadsPerSecond), writes: newLimiter(limits.WritesPerSecond),
	}
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	out, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv?key=" + url.QueryEscape(key)})
	return Entry{Key: key, Value: out.Value, Revision: out.Revision}, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	out, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/list?prefix=" + url.QueryEscape(prefix)})
	return out.Entries, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "compare-and-swap %s: %d bytes", key, len(value))
	}
	in := &Body{Key: key, Value: value, Revision: revision, LeaseID: leaseID}
	out, err := c.call(ctx, request{method: http.MethodPut, path: "/v1/kv", in: in})
	return Entry{Key: key, Value: value, Revision: out.Revision}, err
}

// CompareAndDelete implements Store.
func (c *Client) CompareAndDelete(ctx context.Context, key string, revision int64) error {
	_, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/kv", in: &Body{Key: key, Revision: revision}})
	return err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	out, err := c.call(ctx, request{method: http.MethodPost, path: "/v1/lease", in: &Body{TTL: ttl}})
	return Lease{ID: out.LeaseID, TTL: ttl}, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	_, err := c.call(ctx, request{method: http.MethodPut, path: "/v1/lease", in: &Body{LeaseID: id}})
	return err
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	_, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/lease", in: &Body{LeaseID: id}})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error) {
	query := url.Values{
		"key":     {key},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	out, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode(), wait: wait})
	return Entry{Key: key, Value: out.Value, Revision: out.Revision}, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]InstanceInfo, error) {
	out, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/instances"})
	return out.List, err
}

// request is one call; in is set for writes only.
type request struct {
	method string
	path   string
	in     *Body
	// wait is how long the service may hold the answer back.
	wait time.Duration
}

func (r request) write() bool { return r.in != nil }

// step names the call in errors, without the query, which may hold a key.
func (r request) step() string {
	path, _, _ := strings.Cut(r.path, "?")
	return r.method + " " + path
}

const (
	// maxAttempts bounds the attempts of a call that certainly had no effect.
	maxAttempts = 3
	// firstPause is the mean wait before the second attempt; it doubles.
	firstPause = 50 * time.Millisecond
)

// call sends one request and repeats it while that certainly does no harm:
// a read always, a write only after ErrUnavailable or ErrRateLimited.
func (c *Client) call(ctx context.Context, r request) (Body, error) {
	pause := firstPause
	for attempt := 1; ; attempt++ {
		out, err := c.attempt(ctx, r)
		if c.observe != nil {
			c.observe(r.step(), ResultOf(err))
		}
		certain := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
		if err == nil || !certain || attempt == maxAttempts || ctx.Err() != nil {
			return out, err
		}
		// Jitter keeps instances that failed together from returning together.
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
			return out, err
		}
		pause *= 2
	}
}

func (c *Client) attempt(ctx context.Context, r request) (Body, error) {
	ctx, stop := context.WithTimeout(ctx, c.limits.CallTimeout+r.wait)
	defer stop()
	bucket := c.reads
	if r.write() {
		bucket = c.writes
	}
	if !bucket.take(ctx) {
		return Body{}, errors.Wrapf(ErrRateLimited, "%s at %s: local limit", r.step(), c.base)
	}
	req, err := r.build(ctx, c.base)
	if err != nil {
		return Body{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Body{}, errors.Wrapf(ClassifySendError(err, r.write()), "%s at %s: %v", r.step(), c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out Body
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		return Body{}, errors.Wrapf(LostAnswerError(r.write()), "%s at %s: read answer: %v", r.step(), c.base, err)
	}
	if cause := statusError(resp.StatusCode, r.write()); cause != nil {
		if resp.StatusCode == http.StatusConflict {
			// The current revision is a hint; an answer without it is a
			// conflict all the same.
			_ = json.Unmarshal(raw, &out)
		}
		return out, errors.Wrapf(cause, "%s at %s: status %d", r.step(), c.base, resp.StatusCode)
	}
	return out, nil
}

func (r request) build(ctx context.Context, base string) (*http.Request, error) {
	var body io.Reader
	if r.in != nil {
		raw, err := json.Marshal(r.in)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: encode", r.step())
		}
		// Hiding the buffer's type leaves GetBody unset, so the HTTP
		// library cannot resend a write on its own.
		body = io.NopCloser(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, body)
	return req, errors.Wrapf(err, "%s at %s", r.step(), base)
}

// ClassifySendError tells a connection that was never made, over which nothing was
// sent, from any other failure.
func ClassifySendError(err error, write bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return LostAnswerError(write)
}

// LostAnswerError is the error of a call whose answer did not arrive: a read had no
// effect, a write may have had.
func LostAnswerError(write bool) error {
	if write {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

func statusError(status int, write bool) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrNotChanged
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseLost
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return LostAnswerError(write)
	}
}

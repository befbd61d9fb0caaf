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

// Body is the JSON body of the requests and responses of the platform's HTTP
// interface.
type Body struct {
	Key       string         `json:"key,omitempty"`
	Value     []byte         `json:"value,omitempty"`
	Revision  int64          `json:"revision,omitempty"`
	LeaseID   string         `json:"lease_id,omitempty"`
	TTL       time.Duration  `json:"ttl_ns,omitempty"`
	Entries   []Entry        `json:"entries,omitempty"`
	Instances []InstanceInfo `json:"instances,omitempty"`
}

// maxBodyBytes limits a response body. A list of entries of the maximum size in
// base64 would exceed it, so List is used on prefixes with small values.
const maxBodyBytes = 16 << 20

// Client implements Store over HTTP. Each call has a timeout and passes a local
// rate limiter. An attempt is retried only if it certainly had no effect.
type Client struct {
	base   string
	http   *http.Client
	limits Limits
	reads  *limiter
	writes *limiter
	// observe is called after each attempt; it may be nil.
	observe func(call string, result Result)
}

// SetObserver sets a function that is called after each attempt with the call,
// such as "GET /v1/kv", and its result. It must be set before the first call.
func (c *Client) SetObserver(observe func(call string, result Result)) { c.observe = observe }

// NewClient returns a client of the service at the base URL, such as
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
	out, err := c.call(ctx, request{method: http.MethodPut, path: "/v1/kv", body: in})
	return Entry{Key: key, Value: value, Revision: out.Revision}, err
}

// CompareAndDelete implements Store.
func (c *Client) CompareAndDelete(ctx context.Context, key string, revision int64) error {
	_, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/kv", body: &Body{Key: key, Revision: revision}})
	return err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	out, err := c.call(ctx, request{method: http.MethodPost, path: "/v1/lease", body: &Body{TTL: ttl}})
	return Lease{ID: out.LeaseID, TTL: ttl}, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	_, err := c.call(ctx, request{method: http.MethodPut, path: "/v1/lease", body: &Body{LeaseID: id}})
	return err
}

// RevokeLease implements Store.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	_, err := c.call(ctx, request{method: http.MethodDelete, path: "/v1/lease", body: &Body{LeaseID: id}})
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
	return out.Instances, err
}

// request is one call. Its body is set for writes only.
type request struct {
	method string
	path   string
	body   *Body
	// wait is how long the service may delay its answer.
	wait time.Duration
}

func (r request) isWrite() bool { return r.body != nil }

// name returns the call's method and path for error messages, without the
// query, which may contain a key.
func (r request) name() string {
	path, _, _ := strings.Cut(r.path, "?")
	return r.method + " " + path
}

const (
	// maxAttempts is the maximum number of attempts of a call that had no
	// effect.
	maxAttempts = 3
	// initialBackoff is the mean delay before the second attempt. It doubles
	// with each further attempt.
	initialBackoff = 50 * time.Millisecond
)

// call sends one request and retries it while that is certainly harmless: after
// ErrUnavailable or ErrRateLimited.
func (c *Client) call(ctx context.Context, r request) (Body, error) {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		out, err := c.attempt(ctx, r)
		if c.observe != nil {
			c.observe(r.name(), ResultOf(err))
		}
		noEffect := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
		if err == nil || !noEffect || attempt == maxAttempts || ctx.Err() != nil {
			return out, err
		}
		// Jitter keeps instances that failed together from retrying together.
		select {
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-ctx.Done():
			return out, err
		}
		backoff *= 2
	}
}

// attempt sends a request once and returns the decoded response. Its error
// wraps one of the package's errors unless the request cannot be built.
func (c *Client) attempt(ctx context.Context, r request) (Body, error) {
	ctx, stop := context.WithTimeout(ctx, c.limits.CallTimeout+r.wait)
	defer stop()
	bucket := c.reads
	if r.isWrite() {
		bucket = c.writes
	}
	if !bucket.wait(ctx) {
		return Body{}, errors.Wrapf(ErrRateLimited, "%s at %s: local rate limit", r.name(), c.base)
	}
	req, err := r.newHTTPRequest(ctx, c.base)
	if err != nil {
		return Body{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Body{}, errors.Wrapf(ClassifySendError(err, r.isWrite()), "%s at %s: %v", r.name(), c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out Body
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		return Body{}, errors.Wrapf(LostAnswerError(r.isWrite()), "%s at %s: read answer: %v", r.name(), c.base, err)
	}
	if cause := statusError(resp.StatusCode, r.isWrite()); cause != nil {
		if resp.StatusCode == http.StatusConflict {
			// The current revision is optional in the response to a conflict.
			_ = json.Unmarshal(raw, &out)
		}
		return out, errors.Wrapf(cause, "%s at %s: status %d", r.name(), c.base, resp.StatusCode)
	}
	return out, nil
}

// newHTTPRequest returns the HTTP request of the call.
func (r request) newHTTPRequest(ctx context.Context, base string) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		raw, err := json.Marshal(r.body)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: encode", r.name())
		}
		// Hiding the buffer's type leaves GetBody unset, so that net/http
		// cannot resend a write on its own.
		body = io.NopCloser(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, body)
	return req, errors.Wrapf(err, "%s at %s", r.name(), base)
}

// ClassifySendError returns ErrUnavailable if err is a failure to connect,
// after which nothing was sent, and LostAnswerError(write) otherwise.
func ClassifySendError(err error, write bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return LostAnswerError(write)
}

// LostAnswerError returns the error of a call whose answer did not arrive:
// ErrUnavailable for a read, which had no effect, and ErrOutcomeUnknown for a
// write, which may have had one.
func LostAnswerError(write bool) error {
	if write {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// statusError returns the error for an HTTP status, or nil for 200.
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

package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout = 2 * time.Second
	// bufferBytes is the size of a connection's read buffer. Each open stream
	// holds one connection, its events are small, and larger pieces bypass the
	// buffer.
	bufferBytes = 1 << 10
	// maxHeaderBytes bounds the headers of an upstream's answer.
	maxHeaderBytes = 64 << 10
)

// Transport sends each request once, over a connection of its own. Compared
// with the library's pooling transport a request costs one more round trip,
// but an error before the connection is made is certain to be "never sent",
// nothing is resent on a pooled connection that turns out to be closed, and an
// open stream holds no goroutines, which is a quarter of its memory. The zero
// value is ready to use; safe for concurrent use.
type Transport struct{}

// NewTransport returns a transport for engines and services.
func NewTransport() *Transport { return &Transport{} }

// dialError is a failure before a connection was made.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

// neverSent tells that an error occurred before anything could be sent.
func neverSent(err error) bool {
	var failed dialError
	return errors.As(err, &failed)
}

// RoundTrip implements http.RoundTripper for URLs with the scheme http.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// The stall timeout finds a dead peer sooner than TCP keep-alive would.
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, dialError{err}
	}
	// Ends blocked reads and writes when the context ends.
	stop := context.AfterFunc(req.Context(), func() { _ = conn.Close() })
	resp, err := exchange(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &connBody{Reader: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange sends a request and reads the answer's headers.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	limited := &io.LimitedReader{R: conn, N: maxHeaderBytes}
	in := bufio.NewReaderSize(limited, bufferBytes)
	for {
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer's headers")
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			limited.N = math.MaxInt64
			return resp, nil
		}
	}
}

// connBody is an answer's body that ends with its connection. The inner body
// is not closed, because that would read it to its end.
type connBody struct {
	io.Reader
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}

// opaqueBody is a request body of which the library knows nothing but that it
// can be read once. http.NewRequest then leaves GetBody unset, so that the
// library cannot send the body a second time. Close frees the body, which would
// otherwise stay in memory as long as the answer's stream.
type opaqueBody struct{ content atomic.Pointer[bytes.Reader] }

// Read implements io.Reader.
func (b *opaqueBody) Read(p []byte) (int, error) {
	if content := b.content.Load(); content != nil {
		return content.Read(p)
	}
	return 0, http.ErrBodyReadAfterClose
}

// Close implements io.Closer.
func (b *opaqueBody) Close() error {
	b.content.Store(nil)
	return nil
}

// newRequest builds a request whose body cannot be sent twice.
func newRequest(ctx context.Context, method, url string, content []byte) (*http.Request, error) {
	if len(content) == 0 {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	body := &opaqueBody{}
	body.content.Store(bytes.NewReader(content))
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(content))
	return req, nil
}

// watchdog cancels a context when one wait for the upstream takes too long. It
// counts only while the client waits, so that a slow reader of the answer does
// not count as a stalled upstream. Its timer is not touched at each wait,
// because streams wait once per token.
type watchdog struct {
	limit  time.Duration
	cancel context.CancelCauseFunc
	base   time.Time
	// since is when the current wait began, in nanoseconds after base; -1 means
	// that the client does not wait.
	since  atomic.Int64
	closed atomic.Bool
	timer  *time.Timer
}

// newWatchdog returns a watchdog whose first wait has begun.
func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{limit: limit, cancel: cancel, base: time.Now()}
	// check reads the field timer, which must be set before the timer runs.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(limit)
	return w
}

func (w *watchdog) start() { w.since.Store(int64(time.Since(w.base))) }
func (w *watchdog) stop()  { w.since.Store(-1) }

// close ends the watch.
func (w *watchdog) close() {
	w.closed.Store(true)
	w.timer.Stop()
}

// check runs when a wait that began at the last check would be too long.
func (w *watchdog) check() {
	if w.closed.Load() {
		return
	}
	next := w.limit
	if since := w.since.Load(); since >= 0 {
		next -= time.Since(w.base) - time.Duration(since)
	}
	if next <= 0 {
		w.cancel(ErrStalled)
		return
	}
	w.timer.Reset(next)
}

// watchedReader runs the watchdog during each read.
type watchedReader struct {
	dog *watchdog
	in  io.Reader
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	r.dog.start()
	defer r.dog.stop()
	return r.in.Read(p)
}

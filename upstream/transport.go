package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/httphead"
)

const (
	// dialTimeout bounds the time to connect to an upstream.
	dialTimeout = 2 * time.Second
	// readBufferBytes is the size of a connection's read buffer. It is small
	// because each open stream holds one and its events are small; larger reads
	// bypass the buffer.
	readBufferBytes = 1 << 10
	// maxHeaderBytes bounds the headers of an upstream's answer.
	maxHeaderBytes = 64 << 10
)

// Transport sends each request once, over a connection of its own. Compared with
// the library's pooling transport, a request costs one more round trip. In
// return, an error before the connection is made is certain to mean "never sent",
// nothing is resent on a pooled connection that turns out to be closed, and an
// open stream holds no goroutines, which would make up a quarter of its memory.
// The zero value is ready to use. Safe for concurrent use.
type Transport struct{}

// NewTransport returns a transport for engines and services.
func NewTransport() *Transport { return &Transport{} }

// dialError is an error that occurred before a connection was made.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

// neverSent reports whether an error occurred before anything could be sent.
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
	// Closing the connection unblocks reads and writes when the context ends.
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

// exchange sends a request over conn and reads the answer's headers.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	req.Close = true
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	resp, err := httphead.NewReader(conn, readBufferBytes).Next(req, maxHeaderBytes)
	return resp, errors.Wrap(err, "read answer's headers")
}

// connBody is an answer's body whose Close closes the connection. The inner body
// is not closed, because its Close would read it to the end.
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

// opaqueBody is a request body of a type that the HTTP library does not know.
// http.NewRequest then leaves GetBody unset, so that the library cannot send the
// body a second time. Close frees the content, which would otherwise stay in
// memory as long as the answer's stream.
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

// newRequest returns a request whose body cannot be sent twice.
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

// watchdog cancels a context with ErrStalled when one wait for the upstream
// exceeds a limit. Time counts only while the client waits, so that a slow reader
// of the answer does not count as a stalled upstream. The timer is not reset at
// each wait, because a stream waits once per token.
type watchdog struct {
	limit  time.Duration
	cancel context.CancelCauseFunc
	base   time.Time
	// since is when the current wait began, in nanoseconds after base, or -1
	// while the client does not wait.
	since  atomic.Int64
	closed atomic.Bool
	timer  *time.Timer
}

// newWatchdog returns a watchdog whose first wait begins now.
func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{limit: limit, cancel: cancel, base: time.Now()}
	// check uses w.timer, which must be set before the timer fires.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(limit)
	return w
}

// start begins a wait for the upstream and stop ends it.
func (w *watchdog) start() { w.since.Store(int64(time.Since(w.base))) }
func (w *watchdog) stop()  { w.since.Store(-1) }

// close stops the watchdog for good.
func (w *watchdog) close() {
	w.closed.Store(true)
	w.timer.Stop()
}

// check runs when the timer fires. It cancels the context if the current wait
// has exceeded the limit, and otherwise sets the timer to when it would.
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

// watchedReader is a reader that counts each read as a wait of the watchdog.
type watchedReader struct {
	watchdog *watchdog
	in       io.Reader
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	r.watchdog.start()
	defer r.watchdog.stop()
	return r.in.Read(p)
}

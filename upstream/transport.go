package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idlePerHost keeps connections for the streams of one busy engine.
	idlePerHost = 64
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of an upstream's answer.
	maxHeaderBytes = 64 << 10
)

// NewTransport returns a transport for engines: no proxy, no compression,
// bounded headers.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func newHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// opaqueBody hides the reader's type. http.NewRequest then leaves GetBody
// unset, so that the HTTP library cannot send the body a second time.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// newRequest builds a request whose body cannot be sent twice.
func newRequest(ctx context.Context, method, url string, body io.Reader, length int) (*http.Request, error) {
	if length == 0 {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, opaqueBody{body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(length)
	return req, nil
}

// attempt notes whether a connection was handed to a request. Until then
// nothing can have been sent; from then on the request may have run.
type attempt struct{ connected atomic.Bool }

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
}

// watchdog cancels a context when nothing has happened for a time. It runs
// only while the client waits for the upstream, so that a slow reader of the
// answer does not count as a stalled upstream.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, func() { cancel(ErrStalled) })}
}

func (w *watchdog) start() { w.timer.Reset(w.limit) }
func (w *watchdog) stop()  { w.timer.Stop() }

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

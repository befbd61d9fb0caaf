package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxServiceAnswerBytes bounds the body of a plain service's answer. The body is
// forwarded as it arrives and never held in memory as a whole.
const maxServiceAnswerBytes = 64 << 20

// ServiceClient calls plain services and never sends a call twice. Safe for
// concurrent use.
type ServiceClient struct {
	transport Transport
	// StallTimeout is the longest time that a service may send nothing. It must
	// be set before first use.
	StallTimeout time.Duration
}

// NewServiceClient returns a client with the default stall timeout.
func NewServiceClient() *ServiceClient {
	return &ServiceClient{StallTimeout: DefaultStallTimeout}
}

// Call is one HTTP request to a plain service.
type Call struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the open answer of a plain service. The caller reads its body once
// and closes it.
type Answer struct {
	Status    int
	Header    http.Header
	address   string
	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	body      io.Reader
	closer    io.Closer
	remaining int64 // bytes of the body that may still be read
}

// Call sends a request to the service at address (host:port) once and returns
// the open answer, whatever its status. Errors are of type *Error.
func (c *ServiceClient) Call(ctx context.Context, address string, in Call) (*Answer, error) {
	a := &Answer{address: address, remaining: maxServiceAnswerBytes}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.watchdog = newWatchdog(c.StallTimeout, a.cancel)
	req, err := newRequest(a.ctx, in.Method, "http://"+address+in.Path, in.Body)
	if err != nil {
		a.watchdog.close()
		a.cancel(nil)
		return nil, transportError(ctx, StepCall, address, true, err)
	}
	req.Header = in.Header
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		failed := transportError(a.ctx, StepCall, address, neverSent(err), err)
		a.watchdog.close()
		a.cancel(nil)
		return nil, failed
	}
	a.watchdog.stop()
	a.Status, a.Header, a.closer = resp.StatusCode, resp.Header, resp.Body
	a.body = &watchedReader{watchdog: a.watchdog, in: resp.Body}
	return a, nil
}

// Read implements io.Reader. Errors other than io.EOF are of type *Error.
func (a *Answer) Read(p []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, transportError(a.ctx, StepCall, a.address, false, ErrTooLarge)
	}
	n, err := a.body.Read(p[:min(int64(len(p)), a.remaining)])
	a.remaining -= int64(n)
	if err != nil && err != io.EOF {
		err = transportError(a.ctx, StepCall, a.address, false, err)
	}
	return n, err
}

// Close closes the connection of the call.
func (a *Answer) Close() {
	a.watchdog.close()
	a.cancel(nil)
	_ = a.closer.Close()
}

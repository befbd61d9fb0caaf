package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// maxServiceAnswerBytes bounds the answer of a plain service. The answer is
// passed on as it arrives and never held as a whole.
const maxServiceAnswerBytes = 64 << 20

// ServiceClient calls plain services and never sends a call twice. Safe for
// concurrent use.
type ServiceClient struct {
	transport Transport
	// StallTimeout is the longest silence of a service. It is set before first
	// use.
	StallTimeout time.Duration
}

// NewServiceClient returns a client.
func NewServiceClient() *ServiceClient {
	return &ServiceClient{StallTimeout: DefaultStallTimeout}
}

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a service's answer; its body is read once and closed.
type Answer struct {
	Status  int
	Header  http.Header
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	dog     *watchdog
	body    io.Reader
	close   io.Closer
	left    int64
}

// Call sends one request to the service at address (host:port), once. Errors
// are of type *Error.
func (c *ServiceClient) Call(ctx context.Context, address string, in Call) (*Answer, error) {
	a := &Answer{address: address, left: maxServiceAnswerBytes}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.dog = newWatchdog(c.StallTimeout, a.cancel)
	req, err := newRequest(a.ctx, in.Method, "http://"+address+in.Path, in.Body)
	if err != nil {
		a.dog.close()
		a.cancel(nil)
		return nil, transportError(ctx, StepCall, address, true, err)
	}
	req.Header = in.Header
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		failed := transportError(a.ctx, StepCall, address, neverSent(err), err)
		a.dog.close()
		a.cancel(nil)
		return nil, failed
	}
	a.dog.stop()
	a.Status, a.Header, a.close = resp.StatusCode, resp.Header, resp.Body
	a.body = &watchedReader{dog: a.dog, in: resp.Body}
	return a, nil
}

// Read implements io.Reader. Errors other than io.EOF are of type *Error.
func (a *Answer) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, transportError(a.ctx, StepCall, a.address, false, ErrTooLarge)
	}
	n, err := a.body.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	if err != nil && err != io.EOF {
		err = transportError(a.ctx, StepCall, a.address, false, err)
	}
	return n, err
}

// Close ends the call.
func (a *Answer) Close() {
	a.dog.close()
	a.cancel(nil)
	_ = a.close.Close()
}

package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ServiceClient calls plain services. It never sends a call twice: every call
// uses a fresh connection, because the HTTP library resends a request whose
// reused connection turns out to be closed.
type ServiceClient struct {
	http *http.Client
}

// NewServiceClient returns a client without connection reuse.
func NewServiceClient() *ServiceClient {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableKeepAlives = true
	return &ServiceClient{http: &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Call sends one request to the service at address (host:port). The caller
// closes the response's body.
func (c *ServiceClient) Call(ctx context.Context, address, method, path, contentType string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(body))
	if err != nil {
		return nil, errors.Wrapf(err, "call service %s", address)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := c.http.Do(req)
	return resp, errors.Wrapf(err, "call service %s", address)
}

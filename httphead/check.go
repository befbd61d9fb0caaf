package httphead

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// check returns an error that wraps ErrMalformed for an answer that net/http has read
// and that is none of HTTP/1. No request asks for another protocol, so that nothing is
// known of the bytes after the status 101.
func check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformed, "protocol %.20q", resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrMalformed, "status %.20q", resp.Status)
	}
	return nil
}

// Transport refuses malformed answers that Base, which has read them with net/http,
// returns.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base; http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

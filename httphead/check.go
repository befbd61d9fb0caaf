package httphead

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
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
	return checkNames(resp.Header)
}

// checkNames returns an error for a name of a field that is no token. net/http accepts
// blanks in names.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %.60q", name)
		}
	}
	return nil
}

// headLines checks the lines of a head as they arrive, for what http.ReadResponse does
// not show afterwards.
type headLines struct {
	// start holds the first n bytes of the line that is being received.
	start [maxLineStart]byte
	n     int
	// begun reports whether the status line has been received, and done whether the
	// whole head has.
	begun, done bool
	http10      bool
}

// maxLineStart is more than the length of any text that is looked for in a line.
const maxLineStart = 32

var (
	lineEnd          = []byte("\r")
	version10        = []byte("HTTP/1.0 ")
	transferEncoding = []byte("Transfer-Encoding")
)

// check checks the next bytes of the connection.
func (l *headLines) check(p []byte) error {
	for !l.done && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		l.n += copy(l.start[l.n:], line)
		if !ended {
			return nil
		}
		if err := l.checkLine(bytes.TrimSuffix(l.start[:l.n], lineEnd)); err != nil {
			return err
		}
		l.n, p = 0, rest
	}
	return nil
}

// checkLine checks the beginning of a line.
func (l *headLines) checkLine(line []byte) error {
	if !l.begun {
		l.begun, l.http10 = true, bytes.HasPrefix(line, version10)
		return nil
	}
	if len(line) == 0 {
		l.done = true
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		// net/http would append it to the value before.
		return errors.Wrap(ErrMalformed, "a line begins with a blank")
	}
	if name, _, _ := bytes.Cut(line, []byte(":")); l.http10 && bytes.EqualFold(name, transferEncoding) {
		// net/http would take the chunks for the body.
		return errors.Wrap(ErrMalformed, "Transfer-Encoding in an answer of HTTP/1.0")
	}
	return nil
}

// Transport refuses malformed answers that Base, which has read them with net/http,
// returns. It cannot tell a folded line from its first.
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
	resp.Body = &body{ReadCloser: resp.Body, answer: resp}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base; http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

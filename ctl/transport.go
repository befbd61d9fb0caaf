package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// caTransport is an HTTP transport that trusts the certificate authorities of a
// PEM file, or the system's if no file is named. The file is read at the first
// call.
type caTransport struct {
	caFile string
	once   sync.Once
	inner  http.RoundTripper
	err    error
}

// RoundTrip implements http.RoundTripper.
func (t *caTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.once.Do(func() { t.inner, t.err = t.load() })
	if t.err != nil {
		return nil, t.err
	}
	return t.inner.RoundTrip(r)
}

func (t *caTransport) load() (http.RoundTripper, error) {
	if t.caFile == "" {
		return http.DefaultTransport, nil
	}
	pem, err := os.ReadFile(t.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read -ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("-ca-file %s holds no certificate", t.caFile)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, ForceAttemptHTTP2: true}, nil
}

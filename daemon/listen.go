package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/bramleywick/bramleywick/settings"
)

const (
	// headerTimeout bounds the time that a client takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than that of common load balancers (60 s), so that
	// idle connections are closed by the balancer and not by the instance.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
)

// listen serves handler on address, with TLS if the settings have it for this
// purpose, and returns the server and its bound address.
func (d *Daemon) listen(purpose settings.Listener, address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", errors.Wrapf(err, "listen for %s on %s", purpose, address)
	}
	bound := listener.Addr().String()
	if purpose == settings.ListenerCallers && d.settings.MaxConnections > 0 {
		listener = netutil.LimitListener(listener, d.settings.MaxConnections)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(d.log.Named(string(purpose))),
	}
	files, secure := d.settings.TLS[purpose]
	if secure {
		certificate, err := newCertificate(files, d.log)
		if err != nil {
			_ = listener.Close()
			return nil, "", errors.Wrapf(err, "listen for %s", purpose)
		}
		server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certificate.get}
		go func() { _ = server.ServeTLS(listener, "", "") }()
	} else {
		go func() { _ = server.Serve(listener) }()
	}
	d.log.Info("listening", zap.String("for", string(purpose)), zap.String("address", bound), zap.Bool("tls", secure))
	return server, bound, nil
}

// listenSecondary serves handler on a listener that stays open until the callers'
// answers are finished. It returns the bound address.
func (d *Daemon) listenSecondary(purpose settings.Listener, address string, handler http.Handler) (string, error) {
	server, bound, err := d.listen(purpose, address, handler)
	if err != nil {
		return "", err
	}
	d.secondary = append(d.secondary, server)
	return bound, nil
}

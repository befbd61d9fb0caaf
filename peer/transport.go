package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// handshakeTimeout limits how long a connection without a verified certificate
// counts towards maxConns.
const handshakeTimeout = 2 * time.Second

// errCertificateInvalid closes a connection whose peer certificate is no longer
// valid. It wraps rpc.ErrShutdown, on which the caller retries over a new
// connection.
var errCertificateInvalid = errors.Wrap(rpc.ErrShutdown, "certificate of peer is no longer valid")

// Transport opens and accepts connections between instances. The zero value is
// plain TCP.
type Transport struct {
	// Dial opens a connection to a peer.
	Dial Dialer
	// WrapListener returns a listener that accepts the connections of another
	// one over this transport.
	WrapListener func(net.Listener) net.Listener
}

// Identity is the certificate that an instance presents and the certificate
// authorities that it trusts.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// IdentityFunc returns the current identity. It is called at every handshake,
// read and write. A changed identity must be a new pointer.
type IdentityFunc func() *Identity

// TLS returns a transport with mutual TLS: each side presents a certificate
// signed by an authority that the other side trusts. A changed identity applies
// to new connections at once. Open connections are kept unless the peer's
// certificate is not valid under the new identity. onReject is called for each
// incoming connection whose handshake fails; it may be nil.
func TLS(current IdentityFunc, onReject func(remote net.Addr, err error)) Transport {
	if onReject == nil {
		onReject = func(net.Addr, error) {}
	}
	server := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return serverConfig(current()), nil
		},
	}
	return Transport{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialTLS(ctx, address, current)
		},
		WrapListener: func(l net.Listener) net.Listener { return &tlsListener{l, server, current, onReject} },
	}
}

// serverConfig requires a client certificate. Session tickets are disabled, so
// that the certificate is verified for every connection.
func serverConfig(i *Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{i.Certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.Authorities, SessionTicketsDisabled: true,
	}
}

// dialTLS connects to a peer and verifies its certificate for the host in
// address.
func dialTLS(ctx context.Context, address string, current IdentityFunc) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of peer")
	}
	i := current()
	dialer := &tls.Dialer{Config: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{i.Certificate}, RootCAs: i.Authorities,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	options := x509.VerifyOptions{DNSName: host, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	return newTrustedConn(conn.(*tls.Conn), current, options, nil), nil
}

// tlsListener accepts connections and leaves the handshake to their first read
// or write, so that a slow handshake does not delay others.
type tlsListener struct {
	net.Listener
	config   *tls.Config
	current  IdentityFunc
	onReject func(net.Addr, error)
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	options := x509.VerifyOptions{KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	return newTrustedConn(tls.Server(conn, l.config), l.current, options, l.onReject), nil
}

// trustedConn transfers data only while the peer's certificate is valid under
// the current identity. A connection between peers lasts for days, possibly
// longer than the certificates with which it was opened.
type trustedConn struct {
	*tls.Conn
	current IdentityFunc
	// options state for which purpose the certificate is verified.
	options       x509.VerifyOptions
	onReject      func(net.Addr, error)
	handshakeOnce func() error

	mu sync.Mutex
	// verified is the identity under which the certificate was last found
	// valid; under that identity it stays valid until validUntil.
	verified   *Identity
	validUntil time.Time
}

func newTrustedConn(conn *tls.Conn, current IdentityFunc, options x509.VerifyOptions, onReject func(net.Addr, error)) *trustedConn {
	c := &trustedConn{Conn: conn, current: current, options: options, onReject: onReject}
	c.handshakeOnce = sync.OnceValue(c.handshake)
	return c
}

// handshake performs the TLS handshake within handshakeTimeout.
func (c *trustedConn) handshake() error {
	ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
	defer stop()
	err := c.HandshakeContext(ctx)
	if err != nil && c.onReject != nil {
		c.onReject(c.RemoteAddr(), err)
	}
	return err
}

// Read implements net.Conn. It verifies the certificate after waiting for data.
func (c *trustedConn) Read(p []byte) (int, error) {
	if err := c.handshakeOnce(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.peerTrusted() {
		return 0, errCertificateInvalid
	}
	return n, err
}

// Write implements net.Conn.
func (c *trustedConn) Write(p []byte) (int, error) {
	if err := c.handshakeOnce(); err != nil {
		return 0, err
	}
	if !c.peerTrusted() {
		return 0, errCertificateInvalid
	}
	return c.Conn.Write(p)
}

// peerTrusted reports whether the peer's certificate is valid. It verifies the
// certificate again when the identity has changed or the certificate has
// expired.
func (c *trustedConn) peerTrusted() bool {
	identity := c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if identity == c.verified && time.Now().Before(c.validUntil) {
		return true
	}
	chain := c.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return false
	}
	options := c.options
	options.Roots, options.Intermediates = identity.Authorities, x509.NewCertPool()
	for _, certificate := range chain[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return false
	}
	c.verified, c.validUntil = identity, chain[0].NotAfter
	return true
}

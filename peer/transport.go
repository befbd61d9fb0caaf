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

// handshakeTimeout bounds the time for which a connection without a verified
// certificate holds one of the maxConns places.
const handshakeTimeout = 2 * time.Second

// errDistrusted ends a connection whose certificate is no longer valid. It is
// rpc.ErrShutdown to the caller, who then repeats on a fresh connection.
var errDistrusted = errors.Wrap(rpc.ErrShutdown, "certificate of peer is no longer valid")

// Transport opens connections between instances. The zero value is plain TCP.
type Transport struct {
	// Dial opens a connection to a peer.
	Dial Dialer
	// WrapListener turns the listener for peers into one of this transport.
	WrapListener func(net.Listener) net.Listener
}

// Identity is the certificate that an instance presents and the authorities
// whose certificates it accepts.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// IdentityFunc returns the identity in use. It is asked at every handshake and at
// every read and write; a changed identity is another pointer.
type IdentityFunc func() *Identity

// TLS returns a transport on which both sides present a certificate that an
// authority of the other side has signed. A changed identity holds for new
// connections at once. Open ones go on, unless the certificate of the other
// side is no longer valid under it. refused is told of each connection that was
// not accepted; it may be nil.
func TLS(current IdentityFunc, refused func(remote net.Addr, err error)) Transport {
	if refused == nil {
		refused = func(net.Addr, error) {}
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
		WrapListener: func(l net.Listener) net.Listener { return &tlsListener{l, server, current, refused} },
	}
}

// serverConfig demands a certificate. Session tickets are off, so that every
// connection shows one that is valid at that time.
func serverConfig(i *Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{i.Certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.Authorities, SessionTicketsDisabled: true,
	}
}

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

// tlsListener accepts connections whose handshake takes place at the first
// read, so that a slow one does not keep others waiting.
type tlsListener struct {
	net.Listener
	config  *tls.Config
	current IdentityFunc
	refused func(net.Addr, error)
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	options := x509.VerifyOptions{KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	return newTrustedConn(tls.Server(conn, l.config), l.current, options, l.refused), nil
}

// trustedConn passes data only while the certificate of the other side is valid
// under the identity in use. A connection between peers lasts for days, longer
// than the certificates with which it was opened may.
type trustedConn struct {
	*tls.Conn
	current IdentityFunc
	// options state what the certificate is verified for.
	options x509.VerifyOptions
	refused func(net.Addr, error)
	shake   func() error

	mu sync.Mutex
	// verified is the identity under which the certificate was last found
	// valid, until when it stays valid under the same one.
	verified *Identity
	until    time.Time
}

func newTrustedConn(conn *tls.Conn, current IdentityFunc, options x509.VerifyOptions, refused func(net.Addr, error)) *trustedConn {
	c := &trustedConn{Conn: conn, current: current, options: options, refused: refused}
	c.shake = sync.OnceValue(c.handshake)
	return c
}

func (c *trustedConn) handshake() error {
	ctx, stop := context.WithTimeout(context.Background(), handshakeTimeout)
	defer stop()
	err := c.HandshakeContext(ctx)
	if err != nil && c.refused != nil {
		c.refused(c.RemoteAddr(), err)
	}
	return err
}

// Read implements net.Conn. It checks after the wait for data.
func (c *trustedConn) Read(p []byte) (int, error) {
	if err := c.shake(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.trusted() {
		return 0, errDistrusted
	}
	return n, err
}

// Write implements net.Conn.
func (c *trustedConn) Write(p []byte) (int, error) {
	if err := c.shake(); err != nil {
		return 0, err
	}
	if !c.trusted() {
		return 0, errDistrusted
	}
	return c.Conn.Write(p)
}

// trusted verifies the certificate again when the identity has changed or the
// certificate has expired.
func (c *trustedConn) trusted() bool {
	now := c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now == c.verified && time.Now().Before(c.until) {
		return true
	}
	chain := c.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return false
	}
	options := c.options
	options.Roots, options.Intermediates = now.Authorities, x509.NewCertPool()
	for _, i := range chain[1:] {
		options.Intermediates.AddCert(i)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return false
	}
	c.verified, c.until = now, chain[0].NotAfter
	return true
}

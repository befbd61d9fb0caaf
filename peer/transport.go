package peer

import (
	"context"
	"crypto/tls"
	"net"
)

// Transport opens connections between instances. The zero value is plain TCP.
type Transport struct {
	// Dial opens a connection to a peer.
	Dial Dialer
	// Wrap turns the listener for peers into one of this transport.
	Wrap func(net.Listener) net.Listener
}

// TLS returns a transport with mutual TLS. server must require and verify
// client certificates; client carries this instance's own certificate. Both may
// use the callbacks of tls.Config to reload certificates.
func TLS(server, client *tls.Config) Transport {
	dialer := &tls.Dialer{Config: client}
	return Transport{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Wrap: func(l net.Listener) net.Listener { return tls.NewListener(l, server) },
	}
}

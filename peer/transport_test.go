package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/peer"
)

// certificate returns a self-signed certificate for loopback and the pool that
// trusts it.
func certificate() (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	So(err, ShouldBeNil)
	parsed, err := x509.ParseCertificate(raw)
	So(err, ShouldBeNil)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, pool
}

// TestMutualTLS guards against an instance that talks to a peer without a
// certificate of the fleet.
func TestMutualTLS(t *testing.T) {
	Convey("With an instance that requires certificates", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		own, pool := certificate()
		transport := peer.TLS(
			&tls.Config{Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool},
			&tls.Config{Certificates: []tls.Certificate{own}, RootCAs: pool},
		)
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		m := (&network{faults: map[[2]string]fault{}}).start(ctx, t, "a1")
		So(m.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: "one"}), ShouldBeNil)
		listener := transport.Wrap(plain)
		go func() { _ = m.Serve(listener) }()
		defer func() { _ = listener.Close() }()
		ask := func(conn net.Conn, err error) error {
			if err != nil {
				return err
			}
			client := rpc.NewClient(conn)
			defer func() { _ = client.Close() }()
			return client.Call("Exchange.Config", peer.ConfigArgs{}, &peer.ConfigReply{})
		}
		address := plain.Addr().String()
		So(ask(transport.Dial(ctx, address)), ShouldBeNil)
		stranger, _ := certificate()
		for _, c := range []*tls.Config{{RootCAs: pool}, {RootCAs: pool, Certificates: []tls.Certificate{stranger}}} {
			So(ask(peer.TLS(nil, c).Dial(ctx, address)), ShouldNotBeNil)
		}
		So(ask(net.Dial("tcp", address)), ShouldNotBeNil)
		So(ask(peer.TLS(nil, &tls.Config{Certificates: []tls.Certificate{own}}).Dial(ctx, address)), ShouldNotBeNil)
	})
}

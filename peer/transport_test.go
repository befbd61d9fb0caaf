package peer_test

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/standin/ca"
)

// identity returns what an instance holds whose certificate the first authority
// signed and that trusts all of them.
func identity(valid time.Duration, signer *ca.Authority, trusted ...*ca.Authority) *peer.Identity {
	certificate, err := signer.Issue(1, valid)
	So(err, ShouldBeNil)
	return &peer.Identity{Certificate: certificate, Authorities: ca.Pool(append(trusted, signer)...)}
}

func always(i *peer.Identity) peer.Identities { return func() *peer.Identity { return i } }

// ask asks for the configuration in force on a new connection.
func ask(conn net.Conn, err error) error {
	if err != nil {
		return err
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	return client.Call("Exchange.Config", peer.ConfigArgs{}, &peer.ConfigReply{})
}

// TestMutualTLS guards against an instance that talks to a peer without a
// certificate of the fleet, and against a connection that outlives the
// certificate with which it was opened.
func TestMutualTLS(t *testing.T) {
	Convey("With an instance that requires certificates", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		fleetCA, err := ca.New("fleet")
		So(err, ShouldBeNil)
		otherCA, err := ca.New("other")
		So(err, ShouldBeNil)
		var server atomic.Pointer[peer.Identity]
		server.Store(identity(time.Hour, fleetCA))
		var refusals atomic.Int64
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		m := (&network{faults: map[[2]string]fault{}}).start(ctx, t, "a1")
		So(m.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: "one"}), ShouldBeNil)
		listener := peer.TLS(server.Load, func(net.Addr, error) { refusals.Add(1) }).Wrap(plain)
		go func() { _ = m.Serve(listener) }()
		defer func() { _ = listener.Close() }()
		address := plain.Addr().String()
		dial := func(i *peer.Identity) (net.Conn, error) {
			return peer.TLS(always(i), nil).Dial(ctx, address)
		}
		own := identity(time.Hour, fleetCA)

		Convey("only a peer of the fleet is answered", func() {
			So(ask(dial(own)), ShouldBeNil)
			So(refusals.Load(), ShouldEqual, 0)
			So(ask(dial(&peer.Identity{Authorities: ca.Pool(fleetCA)})), ShouldNotBeNil)
			So(ask(dial(identity(time.Hour, otherCA, fleetCA))), ShouldNotBeNil)
			So(ask(dial(identity(-time.Minute, fleetCA))), ShouldNotBeNil)
			So(ask(net.Dial("tcp", address)), ShouldNotBeNil)
			// The instance counts after its alert has left.
			So(eventually(5*time.Second, func() bool { return refusals.Load() == 4 }), ShouldBeLessThan, 5*time.Second)
		})
		Convey("a peer does not talk to a stranger", func() {
			So(ask(dial(identity(time.Hour, otherCA))), ShouldNotBeNil)
			// The certificate is for 127.0.0.1 only.
			elsewhere, err := net.Listen("tcp", "127.0.0.2:0")
			So(err, ShouldBeNil)
			listener := peer.TLS(server.Load, nil).Wrap(elsewhere)
			go func() { _ = m.Serve(listener) }()
			defer func() { _ = listener.Close() }()
			_, err = peer.TLS(always(own), nil).Dial(ctx, elsewhere.Addr().String())
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "valid for 127.0.0.1")
		})
		Convey("an open connection goes on while its certificate stays valid", func() {
			conn, err := dial(own)
			So(err, ShouldBeNil)
			client := rpc.NewClient(conn)
			call := func() error { return client.Call("Exchange.Config", peer.ConfigArgs{}, &peer.ConfigReply{}) }
			So(call(), ShouldBeNil)
			server.Store(identity(time.Hour, fleetCA, otherCA))
			So(call(), ShouldBeNil)
			server.Store(identity(time.Hour, otherCA))
			So(call(), ShouldNotBeNil)
			So(ask(dial(own)), ShouldNotBeNil)
		})
		Convey("an open connection ends when its certificate expires", func() {
			// Certificates state whole seconds.
			short := identity(2*time.Second, fleetCA)
			conn, err := dial(short)
			So(err, ShouldBeNil)
			client := rpc.NewClient(conn)
			call := func() error { return client.Call("Exchange.Config", peer.ConfigArgs{}, &peer.ConfigReply{}) }
			So(call(), ShouldBeNil)
			So(eventually(5*time.Second, func() bool { return call() != nil }), ShouldBeLessThan, 5*time.Second)
		})
		Convey("a silent connection does not keep its place", func() {
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			So(eventually(10*time.Second, func() bool { return refusals.Load() == 1 }), ShouldBeLessThan, 10*time.Second)
			_ = conn.Close()
		})
	})
}

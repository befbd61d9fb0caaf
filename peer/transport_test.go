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

// identity returns an identity with a certificate of signer that trusts signer
// and the given authorities.
func identity(valid time.Duration, signer *ca.Authority, trusted ...*ca.Authority) *peer.Identity {
	certificate, err := signer.Issue(1, valid)
	So(err, ShouldBeNil)
	return &peer.Identity{Certificate: certificate, Authorities: ca.Pool(append(trusted, signer)...)}
}

// TestMutualTLS guards against an instance that accepts a peer without a
// certificate of the fleet, and against a connection that stays open after the
// certificate with which it was opened has expired.
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
		var rejections atomic.Int64
		n := (&network{faults: map[[2]string]fault{}}).start(ctx, t, "a1")
		So(n.Offer(config.Record{Stamp: config.Stamp{Version: 1}, Text: "one"}), ShouldBeNil)
		serve := func(host string) string {
			plain, err := net.Listen("tcp", host+":0")
			So(err, ShouldBeNil)
			listener := peer.TLS(server.Load, func(net.Addr, error) { rejections.Add(1) }).WrapListener(plain)
			go func() { _ = n.Serve(listener) }()
			context.AfterFunc(ctx, func() { _ = listener.Close() })
			return plain.Addr().String()
		}
		address := serve("127.0.0.1")
		// call returns a function that makes a call over one connection.
		call := func(conn net.Conn, err error) func() error {
			if err != nil {
				return func() error { return err }
			}
			client := rpc.NewClient(conn)
			context.AfterFunc(ctx, func() { _ = client.Close() })
			return func() error { return client.Call("Exchange.Config", peer.ConfigArgs{}, &peer.ConfigReply{}) }
		}
		dial := func(i *peer.Identity, address string) func() error {
			return call(peer.TLS(func() *peer.Identity { return i }, nil).Dial(ctx, address))
		}
		within := func(holds func() bool) { So(eventually(9*time.Second, holds), ShouldBeLessThan, 9*time.Second) }
		own := identity(time.Hour, fleetCA)

		Convey("only a peer of the fleet is accepted, and a silent connection is closed", func() {
			So(dial(own, address)(), ShouldBeNil)
			So(dial(&peer.Identity{Authorities: ca.Pool(fleetCA)}, address)(), ShouldNotBeNil)
			So(dial(identity(time.Hour, otherCA, fleetCA), address)(), ShouldNotBeNil)
			So(dial(identity(-time.Minute, fleetCA), address)(), ShouldNotBeNil)
			So(call(net.Dial("tcp", address))(), ShouldNotBeNil)
			silent, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			within(func() bool { return rejections.Load() == 5 })
			_ = silent.Close()
		})
		Convey("a peer rejects a server of another authority or at another address", func() {
			So(dial(identity(time.Hour, otherCA), address)(), ShouldNotBeNil)
			So(dial(own, serve("127.0.0.2"))().Error(), ShouldContainSubstring, "valid for 127.0.0.1")
		})
		Convey("an open connection goes on exactly while its certificate is valid", func() {
			again, short := dial(own, address), dial(identity(2*time.Second, fleetCA), address)
			So(again(), ShouldBeNil)
			So(short(), ShouldBeNil)
			within(func() bool { return short() != nil })
			server.Store(identity(time.Hour, fleetCA, otherCA))
			So(again(), ShouldBeNil)
			server.Store(identity(time.Hour, otherCA))
			So(again(), ShouldNotBeNil)
		})
	})
}

package daemon_test

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/standin/ca"
	standin "github.com/bramleywick/bramleywick/standin/platform"
)

// TestPeerTLS guards against a peers' listener without TLS, one that trusts an
// unknown authority, and a change of certificates that interrupts a request, stops
// the exchange or needs a restart.
func TestPeerTLS(t *testing.T) {
	Convey("With three instances that require certificates", t, func() {
		defer daemon.SetCertificateCheckPeriod(20 * time.Millisecond)()
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		first, err := ca.New("first")
		So(err, ShouldBeNil)
		second, err := ca.New("second")
		So(err, ShouldBeNil)
		dir, serial := t.TempDir(), int64(0)
		issue := func(signer *ca.Authority, ids []string, trusted ...*ca.Authority) {
			for _, id := range ids {
				serial++
				So(ca.FilesIn(dir, id).Trust(trusted...), ShouldBeNil)
				So(ca.FilesIn(dir, id).Issue(signer, serial, time.Hour), ShouldBeNil)
			}
		}
		// mark calls Drains.Mark at a daemon with a new certificate.
		mark := func(d *daemon.Daemon, signer, trusted *ca.Authority) error {
			pair, err := signer.Issue(1, time.Hour)
			So(err, ShouldBeNil)
			identity := &peer.Identity{Certificate: pair, Authorities: ca.Pool(trusted)}
			conn, err := peer.TLS(func() *peer.Identity { return identity }, nil).Dial(ctx, d.Addresses.Peers)
			if err != nil {
				return err
			}
			client := rpc.NewClient(conn)
			defer func() { _ = client.Close() }()
			return client.Call("Drains.Mark", authority.Mark{Upstream: "engine-a0"}, &authority.Ack{})
		}
		s := newTestFleet(ctx, "a")
		s.adjust = func(c *settings.Settings) {
			f := ca.FilesIn(dir, string(c.Instance))
			c.TLS = map[settings.Listener]settings.TLS{settings.ListenerPeers: {
				CertificateFile: f.Certificate, KeyFile: f.Key, CAFile: f.Authorities,
			}}
		}
		ids := []string{"a1", "a2", "a3"}
		issue(first, ids, first)
		for _, id := range ids {
			s.start(id)
		}
		s.apply()
		checkDrain := func(id fleet.UpstreamID) {
			So(s.daemons[0].DrainUpstream(id), ShouldBeNil)
			So(s.eventually(departureBound, func(d *daemon.Daemon) bool {
				return upstreamStatus(d, id) == membership.UpstreamLeaving
			}), ShouldBeLessThan, departureBound)
		}

		Convey("the exchange works, also for an instance that starts without the platform; an untrusted one takes no part", func() {
			checkDrain("engine-a0")
			s.platform.SetFaults(standin.Faults{Down: true})
			seed := s.daemons[0].Addresses.Peers
			issue(first, []string{"a4"}, first)
			issue(second, []string{"a8"}, second)
			s.start("a4", seed)
			untrusted := []*daemon.Daemon{s.start("a8", seed)}
			s.adjust = nil
			untrusted = append(untrusted, s.start("a9", seed))
			s.daemons = s.daemons[:4]
			So(s.eventually(10*time.Second, ready), ShouldBeLessThan, 10*time.Second)
			for _, d := range untrusted {
				So(d.VersionsInForce(), ShouldHaveLength, 1)
				So(d.VersionsInForce()[0].Version, ShouldEqual, 0)
				So(ready(d), ShouldBeFalse)
			}
			for _, d := range s.daemons {
				So(len(d.Instances()), ShouldEqual, 3)
			}
			_, text := get(s.daemons[0].Addresses.Admin, "/metrics", "")
			So(text, ShouldNotContainSubstring, "bramleywick_peer_handshakes_refused_total 0")
			So(mark(s.daemons[0], second, first), ShouldNotBeNil)
		})
		Convey("a change of certificates and authority interrupts nothing", func() {
			l := s.load(40, 400)
			awaitMark := func(accepted bool, signer, trusted *ca.Authority) {
				So(s.eventually(5*time.Second, func(d *daemon.Daemon) bool {
					return (mark(d, signer, trusted) == nil) == accepted
				}), ShouldBeLessThan, 5*time.Second)
			}
			issue(first, ids, first, second)
			awaitMark(true, second, first)
			issue(second, ids, first, second)
			awaitMark(true, first, second)
			issue(second, ids, second)
			awaitMark(false, first, second)
			checkDrain("engine-a1")
			So(s.eventually(5*time.Second, func(d *daemon.Daemon) bool {
				return d.Instances()[0].Status == membership.InstanceLive && d.Instances()[1].Status == membership.InstanceLive
			}), ShouldBeLessThan, 5*time.Second)
			complete, broken := l.Stop()
			So(broken, ShouldEqual, 0)
			So(complete, ShouldBeGreaterThan, 0)
		})
	})
}

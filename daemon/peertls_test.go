package daemon_test

import (
	"context"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
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

// pki writes the files of the peers' listeners.
type pki struct {
	dir    string
	serial int64
}

func (p *pki) files(id string) settings.TLS {
	return settings.TLS{
		CertificateFile: filepath.Join(p.dir, id+".pem"), KeyFile: filepath.Join(p.dir, id+".key"),
		CAFile: filepath.Join(p.dir, id+".ca"),
	}
}

// issue gives an instance a new certificate.
func (p *pki) issue(id string, signer *ca.Authority) {
	p.serial++
	pair, err := signer.Issue(p.serial, time.Hour)
	So(err, ShouldBeNil)
	So(ca.Write(pair, p.files(id).CertificateFile, p.files(id).KeyFile), ShouldBeNil)
}

// trust replaces the authorities of an instance.
func (p *pki) trust(id string, trusted ...*ca.Authority) {
	So(os.WriteFile(p.files(id).CAFile, ca.PEM(trusted...), 0o600), ShouldBeNil)
}

// mark asks the peers' listener at an address to hold no engine; a nil identity
// means plain TCP. Only the answer matters.
func mark(address string, i *peer.Identity) error {
	conn, err := net.Dial("tcp", address)
	if i != nil {
		_ = conn.Close()
		conn, err = peer.TLS(func() *peer.Identity { return i }, nil).Dial(context.Background(), address)
	}
	if err != nil {
		return err
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	return client.Call("Drains.Mark", authority.Mark{Upstream: "engine-a0"}, &authority.Ack{})
}

func identityOf(signer *ca.Authority, trusted ...*ca.Authority) *peer.Identity {
	pair, err := signer.Issue(99, time.Hour)
	So(err, ShouldBeNil)
	return &peer.Identity{Certificate: pair, Authorities: ca.Pool(trusted...)}
}

// TestPeerTLS guards against a peers' listener that stays plain, one that
// believes a stranger, and a change of certificates that cuts a request, stops
// the exchange or needs a restart.
func TestPeerTLS(t *testing.T) {
	Convey("With three instances that require certificates", t, func() {
		defer daemon.CheckCertificatesEvery(20 * time.Millisecond)()
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		first, err := ca.New("first")
		So(err, ShouldBeNil)
		second, err := ca.New("second")
		So(err, ShouldBeNil)
		p := &pki{dir: t.TempDir()}
		s := newSite(ctx, "a")
		s.adjust = func(c *settings.Settings) {
			c.TLS = map[settings.Listener]settings.TLS{settings.ListenerPeers: p.files(string(c.Instance))}
		}
		ids := []string{"a1", "a2", "a3"}
		for _, id := range ids {
			p.issue(id, first)
			p.trust(id, first)
			s.start(id)
		}
		s.apply()
		fleetWide := func(id fleet.UpstreamID) {
			So(s.daemons[0].DrainUpstream(id), ShouldBeNil)
			So(s.eventually(departureBound, func(d *daemon.Daemon) bool {
				return status(d, id) == membership.UpstreamLeaving
			}), ShouldBeLessThan, departureBound)
		}

		Convey("the exchange works, also for an instance that starts without the platform", func() {
			fleetWide("engine-a0")
			s.platform.SetFaults(standin.Faults{Down: true})
			p.issue("a4", first)
			p.trust("a4", first)
			d := s.start("a4", s.daemons[0].Addresses.Peers)
			So(s.eventually(10*time.Second, ready), ShouldBeLessThan, 10*time.Second)
			So(d.VersionsInForce()[0].Version, ShouldEqual, 1)
		})
		Convey("a stranger learns nothing and pushes nothing", func() {
			So(mark(s.daemons[0].Addresses.Peers, nil), ShouldNotBeNil)
			So(mark(s.daemons[0].Addresses.Peers, &peer.Identity{Authorities: ca.Pool(first)}), ShouldNotBeNil)
			So(mark(s.daemons[0].Addresses.Peers, identityOf(second, first)), ShouldNotBeNil)
			s.platform.SetFaults(standin.Faults{Down: true})
			p.issue("a8", second)
			p.trust("a8", second)
			strangers := []*daemon.Daemon{s.start("a8", s.daemons[0].Addresses.Peers)}
			s.adjust = nil
			strangers = append(strangers, s.start("a9", s.daemons[0].Addresses.Peers))
			s.daemons = s.daemons[:3]
			time.Sleep(2500 * time.Millisecond)
			for _, d := range strangers {
				So(d.VersionsInForce()[0].Version, ShouldEqual, 0)
				So(ready(d), ShouldBeFalse)
				for _, i := range d.Instances() {
					So(i.Status, ShouldNotEqual, membership.InstanceLive)
				}
			}
			for _, d := range s.daemons {
				So(len(d.Instances()), ShouldEqual, 2)
			}
			_, text := get(s.daemons[0].Addresses.Admin, "/metrics", "")
			So(text, ShouldNotContainSubstring, "bramleywick_peer_handshakes_refused_total 0")
			So(mark(s.daemons[0].Addresses.Peers, identityOf(first, first)), ShouldBeNil)
		})
		Convey("a change of certificates and authority cuts nothing", func() {
			l := s.load(40, 400)
			refused := func(i *peer.Identity) func(d *daemon.Daemon) bool {
				return func(d *daemon.Daemon) bool { return mark(d.Addresses.Peers, i) != nil }
			}
			accepted := func(i *peer.Identity) func(d *daemon.Daemon) bool {
				return func(d *daemon.Daemon) bool { return mark(d.Addresses.Peers, i) == nil }
			}
			for _, id := range ids {
				p.trust(id, first, second)
			}
			So(s.eventually(5*time.Second, accepted(identityOf(second, first))), ShouldBeLessThan, 5*time.Second)
			for _, id := range ids {
				p.issue(id, second)
			}
			So(s.eventually(5*time.Second, accepted(identityOf(first, second))), ShouldBeLessThan, 5*time.Second)
			for _, id := range ids {
				p.trust(id, second)
			}
			So(s.eventually(5*time.Second, refused(identityOf(first, second))), ShouldBeLessThan, 5*time.Second)
			fleetWide("engine-a1")
			So(s.eventually(5*time.Second, func(d *daemon.Daemon) bool {
				live := 0
				for _, i := range d.Instances() {
					if i.Status == membership.InstanceLive {
						live++
					}
				}
				return live == 2
			}), ShouldBeLessThan, 5*time.Second)
			l.stop()
			So(l.broken.Load(), ShouldEqual, 0)
			So(l.whole.Load(), ShouldBeGreaterThan, 0)
		})
	})
}

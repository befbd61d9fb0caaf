package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/dev"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/standin/caller"
	"github.com/bramleywick/bramleywick/standin/engine"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// departureBound is the time within which every instance must know of a
// departure.
const departureBound = 3 * time.Second

// changeTime is how long an order takes a stand-in engine out of service.
const changeTime = 300 * time.Millisecond

// testFleet is a fleet of daemons with stand-ins for the platform and the engines.
type testFleet struct {
	ctx      context.Context
	platform *standin.Server
	engines  []*engine.Server
	// rows is the platform's list of instances.
	rows []store.InstanceInfo
	// declaration is the configuration text with all engines.
	declaration string
	daemons     []*daemon.Daemon
	// platformCut holds for each started daemon whether the platform is
	// unreachable for it.
	platformCut []*atomic.Bool
	// adjust changes a daemon's settings before it starts; it may be nil.
	adjust func(*settings.Settings)
	// unlisted keeps daemons that start from then on out of the platform's list.
	unlisted bool
}

// newTestFleet starts the platform and two engines in each data centre.
func newTestFleet(ctx context.Context, dcs ...string) *testFleet {
	s := &testFleet{ctx: ctx, platform: standin.New()}
	var text strings.Builder
	text.WriteString("[member shea]\nkey_sha256 = " + declare.HashKey(dev.MemberKey) + "\nkinds = ledger\n\n[kind ledger]\ngroup = language\nfirst_token = 1s\ntoken_gap = 74ms\ndeadline = 60s\nmax_prompt_tokens = 100000\nmax_output_tokens = 4000\nrepeatable = true\n\n[group language]\ntype = engine\nmodel = m\nroles = fixed\n")
	for _, dc := range dcs {
		for i := range 2 {
			e := engine.New(engine.Config{
				Incarnation: fleet.Incarnation(fmt.Sprint(dc, i)), TokenGap: 5 * time.Millisecond,
				Orders: &engine.Orders{Model: "m", ChangeTime: changeTime},
			})
			address, err := dev.Serve(ctx, "127.0.0.1:0", e.Handler())
			So(err, ShouldBeNil)
			s.engines = append(s.engines, e)
			fmt.Fprintf(&text, "\n[upstream engine-%s%d]\ngroup = language\naddress = %s\ndata_centre = %s\n", dc, i, address, dc)
		}
	}
	s.declaration = text.String()
	return s
}

// start runs a daemon whose data centre is the first letter of its name.
func (s *testFleet) start(id string, seeds ...string) *daemon.Daemon {
	cut := &atomic.Bool{}
	s.platformCut = append(s.platformCut, cut)
	handler := s.platform.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	context.AfterFunc(s.ctx, server.CloseClientConnections)
	config := &settings.Settings{
		Instance: fleet.InstanceID(id), DataCentre: fleet.DataCentre(id[:1]), Platform: server.URL, PeerSeeds: seeds,
		CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		OperatorKeyHashes: []string{declare.HashKey(dev.OperatorKey)}, DrainLimit: time.Second,
	}
	if s.adjust != nil {
		s.adjust(config)
	}
	d := daemon.New(config, zap.NewNop())
	So(d.Start(s.ctx), ShouldBeNil)
	s.rows = append(s.rows, store.InstanceInfo{ID: id, Address: d.Addresses.Peers, DataCentre: id[:1]})
	if !s.unlisted {
		s.platform.SetInstances(s.rows)
	}
	s.daemons = append(s.daemons, d)
	context.AfterFunc(s.ctx, d.Kill)
	return d
}

// load starts streams of each length through every daemon.
func (s *testFleet) load(tokens ...int) *caller.Load {
	var addresses []string
	for _, d := range s.daemons {
		addresses = append(addresses, d.Addresses.Callers)
	}
	return caller.StartLoad(dev.MemberKey, addresses, tokens...)
}

// applyText applies text as the next configuration version.
func (s *testFleet) applyText(text string) {
	So(dev.Apply(s.ctx, s.daemons[0].Addresses.Operators, text), ShouldBeNil)
}

// apply applies the declaration and waits until every daemon knows all others and
// sees all upstreams live.
func (s *testFleet) apply() {
	s.applyText(s.declaration)
	took := s.eventually(15*time.Second, func(d *daemon.Daemon) bool {
		return len(d.Instances()) == len(s.daemons)-1 && allUpstreams(d, membership.UpstreamLive)
	})
	for _, d := range s.daemons {
		if took == 15*time.Second {
			Printf("%s knows %+v and %+v\n", d.Addresses.Peers, d.Instances(), d.Upstreams())
		}
	}
	So(took, ShouldBeLessThan, 15*time.Second)
	time.Sleep(time.Second)
}

// allUpstreams reports whether a daemon sees all upstreams in the given status.
func allUpstreams(d *daemon.Daemon, status membership.UpstreamStatus) bool {
	ups := d.Upstreams()
	for _, u := range ups {
		if u.Status != status {
			return false
		}
	}
	return len(ups) > 0
}

func upstreamStatus(d *daemon.Daemon, id fleet.UpstreamID) membership.UpstreamStatus {
	for _, u := range d.Upstreams() {
		if u.ID == id {
			return u.Status
		}
	}
	return membership.UpstreamUnknown
}

// eventually waits until the condition holds at every daemon. It returns the time
// that this took, or limit.
func (s *testFleet) eventually(limit time.Duration, holds func(*daemon.Daemon) bool) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		done := true
		for _, d := range s.daemons {
			done = done && holds(d)
		}
		if done {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit
}

func ready(d *daemon.Daemon) bool {
	resp, err := http.Get("http://" + d.Addresses.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// TestDeparture guards against work sent to a leaving engine when the platform is
// down and only one instance learns of the departure.
func TestDeparture(t *testing.T) {
	for _, c := range []struct {
		name   string
		inform func(s *testFleet)
	}{
		{"an operator drains it at one instance", func(s *testFleet) {
			So(s.daemons[3].DrainUpstream("engine-a0"), ShouldBeNil)
		}},
		{"a single instance reads it from the platform's list", func(s *testFleet) {
			s.platformCut[3].Store(false)
			rows := append([]store.InstanceInfo{{ID: "engine-a0", Leaving: true}}, s.rows[1:]...)
			s.platform.SetInstances(rows)
			for upstreamStatus(s.daemons[3], "engine-a0") != membership.UpstreamLeaving && s.ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}},
		{"the engine itself announces it to its poller", func(s *testFleet) { s.engines[0].SetLeaving(true) }},
	} {
		Convey("With five instances in two data centres and the platform down: "+c.name, t, func() {
			ctx, stop := context.WithTimeout(context.Background(), time.Minute)
			defer stop()
			s := newTestFleet(ctx, "a", "b")
			s.rows = []store.InstanceInfo{{ID: "engine-a0"}}
			for _, id := range []string{"a1", "a2", "a3", "b1", "b2"} {
				s.start(id)
			}
			s.apply()
			for _, cut := range s.platformCut {
				cut.Store(true)
			}
			c.inform(s)
			took := s.eventually(departureBound, func(d *daemon.Daemon) bool {
				return upstreamStatus(d, "engine-a0") == membership.UpstreamLeaving
			})
			So(took, ShouldBeLessThan, departureBound)
			Printf("known everywhere after %v ", took.Round(time.Millisecond))

			Convey("and only a new incarnation is used again", func() {
				s.engines[0].SetLeaving(false)
				time.Sleep(1500 * time.Millisecond)
				for _, d := range s.daemons {
					So(upstreamStatus(d, "engine-a0"), ShouldEqual, membership.UpstreamLeaving)
				}
				s.engines[0].Restart("next")
				So(s.eventually(5*time.Second, func(d *daemon.Daemon) bool { return allUpstreams(d, membership.UpstreamLive) }),
					ShouldBeLessThan, 5*time.Second)
			})
		})
	}
}

// TestTakeover guards against upstreams that no instance polls after a crash, and
// against an instance that cannot start while the platform is down.
func TestTakeover(t *testing.T) {
	Convey("With three instances in one data centre", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		s := newTestFleet(ctx, "a")
		for _, id := range []string{"a1", "a2", "a3"} {
			s.start(id)
		}
		s.apply()
		s.platform.SetFaults(standin.Faults{Down: true})

		Convey("the killed poller's upstreams are polled by another and stay live", func() {
			victim := 0
			for i, d := range s.daemons {
				if d.Upstreams()[0].Polled {
					victim = i
				}
			}
			s.daemons[victim].Kill()
			s.daemons = append(s.daemons[:victim:victim], s.daemons[victim+1:]...)
			lost := false
			took := s.eventually(6*time.Second, func(d *daemon.Daemon) bool {
				lost = lost || !allUpstreams(d, membership.UpstreamLive)
				return s.daemons[0].Upstreams()[0].Polled || s.daemons[1].Upstreams()[0].Polled
			})
			So(took, ShouldBeLessThan, 6*time.Second)
			Printf("taken over after %v ", took.Round(time.Millisecond))
			s.eventually(3*time.Second, func(d *daemon.Daemon) bool {
				lost = lost || !allUpstreams(d, membership.UpstreamLive)
				return false
			})
			So(lost, ShouldBeFalse)
		})
		Convey("an instance that starts learns everything from one seed", func() {
			So(s.daemons[0].DrainUpstream("engine-a1"), ShouldBeNil)
			d := s.start("a4", s.daemons[1].Addresses.Peers)
			took := s.eventually(5*time.Second, func(d *daemon.Daemon) bool {
				return ready(d) && len(d.Instances()) == 3 && upstreamStatus(d, "engine-a1") == membership.UpstreamLeaving &&
					upstreamStatus(d, "engine-a0") == membership.UpstreamLive
			})
			So(took, ShouldBeLessThan, 5*time.Second)
			So(ready(d), ShouldBeTrue)
			Printf("ready after %v ", took.Round(time.Millisecond))
		})
		Convey("an instance that stops as planned hands its polling over at once", func() {
			stopped := s.daemons[0]
			s.daemons = s.daemons[1:]
			go func() { _ = stopped.Stop() }()
			So(s.eventually(2*time.Second, func(*daemon.Daemon) bool {
				for i := range 2 {
					if !s.daemons[0].Upstreams()[i].Polled && !s.daemons[1].Upstreams()[i].Polled {
						return false
					}
				}
				return true
			}), ShouldBeLessThan, 2*time.Second)
		})
	})
}

package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/budget"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/quarantine"
)

// fakeLinks are links in a given state.
type fakeLinks struct{ trusted bool }

func (l *fakeLinks) Direct() bool  { return l.trusted }
func (l *fakeLinks) Trusted() bool { return l.trusted }

func TestPartitionSaysNothingOfServers(t *testing.T) {
	Convey("While an instance may be partitioned from all servers", t, func() {
		links, reached := &fakeLinks{trusted: true}, false
		s := NewState(placement.Config{Instance: "a"}, budget.Config{})
		g := New(Options{State: s, Links: links, ProveLinks: func(time.Time, string) bool { return reached }, Log: zap.NewNop()})
		server := placement.Server{ID: "s", Group: "g", Slots: 4, StartTime: 1}
		s.ServersChanged([]placement.Server{server, {ID: "t", Group: "g", Slots: 4, StartTime: 1}})
		available := func() bool {
			s.choosePlain("g", "r", restriction{})
			return s.fleet.Available("s")
		}
		fail := func() {
			for range placement.EjectorConfig.ConsecutiveFailures {
				s.recordFailure("s")
				s.recordOverdue("s")
			}
		}
		Convey("its failures don't count against servers", func() {
			links.trusted = false
			fail()
			So(available(), ShouldBeTrue)
			links.trusted = true
			fail()
			So(available(), ShouldBeFalse)
			Convey("and those right before are taken back", func() {
				s.LinksPartitioned()
				So(available(), ShouldBeTrue)
			})
		})
		Convey("it learns no speeds", func() {
			pace := func() float64 {
				s.learnDecode("s", &call.Request{}, 2, 50*time.Millisecond)
				return s.Snapshot(func(fleet.InstanceID) bool { return true }).Work["s"].Pace
			}
			links.trusted = false
			So(pace(), ShouldEqual, 0)
			links.trusted = true
			So(pace(), ShouldEqual, 50)
		})
		Convey("a refused connection is not the end of a process", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			closed := l.Addr().String()
			So(l.Close(), ShouldBeNil)
			victim := quarantine.Victim{Request: "r", Service: "g", Parts: []string{"part"}}
			crashes := func() int {
				So(s.requestBroken(server.Process(), victim), ShouldBeTrue)
				g.checkServer(server.Process(), closed)
				_, n, _ := s.QuarantineCounts()
				return n
			}
			So(crashes(), ShouldEqual, 0)
			reached = true
			So(crashes(), ShouldEqual, 1)
			So(s.attemptAbandoned(fleet.Process{Server: "t", StartTime: 1}, victim), ShouldBeTrue)
			g.checkAbandoned(fleet.Process{Server: "t", StartTime: 1}, closed)
			_, n, _ := s.QuarantineCounts()
			So(n, ShouldEqual, 2)
		})
	})
}

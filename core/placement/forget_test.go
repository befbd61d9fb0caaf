package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func TestForgetFailures(t *testing.T) {
	Convey("Failures that a partition of this instance caused are taken back", t, func() {
		f := New(Config{})
		f.SetServers([]Server{{ID: "old", Group: "g"}, {ID: "a", Group: "g"}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}})
		fail := func(now fleet.Instant, ids ...fleet.UpstreamID) {
			for _, id := range ids {
				f.RecordFailure(id, now)
				f.RecordFailure(id, now)
			}
		}
		fail(time.Second, "old")
		cut := fleet.Instant(1200 * time.Millisecond)
		fail(cut, "a", "b")
		f.RecordOverdue("c", cut)
		now := cut + 10*time.Millisecond
		available := func() (ids []fleet.UpstreamID) {
			f.ChoosePlain("g", "r", now, nil)
			for _, id := range []fleet.UpstreamID{"old", "a", "b", "c"} {
				if f.Available(id) {
					ids = append(ids, id)
				}
			}
			return ids
		}
		So(available(), ShouldResemble, []fleet.UpstreamID{"c"})
		f.ForgetFailures(cut)
		So(available(), ShouldResemble, []fleet.UpstreamID{"a", "b", "c"})
		for _, id := range []fleet.UpstreamID{"a", "b", "c"} {
			So(f.servers[id].recentFailureRate(now), ShouldEqual, 0)
		}
		So(f.servers["old"].recentFailureRate(now), ShouldBeGreaterThan, 0)
	})
}

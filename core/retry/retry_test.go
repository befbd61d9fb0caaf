package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestDecide guards against a second run of a call that is not repeatable, and
// against unbounded retries.
func TestDecide(t *testing.T) {
	Convey("Failed attempts", t, func() {
		good := Attempt{Group: "g", Failures: 1, Repeatable: true, Remaining: time.Second}
		for _, c := range []struct {
			name   string
			change func(*Attempt)
			want   Denial
		}{
			{"repeatable", func(*Attempt) {}, ""},
			{"not repeatable, may have run", func(a *Attempt) { a.Repeatable = false }, DenyNotRepeatable},
			{"not repeatable, never sent", func(a *Attempt) { a.Repeatable, a.NeverSent = false, true }, ""},
			{"final", func(a *Attempt) { a.Permanent = true }, DenyPermanent},
			{"too many", func(a *Attempt) { a.Failures = DefaultConfig.MaxAttempts }, DenyAttempts},
			{"no time left", func(a *Attempt) { a.Remaining = time.Millisecond }, DenyDeadline},
		} {
			Convey(c.name, func() {
				a := good
				c.change(&a)
				So(NewPolicy(DefaultConfig, 1).Decide(a).Denial, ShouldEqual, c.want)
			})
		}
		Convey("the budget of a group runs out, recovers, and is the group's own", func() {
			p := NewPolicy(DefaultConfig, 1)
			for range int(DefaultConfig.MaxBudget) {
				So(p.Decide(good).Allowed(), ShouldBeTrue)
			}
			So(p.Decide(good).Denial, ShouldEqual, DenyBudget)
			other := good
			other.Group = "h"
			So(p.Decide(other).Allowed(), ShouldBeTrue)
			for range 11 {
				p.CountRequest("g")
			}
			So(p.Decide(good).Allowed(), ShouldBeTrue)
			So(p.Decide(good).Denial, ShouldEqual, DenyBudget)
		})
		Convey("delays differ, grow and stay within their bound", func() {
			p := NewPolicy(DefaultConfig, 1)
			So(p.backoff(1), ShouldNotEqual, p.backoff(1))
			for n := 1; n < 12; n++ {
				So(p.backoff(n), ShouldBeBetweenOrEqual, DefaultConfig.BaseDelay/2, DefaultConfig.MaxDelay)
			}
		})
	})
}

// TestEjector guards against new work for a failing upstream, against the
// ejection of a whole group, and against full load on an upstream that has just
// returned.
func TestEjector(t *testing.T) {
	groups := map[fleet.UpstreamID]fleet.GroupName{"a": "g", "b": "g", "c": "g", "d": "g"}
	Convey("With four upstreams of one group", t, func() {
		e := NewEjector(DefaultEjectorConfig)
		e.Configure(groups)
		eject := func(id fleet.UpstreamID, now fleet.Instant) {
			for range DefaultEjectorConfig.ConsecutiveFailures {
				e.AttemptStarted(id)
				e.RecordFailure(id, now)
				e.AttemptEnded(id)
			}
		}
		Convey("answers between failures keep an upstream", func() {
			for range 10 {
				e.RecordFailure("a", 0)
				e.RecordSuccess("a")
			}
			So(e.TakeChanges(0), ShouldBeEmpty)
		})
		Convey("at most half of the group is ejected", func() {
			for id := range groups {
				eject(id, 0)
			}
			So(len(e.TakeChanges(0)), ShouldEqual, 2)
		})
		Convey("an upstream returns gradually", func() {
			eject("a", 0)
			So(e.TakeChanges(0), ShouldResemble, []AvailabilityChange{{"a", false}})
			So(e.TakeChanges(DefaultEjectorConfig.BaseDuration-1), ShouldBeEmpty)
			now := DefaultEjectorConfig.BaseDuration
			So(e.TakeChanges(now), ShouldResemble, []AvailabilityChange{{"a", true}})
			e.AttemptStarted("a")
			So(e.TakeChanges(now), ShouldResemble, []AvailabilityChange{{"a", false}})
			e.RecordSuccess("a")
			e.AttemptEnded("a")
			So(e.TakeChanges(now), ShouldResemble, []AvailabilityChange{{"a", true}})
			e.AttemptStarted("a")
			So(e.TakeChanges(now), ShouldBeEmpty)
			e.AttemptStarted("a")
			So(e.TakeChanges(now), ShouldResemble, []AvailabilityChange{{"a", false}})

			Convey("one failure ejects it again, for longer", func() {
				e.RecordFailure("a", now)
				So(e.Ejected(), ShouldEqual, 1)
				So(e.TakeChanges(now+DefaultEjectorConfig.BaseDuration), ShouldBeEmpty)
				So(e.TakeChanges(now+2*DefaultEjectorConfig.BaseDuration), ShouldResemble, []AvailabilityChange{{"a", true}})
			})
		})
	})
}

package budget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestShared checks the bound over all instances in every sliding window, for
// any arrival of requests and failures, without communication between
// instances.
func TestShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 56.0
		window := 10 * time.Second
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(Config{Window: window, Ratio: ratio, Slack: slack}, instances)
		}
		type event struct {
			at    fleet.Instant
			extra bool
		}
		var events []event
		var now fleet.Instant
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("s", now)
				events = append(events, event{now, false})
			} else if b.Spend("s", now) {
				events = append(events, event{now, true})
			}
		}
		for i := range events {
			first, extra := 0, 0
			// The requests of the window before count as well as its own.
			for j := i; j >= 0 && events[j].at > events[i].at-window-window/buckets; j-- {
				if !events[j].extra {
					first++
				}
			}
			for j := i; j >= 0 && events[j].at > events[i].at-window; j-- {
				if events[j].extra {
					extra++
				}
			}
			if float64(extra) > ratio*float64(first)+slack {
				t.Fatalf("%d extra requests beside %d at %v", extra, first, events[i].at)
			}
		}
	})
}

func TestQuietService(t *testing.T) {
	Convey("After a pause longer than the window the count starts anew", t, func() {
		b := New(Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}, 10)
		taken := 0
		for b.Spend("s", time.Second) {
			taken++
		}
		So(taken, ShouldEqual, 4)
		So(b.Spend("s", time.Minute), ShouldBeTrue)
	})
	Convey("A growing number of instances never raises the share", t, func() {
		b := New(Config{Window: 10 * time.Second, Ratio: 0, Slack: 50}, 2)
		b.SetInstances(50)
		b.SetInstances(1)
		So(b.Spend("s", 0), ShouldBeFalse)
	})
}

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
			retry bool
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
			requests, retries := 0, 0
			// Budget counts one bucket more than the window, so that requests
			// up to that much older count too.
			for j := i; j >= 0 && events[j].at > events[i].at-window-window/buckets; j-- {
				if !events[j].retry {
					requests++
				}
			}
			for j := i; j >= 0 && events[j].at > events[i].at-window; j-- {
				if events[j].retry {
					retries++
				}
			}
			if float64(retries) > ratio*float64(requests)+slack {
				t.Fatalf("%d retries with %d callers' requests at %v", retries, requests, events[i].at)
			}
		}
	})
}

func TestQuietService(t *testing.T) {
	Convey("After a pause longer than the window the count starts at zero", t, func() {
		b := New(Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}, 10)
		spent := 0
		for b.Spend("s", time.Second) {
			spent++
		}
		So(spent, ShouldEqual, 4)
		So(b.Spend("s", time.Minute), ShouldBeTrue)
	})
	Convey("A lower number of instances does not raise the instance's part of the slack", t, func() {
		b := New(Config{Window: 10 * time.Second, Ratio: 0, Slack: 50}, 2)
		b.SetInstances(50)
		b.SetInstances(1)
		So(b.Spend("s", 0), ShouldBeFalse)
	})
}

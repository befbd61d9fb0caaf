package listing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestDepartureHolds guards against a server that has said that it leaves and
// comes back into use because of an older view: the store's entry, a complete
// listing, another instance, or the removal and return of its entry.
func TestDepartureHolds(t *testing.T) {
	Convey("A process that has said in an answer that it leaves", t, func() {
		l := New(Config{SuspectTime: time.Second})
		for _, id := range []string{"a", "b", "c"} {
			l.Put(entry(id, 5, 1, false).at(1), 0)
		}
		l.Depart(fleet.Process{Server: "a", StartTime: 5}, SourceAnswer, 0, 0)
		So(usable(l, 0), ShouldEqual, "bc")
		So(len(l.TakeLearned()), ShouldEqual, 1)

		Convey("stays out of use when its entry still says that it serves", func() {
			l.Put(entry("a", 5, 2, false).at(2), time.Second)
			So(usable(l, time.Second), ShouldEqual, "bc")
		})
		Convey("stays so when the whole store is read", func() {
			l.Replace([]Entry{entry("a", 5, 2, false).at(2), entry("b", 5, 2, false).at(3)}, 4, 0, 0)
			So(usable(l, 0), ShouldEqual, "b")
		})
		Convey("stays so when most entries are lost and written again", func() {
			for _, id := range []string{"a", "b", "c"} {
				l.Remove(fleet.UpstreamID(id), 2, 0)
			}
			So(usable(l, 0), ShouldEqual, "bc")
			l.Put(entry("a", 5, 3, false).at(3), 0)
			So(usable(l, 0), ShouldEqual, "bc")
		})
		Convey("is told apart from its successor, whatever the clock of that one", func() {
			for _, start := range []int64{6, 4} {
				l.Put(entry("a", start, 1, false).at(10+start), 0)
				So(usable(l, 0), ShouldEqual, "abc")
			}
		})
		Convey("is learned once, and reported as long as asked for", func() {
			l.Depart(fleet.Process{Server: "a", StartTime: 5}, SourcePeer, 0, time.Second)
			So(l.TakeLearned(), ShouldBeEmpty)
			So(len(l.Departures(3*time.Second, 2*time.Second)), ShouldEqual, 1)
			So(l.Departures(3*time.Second, 4*time.Second), ShouldBeEmpty)
		})
		Convey("is not reported when the store says so itself", func() {
			l.Put(entry("b", 5, 2, true).at(2), 0)
			So(len(l.Departures(time.Second, 0)), ShouldEqual, 1)
		})
	})
	Convey("A departure of a process that is not listed yet counts when it is", t, func() {
		l := New(Config{})
		l.Depart(fleet.Process{Server: "a", StartTime: 5}, SourcePeer, time.Second, 0)
		l.Put(entry("a", 5, 1, false).at(1), 0)
		So(usable(l, 0), ShouldBeEmpty)
	})
	Convey("The departures known are bounded, and those of listed servers are kept", t, func() {
		l := New(Config{})
		l.Put(entry("a", 5, 1, false).at(1), 0)
		l.Depart(fleet.Process{Server: "a", StartTime: 5}, SourceAnswer, 0, 0)
		for n := range 2 * maxDepartures {
			l.Depart(fleet.Process{Server: fleet.UpstreamID(fmt.Sprint("x", n))}, SourcePeer, 0, fleet.Instant(n+1))
		}
		So(len(l.departures), ShouldEqual, maxDepartures)
		So(usable(l, 0), ShouldBeEmpty)
		So(len(l.Departures(time.Hour, 0)), ShouldEqual, maxReported)
	})
}

// TestDepartureSpreads guards against instances that go on using a server because
// another one was told that it leaves: each learns it within three exchanges, in a
// mesh and through hubs, and the reports end.
func TestDepartureSpreads(t *testing.T) {
	const interval, reported = 100 * time.Millisecond, 3 * time.Second
	for _, c := range []struct{ instances, centres int }{{1, 1}, {8, 3}, {195, 3}, {390, 11}} {
		Convey(fmt.Sprintf("%d instances in %d data centres", c.instances, c.centres), t, func() {
			lists := make([]*List, c.instances)
			for i := range lists {
				lists[i] = New(Config{})
				lists[i].Put(entry("a", 5, 1, false).at(1), 0)
			}
			report := func(from, to int, now fleet.Instant) {
				for _, d := range lists[from].Departures(reported, now) {
					lists[to].Depart(d.Process, SourcePeer, d.Age, now)
				}
			}
			exchange := func(a, b int, now fleet.Instant) { report(a, b, now); report(b, a, now) }
			// The first instance of each data centre is its hub.
			hub := func(i int) int { return i % c.centres }
			last := c.instances - 1
			lists[last].Depart(fleet.Process{Server: "a", StartTime: 5}, SourceAnswer, 0, 0)
			for round := range 3 {
				now := fleet.Instant(round) * interval
				for i := range lists {
					if hub(i) != i {
						exchange(i, hub(i), now)
					}
				}
				for i := range min(c.centres, c.instances) {
					for j := range i {
						exchange(i, j, now)
					}
				}
			}
			for i, l := range lists {
				So(usable(l, 0), ShouldBeEmpty)
				So(l.Departures(reported, reported), ShouldBeEmpty)
				So(i, ShouldBeLessThan, c.instances)
			}
		})
	}
}

package listing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

func entry(id string, startTime, heartbeat int64, leaving bool) Entry {
	return Entry{Server: placement.Server{ID: fleet.UpstreamID(id), Group: "g", StartTime: startTime, Leaving: leaving}, Heartbeat: heartbeat}
}

// usable returns the ids of the servers that may get new requests.
func usable(l *List, now fleet.Instant) string {
	ids := ""
	for _, s := range l.Servers(now) {
		if !s.Leaving {
			ids += string(s.ID)
		}
	}
	return ids
}

func TestPut(t *testing.T) {
	Convey("Entries that arrive out of order", t, func() {
		for _, c := range []struct {
			name    string
			entries []Entry
			want    string
		}{
			{"a later heartbeat counts", []Entry{entry("a", 5, 1, false), entry("a", 5, 2, true)}, ""},
			{"an earlier heartbeat does not", []Entry{entry("a", 5, 2, true), entry("a", 5, 1, false)}, ""},
			{"a process that leaves does not come back", []Entry{entry("a", 5, 2, true), entry("a", 5, 3, false)}, ""},
			{"its successor under the same id does", []Entry{entry("a", 5, 2, true), entry("a", 6, 1, false)}, "a"},
			{"an entry of the preceding process does not", []Entry{entry("a", 6, 1, false), entry("a", 5, 9, true)}, "a"},
		} {
			Convey(c.name, func() {
				l := New(Config{SuspectTime: time.Second})
				for _, e := range c.entries {
					l.Put(e)
				}
				So(usable(l, 0), ShouldEqual, c.want)
			})
		}
	})
}

func TestRemoval(t *testing.T) {
	Convey("With four servers", t, func() {
		l := New(Config{SuspectTime: time.Second})
		for _, id := range []string{"a", "b", "c", "d"} {
			l.Put(entry(id, 1, 1, false))
		}
		Convey("one that is removed gets no new requests at once", func() {
			l.Remove("a", 0)
			So(usable(l, 0), ShouldEqual, "bcd")
		})
		Convey("all stay usable for a while when most entries are removed at once", func() {
			for _, id := range []fleet.UpstreamID{"a", "b", "c"} {
				l.Remove(id, 0)
			}
			So(usable(l, time.Second/2), ShouldEqual, "abcd")
			l.Put(entry("a", 1, 2, false))
			So(usable(l, 2*time.Second), ShouldEqual, "ad")
			So(l.HasRemoved(), ShouldBeFalse)
		})
		Convey("one that is out of use stays so when others are removed too", func() {
			l.Remove("a", 0)
			So(usable(l, 0), ShouldEqual, "bcd")
			l.Remove("b", 0)
			l.Remove("c", 0)
			So(usable(l, time.Second/2), ShouldEqual, "bcd")
		})
		Convey("the doubt of a loss begins with the removal, also for who learns of it late", func() {
			l.Remove("a", -time.Second/2)
			l.Remove("b", -time.Second/2)
			So(usable(l, time.Second/2), ShouldEqual, "abcd")
			So(usable(l, time.Second/2+1), ShouldEqual, "cd")
		})
		Convey("a leaving server is dropped at once", func() {
			l.Put(entry("a", 1, 2, true))
			for _, id := range []fleet.UpstreamID{"a", "b", "c", "d"} {
				l.Remove(id, 0)
			}
			So(usable(l, 0), ShouldEqual, "bcd")
		})
		Convey("a complete listing removes the entries that it lacks", func() {
			l.Replace([]Entry{entry("a", 1, 1, false), entry("b", 1, 1, false), entry("c", 1, 1, false)}, 0)
			So(usable(l, 0), ShouldEqual, "abc")
		})
	})
}

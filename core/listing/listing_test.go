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

// at returns the entry as written at a revision.
func (e Entry) at(revision int64) Entry {
	e.Revision = revision
	return e
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
			{"a later heartbeat counts", []Entry{entry("a", 5, 1, false).at(1), entry("a", 5, 2, true).at(2)}, ""},
			{"an earlier heartbeat does not", []Entry{entry("a", 5, 2, true).at(1), entry("a", 5, 1, false).at(2)}, ""},
			{"an earlier revision does not", []Entry{entry("a", 5, 2, false).at(2), entry("a", 5, 3, true).at(1)}, "a"},
			{"a process that leaves does not come back", []Entry{entry("a", 5, 2, true).at(1), entry("a", 5, 3, false).at(2)}, ""},
			{"its successor under the same id does", []Entry{entry("a", 5, 2, true).at(1), entry("a", 6, 1, false).at(2)}, "a"},
			{"its successor whose clock is earlier does too", []Entry{entry("a", 5, 2, true).at(1), entry("a", 4, 1, false).at(2)}, "a"},
			{"the leaving of a successor whose clock is earlier counts", []Entry{entry("a", 5, 2, false).at(1), entry("a", 4, 1, true).at(2)}, ""},
			{"an entry of the preceding process that comes late does not", []Entry{entry("a", 6, 1, false).at(2), entry("a", 5, 9, true).at(1)}, "a"},
			{"a write of the preceding process that is done late does not", []Entry{entry("a", 5, 8, false).at(1), entry("a", 6, 1, false).at(2), entry("a", 5, 9, true).at(3)}, "a"},
			{"two such writes with one of the process between them do not", []Entry{
				entry("a", 5, 8, false).at(1), entry("a", 6, 1, false).at(2), entry("a", 5, 9, true).at(3), entry("a", 6, 2, false).at(4), entry("a", 5, 10, true).at(5),
			}, "a"},
			{"a late write of a process that was not known holds until the next of the present one", []Entry{
				entry("a", 6, 1, false).at(1), entry("a", 5, 9, true).at(2), entry("a", 6, 2, false).at(3),
			}, "a"},
			{"a successor with an earlier clock counts again after a late write of the one before it", []Entry{
				entry("a", 6, 8, false).at(1), entry("a", 5, 1, false).at(2), entry("a", 6, 9, true).at(3), entry("a", 5, 2, false).at(4), entry("a", 5, 3, false).at(5),
			}, "a"},
		} {
			Convey(c.name, func() {
				l := New(Config{SuspectTime: time.Second})
				for _, e := range c.entries {
					l.Put(e, 0)
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
			l.Put(entry(id, 1, 1, false), 0)
		}
		Convey("one that is removed gets no new requests at once", func() {
			l.Remove("a", 9, 0)
			So(usable(l, 0), ShouldEqual, "bcd")
		})
		Convey("all stay usable for a while when most entries are removed at once", func() {
			for _, id := range []fleet.UpstreamID{"a", "b", "c"} {
				l.Remove(id, 9, 0)
			}
			So(usable(l, time.Second/2), ShouldEqual, "abcd")
			l.Put(entry("a", 1, 2, false).at(10), 0)
			So(usable(l, 2*time.Second), ShouldEqual, "ad")
			So(l.HasRemoved(), ShouldBeFalse)
		})
		Convey("one that is out of use stays so when others are removed too", func() {
			l.Remove("a", 9, 0)
			So(usable(l, 0), ShouldEqual, "bcd")
			l.Remove("b", 9, 0)
			l.Remove("c", 9, 0)
			So(usable(l, time.Second/2), ShouldEqual, "bcd")
		})
		Convey("the doubt of a loss begins with the removal, also for who learns of it late", func() {
			l.Remove("a", 9, -time.Second/2)
			l.Remove("b", 9, -time.Second/2)
			So(usable(l, time.Second/2), ShouldEqual, "abcd")
			So(usable(l, time.Second/2+1), ShouldEqual, "cd")
		})
		Convey("an older view does not bring one back or remove one that was written again", func() {
			l.Remove("a", 9, 0)
			So(l.Put(entry("a", 1, 2, false).at(8), 0), ShouldBeFalse)
			So(l.Put(entry("a", 1, 3, false).at(12), 0), ShouldBeTrue)
			l.Remove("a", 11, 0)
			So(usable(l, 0), ShouldEqual, "abcd")
		})
		Convey("a leaving server is dropped at once", func() {
			l.Put(entry("a", 1, 2, true), 0)
			for _, id := range []fleet.UpstreamID{"a", "b", "c", "d"} {
				l.Remove(id, 9, 0)
			}
			So(usable(l, 0), ShouldEqual, "bcd")
		})
		Convey("a complete listing removes the entries that it lacks", func() {
			l.Replace([]Entry{entry("a", 1, 1, false), entry("b", 1, 1, false), entry("c", 1, 1, false)}, 9, 0, 0)
			So(usable(l, 0), ShouldEqual, "abc")
		})
	})
}

// TestRestored guards against servers that go out of use because a store that has come
// back from an older copy lacks their entries, and against removed ones that return.
func TestRestored(t *testing.T) {
	Convey("A store that has come back from a copy", t, func() {
		l := New(Config{SuspectTime: time.Second})
		for i, id := range []string{"a", "b", "c", "d"} {
			l.Put(entry(id, 1, 5, false).at(int64(10+i)), 0)
		}
		l.Remove("d", 20, 0)
		So(usable(l, 2*time.Second), ShouldEqual, "abc")
		restored := []Entry{entry("a", 1, 3, false).at(101), entry("b", 1, 4, false).at(102), entry("d", 1, 5, false).at(103)}
		now := 10 * time.Second
		l.ReplaceRestored(restored, 104, now)
		Convey("leaves servers in use that it lacks until they had the time to write, also when it is read again", func() {
			So(usable(l, now+time.Second), ShouldEqual, "abc")
			l.Replace(restored, 105, now, now+time.Second)
			So(usable(l, now+time.Second), ShouldEqual, "abc")
			So(l.HasRemoved(), ShouldBeTrue)
			So(usable(l, now+RewriteTime), ShouldEqual, "ab")
		})
		Convey("keeps those that write in time", func() {
			l.Put(entry("c", 1, 6, false).at(106), now+time.Second)
			So(usable(l, now+time.Hour), ShouldEqual, "abc")
		})
		Convey("does not bring back one that was removed, however often it is read, before it writes again", func() {
			l.Replace(restored, 105, now, now)
			So(usable(l, now), ShouldEqual, "abc")
			l.Put(entry("d", 1, 6, false).at(107), now)
			So(usable(l, now), ShouldEqual, "abcd")
		})
	})
}

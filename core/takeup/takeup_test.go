package takeup

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const memory = MinMemory

func listed(versions ...string) map[fleet.GroupName]map[string]bool {
	set := map[string]bool{}
	for _, v := range versions {
		set[v] = true
	}
	return map[fleet.GroupName]map[string]bool{"g": set}
}

// TestPossibleVersions guards against a version that is forgotten while streams it began
// can still be taken up.
func TestPossibleVersions(t *testing.T) {
	Convey("The versions that may have begun a stream", t, func() {
		v, now := NewVersions(), fleet.Instant(time.Minute)
		v.Listed(listed("old"), now)
		Convey("are the listed one alone", func() {
			So(v.Possible("g", memory, now+time.Hour), ShouldResemble, []string{"old"})
			So(v.Possible("other", memory, now), ShouldBeEmpty)
		})
		Convey("include one whose servers have just left, and not for ever", func() {
			v.Listed(listed("new", "old"), now)
			v.Listed(listed("new"), now+time.Second)
			So(v.Possible("g", memory, now+time.Second), ShouldResemble, []string{"new", "old"})
			So(v.Possible("g", memory, now+time.Second+memory), ShouldResemble, []string{"new", "old"})
			So(v.Possible("g", memory, now+time.Second+memory+1), ShouldResemble, []string{"new"})
		})
		Convey("include those of a service whose servers are all gone", func() {
			v.Listed(nil, now+time.Second)
			v.Listed(listed("new"), now+2*time.Second)
			So(v.Possible("g", memory, now+2*time.Second), ShouldResemble, []string{"new", "old"})
		})
		Convey("include those that only the record names, at an instance that has just started", func() {
			fresh := NewVersions()
			fresh.Recorded("g", []string{"old", "new"}, now)
			fresh.Listed(listed("new"), now)
			So(fresh.Possible("g", memory, now), ShouldResemble, []string{"new", "old"})
			So(fresh.RecordChanges(memory, now), ShouldBeEmpty)
			Convey("until it has seen for long enough that they don't serve", func() {
				So(fresh.Possible("g", memory, now+memory+1), ShouldResemble, []string{"new"})
				So(fresh.RecordChanges(memory, now+memory+1), ShouldResemble, []RecordChange{{Group: "g", Versions: []string{"new"}}})
			})
		})
		Convey("are recorded before they are needed", func() {
			So(v.RecordChanges(memory, now), ShouldResemble, []RecordChange{{Group: "g", Versions: []string{"old"}, Added: true}})
			v.Recorded("g", []string{"old"}, now)
			So(v.RecordChanges(memory, now), ShouldBeEmpty)
			v.Listed(listed("new", "old"), now)
			So(v.RecordChanges(memory, now), ShouldResemble, []RecordChange{{Group: "g", Versions: []string{"new", "old"}, Added: true}})
		})
		Convey("are bounded", func() {
			for i := range 1000 {
				v.Listed(listed(time.Duration(i).String()), now+fleet.Instant(i))
			}
			So(len(v.Possible("g", memory, now)), ShouldBeLessThanOrEqualTo, maxVersions)
		})
	})
}

// TestVersionsAtWhichStreamsBegin guards against streams of a version that the record does
// not name, and against a service that begins none because there is no record yet.
func TestVersionsAtWhichStreamsBegin(t *testing.T) {
	Convey("Streams begin", t, func() {
		v, now := NewVersions(), fleet.Instant(time.Minute)
		may := func(version string) bool { return v.MayBegin("g", version, memory, now) }
		v.Listed(listed("old"), now)
		Convey("at the only version while there is no record", func() {
			So(may("old"), ShouldBeTrue)
			v.Listed(listed("old", "new"), now)
			So(may("old"), ShouldBeFalse)
			So(may("new"), ShouldBeFalse)
			So(v.AllRecorded("g"), ShouldBeFalse)
		})
		Convey("at recorded versions", func() {
			v.Recorded("g", []string{"old"}, now)
			So(v.AllRecorded("g"), ShouldBeTrue)
			v.Listed(listed("old", "new"), now)
			So(v.AllRecorded("g"), ShouldBeFalse)
			So(may("old"), ShouldBeTrue)
			So(may("new"), ShouldBeFalse)
			v.Recorded("g", []string{"old", "new"}, now)
			So(v.AllRecorded("g"), ShouldBeTrue)
			So(may("new"), ShouldBeTrue)
			Convey("and no longer at one that a store come back from a copy has lost", func() {
				v.Recorded("g", []string{"old"}, now)
				So(v.AllRecorded("g"), ShouldBeFalse)
				So(may("new"), ShouldBeFalse)
			})
		})
	})
}

// TestStreams guards against a stream whose version is forgotten too soon, or is that of
// an earlier attempt.
func TestStreams(t *testing.T) {
	Convey("A stream's version", t, func() {
		s, now := NewStreams(), fleet.Instant(time.Minute)
		a, b := KeyOf("m", "a"), KeyOf("m", "b")
		s.Put(Record{Key: a, Software: "old"}, true, memory, now)
		Convey("is known while it can be taken up, and not of another member's stream", func() {
			r, ok := s.Get(a, memory, now+memory)
			So(ok, ShouldBeTrue)
			So(r.Software, ShouldEqual, "old")
			_, ok = s.Get(a, memory, now+memory+1)
			So(ok, ShouldBeFalse)
			_, ok = s.Get(KeyOf("other", "a"), memory, now)
			So(ok, ShouldBeFalse)
			So(KeyOf("m1", "a"), ShouldNotEqual, KeyOf("m", "1a"))
		})
		Convey("stays when it is taken up, which others may tell late", func() {
			s.Put(Record{Key: a, Software: "old"}, true, memory, now+2)
			s.Put(Record{Key: a, Software: "new", Age: 1}, false, memory, now+2)
			s.Put(Record{Key: a, Software: "new"}, false, memory, now+3)
			r, known := s.Get(a, memory, now+memory+3)
			So(known, ShouldBeTrue)
			So(r.Software, ShouldEqual, "old")
		})
		Convey("that another instance has told is not told again", func() {
			s.Put(Record{Key: b, Software: "new", Age: time.Second}, false, memory, now)
			So(s.Own(memory, now+time.Second), ShouldResemble, []Record{{Key: a, Software: "old", Age: time.Second}})
		})
		Convey("is one of a bounded number", func() {
			for i := range 2 * maxStreams {
				var k Key
				k[0], k[1], k[2] = byte(i), byte(i>>8), byte(i>>16)
				s.Put(Record{Key: k}, false, memory, now)
			}
			So(s.Len(), ShouldEqual, maxStreams)
			s.Put(Record{Key: b}, false, memory, now+memory+1)
			So(s.Len(), ShouldEqual, 1)
		})
	})
}

package directory

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// heldBytes returns the heap that is in use after a collection.
func heldBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// put returns the change that writes size bytes to a key.
func put(key string, revision int64, size int) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Value: make([]byte, size), Revision: revision}}
}

// TestHistoryMemory guards against memory that grows with each change of a large
// configuration, until the platform kills every instance at the same moment.
func TestHistoryMemory(t *testing.T) {
	const heldLimit = 8 << 20
	for _, c := range []struct {
		name    string
		changes int
		keys    int
		size    int
	}{
		{"one configuration that changes often", 240, 1, 583_000},
		{"a configuration of the largest size", 100, 1, 1 << 20},
		{"many keys with large values", 200, 200, 500_000},
		{"a fleet whose entries change", 20_000, 1200, 300},
	} {
		Convey("The history of "+c.name+" stays small", t, func() {
			before := heldBytes()
			h := newHistory()
			h.restart(1)
			last := int64(1)
			for n := range c.changes {
				last = int64(n + 2)
				h.add([]store.Change{put(fmt.Sprint("k", n%c.keys), last, c.size)}, last, time.Now())
			}
			So(heldBytes()-before, ShouldBeLessThan, heldLimit)
			got, err := h.after(context.Background(), last-1, 0)
			So(err, ShouldBeNil)
			So(got.Revision, ShouldEqual, last)
			So(len(got.Changes), ShouldEqual, 1)
			So(got.Changes[0].Revision, ShouldEqual, last)
			runtime.KeepAlive(&h)
		})
	}
}

// TestHistoryCatchUp guards against an instance that misses a change because its
// hub has dropped it, and against one that reads the whole store although its
// hub still has the last value of every key.
func TestHistoryCatchUp(t *testing.T) {
	ctx := context.Background()
	Convey("With a history of three keys", t, func() {
		h := newHistory()
		h.restart(10)
		h.add([]store.Change{put("a", 11, 1), put("b", 12, 1), put("a", 13, 1)}, 13, time.Now())
		h.add([]store.Change{put("c", 14, 1), put("a", 15, 1)}, 20, time.Now())
		h.add([]store.Change{{Entry: store.Entry{Key: "b", Revision: 21}, Deleted: true}}, 21, time.Now())

		Convey("an instance from before all of them gets the last change of each key, in order", func() {
			got, err := h.after(ctx, 10, 0)
			So(err, ShouldBeNil)
			So(got.Revision, ShouldEqual, 21)
			keys := ""
			for _, c := range got.Changes {
				keys += fmt.Sprint(c.Key, c.Revision, " ")
			}
			So(keys, ShouldEqual, "c14 a15 b21 ")
			So(got.Changes[2].Deleted, ShouldBeTrue)
		})
		Convey("one in between gets what it lacks", func() {
			got, err := h.after(ctx, 14, 0)
			So(err, ShouldBeNil)
			So(len(got.Changes), ShouldEqual, 2)
		})
		Convey("one from before the history has to read the whole store", func() {
			_, err := h.after(ctx, 9, 0)
			So(err, ShouldEqual, store.ErrCompacted)
		})
		Convey("one from before a dropped change has to as well", func() {
			for n := range int64(maxChanges) {
				h.add([]store.Change{put(fmt.Sprint("k", n), 22+n, 1)}, 22+n, time.Now())
			}
			_, err := h.after(ctx, 20, 0)
			So(err, ShouldEqual, store.ErrCompacted)
			got, err := h.after(ctx, 21, 0)
			So(err, ShouldBeNil)
			So(len(got.Changes), ShouldEqual, maxChanges)
		})
	})
}

// TestKeysOfOthers guards against memory that is kept for every key that another
// writer or an instance has ever written.
func TestKeysOfOthers(t *testing.T) {
	Convey("Keys that come and go leave nothing behind", t, func() {
		d := New(Options{Decoder: jsonDecoder{}, Observer: &useRecorder{used: map[fleet.UpstreamID]time.Time{}}, Log: zap.NewNop()})
		for n := range int64(500) {
			var changes []store.Change
			for _, key := range []string{"upstreams/x", InstancesPrefix, OwnPrefix + "lease", "other/"} {
				c := put(fmt.Sprint(key, n), n, 2)
				deleted := c
				deleted.Deleted = true
				changes = append(changes, c, deleted)
			}
			d.apply(changes, 0)
		}
		So(len(d.ownKeys)+len(d.unreadable)+len(d.instances), ShouldEqual, 0)
		Convey("also when the whole store is read without them", func() {
			d.apply([]store.Change{put("upstreams/x", 1, 2), put(OwnPrefix+"lease", 2, 2)}, 0)
			So(len(d.ownKeys)+len(d.unreadable), ShouldEqual, 2)
			d.applyAll(nil, 3, 0)
			So(len(d.ownKeys)+len(d.unreadable), ShouldEqual, 0)
		})
	})
}

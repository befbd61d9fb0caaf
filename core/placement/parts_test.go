package placement

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestCachedPartsMemory guards against memory that grows with every prompt part
// that any caller has sent, at every engine.
func TestCachedPartsMemory(t *testing.T) {
	const memory = 144 << 20 * 15 / 100
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, engines := range []int{12, 64, 780} {
		Convey(fmt.Sprintf("%d engines with 4,000 parts each", engines), t, func() {
			before := heap()
			f := New(Config{PartMemory: memory})
			var list []Server
			for n := range engines {
				list = append(list, Server{ID: fleet.UpstreamID(fmt.Sprint("e", n)), Group: "llm"})
			}
			f.SetServers(list)
			for part := range 4000 {
				for _, s := range list {
					f.AddCachedPart(s.ID, fmt.Sprintf("%08x%s", part, s.ID), 92, 0)
				}
			}
			So(heap()-before, ShouldBeLessThan, memory+memory/4)
			for _, s := range list {
				So(f.servers[s.ID].cache.holds(fmt.Sprintf("%08x%s", 3999, s.ID)), ShouldBeTrue)
			}
			runtime.KeepAlive(f)
		})
	}
	Convey("At the limit, the parts used longest ago are forgotten and the others kept", t, func() {
		c := newCache()
		c.limit = 100
		for n := range 101 {
			c.added += 50
			c.addPart(fmt.Sprint("p", n), 50, 0)
		}
		So(len(c.parts), ShouldEqual, 76)
		So(c.holds("p100"), ShouldBeTrue)
		So(c.holds("p30"), ShouldBeTrue)
		So(c.holds("p3"), ShouldBeFalse)
	})
}

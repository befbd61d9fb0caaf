package takeup

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// BenchmarkStreams measures the time to remember a stream, and the memory of as many as an
// instance remembers.
func BenchmarkStreams(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, now, i := NewStreams(), fleet.Instant(time.Minute), 0
	put := func() {
		i++
		s.Put(Record{Key: KeyOf("member", fleet.RequestID(strconv.Itoa(i))), Software: "v1.1"}, true, MinMemory, now)
	}
	for range maxStreams {
		put()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		put()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxStreams, "bytes-held/stream")
	runtime.KeepAlive(s)
}

// BenchmarkMayBegin measures what a request costs for which streams may begin at all
// listed servers, and one for which each of them has to be looked at.
func BenchmarkMayBegin(b *testing.B) {
	now := fleet.Instant(time.Minute)
	v := NewVersions()
	v.Listed(listed("v1", "v1.1"), now)
	v.Recorded("g", []string{"v1"}, now)
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			v.AllRecorded("g")
		}
	})
	b.Run("server", func(b *testing.B) {
		for b.Loop() {
			v.MayBegin("g", "v1.1", MinMemory, now)
		}
	})
}

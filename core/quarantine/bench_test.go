package quarantine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// fullEvidence returns a detector that holds as many crashes and victims as it keeps,
// each of another request.
func fullEvidence(shared int) (*Detector, fleet.Instant) {
	d := New(Config{Instance: "i", Epoch: 1})
	now := fleet.Instant(time.Minute)
	for c := range maxCrashRecords {
		p := fleet.Process{Server: fleet.UpstreamID(fmt.Sprintf("i-%010x", c)), StartTime: int64(c + 1)}
		for v := range maxVictims {
			var parts []string
			for k := range shared {
				parts = append(parts, fmt.Sprintf("%012x", k*1000+v%7))
			}
			digest := Digest([32]byte{byte(c), byte(v)}, [32]byte{byte(v), byte(c)})
			d.RequestBroken(p, Victim{Request: fleet.RequestID(fmt.Sprintf("%016x", c*100+v)), Parts: Parts(parts, digest)}, now)
		}
		d.ProcessEnded(p, now)
		now += 150 * time.Millisecond
	}
	return d, now
}

// BenchmarkEvidence measures the memory and the bytes on the wire of full evidence, the
// time of a decision on it, and that of a request's admission beside it.
func BenchmarkEvidence(b *testing.B) {
	for _, shared := range []int{0, 2} {
		b.Run(fmt.Sprintf("decide/%d-parts", shared), func(b *testing.B) {
			before, after := runtime.MemStats{}, runtime.MemStats{}
			runtime.GC()
			runtime.ReadMemStats(&before)
			d, now := fullEvidence(shared)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var wire bytes.Buffer
			all := Report{}
			for _, c := range d.changesAfter(0, now) {
				c.add(&all)
			}
			if err := gob.NewEncoder(&wire).Encode(all); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				d.evaluate(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes-held")
			b.ReportMetric(float64(wire.Len())/float64(maxCrashRecords*maxVictims), "wire-bytes/victim")
			runtime.KeepAlive(d)
		})
	}
	b.Run("admit", func(b *testing.B) {
		d, now := fullEvidence(2)
		parts := Parts([]string{"a", "b"}, "")
		for b.Loop() {
			d.Tracks("=absent")
			d.Admit(parts, now)
		}
	})
}

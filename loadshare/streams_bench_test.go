package loadshare

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/directory"
)

// BenchmarkStreamRecord measures what it costs an instance that several software versions
// serve: the choice of the instances that hold a stream's record, and its bytes in a call
// that a connection has made before.
func BenchmarkStreamRecord(b *testing.B) {
	for _, n := range []int{8, 35, 195} {
		b.Run(fmt.Sprintf("holders/%d", n), func(b *testing.B) {
			h := &streamHolders{self: "i0", log: zap.NewNop(), peers: map[string]*holderPeer{}}
			var list []directory.Instance
			for i := range n {
				list = append(list, directory.Instance{ID: fleet.InstanceID(fmt.Sprint("i", i)), DataCentre: "dc", Address: fmt.Sprint("10.0.0.1:", i)})
			}
			h.setPool(list, false)
			k := takeup.KeyOf("member", "9c41d07be2a35f68")
			for b.Loop() {
				h.holders(k)
			}
		})
	}
	b.Run("encode", func(b *testing.B) {
		var wire bytes.Buffer
		encoder := gob.NewEncoder(&wire)
		in := StreamsRequest{From: "front-selfoss-a-1", Records: []takeup.Record{{Key: takeup.KeyOf("member", "9c41d07be2a35f68"), Software: "v1.1", Age: time.Millisecond}}}
		if err := encoder.Encode(in); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			wire.Reset()
			if err := encoder.Encode(in); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(wire.Len()), "wire-bytes")
	})
}

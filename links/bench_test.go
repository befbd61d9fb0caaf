package links_test

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/links"
)

// BenchmarkObservedRead measures what the monitor adds to a read from a server, with the
// largest fleet.
func BenchmarkObservedRead(b *testing.B) {
	m := links.New(links.Options{Observer: observer{}, OnPartition: func() {}, Log: zap.NewNop()})
	var list []placement.Server
	for i := range 780 {
		list = append(list, placement.Server{Address: fmt.Sprintf("10.0.%d.%d:8066", i/250, i%250)})
	}
	m.SetServers(list)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		address := list[i%len(list)].Address
		m.Waiting(address)
		m.Received(address, 1)
	}
}

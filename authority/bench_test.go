package authority_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/capacity/meter"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/standin/engine"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/upstream"
)

// TestServeStandIns runs the stand-ins of the benchmarks in their own process:
// the platform, which lists instance a, and engines.
func TestServeStandIns(*testing.T) {
	meter.Serve(func(n int) ([]meter.Server, func() (int, int)) {
		service := standin.New()
		service.SetInstances([]store.InstanceInfo{{ID: "a"}})
		servers := []meter.Server{{Handler: service.Handler()}}
		for range n {
			e := engine.New(engine.Config{Incarnation: "e1", Orders: &engine.Orders{Model: "m", ChangeTime: time.Second}})
			servers = append(servers, meter.Server{
				Handler: e.Handler(),
				Prepare: func(s *http.Server) { s.ConnContext = e.ConnContext },
			})
		}
		return servers, func() (int, int) { c := service.Counts(); return c.Reads, c.Writes }
	})
}

// BenchmarkHolder measures a data centre's order holder by its number of
// engines, with the production times and no orders.
func BenchmarkHolder(b *testing.B) {
	for _, n := range []int{18, 36, 71} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			for range b.N {
				measureHolder(b, n)
			}
		})
	}
}

func measureHolder(b *testing.B, n int) {
	const span = time.Minute // each engine's slot is freed twice in this time
	h := startHolder(b, n)
	defer h.stop()
	time.Sleep(5 * time.Second)
	bytes, reads, writes := h.standIns.Read(b)
	cpu, start := meter.CPU(), time.Now()
	time.Sleep(span)
	seconds := time.Since(start).Seconds()
	cpu = meter.CPU() - cpu
	bytesNow, readsNow, writesNow := h.standIns.Read(b)
	b.ReportMetric(100*cpu.Seconds()/seconds, "core_%")
	b.ReportMetric((bytesNow-bytes)/seconds, "B/s")
	b.ReportMetric((readsNow-reads+writesNow-writes)/seconds*60, "calls/min")
	b.ReportMetric((meter.Memory()-h.memory)/1e3, "KB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOrder reports the calls to the platform during one role change that
// takes a second, including the holder's other calls in the 8 s.
func BenchmarkOrder(b *testing.B) {
	for range b.N {
		h := startHolder(b, 1)
		time.Sleep(5 * time.Second)
		_, reads, writes := h.standIns.Read(b)
		h.SetRole("u0", fleet.RoleDecode)
		time.Sleep(8 * time.Second)
		_, readsNow, writesNow := h.standIns.Read(b)
		if _, engines := h.Status(); engines[0].Record.Open() || engines[0].State.Current.Role != fleet.RoleDecode {
			b.Error("the order did not end")
		}
		b.ReportMetric(readsNow-reads, "reads")
		b.ReportMetric(writesNow-writes, "writes")
		b.ReportMetric(0, "ns/op")
		h.stop()
	}
}

// holder is a running order holder with its stand-ins.
type holder struct {
	*authority.Authority
	standIns *meter.StandIns
	// memory is the process's memory before the holder started.
	memory float64
	stop   func()
}

func startHolder(b *testing.B, n int) holder {
	h := holder{standIns: meter.Start(b, "TestServeStandIns", n), memory: meter.Memory()}
	store := store.NewClient("http://"+h.standIns.Addresses[0], &http.Client{Transport: &http.Transport{}})
	d := &declare.Declaration{Groups: []declare.Group{{Name: "g", Type: declare.GroupEngine, ChecksFencing: true, Model: "m"}}}
	for i, address := range h.standIns.Addresses[1:] {
		d.Upstreams = append(d.Upstreams, declare.Upstream{
			ID: fleet.UpstreamID(fmt.Sprint("u", i)), Group: "g", Address: address, DataCentre: "d",
		})
	}
	h.Authority = authority.New(authority.Options{
		Store: store, Instance: "a", DataCentre: "d", Start: "a-1", Times: authority.DefaultTimes, Log: zap.NewNop(),
		Engines: upstream.NewEngineClient(upstream.NewTransport()),
		Drains:  authority.NewFleetDrains(authority.NewLocalDrain(&traffic{}), "a", store, nil),
	})
	h.Configure(declare.NewIndex(1, d))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	eventually("lease", func() bool { held, _ := h.Status(); return held.Fence > 0 })
	h.stop = func() { stop(); <-done }
	return h
}

package poll_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/capacity/meter"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/poll"
	"github.com/bramleywick/bramleywick/standin/engine"
)

// TestServeStandIns runs the stand-ins of BenchmarkPoll in their own process.
func TestServeStandIns(*testing.T) {
	meter.Serve(func(n int) (servers []meter.Server, _ func() (int, int)) {
		for range n {
			e := engine.New(engine.Config{Incarnation: "3f1c6a52-e0b4-4c77-9d51-7a1b0f6f2c11", Role: fleet.RoleDecode})
			servers = append(servers, meter.Server{Handler: e.Handler()})
		}
		return servers, nil
	})
}

// BenchmarkPoll measures what an instance spends on polling its upstreams.
// Their stand-ins run in another process.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for range b.N {
				measurePolls(b, n)
			}
		})
	}
}

func measurePolls(b *testing.B, n int) {
	const span = 10 * time.Second
	engines := meter.Start(b, "TestServeStandIns", n)
	addresses := map[fleet.UpstreamID]string{}
	var ids []fleet.UpstreamID
	for i, address := range engines.Addresses {
		ids = append(ids, fleet.UpstreamID(fmt.Sprint("engine-", i)))
		addresses[ids[i]] = address
	}
	begin := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	memory := meter.Memory()
	p := poll.New(ctx, poll.Hooks{
		Address: func(id fleet.UpstreamID) string { return addresses[id] },
		Now:     func() fleet.Instant { return time.Since(begin) },
		Load:    func(sched.LoadReport) {}, Failed: func(id fleet.UpstreamID) { b.Errorf("poll of %s failed", id) },
		Cache: func(sched.CacheUpdate) {},
	})
	p.SetUpstreams(ids)
	time.Sleep(2 * time.Second)
	sent, _, _ := engines.Read(b)
	cpu, start := meter.CPU(), time.Now()
	time.Sleep(span)
	seconds := time.Since(start).Seconds()
	cpu = meter.CPU() - cpu
	bytes, _, _ := engines.Read(b)
	b.ReportMetric(100*cpu.Seconds()/seconds, "core_%")
	b.ReportMetric((bytes-sent)/seconds, "B/s")
	b.ReportMetric((meter.Memory()-memory)/1e3, "KB")
	b.ReportMetric(0, "ns/op")
}

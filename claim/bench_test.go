package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/capacity/meter"
	"github.com/bramleywick/bramleywick/claim"
	coreclaim "github.com/bramleywick/bramleywick/core/claim"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// TestServeStandIns runs the platform of the benchmarks in its own process.
func TestServeStandIns(*testing.T) {
	meter.Serve(func(int) ([]meter.Server, func() (int, int)) {
		service := standin.New()
		return []meter.Server{{Handler: service.Handler()}},
			func() (int, int) { c := service.Counts(); return c.Reads, c.Writes }
	})
}

func limitedClient(service *meter.StandIns, writesPerSecond float64) *store.Client {
	limits := store.DefaultLimits()
	limits.WritesPerSecond = writesPerSecond
	return store.NewLimitedClient("http://"+service.Addresses[0], &http.Client{Transport: &http.Transport{}}, limits)
}

// BenchmarkClaim measures one claimed call at an instance by the size of its
// answer, which the claim keeps.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{200, 2_000, 20_000} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) { measureClaims(b, size) })
	}
}

func measureClaims(b *testing.B, size int) {
	service := meter.Start(b, "TestServeStandIns", 1)
	claims := claim.New(limitedClient(service, store.DefaultLimits().WritesPerSecond), "instance-1")
	body := bytes.Repeat([]byte("a"), size)
	calls := 0
	run := func() {
		calls++
		call := claim.Call{Member: "member-team-0001", Key: fmt.Sprint("key-", calls), Method: "POST", Path: "/payout", Body: []byte("{}")}
		_, _, refusal := claims.Do(context.Background(), call, func(context.Context) claim.SendResult {
			return claim.SendResult{Answer: coreclaim.Answer{Status: http.StatusOK, Body: body}}
		})
		if refusal != nil {
			b.Fatal(refusal)
		}
	}
	run() // takes the lease that later claims share
	claims.Wait()
	bytesBefore, reads, writes := service.Read(b)
	cpu, n := meter.CPU(), 0
	for b.Loop() {
		run()
		n++
	}
	claims.Wait()
	cpu = meter.CPU() - cpu
	bytesAfter, readsAfter, writesAfter := service.Read(b)
	each := float64(n)
	b.ReportMetric(float64(cpu/time.Microsecond)/each, "cpu_us/claim")
	b.ReportMetric((bytesAfter-bytesBefore)/each, "B/claim")
	b.ReportMetric((writesAfter-writes)/each, "writes/claim")
	b.ReportMetric((readsAfter-reads)/each, "reads/claim")
}

// BenchmarkOpenClaims measures the memory of an instance with claimed calls
// that have not ended.
func BenchmarkOpenClaims(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("calls=%d", n), func(b *testing.B) {
			for range b.N {
				measureOpenClaims(b, n)
			}
		})
	}
}

func measureOpenClaims(b *testing.B, n int) {
	service := meter.Start(b, "TestServeStandIns", 1)
	// The limit must allow all writes in one burst.
	claims := claim.New(limitedClient(service, float64(n)), "instance-1")
	var open, ended sync.WaitGroup
	finish := make(chan struct{})
	before := meter.Memory()
	open.Add(n)
	for i := range n {
		ended.Add(1)
		go func() {
			defer ended.Done()
			call := claim.Call{Member: "member-team-0001", Key: fmt.Sprint("key-", i), Method: "POST", Path: "/payout", Body: []byte("{}")}
			_, _, _ = claims.Do(context.Background(), call, func(context.Context) claim.SendResult {
				open.Done()
				<-finish
				return claim.SendResult{Answer: coreclaim.Answer{Status: http.StatusOK}}
			})
		}()
	}
	open.Wait()
	b.ReportMetric((meter.Memory()-before)/1e3, "KB")
	b.ReportMetric(0, "ns/op")
	close(finish)
	ended.Wait()
	claims.Wait()
}

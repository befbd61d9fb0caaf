package caller_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/standin/engine"
)

// maxAddedLatency, maxChunkCPU and maxStreamBytes are the targets of the proxy's
// overhead (design, section 2.4); the others are the size of the measurement.
const (
	maxAddedLatency = 300 * time.Microsecond
	maxChunkCPU     = 20 * time.Microsecond
	maxStreamBytes  = 40 << 10
	latencyRequests = 2000
	chunkStreams    = 64
	chunkTokens     = 400
	chunkRounds     = 5
	// chunkGap is long enough that no read returns two chunks of a stream, so
	// that each chunk wakes the proxy.
	chunkGap    = 5 * time.Millisecond
	openStreams = 2000
)

// processCPU returns the CPU time used by the process so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldBytes returns the memory of live objects and of stacks after a garbage
// collection.
func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// waitForGoroutines waits until the goroutines of closed streams have ended.
func waitForGoroutines(goroutines int) {
	for runtime.NumGoroutine() > goroutines+openStreams/100 {
		time.Sleep(10 * time.Millisecond)
	}
}

// streamClient reads streams over keep-alive connections.
type streamClient struct {
	http *http.Client
	url  string
}

func newStreamClient(url string) *streamClient {
	return &streamClient{url: url, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * openStreams}}}
}

// open sends one request and returns the stream after its first line.
func (c *streamClient) open(b *testing.B, body string) (io.Closer, *bufio.Reader) {
	req, err := http.NewRequest(http.MethodPost, c.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := c.http.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		refusal, _ := io.ReadAll(resp.Body)
		b.Fatalf("status %d: %s", resp.StatusCode, refusal)
	}
	in := bufio.NewReader(resp.Body)
	if _, err := in.ReadSlice('\n'); err != nil {
		b.Fatal(err)
	}
	return resp.Body, in
}

// read reads one whole stream and returns the number of its data lines.
func (c *streamClient) read(b *testing.B, body string) int {
	closer, in := c.open(b, body)
	defer func() { _ = closer.Close() }()
	lines := 1
	for {
		line, err := in.ReadSlice('\n')
		if err == io.EOF {
			return lines
		}
		if err != nil {
			b.Fatal(err)
		}
		if bytes.HasPrefix(line, []byte("data:")) {
			lines++
		}
	}
}

// sides holds a client of the proxy and the same client of the engine itself.
type sides struct{ proxied, direct *streamClient }

func newSides(b *testing.B, config engine.Config) sides {
	bench := newBench(b, benchOptions{engine: config, deadline: time.Hour})
	return sides{proxied: newStreamClient(bench.url), direct: newStreamClient("http://" + bench.engineAddress)}
}

// BenchmarkProxyStream measures the latency, CPU time and memory that the
// proxy adds, compared to a client that talks directly to the stand-in engine.
// All parts run in this process, so that the difference is the proxy's own
// share.
func BenchmarkProxyStream(b *testing.B) {
	b.Run("latency", func(b *testing.B) {
		s := newSides(b, engine.Config{})
		const body = `{"request_id":"r","prompt":"one two three","max_tokens":1,"stream":true}`
		median := func(c *streamClient, out []time.Duration) time.Duration {
			slices.Sort(out)
			return out[len(out)/2]
		}
		for b.Loop() {
			var proxied, direct []time.Duration
			for range latencyRequests {
				for _, side := range []struct {
					c   *streamClient
					out *[]time.Duration
				}{{s.proxied, &proxied}, {s.direct, &direct}} {
					began := time.Now()
					side.c.read(b, body)
					*side.out = append(*side.out, time.Since(began))
				}
			}
			report(b, "added_us/request", float64(median(s.proxied, proxied)-median(s.direct, direct))/1e3, float64(maxAddedLatency)/1e3)
		}
	})
	b.Run("chunk", func(b *testing.B) {
		s := newSides(b, engine.Config{TokenGap: chunkGap})
		body := fmt.Sprintf(`{"request_id":"r","prompt":"one two three","max_tokens":%d,"stream":true}`, chunkTokens)
		// cost returns the CPU time per chunk, in nanoseconds.
		cost := func(c *streamClient) float64 {
			began := processCPU()
			var streams sync.WaitGroup
			for range chunkStreams {
				streams.Go(func() {
					if lines := c.read(b, body); lines < chunkTokens {
						b.Errorf("%d chunks", lines)
					}
				})
			}
			streams.Wait()
			return float64(processCPU()-began) / (chunkStreams * chunkTokens)
		}
		for b.Loop() {
			var added []float64
			for range chunkRounds {
				direct := cost(s.direct)
				added = append(added, cost(s.proxied)-direct)
			}
			slices.Sort(added)
			report(b, "cpu_us/chunk", added[len(added)/2]/1e3, float64(maxChunkCPU)/1e3)
		}
	})
	b.Run("memory", func(b *testing.B) {
		s := newSides(b, engine.Config{TokenGap: time.Minute})
		const body = `{"request_id":"r","prompt":"one two three","max_tokens":100,"stream":true}`
		// held returns the memory per open stream, in bytes.
		held := func(c *streamClient) float64 {
			goroutines, before := runtime.NumGoroutine(), heldBytes()
			var open []io.Closer
			for range openStreams {
				closer, _ := c.open(b, body)
				open = append(open, closer)
			}
			after := heldBytes()
			for _, closer := range open {
				_ = closer.Close()
			}
			waitForGoroutines(goroutines)
			return float64(after-before) / openStreams
		}
		for b.Loop() {
			direct := held(s.direct)
			report(b, "bytes/stream", held(s.proxied)-direct, maxStreamBytes)
		}
	})
}

// report reports a metric and fails the benchmark if it exceeds the target.
func report(b *testing.B, unit string, value, target float64) {
	b.ReportMetric(value, unit)
	if value > target {
		b.Errorf("%.1f %s, target %.1f", value, unit, target)
	}
}

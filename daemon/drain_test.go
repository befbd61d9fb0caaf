package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/dev"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/standin/caller"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/standin/platform"
)

const declaration = `
[member shea]
key_sha256 = %s
kinds = ledger
[kind ledger]
group = language
first_token = 1s
token_gap = 74ms
deadline = 60s
max_prompt_tokens = 100000
max_output_tokens = 100000
repeatable = true
[group language]
type = engine
model = m
[upstream engine-1]
group = language
address = %s
data_centre = a
`

// instance is a daemon with one stand-in engine.
type instance struct {
	*daemon.Daemon
	engine *engine.Server
	logs   *observer.ObservedLogs
	stop   context.CancelFunc
	// done receives the result of Stop.
	done chan error
}

// start starts an instance and applies the declaration.
func start(t *testing.T, balancerDelay, drainLimit time.Duration) *instance {
	outer, stopOuter := context.WithCancel(context.Background())
	t.Cleanup(stopOuter)
	core, logs := observer.New(zapcore.InfoLevel)
	i := &instance{engine: engine.New(engine.Config{TokenGap: 5 * time.Millisecond}), logs: logs, done: make(chan error, 1)}
	store, err := dev.Serve(outer, "127.0.0.1:0", platform.New().Handler())
	So(err, ShouldBeNil)
	address, err := dev.Serve(outer, "127.0.0.1:0", i.engine.Handler())
	So(err, ShouldBeNil)
	i.Daemon = daemon.New(&settings.Settings{
		Instance: "i", DataCentre: "a", Platform: "http://" + store,
		CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		OperatorKeyHashes: []string{declare.HashKey(dev.OperatorKey)},
		BalancerDelay:     balancerDelay, DrainLimit: drainLimit, MaxConnections: 500,
	}, zap.New(core))
	var ctx context.Context
	ctx, i.stop = context.WithCancel(outer)
	So(i.Start(ctx), ShouldBeNil)
	So(dev.Apply(outer, i.Addresses.Operators, fmt.Sprintf(declaration, declare.HashKey(dev.MemberKey), address)), ShouldBeNil)
	go func() {
		<-ctx.Done()
		i.done <- i.Stop()
	}()
	return i
}

func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.Addresses.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends one streamed request and reports whether the complete answer arrived.
func (i *instance) send(client *http.Client, tokens int) bool {
	return caller.Client{Address: i.Addresses.Callers, Key: dev.MemberKey, HTTP: client}.Send(context.Background(), tokens) == nil
}

// Times of the load balancer in TestStopUnderLoad. balancerLag is how long it goes
// on sending after the first failed probe; it is longer than a stream, so that
// requests arrive within it. balancerDelay is the instance's setting, which must
// cover a probe and the lag.
const (
	probePeriod   = 20 * time.Millisecond
	balancerLag   = 300 * time.Millisecond
	balancerDelay = 900 * time.Millisecond
)

// TestStopUnderLoad guards against a planned stop that interrupts a request
// (invariant 8). The clients send through a load balancer that probes readiness
// and goes on sending for a while after the first failed probe.
func TestStopUnderLoad(t *testing.T) {
	Convey("A stop under load interrupts nothing", t, func() {
		i := start(t, balancerDelay, 10*time.Second)
		var stopped, balancerStopped atomic.Bool
		var complete, broken, afterStop atomic.Int64
		var clients sync.WaitGroup
		for range 40 {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for !balancerStopped.Load() {
					late := stopped.Load()
					if !i.send(client, 40) {
						broken.Add(1)
						continue
					}
					complete.Add(1)
					if late {
						afterStop.Add(1)
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		i.stop()
		stopped.Store(true)
		for i.ready() {
			time.Sleep(probePeriod)
		}
		time.Sleep(balancerLag)
		balancerStopped.Store(true)
		clients.Wait()
		So(<-i.done, ShouldBeNil)
		So(broken.Load(), ShouldEqual, 0)
		So(complete.Load(), ShouldBeGreaterThan, 40)
		So(afterStop.Load(), ShouldBeGreaterThan, 0)
		So(i.logs.FilterMessage("request interrupted by the stop").Len(), ShouldEqual, 0)
		So(i.logs.FilterMessage("stopped").Len(), ShouldEqual, 1)
	})
}

// TestForcedStop guards against a drain that does not end, and against interrupted
// requests that are not logged.
func TestForcedStop(t *testing.T) {
	for _, c := range []struct {
		name         string
		limit        time.Duration
		secondSignal bool
	}{{"the drain limit passes", 100 * time.Millisecond, false}, {"a second signal arrives", time.Hour, true}} {
		Convey("A stop during a running answer, when "+c.name, t, func() {
			i := start(t, 0, c.limit)
			answered := make(chan bool, 1)
			go func() { answered <- i.send(http.DefaultClient, 10000) }()
			for range 1000 {
				if i.engine.Running() > 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			So(i.engine.Running(), ShouldEqual, 1)
			i.stop()
			if c.secondSignal {
				time.Sleep(50 * time.Millisecond)
				i.Interrupt()
			}
			So(<-i.done, ShouldNotBeNil)
			So(<-answered, ShouldBeFalse)
			entries := i.logs.FilterMessage("request interrupted by the stop").All()
			So(entries, ShouldHaveLength, 1)
			So(entries[0].ContextMap()["member"], ShouldEqual, "shea")
			So(entries[0].ContextMap()["kind"], ShouldEqual, "ledger")
		})
	}
}

// TestAdmin guards against a missing profile, counter or histogram, and against a
// key or a prompt in the log.
func TestAdmin(t *testing.T) {
	Convey("The admin listener", t, func() {
		i := start(t, 0, time.Second)
		So(i.send(http.DefaultClient, 3), ShouldBeTrue)
		get := func(path string) string {
			resp, err := http.Get("http://" + i.Addresses.Admin + path)
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			raw, _ := io.ReadAll(resp.Body)
			return string(raw)
		}
		So(get("/debug/pprof/goroutine?debug=1"), ShouldContainSubstring, "goroutine profile")
		metrics := get("/metrics")
		for _, line := range []string{
			`bramleywick_refused_total{reason="queue_full"} 0`, `bramleywick_retried_total{reason="stalled"} 0`,
			`bramleywick_first_token_seconds_count{kind="ledger"} 1`, `bramleywick_token_gap_seconds_count{kind="ledger"} 2`,
			"bramleywick_interrupted_total 0", "bramleywick_open_requests 0", "bramleywick_ejected_upstreams 0",
		} {
			So(metrics, ShouldContainSubstring, line)
		}
		for _, entry := range i.logs.All() {
			So(fmt.Sprint(entry.Message, entry.ContextMap()), ShouldNotContainSubstring, dev.MemberKey)
			So(fmt.Sprint(entry.Message, entry.ContextMap()), ShouldNotContainSubstring, "one two")
		}
	})
}

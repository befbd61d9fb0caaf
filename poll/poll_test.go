package poll_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/poll"
	"github.com/bramleywick/bramleywick/standin/engine"
)

// recorder records the results of polling.
type recorder struct {
	mu     sync.Mutex
	loads  []sched.LoadReport
	failed int
	cache  []sched.CacheUpdate
}

func (r *recorder) counts() (loads, failed, cache int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.loads), r.failed, len(r.cache)
}

func (r *recorder) hooks(address string) poll.Hooks {
	start := time.Now()
	return poll.Hooks{
		Address: func(fleet.UpstreamID) string { return address },
		Now:     func() fleet.Instant { return time.Since(start) + time.Hour },
		Load: func(l sched.LoadReport) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.loads = append(r.loads, l)
		},
		Failed: func(fleet.UpstreamID) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.failed++
		},
		Cache: func(u sched.CacheUpdate) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cache = append(r.cache, u)
		},
	}
}

// TestFaultyAnswers guards against accepting a faulty answer as a report, and
// against an upstream that does not answer and blocks its poller.
func TestFaultyAnswers(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		failed  bool
		want    sched.LoadReport
	}{
		{"a report", answer(200, `{"incarnation":"x","role":"decode","running":3,"waiting":2,"waiting_prompt_tokens":9,"prefilled_tokens_total":700,"generated_tokens_total":80,"kv_used_tokens":5,"leaving":true}`), false,
			sched.LoadReport{Incarnation: "x", Role: fleet.RoleDecode, Running: 3, Waiting: 2, WaitingPromptTokens: 9, KVUsedTokens: 5, PrefilledTotal: 700, GeneratedTotal: 80, Leaving: true}},
		{"unknown role and fields", answer(200, `{"incarnation":"x","role":"both","more":1}`), false, sched.LoadReport{Incarnation: "x"}},
		{"negative counts", answer(200, `{"incarnation":"x","running":-4,"age_ms":-50,"generated_tokens_total":-1}`), false, sched.LoadReport{Incarnation: "x"}},
		{"an old report", answer(200, `{"incarnation":"x","age_ms":60000}`), false, sched.LoadReport{Incarnation: "x", At: -time.Minute}},
		{"an error", answer(503, `{"incarnation":"x"}`), true, sched.LoadReport{}},
		{"no JSON", answer(200, `<html>`), true, sched.LoadReport{}},
		{"an empty answer", answer(200, ``), true, sched.LoadReport{}},
		{"an endless answer", answer(200, `{"incarnation":"`+string(make([]byte, 1<<20))), true, sched.LoadReport{}},
		{"no answer in time", func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
			}
		}, true, sched.LoadReport{}},
	} {
		Convey("With an upstream that sends "+c.name, t, func() {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			server := httptest.NewServer(c.handler)
			defer server.Close()
			r := &recorder{}
			p := poll.New(ctx, r.hooks(server.Listener.Addr().String()))
			p.SetUpstreams([]fleet.UpstreamID{"u"})
			time.Sleep(450 * time.Millisecond)
			loads, failed, _ := r.counts()
			So(failed > 0, ShouldEqual, c.failed)
			So(loads > 0, ShouldEqual, !c.failed)
			if c.failed {
				return
			}
			r.mu.Lock()
			got := r.loads[0]
			r.mu.Unlock()
			So(got.At-time.Hour, ShouldBeBetween, c.want.At-time.Millisecond, c.want.At+400*time.Millisecond)
			got.At, c.want.At, c.want.Upstream = 0, 0, "u"
			So(got, ShouldResemble, c.want)
		})
	}
}

// TestSetUpstreams guards against polling upstreams that are no longer in the
// set.
func TestSetUpstreams(t *testing.T) {
	Convey("With a refused address and a running engine", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(listener.Close(), ShouldBeNil)
		refused := &recorder{}
		poll.New(ctx, refused.hooks(listener.Addr().String())).SetUpstreams([]fleet.UpstreamID{"u"})
		server := httptest.NewServer(engine.New(engine.Config{Incarnation: "x"}).Handler())
		defer server.Close()
		r := &recorder{}
		p := poll.New(ctx, r.hooks(server.Listener.Addr().String()))
		p.SetUpstreams([]fleet.UpstreamID{"u", "v"})
		p.SetUpstreams([]fleet.UpstreamID{"u"})
		p.SetUpstreams(nil)
		time.Sleep(100 * time.Millisecond)
		before, failures, _ := r.counts()
		time.Sleep(900 * time.Millisecond)
		after, failed, _ := r.counts()
		So(after, ShouldEqual, before)
		So(failed, ShouldEqual, failures)
		_, failed, _ = refused.counts()
		So(failed, ShouldBeGreaterThan, 1)
	})
}

// TestCacheEvents guards against passing on events twice, hiding a gap, and
// passing on events of an earlier incarnation.
func TestCacheEvents(t *testing.T) {
	Convey("With an engine that publishes cache events", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		e := engine.New(engine.Config{Incarnation: "x"})
		e.PublishCache([]uint64{1, 2}, nil, 0)
		e.PublishCache([]uint64{3}, []uint64{1}, 4)
		server := httptest.NewServer(e.Handler())
		defer server.Close()
		r := &recorder{}
		p := poll.New(ctx, r.hooks(server.Listener.Addr().String()))
		p.SetUpstreams([]fleet.UpstreamID{"u"})
		time.Sleep(300 * time.Millisecond)
		e.Restart("y")
		e.PublishCache([]uint64{9}, nil, 0)
		time.Sleep(3 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		So(r.cache, ShouldResemble, []sched.CacheUpdate{
			{Upstream: "u", Sequence: 1, Stored: []uint64{1, 2}},
			{Upstream: "u", Sequence: 6, Stored: []uint64{3}, Evicted: []uint64{1}},
			{Upstream: "u", Sequence: 1, Stored: []uint64{9}},
		})
	})
}

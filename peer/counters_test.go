package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/poll"
	"github.com/bramleywick/bramleywick/standin/engine"
)

// TestPeerLearnsCounters guards against an engine's token counters reaching
// only the instance that polls it.
func TestPeerLearnsCounters(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	server := httptest.NewServer(engine.New(engine.Config{Incarnation: "x"}).Handler())
	defer server.Close()
	nw := &network{faults: map[[2]string]fault{}}
	nodes := nw.fleetOf(ctx, t, "a1", "a2")
	poller := poll.New(ctx, poll.Hooks{
		Address: func(fleet.UpstreamID) string { return strings.TrimPrefix(server.URL, "http://") },
		Now:     func() fleet.Instant { return time.Since(nodes[0].start) },
		Load:    func(l sched.LoadReport) { nodes[0].ApplyMembership(membership.Polled{Load: l}) },
		Failed:  func(fleet.UpstreamID) {},
	})
	poller.SetUpstreams([]fleet.UpstreamID{"engine-1"})
	for range 2 {
		resp, err := http.Post(server.URL+"/v1/completions", "application/json",
			strings.NewReader(`{"request_id":"r","prompt":"`+strings.Repeat("shea ", 64)+`","max_tokens":40}`))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	var last atomic.Pointer[sched.LoadReport]
	nodes[1].onReport(func(l sched.LoadReport) { last.Store(&l) })
	if eventually(5*time.Second, func() bool {
		l := last.Load()
		return l != nil && l.PrefilledTotal == 128 && l.GeneratedTotal == 80
	}) >= 5*time.Second {
		t.Errorf("the peer learnt %+v, want 128 prompt and 80 output tokens", last.Load())
	}
}

// onReport sets a function that is called for each load report the node
// receives.
func (n *testNode) onReport(f func(sched.LoadReport)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.report = f
}

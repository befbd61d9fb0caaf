package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/caller"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/standin/service"
	"github.com/bramleywick/bramleywick/upstream"
)

// testStall is the stall timeout of the clients for engines and services: above
// what a sound engine takes on a busy machine under the race detector.
const testStall = 600 * time.Millisecond

// counts is a caller.Observer that counts its calls.
type counts struct {
	mu      sync.Mutex
	refused map[fleet.Reason]int
	retried map[retry.Reason]int
	first   int
}

func (c *counts) Refused(r fleet.Reason) { c.mu.Lock(); defer c.mu.Unlock(); c.refused[r]++ }
func (c *counts) Retried(r retry.Reason) { c.mu.Lock(); defer c.mu.Unlock(); c.retried[r]++ }
func (c *counts) FirstToken(fleet.KindName, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first++
}
func (c *counts) TokenGap(fleet.KindName, time.Duration) {}

func (c *counts) get(r fleet.Reason) int { c.mu.Lock(); defer c.mu.Unlock(); return c.refused[r] }

// bench is a caller.Server with two engines and two services.
type bench struct {
	url string
	// engineAddress is the address of the second engine.
	engineAddress string
	server        *caller.Server
	counts        *counts
	engines       [2]*engine.Server
	services      [2]*service.Server
	dispatcher    *dispatch.Dispatcher
}

type benchOptions struct {
	limits   caller.Limits
	requests func(*dispatch.Dispatcher) caller.Requests
	engine   engine.Config
	// deadline is the deadline of the kind "ledger"; 5 s if shorter.
	deadline time.Duration
	// firstUnreachable gives the first upstream of each group the address of a
	// closed port.
	firstUnreachable bool
}

// closedPort returns an address at which nothing listens.
func closedPort() string {
	s := httptest.NewServer(nil)
	defer s.Close()
	return s.Listener.Addr().String()
}

func newBench(t testing.TB, o benchOptions) *bench {
	b := &bench{counts: &counts{refused: map[fleet.Reason]int{}, retried: map[retry.Reason]int{}}}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.CloseClientConnections)
		return s.Listener.Addr().String()
	}
	d := &declare.Declaration{
		Members: []declare.Member{
			{ID: "shea", Share: 1, KeyHashes: []string{declare.HashKey("key")}, Kinds: []fleet.KindName{"ledger", "once", "lookup", "payout"}},
			{ID: "polegar", Share: 1, KeyHashes: []string{declare.HashKey("other")}, Kinds: []fleet.KindName{"ledger"}},
		},
		Kinds: []declare.Kind{
			{Name: "ledger", Group: "language", TokenGapTarget: time.Minute, Deadline: max(o.deadline, 5*time.Second), MaxPromptTokens: 1000, MaxOutputTokens: 100000, Repeatable: true},
			{Name: "once", Group: "language", Deadline: 5 * time.Second},
			{Name: "lookup", Group: "accounts", Deadline: 5 * time.Second, Repeatable: true},
			{Name: "payout", Group: "accounts", Deadline: 5 * time.Second},
		},
		Groups: []declare.Group{
			{Name: "language", Type: declare.GroupEngine, Model: "ledger-7b"},
			{Name: "accounts", Type: declare.GroupService},
		},
		Routes: []declare.Route{{Path: "/balance", Kind: "lookup"}, {Path: "/payout", Kind: "payout"}},
	}
	for i := range b.engines {
		b.engines[i] = engine.New(o.engine)
		b.services[i] = &service.Server{}
		engineAddress, serviceAddress := serve(b.engines[i].Handler()), serve(b.services[i].Handler())
		if o.firstUnreachable && i == 0 {
			engineAddress, serviceAddress = closedPort(), closedPort()
		}
		b.engineAddress = engineAddress
		name := fleet.UpstreamID([]string{"1", "2"}[i])
		d.Upstreams = append(d.Upstreams,
			declare.Upstream{ID: "engine-" + name, Group: "language", Address: engineAddress},
			declare.Upstream{ID: "service-" + name, Group: "accounts", Address: serviceAddress})
	}
	engines := upstream.NewEngineClient(upstream.NewTransport())
	engines.StallTimeout = testStall
	if o.engine.TokenGap >= testStall {
		engines.StallTimeout = upstream.DefaultStallTimeout
	}
	services := upstream.NewServiceClient()
	services.StallTimeout = testStall
	index := declare.NewIndex(1, d)
	b.dispatcher = dispatch.New(sched.Config{Instance: "i", Seed: 1}, func(id fleet.RequestID, at fleet.UpstreamID) {
		go func() { _ = engines.Cancel(context.Background(), index.Upstream(at).Address, id) }()
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go b.dispatcher.Run(ctx)
	b.dispatcher.Step(sched.Configure{Version: 1, Declaration: d})
	var requests caller.Requests = firstChoice{b.dispatcher}
	if o.requests != nil {
		requests = o.requests(b.dispatcher)
	}
	b.server = caller.NewServer(caller.Options{
		Index: func() *declare.Index { return index }, Requests: requests, Engines: engines,
		Services: services, Observer: b.counts, Log: zap.NewNop(), Limits: o.limits, Seed: 1,
	})
	b.url = "http://" + serveSmallBuffers(t, b.server.Handler())
	return b
}

// smallBuffers is a listener whose connections buffer only a few kilobytes of
// unsent bytes. The kernel would otherwise let the send buffer grow to several
// megabytes, and writes to a caller that does not read would block only after
// as many bytes, which a busy machine takes seconds to produce.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// serveSmallBuffers serves a handler and returns its address.
func serveSmallBuffers(t testing.TB, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Listener = smallBuffers{s.Listener}
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String()
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) send(method, path, kind, body string) response {
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer key")
	if kind != "" {
		req.Header.Set("X-Kind", kind)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// eventually waits up to 2 s for a condition and reports whether it held.
func eventually(condition func() bool) bool { return within(2*time.Second, condition) }

func within(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// answerText returns the joined text of a streamed answer.
func answerText(body string) string {
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		_, after, ok := strings.Cut(line, `"text":"`)
		if ok {
			before, _, _ := strings.Cut(after, `"`)
			text.WriteString(before)
		}
	}
	return text.String()
}

// firstChoice makes the first upstream of each group the choice for the first
// attempt of every request; the second one is available for retries only.
type firstChoice struct{ *dispatch.Dispatcher }

// Submit implements caller.Requests.
func (f firstChoice) Submit(ctx context.Context, r sched.Request) (*dispatch.Ticket, *fleet.Refusal) {
	f.setSecond(false)
	t, refusal := f.Dispatcher.Submit(ctx, r)
	f.setSecond(true)
	return t, refusal
}

func (f firstChoice) setSecond(available bool) {
	for _, id := range []fleet.UpstreamID{"engine-2", "service-2"} {
		f.Step(sched.UpstreamState{Upstream: id, Available: available})
	}
}

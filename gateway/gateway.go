// Package gateway passes callers' requests to servers and their answers back,
// byte for byte. It carries out the decisions of core: the route, admission, the
// server, repeats within the budget, and what a refusal promises.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/logline"
)

// Wire converts between the platform's headers and the project's types.
type Wire interface {
	connpool.Decoder
	ParseRequest(h http.Header) call.Request
	// ForwardedHeaders returns the caller's headers that are passed on.
	ForwardedHeaders(in http.Header) http.Header
	// RequestHeaders adds what the system states for one server.
	RequestHeaders(forward http.Header, s call.SendOptions) http.Header
	// CopyAnswerHeaders copies a server's headers into the answer to the caller.
	CopyAnswerHeaders(out, in http.Header)
	// SetRefusalHeaders sets the headers of a refusal; a wait of 0 sets none.
	SetRefusalHeaders(out http.Header, id fleet.RequestID, wait time.Duration)
	ParsePrefilled(body []byte) (call.Prefilled, error)
	// FreeHandle returns the call that frees KV cache at a server.
	FreeHandle(handle string) (method, path string)
}

// Observer counts what happens to requests.
type Observer interface {
	Refused(reason fleet.Reason)
	Retried(reason retry.Reason)
	// Answered is the time to the whole answer or to the first event.
	Answered(route string, took time.Duration)
}

// Options are the parts that a gateway works with.
type Options struct {
	Wire     Wire
	Table    func() *routes.Table
	Pool     *connpool.Pool
	State    *State
	Observer Observer
	Log      *zap.Logger
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	Options
	leaving atomic.Bool
	open    atomic.Int64
}

// New returns a gateway.
func New(o Options) *Gateway { return &Gateway{Options: o} }

// Drain asks callers to close their connections after the current request.
func (g *Gateway) Drain() { g.leaving.Store(true) }

// InFlight returns the number of requests under way.
func (g *Gateway) InFlight() int64 { return g.open.Load() }

const (
	// defaultTimeout bounds a request without a deadline on a route without
	// one.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body while the configuration names no limit.
	defaultBodyBytes = 8 << 20
)

// passage is one request on its way.
type passage struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Time
	end     time.Time
	req     call.Request
	route   *routes.Route
	group   fleet.GroupName
	service *routes.Service
	forward http.Header
	body    []byte
	// tried are the servers that failed or refused the request.
	tried []fleet.UpstreamID
	// sends counts the servers that were sent the request to run it.
	sends int
	// calls counts the calls that reached a server, but for the first read that
	// an engine accepted, which read notes; paid is a call that was taken from
	// the budget and not made yet.
	calls int
	read  bool
	paid  bool
	// source is the KV cache of the prompt that no engine has taken yet, and
	// reader the engine that holds it.
	source *call.KVSource
	reader placement.Server
	// mayHaveRun tells that a server may have run the request.
	mayHaveRun bool
	// committed tells that the head of the answer has been sent.
	committed bool
	// lastEvent is the last whole event that was passed on.
	lastEvent string
	trace     []zap.Field
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	p := &passage{g: g, w: w, r: r, start: time.Now()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	p.req = g.Wire.ParseRequest(r.Header)
	table := g.Table()
	if table == nil {
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonConfigUnknown, unknownConfigWait)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	p.route = table.Lookup(r.Host, path)
	if p.route == nil {
		p.trace = append(p.trace, zap.String("host", r.Host), zap.Int64("version", table.Version))
		p.refuse(http.StatusNotFound, fleet.ReasonNoRoute, 0)
		return
	}
	p.req.Rank = p.route.Priority
	if !p.readBody(table) {
		return
	}
	p.end = p.start.Add(p.limit())
	ctx, stop := context.WithDeadline(r.Context(), p.end)
	defer stop()
	p.ctx = ctx
	p.group = p.route.Service(p.req.ID)
	p.service = table.Service(p.group)
	p.forward = g.Wire.ForwardedHeaders(r.Header)
	p.lastEvent = p.req.LastEventID
	g.State.arrived(p.group)
	defer p.settle()
	p.serve()
}

func (p *passage) serve() {
	switch {
	case p.route.Kind != routes.KindStream:
		p.plain()
	case p.service != nil && p.service.Engine != nil && p.req.PromptTokens > 0:
		p.generate()
	default:
		p.streamPlain()
	}
}

// limit is how long the request may take: the caller's deadline or the route's
// time-out, whichever is sooner.
func (p *passage) limit() time.Duration {
	limit := defaultTimeout
	if p.route.Timeout > 0 {
		limit = p.route.Timeout
	}
	if p.req.Deadline > 0 {
		limit = min(limit, p.req.Deadline)
	}
	return limit
}

// readBody reads the whole body, so that a request can be sent again and a
// caller that leaves is noticed.
func (p *passage) readBody(t *routes.Table) bool {
	if p.r.Body == nil || p.r.Body == http.NoBody {
		return true
	}
	limit := int64(defaultBodyBytes)
	if t.Limits.MaxBodyBytes > 0 {
		limit = t.Limits.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(p.w, p.r.Body, limit))
	if err == nil {
		p.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p.refuse(http.StatusRequestEntityTooLarge, fleet.ReasonTooLarge, 0)
		return false
	}
	p.trace = append(p.trace, logline.Error(err))
	p.refuse(http.StatusBadRequest, fleet.ReasonBadRequest, 0)
	return false
}

// left is the time until the request has to be answered.
func (p *passage) left() time.Duration { return time.Until(p.end) }

func (p *passage) gone() bool { return p.r.Context().Err() != nil }

// minAttempt is the least time that makes another attempt worthwhile.
const minAttempt = 20 * time.Millisecond

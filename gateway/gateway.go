// Package gateway proxies callers' requests to servers and forwards the answers
// byte for byte. It executes the decisions of core: route, admission, choice of
// server, retries within the retry budget, and the guarantees of a refusal.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/door"
)

// Wire converts between the platform's headers and the types of core/call.
type Wire interface {
	connpool.Decoder
	ParseRequest(h http.Header) call.Request
	// ForwardedHeaders returns the caller's headers that are forwarded to
	// servers.
	// Those that hold or name the caller's key are left out if needsKeys is set.
	ForwardedHeaders(in http.Header, needsKeys bool) http.Header
	// Credential returns the key that the caller sent, or "".
	Credential(h http.Header) string
	// RequestHeaders returns the forwarded headers with those of s added.
	RequestHeaders(forward http.Header, s call.SendOptions) http.Header
	// CopyAnswerHeaders copies a server's headers to the answer for the caller.
	CopyAnswerHeaders(out, in http.Header)
	// RelayedHeaders returns the headers of a caller's request for another instance, with
	// the time that is left and the last event that the caller has, if there is one.
	RelayedHeaders(in http.Header, left time.Duration, lastEvent string) http.Header
	// SetRefusalHeaders sets the headers of a refusal; wait is the Retry-After,
	// 0 for none.
	SetRefusalHeaders(out http.Header, id fleet.RequestID, wait time.Duration)
	ParsePrefilled(body []byte) (call.Prefilled, error)
	// FreeHandleRequest returns the call that frees the KV cache under a handle at a
	// server.
	FreeHandleRequest(handle string) (method, path string)
	// ReserveRequest returns the call that makes an engine keep a slot, and memory for
	// a number of tokens, for a time; ParseReservation decodes the name of the
	// reservation from its answer, and DropReservationRequest gives it up.
	ReserveRequest(tokens int, ttl time.Duration) (method, path string, body []byte, err error)
	ParseReservation(body []byte) (string, error)
	DropReservationRequest(name string) (method, path string)
}

// Observer records the outcomes of requests, for example in metrics.
type Observer interface {
	Refused(reason fleet.Reason)
	Retried(reason retry.Reason)
	// Unanswered counts a request that ended without a whole answer.
	Unanswered(cause UnansweredCause)
	// AdmittedLate counts a request that was admitted although it is expected to
	// miss its latency target.
	AdmittedLate()
	// Relayed counts a request that was relayed to another instance, and RelayServed one
	// that another instance has relayed to this one.
	Relayed(outcome RelayOutcome)
	RelayServed(outcome RelayOutcome)
	// Answered records the time to the complete answer, or to the first event
	// of a stream.
	Answered(route string, took time.Duration)
}

// Options holds the dependencies of a Gateway.
type Options struct {
	Wire Wire
	// Table returns the configuration in force, or nil before the first one.
	Table func() *routes.Table
	// Freshness returns what the configuration can be used for that Table returns
	// afterwards; nil if its age does not matter.
	Freshness func() freshness.Verdict
	Pool      *connpool.Pool
	State     *State
	// Links tells whether this instance reaches the servers; nil if it always does.
	Links Links
	// ProveLinks reports whether a server besides that at an address has been reached
	// since a time, or can be reached now; nil if they always can.
	ProveLinks func(since time.Time, besides string) bool
	Observer   Observer
	// ConfirmVersions reads which software versions may have begun streams of a service
	// from where all instances record them; nil if they don't. AskStreamVersion asks
	// other instances which one began a stream; nil if there are none.
	ConfirmVersions  func(ctx context.Context, group fleet.GroupName) ([]string, error)
	AskStreamVersion func(ctx context.Context, group fleet.GroupName, k takeup.Key, confirm bool) takeup.Answer
	// Usage counts the members' requests; nil if they are not counted.
	Usage Counter
	// Relay passes requests to other instances while this one doesn't reach the servers;
	// nil if there are none.
	Relay *Relay
	// ServerLeaves is called when a server's process says that it leaves. No
	// server that leaves may be chosen after it has returned.
	ServerLeaves func(fleet.Process)
	// Budget is the memory for bodies and answers that are buffered at the same
	// time. Without it BufferBytes bounds either; 0 selects a default.
	Budget      *door.Budget
	BufferBytes int64
	Log         *zap.Logger
}

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	Options
	// endsAt is when the process ends in a planned stop; nil before one begins.
	endsAt   atomic.Pointer[time.Time]
	inFlight atomic.Int64
	open     openRequests
	watches  openWatches
	budget   *door.Budget
}

// New returns a Gateway.
func New(o Options) *Gateway {
	g := &Gateway{Options: o}
	if g.Freshness == nil {
		g.Freshness = func() freshness.Verdict { return freshness.Current }
	}
	if g.Links == nil {
		g.Links = soundLinks{}
	}
	o.State.SetLinks(g.Links)
	o.State.SetLog(o.Log)
	if g.budget = o.Budget; g.budget == nil {
		limit := o.BufferBytes
		if limit <= 0 {
			limit = defaultBufferBytes
		}
		g.budget = door.NewBudget(2*limit, limit)
	}
	return g
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

const (
	// defaultTimeout bounds a request without a deadline on a route without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a request body when the configuration has no
	// limit.
	defaultBodyBytes = 8 << 20
)

// proxyRequest is the state of one request while it is proxied.
type proxyRequest struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	start    time.Time
	deadline time.Time
	req      call.Request
	// table is the configuration under which the request was authenticated, key
	// the key that its caller sent, "" if it needs none, and keyRejected the
	// reason for which it must not be sent any more.
	table       *routes.Table
	key         string
	keyRejected fleet.Reason
	route       *routes.Route
	group       fleet.GroupName
	service     *routes.Service
	forward     http.Header
	// conn is the caller's connection, nil if it is not a door.Conn; memory is where
	// the request's memory is reserved.
	conn   *door.Conn
	memory door.Memory
	// hop is what another instance has told about a request that it relays; nil for a
	// request of this instance's callers.
	hop *hop
	// body is the request's body, nil for none; bodyBegun and bodyRead report whether
	// reading it has begun and whether it has been read to its end.
	body                *body
	bodyBegun, bodyRead bool
	// tried are the servers that failed or rejected the request.
	tried []fleet.UpstreamID
	// software is the software version that began the stream, nil while none has;
	// versionRecorded reports whether it has been recorded.
	software        *string
	versionRecorded bool
	// askAgain is the last server that the request may be sent to, which has turned it
	// away and is asked again; nil for none.
	askAgain *placement.Choice
	// slot is what an engine keeps for the request; nil for none.
	slot *slot
	// sentTo are the addresses to which a call was sent or was to be sent.
	sentTo []string
	// sends counts the servers to which the request was sent to be run.
	sends int
	// calls counts the calls that reached a server, except the first accepted
	// prefill, which sets prefilled. reservedRetries is the number of retries that
	// were spent from the budget and not sent yet.
	calls           int
	prefilled       bool
	reservedRetries int
	// kvSource is the KV cache of the prompt that no engine has fetched yet,
	// and prefillServer the engine that holds it.
	kvSource      *call.KVSource
	prefillServer placement.Server
	// late reports whether the request is sent behind all others because it is
	// expected to miss its latency target.
	late bool
	// connFailed reports whether the last attempt failed by its connection.
	connFailed bool
	// mayHaveRun reports whether a server may have run the request.
	mayHaveRun bool
	// headWritten reports whether the head of the answer has been written.
	headWritten bool
	// complete reports whether the caller got a whole answer, as far as this
	// instance knows, and bodyTimedOut whether it did not send its body in time.
	complete, bodyTimedOut bool
	// denial is the reason for which the request was not sent to another server.
	denial retry.Denial
	// trial is the request's admission by the quarantine, and serverEnded and
	// abandoned report whether a server's connection ended under the request, and
	// whether an attempt at one was given up.
	trial                  quarantineTrial
	serverEnded, abandoned bool
	digest                 requestDigest
	// turnedAway reports whether the server of the last attempt turned it away
	// for a time.
	turnedAway bool
	// limit is the rate that the server of the last attempt named, or nil.
	limit *call.RateLimit
	// demandCounted reports whether the request has been counted as demand, and usage is
	// the state of the count for usage reports.
	demandCounted bool
	usage         usageCount
	// events is the number of events of the last attempt.
	events int
	// firstEventAt is when its first event came.
	firstEventAt time.Time
	// lastEvent is the id of the last complete event that was forwarded, and
	// lastEventAt when it came.
	lastEvent   string
	lastEventAt time.Time
	// bodies are the buffered answers, released with the request.
	bodies    []*body
	logFields []zap.Field
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve serves a request of a caller, or of another instance if h is not nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, h *hop) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	p := &proxyRequest{g: g, w: w, r: r, start: time.Now(), hop: h}
	defer p.finish()
	p.memory = p.blockBudget()
	if p.conn = door.FromContext(r.Context()); p.conn != nil {
		p.memory = p.conn
	}
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	p.req = g.Wire.ParseRequest(r.Header)
	r.Header.Del(relayHeader)
	if h != nil && p.refusedForPeer() {
		return
	}
	// The verdict is asked for first: the configuration may be replaced and confirmed
	// at any moment.
	verdict := g.Freshness()
	table := g.Table()
	if table == nil {
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonConfigUnknown, unknownConfigWait)
		return
	}
	p.route, p.table = table.Lookup(r.Host, requestPath(r)), table
	if !p.authenticate(verdict) {
		return
	}
	if p.route == nil {
		p.logFields = append(p.logFields, zap.String("host", r.Host), zap.Int64("version", table.Version))
		p.refuse(http.StatusNotFound, fleet.ReasonNoRoute, 0)
		return
	}
	p.deadline = p.start.Add(p.timeout())
	open := openRequest{id: p.req.ID, route: p.route.Name, start: p.start, deadline: p.deadline}
	if !r.ProtoAtLeast(1, 1) {
		open.unframed = p.conn
	}
	defer g.open.add(open)()
	p.boundConnection(p.deadline)
	if !p.readBody(table) || !p.acceptedWhileDraining() {
		return
	}
	ctx, stop := context.WithDeadline(r.Context(), p.deadline)
	defer stop()
	p.ctx = ctx
	p.group = p.route.Service(p.req.ID)
	p.service = table.Service(p.group)
	p.forward = g.Wire.ForwardedHeaders(r.Header, table.Members() != nil)
	p.lastEvent = p.req.LastEventID
	defer p.refundRetries()
	if p.mayRelay() && !g.Links.Direct() && (!p.mayBeAnswered() || p.relay(causeNoLinks)) {
		return
	}
	if h != nil {
		p.acceptHop()
	}
	p.countDemand()
	defer p.endTrial()
	p.serve()
}

// requestPath returns the path of a request as the caller sent it.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// finish gives back the memory of buffered answers. It ends the connection of a
// caller that got no whole answer, because it seemed to have left; net/http would
// end the answer in order otherwise, and a caller that has only closed its sending
// side would take it for a complete one.
func (p *proxyRequest) finish() {
	if p.hop != nil {
		defer p.finishHop()
	}
	for _, b := range p.bodies {
		b.release()
	}
	p.body.release()
	switch cause := recover(); {
	case cause == http.ErrAbortHandler:
		panic(cause)
	case cause != nil:
		p.unanswered(zapcore.ErrorLevel, CausePanic, zap.Any("panic", cause), zap.Stack("stack"))
		panic(http.ErrAbortHandler)
	case !p.complete:
		p.unanswered(zapcore.InfoLevel, CauseCallerLeft)
		p.abort()
	}
}

// serve serves a request in the way that suits its route and service.
func (p *proxyRequest) serve() {
	if p.exceedsEngines() || !p.mayBeAnswered() || p.mayNotBeSent() || !p.findVersion() || !p.withinLimits() {
		return
	}
	switch {
	case p.route.Kind != routes.KindStream:
		p.servePlain()
	case p.service != nil && p.service.Engine != nil && p.req.PromptTokens > 0:
		p.serveEngine()
	default:
		p.servePlainStream()
	}
}

// remaining returns the time until the deadline.
func (p *proxyRequest) remaining() time.Duration { return time.Until(p.deadline) }

// callerGone reports whether the caller has disconnected.
func (p *proxyRequest) callerGone() bool { return p.r.Context().Err() != nil }

// minAttempt is the least remaining time for another attempt.
const minAttempt = 20 * time.Millisecond

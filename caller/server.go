// Package caller implements the HTTP interface for callers: OpenAI-style
// completions and declared routes to plain services.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/upstream"
)

// requestIDHeader carries the request id to callers and services.
const requestIDHeader = "X-Request-Id"

// Requests is the part of dispatch.Dispatcher that the server uses.
type Requests interface {
	Submit(ctx context.Context, r sched.Request) (*dispatch.Ticket, *fleet.Refusal)
}

// Observer records refusals, retries and the times of answers.
type Observer interface {
	Refused(reason fleet.Reason)
	Retried(reason retry.Reason)
	// FirstToken is called with the first-token time of a request, counted
	// from its arrival.
	FirstToken(kind fleet.KindName, d time.Duration)
	// TokenGap is called with the time between two chunks of an answer.
	TokenGap(kind fleet.KindName, d time.Duration)
}

// Options holds the dependencies and settings of a Server.
type Options struct {
	// Index returns the declaration in force, or nil when none is known.
	Index    func() *declare.Index
	Requests Requests
	Engines  *upstream.EngineClient
	Services *upstream.ServiceClient
	// Claims may be nil; then calls with an idempotency key of kinds that are
	// not repeatable are refused.
	Claims   Claims
	Observer Observer
	Log      *zap.Logger
	// Limits defaults to DefaultLimits if it is zero.
	Limits Limits
	// Seed makes retry delays differ between instances.
	Seed uint64
}

// Server serves the requests of callers.
type Server struct {
	Options
	echo               *echo.Echo
	limiter            limiter
	retrier            *retrier
	openRequests       registry
	keepAlivesDisabled atomic.Bool
}

// NewServer returns a server with all its routes.
func NewServer(o Options) *Server {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits
	}
	s := &Server{Options: o, echo: echo.New(), retrier: newRetrier(o.Seed)}
	s.limiter.limits = o.Limits
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.POST("/v1/completions", s.handle(s.completions))
	s.echo.POST("/v1/chat/completions", s.handle(s.chatCompletions))
	s.echo.GET("/v1/models", s.handle(s.models))
	s.echo.Any("/*", s.handle(s.service))
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// DisableKeepAlives asks callers to close their connections after the current
// request. It is called at the start of a planned stop, so that no request
// arrives on a connection that is then closed.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// call holds the state of one request of a caller.
type call struct {
	s             *Server
	c             echo.Context
	id            fleet.RequestID
	start         time.Time
	index         *declare.Index
	member        *declare.Member
	kind          *declare.Kind
	ticket        *dispatch.Ticket
	writeDeadline *writeDeadline
	// events is the writer of a streamed answer, nil for any other answer.
	events *sseWriter
}

// handle wraps a handler with the steps that all requests have in common: an
// id, the limit of open requests, authentication and the answer to a refusal.
func (s *Server) handle(serve func(*call) *fleet.Refusal) echo.HandlerFunc {
	return func(c echo.Context) error {
		k := &call{s: s, c: c, id: newRequestID(), start: time.Now(), writeDeadline: newWriteDeadline(c, s.Limits.WriteTimeout)}
		// Replaces the write deadline of an earlier request on the connection.
		k.writeDeadline.extend()
		c.Response().Header().Set(requestIDHeader, string(k.id))
		if s.keepAlivesDisabled.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		if refusal := s.limiter.admit(); refusal != nil {
			return s.refuse(k, refusal)
		}
		defer s.limiter.done()
		s.openRequests.add(k.id, k.start)
		defer s.openRequests.remove(k.id)
		refusal := k.authenticate()
		if refusal == nil {
			refusal = serve(k)
		}
		if refusal != nil {
			return s.refuse(k, refusal)
		}
		return nil
	}
}

// authenticate sets the call's member by the bearer key, or returns a refusal.
func (k *call) authenticate() *fleet.Refusal {
	k.index = k.s.Index()
	if k.index == nil {
		return fleet.Refuse(fleet.ReasonConfigUnknown, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(k.c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fleet.Refuse(fleet.ReasonUnknownKey, "the Authorization header has no bearer key")
	}
	k.member = k.index.MemberByKey(key)
	if k.member == nil {
		return fleet.Refuse(fleet.ReasonUnknownKey, "the key is not known")
	}
	return nil
}

// setKind sets the request's kind, here and in the list of open requests, and
// adds the request to the retry budget of the kind's group.
func (k *call) setKind(kind *declare.Kind) {
	k.kind = kind
	k.s.openRequests.describe(k.id, k.member.ID, kind.Name)
	k.s.retrier.addRequest(kind.Group)
}

// withDeadline returns a context that ends at the kind's deadline or when the
// caller leaves.
func (k *call) withDeadline() (context.Context, context.CancelFunc) {
	limit := k.kind.Deadline
	if limit <= 0 {
		limit = k.s.Limits.DefaultDeadline
	}
	return context.WithDeadline(k.c.Request().Context(), k.start.Add(limit))
}

// address returns an upstream's address, or "" when the configuration no
// longer declares it.
func (k *call) address(id fleet.UpstreamID) string {
	for _, index := range []*declare.Index{k.index, k.s.Index()} {
		if index == nil {
			continue
		}
		if u := index.Upstream(id); u != nil {
			return u.Address
		}
	}
	return ""
}

// log returns a logger with the fields of the request that are known.
func (k *call) log() *zap.Logger {
	fields := []zap.Field{zap.String("request_id", string(k.id))}
	if k.member != nil {
		fields = append(fields, zap.String("member", string(k.member.ID)))
	}
	if k.kind != nil {
		fields = append(fields, zap.String("kind", string(k.kind.Name)))
	}
	if k.ticket != nil {
		fields = append(fields, zap.String("upstream", string(k.ticket.Choice.Target)))
	}
	return k.s.Log.With(fields...)
}

// newRequestID returns an id of 96 random bits in hex.
func newRequestID() fleet.RequestID {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return fleet.RequestID(hex.EncodeToString(raw[:]))
}

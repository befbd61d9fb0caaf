// Package caller is the HTTP interface for callers: OpenAI-style completions
// and declared routes to plain services.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/upstream"
)

// Requests is the part of the dispatcher that the server needs.
type Requests interface {
	Submit(ctx context.Context, r sched.Request) (*dispatch.Ticket, *fleet.Refusal)
}

// Observer counts refusals and retries.
type Observer interface {
	Refused(reason fleet.Reason)
	Retried(reason string)
}

// Options are the parts that a server works with.
type Options struct {
	// Index returns the declaration in force, or nil when none is known.
	Index    func() *declare.Index
	Requests Requests
	Engines  *upstream.EngineClient
	Services *upstream.ServiceClient
	// Claims may be nil; then calls with an idempotency key are refused.
	Claims   Claims
	Observer Observer
	Log      *zap.Logger
}

// Server answers callers.
type Server struct {
	Options
	echo *echo.Echo
}

// NewServer returns a server with all routes in place.
func NewServer(o Options) *Server {
	s := &Server{Options: o, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.POST("/v1/completions", s.completions)
	s.echo.POST("/v1/chat/completions", s.chatCompletions)
	s.echo.GET("/v1/models", s.models)
	s.echo.Any("/*", s.service)
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// identify authenticates the caller and resolves the kind. An empty wanted
// kind gives the member's first kind.
func (s *Server) identify(c echo.Context) (*declare.Index, *declare.Member, *fleet.Refusal) {
	index := s.Index()
	if index == nil {
		return nil, nil, fleet.Refuse(fleet.ReasonConfigUnknown, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, nil, fleet.Refuse(fleet.ReasonUnknownKey, "the Authorization header has no bearer key")
	}
	member := index.MemberByKey(key)
	if member == nil {
		return nil, nil, fleet.Refuse(fleet.ReasonUnknownKey, "the key is not known")
	}
	return index, member, nil
}

func newRequestID() fleet.RequestID {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return fleet.RequestID(hex.EncodeToString(raw[:]))
}

// errorBody is the JSON answer to a refused request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Reason    fleet.Reason    `json:"reason"`
	Outcome   fleet.Outcome   `json:"outcome"`
	Message   string          `json:"message"`
	RequestID fleet.RequestID `json:"request_id,omitempty"`
}

var statusOf = map[fleet.Reason]int{
	fleet.ReasonBadRequest:         http.StatusBadRequest,
	fleet.ReasonUnknownKey:         http.StatusUnauthorized,
	fleet.ReasonKindNotGranted:     http.StatusForbidden,
	fleet.ReasonTooLarge:           http.StatusRequestEntityTooLarge,
	fleet.ReasonShareUsedUp:        http.StatusTooManyRequests,
	fleet.ReasonQueueFull:          http.StatusTooManyRequests,
	fleet.ReasonDeadlineUnmeetable: http.StatusServiceUnavailable,
	fleet.ReasonNoUpstream:         http.StatusServiceUnavailable,
	fleet.ReasonConfigUnknown:      http.StatusServiceUnavailable,
	fleet.ReasonDraining:           http.StatusServiceUnavailable,
	fleet.ReasonClaimNotPossible:   http.StatusServiceUnavailable,
	fleet.ReasonUpstreamFailed:     http.StatusBadGateway,
	fleet.ReasonOutcomeUnknown:     http.StatusBadGateway,
}

func (s *Server) refuse(c echo.Context, id fleet.RequestID, r *fleet.Refusal) error {
	s.Observer.Refused(r.Reason)
	s.Log.Info("request refused", zap.String("request_id", string(id)),
		zap.String("reason", string(r.Reason)), zap.String("outcome", string(r.Outcome)))
	status, ok := statusOf[r.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	return c.JSON(status, errorBody{Error: errorDetail{
		Reason: r.Reason, Outcome: r.Outcome, Message: r.Detail, RequestID: id,
	}})
}

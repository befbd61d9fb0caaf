package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/claim"
	coreclaim "github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

// Claims makes calls with an idempotency key run at most once.
type Claims interface {
	Do(ctx context.Context, call claim.Call, send func(context.Context) claim.Sent) (coreclaim.Answer, bool, *fleet.Refusal)
}

const (
	idempotencyHeader = "Idempotency-Key"
	// replayedHeader marks an answer that was recorded for an earlier call.
	replayedHeader = "Idempotent-Replayed"
	// onceTimeout bounds a call of a kind without a deadline.
	onceTimeout = time.Minute
)

// once answers a call of a kind that may not be repeated and that carries an
// idempotency key. The claim comes before the queue: only the claim tells
// whether an earlier call with the same key ran, so a refusal by the scheduler
// that came first could report "not run" for a payout that did run.
func (s *Server) once(c echo.Context, id fleet.RequestID, index *declare.Index, member *declare.Member, kind *declare.Kind) error {
	if s.Claims == nil {
		return s.refuse(c, id, fleet.Refuse(fleet.ReasonClaimNotPossible, "no claims can be made at this instance"))
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBytes))
	if err != nil {
		return s.refuse(c, id, fleet.Refuse(fleet.ReasonBadRequest, "the body cannot be read: %v", err))
	}
	call := claim.Call{
		Member: member.ID, Key: c.Request().Header.Get(idempotencyHeader),
		Method: c.Request().Method, Path: c.Request().URL.RequestURI(), Body: body,
	}
	answer, replayed, refusal := s.Claims.Do(c.Request().Context(), call, func(ctx context.Context) claim.Sent {
		request := sched.Request{ID: id, Member: member.ID, Kind: kind.Name}
		return s.sendOnce(ctx, index, kind, request, call, c.Request().Header.Get("Content-Type"))
	})
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	if replayed {
		c.Response().Header().Set(replayedHeader, "true")
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// sendOnce queues the call and sends it in one attempt. A caller that leaves
// ends the wait in the queue, but not a call that has been sent.
func (s *Server) sendOnce(ctx context.Context, index *declare.Index, kind *declare.Kind, r sched.Request, call claim.Call, contentType string) claim.Sent {
	ticket, refusal := s.Requests.Submit(ctx, r)
	if refusal != nil {
		return claim.Sent{Refusal: refusal}
	}
	timeout := kind.Deadline
	if timeout <= 0 {
		timeout = onceTimeout
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	address := index.Upstream(ticket.Choice.Target).Address
	resp, err := s.Services.Call(ctx, address, call.Method, call.Path, contentType, bytes.NewReader(call.Body))
	if err != nil {
		ticket.Fail()
		if upstream.NotSent(err) {
			return claim.Sent{Refusal: fleet.Refuse(fleet.ReasonUpstreamFailed, "%v", err)}
		}
		return claim.Sent{Lost: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRequestBytes+1))
	if err == nil && len(body) > maxRequestBytes {
		err = errors.Errorf("the answer of service %s exceeds %d bytes", address, maxRequestBytes)
	}
	if err != nil {
		ticket.Fail()
		return claim.Sent{Lost: errors.Wrapf(err, "read answer of service %s", address)}
	}
	ticket.Finish(fleet.Usage{})
	return claim.Sent{Answer: coreclaim.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}}
}

package caller

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

// memberHeader carries the calling member's id to a service; callers cannot set
// it.
const memberHeader = "X-Member"

// forwarded lists the caller's headers that are passed on to a service.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// service forwards a call on a declared route to a plain service.
func (s *Server) service(k *call) *fleet.Refusal {
	path := k.c.Request().URL.Path
	if !cleanPath(path) {
		return fleet.Refuse(fleet.ReasonBadRequest, "the path has empty, . or .. elements")
	}
	route := k.index.Route(path)
	if route == nil || !k.member.MaySend(route.Kind) {
		return fleet.Refuse(fleet.ReasonKindNotGranted, "no granted route matches the path")
	}
	k.setKind(k.index.Kind(route.Kind))
	body, release, refusal := s.limiter.readBody(k.c)
	defer release()
	if refusal != nil {
		return refusal
	}
	if !k.kind.Repeatable && k.c.Request().Header.Get(idempotencyHeader) != "" {
		return s.serveIdempotent(k, body)
	}
	ctx, cancel := k.withDeadline()
	defer cancel()
	answer, refusal := k.callService(ctx, body)
	if refusal != nil {
		return refusal
	}
	defer answer.Close()
	return k.relay(ctx, answer)
}

// cleanPath reports whether the path has no empty, "." or ".." elements, by
// which a service could resolve it to a path outside its route.
func cleanPath(path string) bool {
	for _, element := range strings.Split(strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/"), "/") {
		if path != "/" && (element == "" || element == "." || element == "..") {
			return false
		}
	}
	return true
}

// callService sends the call to a service and retries failed attempts. A call
// of a kind that is not repeatable is retried only if it was certainly never
// sent (invariant 6).
func (k *call) callService(ctx context.Context, body []byte) (*upstream.Answer, *fleet.Refusal) {
	var refusal *fleet.Refusal
	k.ticket, refusal = k.s.Requests.Submit(ctx, sched.Request{ID: k.id, Member: k.member.ID, Kind: k.kind.Name})
	if refusal != nil {
		return nil, refusal
	}
	mayHaveRun := false
	for failures := 1; ; failures++ {
		answer, err := k.s.Services.Call(ctx, k.address(k.ticket.Choice.Target), k.serviceCall(body))
		mayHaveRun = mayHaveRun || !neverSent(err)
		failed := retryableFailure(answer, err)
		if failed == nil {
			return answer, nil
		}
		decision := k.decideRetry(ctx, failed, failures, mayHaveRun)
		if !decision.Allowed() && answer != nil {
			return answer, nil // the service's own error is passed on
		}
		if answer != nil {
			answer.Close()
		}
		if !decision.Allowed() {
			return nil, k.refuseFailedCall(failed, mayHaveRun)
		}
		k.s.Observer.Retried(failed.Reason)
		k.log().Info("call repeated", zap.String("step", string(failed.Step)), zap.String("reason", string(failed.Reason)))
		sleep(ctx, decision.Delay)
		ticket, refusal := k.ticket.Retry(ctx)
		if refusal != nil {
			return nil, afterAttempt(refusal, mayHaveRun)
		}
		k.ticket = ticket
	}
}

// neverSent reports whether an attempt certainly did not reach the service.
func neverSent(err error) bool {
	var failed *upstream.Error
	return errors.As(err, &failed) && failed.NeverSent
}

// retryableFailure returns the failure of an attempt that may be retried, or
// nil for an answer to pass on. If err is nil, answer must be set.
func retryableFailure(answer *upstream.Answer, err error) *upstream.Error {
	var failed *upstream.Error
	if errors.As(err, &failed) {
		return failed
	}
	switch answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return &upstream.Error{Step: upstream.StepCall, Reason: retry.ReasonUpstreamStatus, Status: answer.Status}
	}
	return nil
}

// decideRetry counts the failure of the upstream and decides about a retry.
func (k *call) decideRetry(ctx context.Context, failed *upstream.Error, failures int, mayHaveRun bool) retry.Decision {
	if ctx.Err() != nil {
		return retry.Decision{Denial: retry.DenyDeadline}
	}
	k.ticket.ReportFailure(k.ticket.Choice.Target)
	return k.s.retrier.decide(retry.Attempt{
		Group: k.kind.Group, Failures: failures, NeverSent: !mayHaveRun, Permanent: failed.Permanent(),
		Repeatable: k.kind.Repeatable, Remaining: remaining(ctx),
	})
}

// refuseFailedCall ends a call without an answer and returns its refusal.
func (k *call) refuseFailedCall(failed *upstream.Error, mayHaveRun bool) *fleet.Refusal {
	if k.c.Request().Context().Err() != nil {
		k.ticket.Cancel()
		return afterAttempt(fleet.Refuse(fleet.ReasonCallerGone, "the caller left before the answer"), mayHaveRun)
	}
	k.ticket.Fail()
	reason := fleet.ReasonUpstreamFailed
	if mayHaveRun {
		reason = fleet.ReasonOutcomeUnknown
	}
	return afterAttempt(fleet.Refuse(reason, "%s", failed.Error()), mayHaveRun)
}

// afterAttempt returns a copy of the refusal with the outcome that follows from
// mayHaveRun, which the scheduler does not know (invariant 5).
func afterAttempt(r *fleet.Refusal, mayHaveRun bool) *fleet.Refusal {
	out := *r
	switch {
	case !mayHaveRun:
		out.Outcome = fleet.OutcomeNotRun
	case out.Outcome == fleet.OutcomeNotRun:
		out.Outcome = fleet.OutcomeUnknown
	}
	return &out
}

// serviceCall returns the call to send to the service.
func (k *call) serviceCall(body []byte) upstream.Call {
	r := k.c.Request()
	header := http.Header{}
	for _, name := range forwarded {
		if values := r.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	header.Set(requestIDHeader, string(k.id))
	header.Set(memberHeader, string(k.member.ID))
	return upstream.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: header, Body: body}
}

// hopByHopHeaders lists the headers that concern a single connection (RFC 9110,
// section 7.6.1), and the request id, which the server sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, requestIDHeader: true,
}

// copyHeader copies the headers of a service's answer except the hop-by-hop
// headers and those that the Connection header lists.
func copyHeader(to, from http.Header) {
	named := strings.Split(strings.Join(from["Connection"], ","), ",")
	for name, values := range from {
		local := slices.ContainsFunc(named, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), name) })
		if !hopByHopHeaders[name] && !local {
			to[name] = values
		}
	}
}

// relayBufferBytes is the size of the buffer for passing an answer on.
const relayBufferBytes = 16 << 10

// relay passes the service's answer to the caller as it arrives.
func (k *call) relay(ctx context.Context, answer *upstream.Answer) *fleet.Refusal {
	copyHeader(k.c.Response().Header(), answer.Header)
	k.c.Response().WriteHeader(answer.Status)
	_, err := io.CopyBuffer(&deadlineWriter{w: k.c.Response(), deadline: k.writeDeadline}, answer, make([]byte, relayBufferBytes))
	var failed *upstream.Error
	switch {
	case err == nil:
		k.ticket.Finish(fleet.Usage{})
		return nil
	case errors.As(err, &failed) && ctx.Err() == nil:
		k.ticket.ReportFailure(k.ticket.Choice.Target)
		k.ticket.Fail()
		return &fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeUnknown, Detail: failed.Error()}
	}
	k.ticket.Cancel()
	return &fleet.Refusal{Reason: fleet.ReasonCallerGone, Outcome: fleet.OutcomeUnknown, Detail: "the caller left before the end of the answer"}
}

// deadlineWriter extends the write deadline before each write.
type deadlineWriter struct {
	w        io.Writer
	deadline *writeDeadline
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(b []byte) (int, error) {
	d.deadline.extend()
	return d.w.Write(b)
}

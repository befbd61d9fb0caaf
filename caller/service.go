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

// memberHeader tells a service which member calls; callers cannot set it.
const memberHeader = "X-Member"

// forwarded are the caller's headers that a service sees.
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
	body, release, refusal := s.gate.readBody(k.c)
	defer release()
	if refusal != nil {
		return refusal
	}
	if !k.kind.Repeatable && k.c.Request().Header.Get(idempotencyHeader) != "" {
		return s.once(k, body)
	}
	ctx, cancel := k.deadline()
	defer cancel()
	answer, refusal := k.callService(ctx, body)
	if refusal != nil {
		return refusal
	}
	defer answer.Close()
	return k.relay(ctx, answer)
}

// cleanPath tells that a service cannot read the path as one outside its route.
func cleanPath(path string) bool {
	for _, element := range strings.Split(strings.TrimSuffix(strings.TrimPrefix(path, "/"), "/"), "/") {
		if path != "/" && (element == "" || element == "." || element == "..") {
			return false
		}
	}
	return true
}

// callService sends the call. A kind that is not repeatable is sent again only
// when it certainly was not sent before (invariant 6).
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
		failed := serviceFailure(answer, err)
		if failed == nil {
			return answer, nil
		}
		decision := k.decide(ctx, failed, failures, mayHaveRun)
		if !decision.Allowed() && answer != nil {
			return answer, nil // the service's own error is passed on
		}
		if answer != nil {
			answer.Close()
		}
		if !decision.Allowed() {
			return nil, k.serviceFailed(failed, mayHaveRun)
		}
		k.s.Observer.Retried(failed.Reason)
		k.log().Info("call repeated", zap.String("step", string(failed.Step)), zap.String("reason", string(failed.Reason)))
		pause(ctx, decision.Delay)
		ticket, refusal := k.ticket.Retry(ctx)
		if refusal != nil {
			return nil, afterAttempt(refusal, mayHaveRun)
		}
		k.ticket = ticket
	}
}

// neverSent tells that an attempt certainly did not reach the service.
func neverSent(err error) bool {
	var failed *upstream.Error
	return errors.As(err, &failed) && failed.NeverSent
}

// serviceFailure returns what allows another attempt, or nil for an answer to
// pass on.
func serviceFailure(answer *upstream.Answer, err error) *upstream.Error {
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

func (k *call) decide(ctx context.Context, failed *upstream.Error, failures int, mayHaveRun bool) retry.Decision {
	if ctx.Err() != nil {
		return retry.Decision{Denial: retry.DenyDeadline}
	}
	k.ticket.ReportFailure(k.ticket.Choice.Target)
	return k.s.retrier.decide(retry.Attempt{
		Group: k.kind.Group, Failures: failures, NeverSent: !mayHaveRun, Permanent: failed.Permanent(),
		Repeatable: k.kind.Repeatable, Remaining: remaining(ctx),
	})
}

// serviceFailed ends a call without an answer.
func (k *call) serviceFailed(failed *upstream.Error, mayHaveRun bool) *fleet.Refusal {
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

// afterAttempt states the outcome of a refusal that follows an attempt, which
// the scheduler cannot know (invariant 5).
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

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, requestIDHeader: true,
}

// copyHeader copies what is meant for the caller. The header Connection names
// further headers of its connection.
func copyHeader(to, from http.Header) {
	named := strings.Split(strings.Join(from["Connection"], ","), ",")
	for name, values := range from {
		local := slices.ContainsFunc(named, func(n string) bool { return strings.EqualFold(strings.TrimSpace(n), name) })
		if !hopHeaders[name] && !local {
			to[name] = values
		}
	}
}

// relayBytes is the size of the pieces in which an answer is passed on.
const relayBytes = 16 << 10

// relay passes the service's answer on as it arrives.
func (k *call) relay(ctx context.Context, answer *upstream.Answer) *fleet.Refusal {
	copyHeader(k.c.Response().Header(), answer.Header)
	k.c.Response().WriteHeader(answer.Status)
	_, err := io.CopyBuffer(&pacedWriter{w: k.c.Response(), pacer: k.pacer}, answer, make([]byte, relayBytes))
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

// pacedWriter extends the write deadline with each piece.
type pacedWriter struct {
	w     io.Writer
	pacer *pacer
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	p.pacer.extend()
	return p.w.Write(b)
}

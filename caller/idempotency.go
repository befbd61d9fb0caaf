package caller

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/claim"
	coreclaim "github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Claims ensures that calls with the same idempotency key run at most once.
type Claims interface {
	Do(ctx context.Context, call claim.Call, send func(context.Context) claim.SendResult) (coreclaim.Answer, bool, *fleet.Refusal)
}

const (
	idempotencyHeader = "Idempotency-Key"
	// replayedHeader is set on an answer that was recorded for an earlier call.
	replayedHeader = "Idempotent-Replayed"
	// idempotentCallTimeout bounds a call of a kind that declares no deadline.
	idempotentCallTimeout = time.Minute
	// maxClaimedAnswerBytes bounds an answer, which is held in memory as a
	// whole.
	maxClaimedAnswerBytes = 8 << 20
)

// serveIdempotent answers a call that has an idempotency key and whose kind is
// not repeatable. The claim is made before the call is queued: only the claim
// tells whether an earlier call with the same key ran, and a refusal by the
// scheduler before that could report "not run" for a payout that did run.
func (s *Server) serveIdempotent(k *call, body []byte) *fleet.Refusal {
	if s.Claims == nil {
		return fleet.Refuse(fleet.ReasonClaimNotPossible, "no claims can be made at this instance")
	}
	r := k.c.Request()
	request := claim.Call{
		Member: k.member.ID, Key: r.Header.Get(idempotencyHeader),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}
	answer, replayed, refusal := s.Claims.Do(r.Context(), request, func(ctx context.Context) claim.SendResult {
		return k.sendOnce(ctx, body)
	})
	if refusal != nil {
		return refusal
	}
	if replayed {
		k.c.Response().Header().Set(replayedHeader, "true")
	}
	if err := k.c.Blob(answer.Status, answer.ContentType, answer.Body); err != nil {
		return &fleet.Refusal{Reason: fleet.ReasonCallerGone, Outcome: fleet.OutcomeRun, Detail: "the caller left before the end of the answer"}
	}
	return nil
}

// sendOnce queues the call and makes a single attempt. If the caller leaves, a
// queued call is cancelled, but a call that has been sent continues.
func (k *call) sendOnce(ctx context.Context, body []byte) claim.SendResult {
	ticket, refusal := k.s.Requests.Submit(ctx, sched.Request{ID: k.id, Member: k.member.ID, Kind: k.kind.Name})
	if refusal != nil {
		return claim.SendResult{Refusal: refusal}
	}
	timeout := k.kind.Deadline
	if timeout <= 0 {
		timeout = idempotentCallTimeout
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer stop()
	address := k.address(ticket.Choice.Target)
	resp, err := k.s.Services.Call(ctx, address, k.serviceCall(body))
	if err != nil {
		ticket.Fail()
		if neverSent(err) {
			return claim.SendResult{Refusal: fleet.Refuse(fleet.ReasonUpstreamFailed, "%v", err)}
		}
		return claim.SendResult{AnswerLost: err}
	}
	defer resp.Close()
	answerBody, err := io.ReadAll(io.LimitReader(resp, maxClaimedAnswerBytes+1))
	if err == nil && len(answerBody) > maxClaimedAnswerBytes {
		err = errors.Errorf("the answer of service %s exceeds %d bytes", address, maxClaimedAnswerBytes)
	}
	if err != nil {
		ticket.Fail()
		return claim.SendResult{AnswerLost: errors.Wrapf(err, "read answer of service %s", address)}
	}
	ticket.Finish(fleet.Usage{})
	return claim.SendResult{Answer: coreclaim.Answer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: answerBody}}
}

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

// Claims makes calls with an idempotency key run at most once.
type Claims interface {
	Do(ctx context.Context, call claim.Call, send func(context.Context) claim.SendResult) (coreclaim.Answer, bool, *fleet.Refusal)
}

const (
	idempotencyHeader = "Idempotency-Key"
	// replayedHeader marks an answer that was recorded for an earlier call.
	replayedHeader = "Idempotent-Replayed"
	// onceTimeout bounds a call of a kind without a deadline.
	onceTimeout = time.Minute
	// maxClaimedAnswerBytes bounds an answer that is held as a whole.
	maxClaimedAnswerBytes = 8 << 20
)

// once answers a call of a kind that may not be repeated and that carries an
// idempotency key. The claim comes before the queue: only the claim tells
// whether an earlier call with the same key ran, so a refusal by the scheduler
// that came first could report "not run" for a payout that did run.
func (s *Server) once(k *call, body []byte) *fleet.Refusal {
	if s.Claims == nil {
		return fleet.Refuse(fleet.ReasonClaimNotPossible, "no claims can be made at this instance")
	}
	r := k.c.Request()
	wanted := claim.Call{
		Member: k.member.ID, Key: r.Header.Get(idempotencyHeader),
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}
	answer, replayed, refusal := s.Claims.Do(r.Context(), wanted, func(ctx context.Context) claim.SendResult {
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

// sendOnce queues the call and sends it in one attempt. A caller that leaves
// ends the wait in the queue, but not a call that has been sent.
func (k *call) sendOnce(ctx context.Context, body []byte) claim.SendResult {
	ticket, refusal := k.s.Requests.Submit(ctx, sched.Request{ID: k.id, Member: k.member.ID, Kind: k.kind.Name})
	if refusal != nil {
		return claim.SendResult{Refusal: refusal}
	}
	timeout := k.kind.Deadline
	if timeout <= 0 {
		timeout = onceTimeout
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
	text, err := io.ReadAll(io.LimitReader(resp, maxClaimedAnswerBytes+1))
	if err == nil && len(text) > maxClaimedAnswerBytes {
		err = errors.Errorf("the answer of service %s exceeds %d bytes", address, maxClaimedAnswerBytes)
	}
	if err != nil {
		ticket.Fail()
		return claim.SendResult{AnswerLost: errors.Wrapf(err, "read answer of service %s", address)}
	}
	ticket.Finish(fleet.Usage{})
	return claim.SendResult{Answer: coreclaim.Answer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: text}}
}

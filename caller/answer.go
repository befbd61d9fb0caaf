package caller

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/core/stream"
	"github.com/bramleywick/bramleywick/upstream"
)

// cancelTimeout bounds the request that cancels abandoned work at an engine.
const cancelTimeout = 2 * time.Second

// tokensPerReport is the number of tokens that are reported to the scheduler at
// once, so that the dispatcher's lock is not taken for every token.
const tokensPerReport = 8

// errCallerGone is returned when the answer cannot be written to the caller.
var errCallerGone = errors.New("the answer cannot be written to the caller")

// answer relays the answer to one completion request and retries failed
// attempts. A broken stream is resumed at its engine, or else continued at
// another engine after the text received so far.
type answer struct {
	call      *call
	ctx       context.Context // ends at the deadline or when the caller leaves
	request   upstream.CompletionRequest
	writer    answerWriter
	sequencer *stream.Sequencer
	// text is the answer so far; it is collected only if keepText is set.
	text     strings.Builder
	keepText bool
	// failures counts failed attempts since the last progress.
	failures int
	// mayHaveRun reports whether an attempt may have reached an engine;
	// chunkReceived reports whether a chunk has arrived.
	mayHaveRun, chunkReceived bool
	// resuming reports whether the current attempt resumes a broken stream at
	// the same engine.
	resuming bool
	// usePrefill reports whether the prefill of the current choice is still to
	// be run.
	usePrefill bool
	// tokenReceived reports whether the current choice has sent a token;
	// lastTokenAt is when the last token of any choice arrived.
	tokenReceived bool
	lastTokenAt   time.Time
	// unreported counts the tokens that are not reported to the scheduler yet.
	unreported int
	// longestGap is the longest time before one of the unreported tokens.
	longestGap   time.Duration
	finishReason string
	usage        fleet.Usage
}

func newAnswer(ctx context.Context, k *call, request upstream.CompletionRequest) *answer {
	a := &answer{call: k, ctx: ctx, request: request, sequencer: stream.New(k.id, stream.DefaultLimits), keepText: k.kind.Repeatable}
	a.applyChoice()
	return a
}

// applyChoice prepares an attempt at the ticket's current choice.
func (a *answer) applyChoice() {
	choice := a.call.ticket.Choice
	a.request.Priority = choice.Priority
	a.request.KVFrom = nil
	a.tokenReceived = false
	// On the split path the prompt is sent again when a step fails, which is
	// not allowed for a kind that is not repeatable.
	a.usePrefill = choice.Path == sched.PathSplit && a.call.kind.Repeatable
}

// run makes attempts until the caller has its answer; otherwise it returns a
// refusal.
func (a *answer) run() *fleet.Refusal {
	for {
		err := a.attempt()
		if err == nil {
			return a.finished()
		}
		if refusal := a.handleFailure(err); refusal != nil {
			return refusal
		}
	}
}

// finished ends the request and the answer to the caller.
func (a *answer) finished() *fleet.Refusal {
	a.reportProgress()
	a.call.ticket.Finish(a.usage)
	if err := a.writer.end(a.finishReason, a.usage); err != nil {
		return a.refusal(fleet.ReasonCallerGone, "the caller left before the end of its answer")
	}
	return nil
}

// attempt makes one attempt at the ticket's current choice.
func (a *answer) attempt() error {
	if a.usePrefill {
		a.usePrefill = false
		a.prefill()
	}
	address := a.call.address(a.call.ticket.Choice.Target)
	s, err := a.call.s.Engines.Complete(a.ctx, address, a.request)
	if err != nil {
		return err
	}
	a.mayHaveRun = true
	if err := a.relayChunks(s, address); err != nil {
		s.Close()
		return err
	}
	// The system call that closes the connection takes a tenth of the time
	// that the proxy adds to a request; the caller need not wait for it.
	go s.Close()
	return nil
}

// prefill runs the prefill of the split path. If it fails, the decode engine
// does both prefill and decode.
func (a *answer) prefill() {
	choice := a.call.ticket.Choice
	handle, err := a.call.s.Engines.Prefill(a.ctx, a.call.address(choice.PrefillTarget), upstream.PrefillRequest{
		RequestID: a.call.id, Model: a.request.Model, Prompt: a.request.Prompt, Priority: a.request.Priority,
	})
	a.recordMayHaveRun(err)
	if err == nil {
		a.request.KVFrom = handle
		return
	}
	if a.ctx.Err() != nil {
		return
	}
	a.call.ticket.ReportFailure(choice.PrefillTarget)
	a.recordRetry(retry.ReasonPrefillFailed, err)
}

// relayChunks passes the chunks of a stream to the caller in order, up to the
// last one. It returns *upstream.Error or errCallerGone.
func (a *answer) relayChunks(s *upstream.Stream, address string) error {
	for !a.sequencer.Done() {
		c, err := s.Next()
		if err != nil {
			return err
		}
		if err := a.sequencer.Push(c); err != nil {
			return upstream.SequenceError(address, err)
		}
		for c, ok := a.sequencer.Next(); ok; c, ok = a.sequencer.Next() {
			if err := a.deliver(c); err != nil {
				return err
			}
		}
	}
	return nil
}

// deliver writes one chunk to the caller.
func (a *answer) deliver(c upstream.Chunk) error {
	a.failures, a.chunkReceived, a.resuming = 0, true, false
	if c.Text != "" || c.Tokens > 0 {
		a.observeTokens(c.Tokens)
		if a.keepText {
			a.text.WriteString(c.Text)
		}
		if err := a.writer.chunk(c.Text, a.lastTokenAt); err != nil {
			return errCallerGone
		}
	}
	if c.Finish != "" {
		a.finishReason = c.Finish
		if c.Usage != nil {
			a.usage = *c.Usage
		}
	}
	return nil
}

// observeTokens records the arrival of a chunk with the given number of tokens.
func (a *answer) observeTokens(tokens int) {
	now := time.Now()
	kind := a.call.kind.Name
	if !a.tokenReceived {
		a.tokenReceived = true
		a.call.ticket.FirstToken()
	}
	if a.lastTokenAt.IsZero() {
		a.call.s.Observer.FirstToken(kind, now.Sub(a.call.start))
	} else {
		gap := now.Sub(a.lastTokenAt)
		a.call.s.Observer.TokenGap(kind, gap)
		a.longestGap = max(a.longestGap, gap)
	}
	a.lastTokenAt = now
	a.unreported += tokens
	if a.unreported >= tokensPerReport {
		a.reportProgress()
	}
}

// reportProgress reports the tokens since the last report to the scheduler.
func (a *answer) reportProgress() {
	if a.unreported > 0 {
		a.call.ticket.Tokens(a.unreported, a.longestGap)
		a.unreported, a.longestGap = 0, 0
	}
}

// handleFailure prepares the next attempt after a failed one, or ends the
// request and returns the refusal.
func (a *answer) handleFailure(err error) *fleet.Refusal {
	a.recordMayHaveRun(err)
	a.reportProgress()
	var failed *upstream.Error
	switch {
	case a.call.c.Request().Context().Err() != nil, errors.Is(err, errCallerGone):
		a.call.ticket.Cancel()
		return a.refusal(fleet.ReasonCallerGone, "the caller left before the end of its answer")
	case a.ctx.Err() != nil:
		a.call.ticket.Cancel()
		return a.refusal(fleet.ReasonDeadlineUnmeetable, "the deadline passed before the end of the answer")
	case !errors.As(err, &failed):
		a.call.ticket.Cancel()
		return a.refusal(fleet.ReasonUpstreamFailed, "the answer cannot be passed on")
	}
	if failed.Reason == retry.ReasonKVImportFailed && a.request.KVFrom != nil {
		a.request.KVFrom = nil
		a.recordRetry(failed.Reason, err)
		return nil
	}
	return a.retryOrFail(failed)
}

// recordMayHaveRun sets mayHaveRun unless err says that the attempt was
// certainly never sent.
func (a *answer) recordMayHaveRun(err error) {
	var failed *upstream.Error
	if !errors.As(err, &failed) || !failed.NeverSent {
		a.mayHaveRun = true
	}
}

// retryOrFail prepares another attempt if the retry policy allows it; otherwise
// it ends the request and returns the refusal.
func (a *answer) retryOrFail(failed *upstream.Error) *fleet.Refusal {
	final := failed.Permanent() && !a.resuming
	if !final {
		a.call.ticket.ReportFailure(a.call.ticket.Choice.Target)
	}
	a.failures++
	decision := a.call.s.retrier.decide(retry.Attempt{
		Group: a.call.kind.Group, Failures: a.failures, NeverSent: !a.mayHaveRun, Permanent: final,
		Repeatable: a.call.kind.Repeatable, Remaining: remaining(a.ctx),
	})
	if !decision.Allowed() {
		a.call.ticket.Fail()
		a.call.log().Info("attempt not repeated", zap.String("step", string(failed.Step)),
			zap.String("reason", string(failed.Reason)), zap.String("denial", string(decision.Denial)))
		return a.refusal(a.failReason(), failed.Error())
	}
	a.recordRetry(failed.Reason, failed)
	sleep(a.ctx, decision.Delay)
	if a.canResume(failed) {
		a.resume()
		return nil
	}
	return a.retryElsewhere()
}

// canResume reports whether the engine probably still holds the answer: its
// stream broke after a chunk, and this is the first failure since.
func (a *answer) canResume(failed *upstream.Error) bool {
	return failed.Step == upstream.StepStream && a.failures == 1 && a.sequencer.ResumeFrom() > 1 &&
		failed.Reason != retry.ReasonWrongRequest && failed.Reason != retry.ReasonBadAnswer
}

// resume prepares a request to the same engine for the chunks from the first
// missing one.
func (a *answer) resume() {
	a.resuming = true
	a.request.ResumeFrom = a.sequencer.ResumeFrom()
	a.request.Prefix, a.request.KVFrom = "", nil
}

// retryElsewhere asks the scheduler for another engine and prepares a request
// to continue there after the text received so far.
func (a *answer) retryElsewhere() *fleet.Refusal {
	previous := a.call.ticket.Choice.Target
	ticket, refusal := a.call.ticket.Retry(a.ctx)
	// If the same engine is chosen again, a late cancellation would cancel the
	// new attempt, which has the same request id.
	if a.mayHaveRun && (refusal != nil || ticket.Choice.Target != previous) {
		a.cancelAt(previous)
	}
	if refusal != nil {
		return a.withKnownOutcome(refusal)
	}
	a.call.ticket = ticket
	a.resuming = false
	a.sequencer.Discard()
	a.applyChoice()
	if a.chunkReceived {
		a.usePrefill = false
		a.request.ResumeFrom = a.sequencer.ResumeFrom()
		a.request.Prefix = a.text.String()
	}
	return nil
}

// cancelAt cancels the request's work at an engine in the background.
func (a *answer) cancelAt(id fleet.UpstreamID) {
	address, request, engines := a.call.address(id), a.call.id, a.call.s.Engines
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = engines.Cancel(ctx, address, request)
	}()
}

// recordRetry counts and logs a retry.
func (a *answer) recordRetry(reason retry.Reason, err error) {
	a.call.s.Observer.Retried(reason)
	step := upstream.Step("")
	var failed *upstream.Error
	if errors.As(err, &failed) {
		step = failed.Step
	}
	a.call.log().Info("attempt repeated", zap.String("step", string(step)), zap.String("reason", string(reason)), zap.Error(err))
}

// failReason returns the refusal's reason when an attempt is not retried.
func (a *answer) failReason() fleet.Reason {
	if a.mayHaveRun && !a.call.kind.Repeatable {
		return fleet.ReasonOutcomeUnknown
	}
	return fleet.ReasonUpstreamFailed
}

// refusal returns a refusal with the outcome that is known here.
func (a *answer) refusal(reason fleet.Reason, detail string) *fleet.Refusal {
	return a.withKnownOutcome(fleet.Refuse(reason, "%s", detail))
}

// withKnownOutcome returns the refusal with the outcome that is known here.
// The scheduler does not know whether an attempt has reached an engine
// (invariant 5).
func (a *answer) withKnownOutcome(r *fleet.Refusal) *fleet.Refusal {
	out := afterAttempt(r, a.mayHaveRun)
	if a.chunkReceived {
		out.Outcome = fleet.OutcomeRun
	}
	return out
}

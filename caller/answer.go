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

// reportTokens is how many tokens are reported to the scheduler at once. It
// takes the dispatcher's lock once per report instead of once per token.
const reportTokens = 8

// errCallerGone is a caller that does not take its answer any more.
var errCallerGone = errors.New("the caller does not take its answer")

// answer is one request on its way through the engines. A broken stream is
// resumed at its engine, or else continued at another engine after the text
// received so far.
type answer struct {
	k    *call
	ctx  context.Context // ends at the deadline or when the caller leaves
	in   upstream.CompletionRequest
	out  answerWriter
	sent *stream.Sequencer
	// text is the answer so far; it is collected when keep is set.
	text strings.Builder
	keep bool
	// failures counts failed attempts since the last progress.
	failures int
	// mayHaveRun tells that some attempt may have reached an engine, ran that
	// a chunk has arrived.
	mayHaveRun, ran bool
	// resuming tells that the current attempt resumes at the same engine.
	resuming bool
	// usePrefill tells that the current choice's prefill has not been tried.
	usePrefill bool
	// begun tells that the current choice has sent a token, lastAt is when the
	// last token of any choice arrived.
	begun  bool
	lastAt time.Time
	// unreported counts tokens that the scheduler does not know of yet.
	unreported int
	// longestGap is the longest token gap among them.
	longestGap time.Duration
	finish     string
	usage      fleet.Usage
}

func newAnswer(ctx context.Context, k *call, in upstream.CompletionRequest) *answer {
	a := &answer{k: k, ctx: ctx, in: in, sent: stream.New(k.id, stream.DefaultLimits), keep: k.kind.Repeatable}
	a.chosen()
	return a
}

// chosen prepares for the ticket's choice.
func (a *answer) chosen() {
	choice := a.k.ticket.Choice
	a.in.Priority = choice.Priority
	a.in.KVFrom = nil
	a.begun = false
	// The split path sends the prompt a second time when a step fails, which
	// a kind that is not repeatable does not allow.
	a.usePrefill = choice.Path == sched.PathSplit && a.k.kind.Repeatable
}

// run answers the caller or returns a refusal.
func (a *answer) run() *fleet.Refusal {
	for {
		err := a.attempt()
		if err == nil {
			return a.finished()
		}
		if refusal := a.recover(err); refusal != nil {
			return refusal
		}
	}
}

func (a *answer) finished() *fleet.Refusal {
	a.report()
	a.k.ticket.Finish(a.usage)
	if err := a.out.end(a.finish, a.usage); err != nil {
		return a.refusal(fleet.ReasonCallerGone, "the caller left before the end of its answer")
	}
	return nil
}

// attempt runs one attempt at the ticket's choice.
func (a *answer) attempt() error {
	if a.usePrefill {
		a.usePrefill = false
		a.prefill()
	}
	address := a.k.address(a.k.ticket.Choice.Target)
	s, err := a.k.s.Engines.Complete(a.ctx, address, a.in)
	if err != nil {
		return err
	}
	a.mayHaveRun = true
	if err := a.pump(s, address); err != nil {
		s.Close()
		return err
	}
	// The caller need not wait for the system call that closes the connection,
	// which is a tenth of the time that the proxy adds to a request.
	go s.Close()
	return nil
}

// prefill runs the first step of a split path. After a failure the decode
// engine does both steps.
func (a *answer) prefill() {
	choice := a.k.ticket.Choice
	handle, err := a.k.s.Engines.Prefill(a.ctx, a.k.address(choice.Prefill), upstream.PrefillRequest{
		RequestID: a.k.id, Model: a.in.Model, Prompt: a.in.Prompt, Priority: a.in.Priority,
	})
	a.noteRun(err)
	if err == nil {
		a.in.KVFrom = handle
		return
	}
	if a.ctx.Err() != nil {
		return
	}
	a.k.ticket.ReportFailure(choice.Prefill)
	a.repeats(retry.ReasonPrefillFailed, err)
}

// pump passes chunks on until the last one.
func (a *answer) pump(s *upstream.Stream, address string) error {
	for !a.sent.Done() {
		c, err := s.Next()
		if err != nil {
			return err
		}
		if err := a.sent.Push(c); err != nil {
			return upstream.SequenceError(address, err)
		}
		for c, ok := a.sent.Next(); ok; c, ok = a.sent.Next() {
			if err := a.deliver(c); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *answer) deliver(c upstream.Chunk) error {
	a.failures, a.ran, a.resuming = 0, true, false
	if c.Text != "" || c.Tokens > 0 {
		a.observe(c.Tokens)
		if a.keep {
			a.text.WriteString(c.Text)
		}
		if err := a.out.chunk(c.Text, a.lastAt); err != nil {
			return errCallerGone
		}
	}
	if c.Finish != "" {
		a.finish = c.Finish
		if c.Usage != nil {
			a.usage = *c.Usage
		}
	}
	return nil
}

func (a *answer) observe(tokens int) {
	now := time.Now()
	kind := a.k.kind.Name
	if !a.begun {
		a.begun = true
		a.k.ticket.FirstToken()
	}
	if a.lastAt.IsZero() {
		a.k.s.Observer.FirstToken(kind, now.Sub(a.k.start))
	} else {
		gap := now.Sub(a.lastAt)
		a.k.s.Observer.TokenGap(kind, gap)
		a.longestGap = max(a.longestGap, gap)
	}
	a.lastAt = now
	a.unreported += tokens
	if a.unreported >= reportTokens {
		a.report()
	}
}

// report tells the scheduler about the tokens since the last report.
func (a *answer) report() {
	if a.unreported > 0 {
		a.k.ticket.Tokens(a.unreported, a.longestGap)
		a.unreported, a.longestGap = 0, 0
	}
}

// recover prepares the next attempt after a failure, or ends the request.
func (a *answer) recover(err error) *fleet.Refusal {
	a.noteRun(err)
	a.report()
	var failed *upstream.Error
	switch {
	case a.k.c.Request().Context().Err() != nil, errors.Is(err, errCallerGone):
		a.k.ticket.Cancel()
		return a.refusal(fleet.ReasonCallerGone, "the caller left before the end of its answer")
	case a.ctx.Err() != nil:
		a.k.ticket.Cancel()
		return a.refusal(fleet.ReasonDeadlineUnmeetable, "the deadline passed before the end of the answer")
	case !errors.As(err, &failed):
		a.k.ticket.Cancel()
		return a.refusal(fleet.ReasonUpstreamFailed, "the answer cannot be passed on")
	}
	if failed.Reason == retry.ReasonKVImportFailed && a.in.KVFrom != nil {
		a.in.KVFrom = nil
		a.repeats(failed.Reason, err)
		return nil
	}
	return a.repeat(failed)
}

// noteRun keeps whether an attempt may have reached an engine.
func (a *answer) noteRun(err error) {
	var failed *upstream.Error
	if !errors.As(err, &failed) || !failed.NeverSent {
		a.mayHaveRun = true
	}
}

// repeat decides about another attempt and prepares it.
func (a *answer) repeat(failed *upstream.Error) *fleet.Refusal {
	final := failed.Permanent() && !a.resuming
	if !final {
		a.k.ticket.ReportFailure(a.k.ticket.Choice.Target)
	}
	a.failures++
	decision := a.k.s.retrier.decide(retry.Attempt{
		Group: a.k.kind.Group, Failures: a.failures, NeverSent: !a.mayHaveRun, Permanent: final,
		Repeatable: a.k.kind.Repeatable, Remaining: remaining(a.ctx),
	})
	if !decision.Allowed() {
		a.k.ticket.Fail()
		a.k.log().Info("attempt not repeated", zap.String("step", string(failed.Step)),
			zap.String("reason", string(failed.Reason)), zap.String("denial", string(decision.Denial)))
		return a.refusal(a.failReason(), failed.Error())
	}
	a.repeats(failed.Reason, failed)
	pause(a.ctx, decision.Delay)
	if a.mayResume(failed) {
		a.resume()
		return nil
	}
	return a.move()
}

// mayResume tells that the engine probably still holds the answer: its stream
// broke after a chunk, and this is the first failure since.
func (a *answer) mayResume(failed *upstream.Error) bool {
	return failed.Step == upstream.StepStream && a.failures == 1 && a.sent.ResumeFrom() > 1 &&
		failed.Reason != retry.ReasonWrongRequest && failed.Reason != retry.ReasonBadAnswer
}

// resume asks the same engine for the chunks from the first missing one.
func (a *answer) resume() {
	a.resuming = true
	a.in.ResumeFrom = a.sent.ResumeFrom()
	a.in.Prefix, a.in.KVFrom = "", nil
}

// move asks for another engine, which continues after the text so far.
func (a *answer) move() *fleet.Refusal {
	left := a.k.ticket.Choice.Target
	ticket, refusal := a.k.ticket.Retry(a.ctx)
	// A late cancellation at an engine that is chosen again would hit the new
	// attempt, which has the same request id.
	if a.mayHaveRun && (refusal != nil || ticket.Choice.Target != left) {
		a.cancelAt(left)
	}
	if refusal != nil {
		return a.correct(refusal)
	}
	a.k.ticket = ticket
	a.resuming = false
	a.sent.Discard()
	a.chosen()
	if a.ran {
		a.usePrefill = false
		a.in.ResumeFrom = a.sent.ResumeFrom()
		a.in.Prefix = a.text.String()
	}
	return nil
}

// cancelAt stops the request's work at an engine that it leaves.
func (a *answer) cancelAt(id fleet.UpstreamID) {
	address, request, engines := a.k.address(id), a.k.id, a.k.s.Engines
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_ = engines.Cancel(ctx, address, request)
	}()
}

// repeats counts and logs a repeated attempt.
func (a *answer) repeats(reason retry.Reason, err error) {
	a.k.s.Observer.Retried(reason)
	step := upstream.Step("")
	var failed *upstream.Error
	if errors.As(err, &failed) {
		step = failed.Step
	}
	a.k.log().Info("attempt repeated", zap.String("step", string(step)), zap.String("reason", string(reason)), zap.Error(err))
}

func (a *answer) failReason() fleet.Reason {
	if a.mayHaveRun && !a.k.kind.Repeatable {
		return fleet.ReasonOutcomeUnknown
	}
	return fleet.ReasonUpstreamFailed
}

func (a *answer) refusal(reason fleet.Reason, detail string) *fleet.Refusal {
	return a.correct(fleet.Refuse(reason, "%s", detail))
}

// correct states the outcome that is known here: the scheduler cannot tell
// whether an attempt has reached an engine (invariant 5).
func (a *answer) correct(r *fleet.Refusal) *fleet.Refusal {
	out := afterAttempt(r, a.mayHaveRun)
	if a.ran {
		out.Outcome = fleet.OutcomeRun
	}
	return out
}

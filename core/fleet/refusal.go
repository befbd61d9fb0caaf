package fleet

import (
	"fmt"
	"time"
)

// Outcome states whether a refused or failed request took effect.
type Outcome string

// The three outcomes. OutcomeNotRun is used only when it is certain that no
// upstream received the request.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRun     Outcome = "run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the typed cause of a refusal; its text is the value of the metric
// label and of the error field that callers see.
type Reason string

// Reasons for a refusal.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnknownKey         Reason = "unknown_key"
	ReasonKindNotGranted     Reason = "kind_not_granted"
	ReasonTooLarge           Reason = "too_large"
	ReasonShareUsedUp        Reason = "share_used_up"
	ReasonQueueFull          Reason = "queue_full"
	ReasonDeadlineUnmeetable Reason = "deadline_unmeetable"
	ReasonNoUpstream         Reason = "no_upstream"
	ReasonNoRoute            Reason = "no_route"
	ReasonConfigUnknown      Reason = "config_unknown"
	ReasonDraining           Reason = "draining"
	ReasonClaimNotPossible   Reason = "claim_not_possible"
	ReasonUpstreamFailed     Reason = "upstream_failed"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonCallerGone         Reason = "caller_gone"
)

// Reasons lists every refusal reason, so that counters can be registered at
// zero before the first refusal.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnknownKey, ReasonKindNotGranted, ReasonTooLarge,
		ReasonShareUsedUp, ReasonQueueFull, ReasonDeadlineUnmeetable, ReasonNoUpstream, ReasonNoRoute,
		ReasonConfigUnknown, ReasonDraining, ReasonClaimNotPossible,
		ReasonUpstreamFailed, ReasonOutcomeUnknown, ReasonCallerGone,
	}
}

// Refusal is the error returned to a caller whose request gets no answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the suggested wait before the caller tries again; zero
	// means that no wait helps.
	RetryAfter time.Duration
	// Detail is a sentence for people. It never contains a prompt or a key.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (outcome %s): %s", r.Reason, r.Outcome, r.Detail)
}

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
}

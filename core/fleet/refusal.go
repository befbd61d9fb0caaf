package fleet

import (
	"fmt"
	"time"
)

// Outcome says whether a refused or failed request was run by an upstream.
type Outcome string

// Outcomes. OutcomeNotRun is used only when it is certain that no upstream
// received the request.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeRun     Outcome = "run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the cause of a refusal; its text is the value of the metric label
// and of the error field that callers see.
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
	ReasonPartQuarantined    Reason = "part_quarantined"
	ReasonRequestQuarantined Reason = "request_quarantined"
	ReasonVersionGone        Reason = "software_version_gone"
	ReasonVersionUnknown     Reason = "software_version_unknown"
	ReasonServerLimit        Reason = "server_limit"
	ReasonServersLeaving     Reason = "servers_leaving"
	ReasonServersPaused      Reason = "servers_paused"
	ReasonBuffersFull        Reason = "buffers_full"
	ReasonUrgentFirst        Reason = "urgent_first"
	ReasonKeyRevoked         Reason = "key_revoked"
	ReasonMembersOutdated    Reason = "members_outdated"
	ReasonTooManyConnections Reason = "too_many_connections"
	ReasonSlowClient         Reason = "slow_client"
	ReasonNoRelay            Reason = "no_relay"
)

// Reasons returns every reason, so that counters can be registered at zero
// before the first refusal.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonUnknownKey, ReasonKindNotGranted, ReasonTooLarge,
		ReasonShareUsedUp, ReasonQueueFull, ReasonDeadlineUnmeetable, ReasonNoUpstream, ReasonNoRoute,
		ReasonConfigUnknown, ReasonDraining, ReasonClaimNotPossible,
		ReasonUpstreamFailed, ReasonOutcomeUnknown, ReasonCallerGone, ReasonPartQuarantined, ReasonRequestQuarantined, ReasonVersionGone, ReasonVersionUnknown, ReasonServerLimit, ReasonServersLeaving, ReasonServersPaused, ReasonBuffersFull,
		ReasonKeyRevoked, ReasonMembersOutdated, ReasonUrgentFirst,
		ReasonTooManyConnections, ReasonSlowClient, ReasonNoRelay,
	}
}

// Refusal is the error for a request that gets no complete answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the suggested wait before the caller retries; zero means
	// that no wait is suggested.
	RetryAfter time.Duration
	// Detail explains the refusal to people. It never contains a prompt or a
	// key.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (outcome %s): %s", r.Reason, r.Outcome, r.Detail)
}

// Refuse returns a refusal with OutcomeNotRun and the formatted detail.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
}

// Package retry decides whether and after which delay a failed attempt is
// retried, and which upstreams are ejected. It reads no clock, and its random
// numbers depend only on a seed.
package retry

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Reason is the cause of a retry; its text is the value of the metric label.
type Reason string

// Reasons for a retry.
const (
	// ReasonNotSent is an attempt that certainly never reached the upstream.
	ReasonNotSent Reason = "not_sent"
	// ReasonConnectionLost is a connection that broke or an answer that ended
	// early.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonStalled is an upstream that sent nothing for too long.
	ReasonStalled Reason = "stalled"
	// ReasonMissingChunk is a gap in the numbers of an answer's chunks.
	ReasonMissingChunk Reason = "gap"
	// ReasonWrongRequest is a chunk of another request.
	ReasonWrongRequest Reason = "wrong_request"
	// ReasonBadAnswer is an answer that cannot be decoded or is too large.
	ReasonBadAnswer Reason = "bad_answer"
	// ReasonUpstreamStatus is an answer whose HTTP status allows a retry.
	ReasonUpstreamStatus Reason = "upstream_status"
	// ReasonPrefillFailed is a failed prefill on a split path; the request
	// falls back to the local path at the decode engine.
	ReasonPrefillFailed Reason = "prefill_failed"
	// ReasonKVImportFailed is KV cache that the decode engine could not
	// import; the request falls back to the local path at the same engine.
	ReasonKVImportFailed Reason = "kv_import_failed"
)

// Reasons returns every reason, so that counters can be registered at zero.
func Reasons() []Reason {
	return []Reason{
		ReasonNotSent, ReasonConnectionLost, ReasonStalled, ReasonMissingChunk, ReasonWrongRequest,
		ReasonBadAnswer, ReasonUpstreamStatus, ReasonPrefillFailed, ReasonKVImportFailed,
	}
}

// Attempt describes a failed attempt.
type Attempt struct {
	Group fleet.GroupName
	// Failures counts the failed attempts of the request since its last
	// progress, this one included.
	Failures int
	// NeverSent reports whether certainly no upstream received the request.
	NeverSent bool
	// Permanent reports whether another attempt cannot succeed, whatever the
	// kind.
	Permanent bool
	// Repeatable reports whether the kind is declared repeatable (idempotent).
	Repeatable bool
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// Denial is the reason not to retry.
type Denial string

// Reasons not to retry; the empty Denial allows the retry.
const (
	DenyNotRepeatable Denial = "not_repeatable"
	DenyPermanent     Denial = "final"
	DenyAttempts      Denial = "attempts_used_up"
	DenyBudget        Denial = "budget_used_up"
	DenyDeadline      Denial = "deadline_too_near"
	DenySuspect       Denial = "suspected_of_crashes"
)

// Decision is the result of Policy.Decide.
type Decision struct {
	Denial Denial
	// Delay is the wait before the next attempt; it ends before the deadline.
	Delay time.Duration
}

// Allowed reports whether the attempt is retried.
func (d Decision) Allowed() bool { return d.Denial == "" }

// Config holds the parameters of a Policy.
type Config struct {
	// MaxAttempts bounds the attempts of one request without progress.
	MaxAttempts int
	// BudgetPerRequest is the number of retries that each request adds to its
	// group's retry budget. It bounds the extra load while a whole group fails.
	BudgetPerRequest float64
	// MaxBudget bounds the retry budget of a group.
	MaxBudget float64
	// BaseDelay bounds the delay before the second attempt; the bound doubles
	// with each further attempt up to MaxDelay.
	BaseDelay, MaxDelay time.Duration
}

// DefaultConfig allows one retry for ten requests. The delays are small
// compared with the first-token target of 1 s.
var DefaultConfig = Config{
	MaxAttempts: 4, BudgetPerRequest: 0.1, MaxBudget: 20,
	BaseDelay: 20 * time.Millisecond, MaxDelay: 500 * time.Millisecond,
}

// Policy decides about retries and holds the retry budgets of all groups. It is
// not safe for concurrent use.
type Policy struct {
	config  Config
	seed    uint64
	budgets map[fleet.GroupName]float64
}

// NewPolicy returns a policy whose groups start with a full budget. The seed
// determines the delays.
func NewPolicy(config Config, seed uint64) *Policy {
	return &Policy{config: config, seed: seed, budgets: map[fleet.GroupName]float64{}}
}

// budget returns the number of retries left to a group.
func (p *Policy) budget(group fleet.GroupName) float64 {
	if left, ok := p.budgets[group]; ok {
		return left
	}
	return p.config.MaxBudget
}

// CountRequest adds BudgetPerRequest to the retry budget of a new request's
// group.
func (p *Policy) CountRequest(group fleet.GroupName) {
	p.budgets[group] = min(p.config.MaxBudget, p.budget(group)+p.config.BudgetPerRequest)
}

// Decide returns whether a failed attempt is retried, and spends one retry of
// the group's budget if so. A request of a kind that is not repeatable is
// retried only if it was certainly never sent (invariants 5 and 6).
func (p *Policy) Decide(a Attempt) Decision {
	switch {
	case a.Permanent:
		return Decision{Denial: DenyPermanent}
	case !a.Repeatable && !a.NeverSent:
		return Decision{Denial: DenyNotRepeatable}
	case a.Failures >= p.config.MaxAttempts:
		return Decision{Denial: DenyAttempts}
	case p.budget(a.Group) < 1:
		return Decision{Denial: DenyBudget}
	}
	delay := p.backoff(a.Failures)
	if delay >= a.Remaining {
		return Decision{Denial: DenyDeadline}
	}
	p.budgets[a.Group] = p.budget(a.Group) - 1
	return Decision{Delay: delay}
}

// backoff returns a random delay between half and all of the bound after the
// given number of failures, so that requests that failed together are not
// retried together.
func (p *Policy) backoff(failures int) time.Duration {
	bound := p.config.BaseDelay
	for range failures - 1 {
		bound = min(2*bound, p.config.MaxDelay)
	}
	if bound <= 1 {
		return bound
	}
	return bound/2 + time.Duration(p.random()%uint64(bound/2))
}

// random returns the next number of a splitmix64 generator.
func (p *Policy) random() uint64 {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

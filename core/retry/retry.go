// Package retry decides which attempts may be repeated, how often, after which
// delay and at which upstreams. It reads no clock and has no randomness of its
// own.
package retry

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Reason is the typed cause of a repeated attempt; its text is the value of
// the metric label.
type Reason string

// Reasons for a repeated attempt.
const (
	// ReasonNotSent is an attempt that certainly never reached the upstream.
	ReasonNotSent Reason = "not_sent"
	// ReasonConnectionLost is a connection that broke or ended early.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonStalled is an upstream that sent nothing for too long.
	ReasonStalled Reason = "stalled"
	// ReasonMissingChunk is a chunk that went missing.
	ReasonMissingChunk Reason = "gap"
	// ReasonWrongRequest is a chunk of another request.
	ReasonWrongRequest Reason = "wrong_request"
	// ReasonBadAnswer is an answer that cannot be decoded or is too large.
	ReasonBadAnswer Reason = "bad_answer"
	// ReasonUpstreamStatus is an answer with a status that allows another attempt.
	ReasonUpstreamStatus Reason = "upstream_status"
	// ReasonPrefillFailed is a failed prefill on a split path; the request falls
	// back to the local path at the decode engine.
	ReasonPrefillFailed Reason = "prefill_failed"
	// ReasonKVImportFailed is KV cache that the decode engine could not import; the
	// request falls back to the local path at the same engine.
	ReasonKVImportFailed Reason = "kv_import_failed"
)

// Reasons lists every reason, so that counters can be registered at zero.
func Reasons() []Reason {
	return []Reason{
		ReasonNotSent, ReasonConnectionLost, ReasonStalled, ReasonMissingChunk, ReasonWrongRequest,
		ReasonBadAnswer, ReasonUpstreamStatus, ReasonPrefillFailed, ReasonKVImportFailed,
	}
}

// Attempt is one failed attempt.
type Attempt struct {
	Group fleet.GroupName
	// Failures counts the failures of the request without progress, from 1.
	Failures int
	// NeverSent tells that the upstream certainly did not receive the request.
	NeverSent bool
	// Permanent tells that another attempt cannot succeed, whatever the kind.
	Permanent bool
	// Repeatable is the kind's declaration.
	Repeatable bool
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// Denial is why an attempt is not repeated.
type Denial string

// Denials. The empty denial allows the attempt.
const (
	DenyNotRepeatable Denial = "not_repeatable"
	DenyPermanent     Denial = "final"
	DenyAttempts      Denial = "attempts_used_up"
	DenyBudget        Denial = "budget_used_up"
	DenyDeadline      Denial = "deadline_too_near"
)

// Decision tells whether an attempt is repeated.
type Decision struct {
	Denial Denial
	// Delay is the wait before the next attempt; it ends before the deadline.
	Delay time.Duration
}

// Allowed tells that the attempt may be repeated.
func (d Decision) Allowed() bool { return d.Denial == "" }

// Config fixes the parameters of a policy.
type Config struct {
	// MaxAttempts bounds the attempts of one request without progress.
	MaxAttempts int
	// BudgetPerRequest is how many retries each request of a group adds to the
	// group's budget; it bounds the extra load while a whole group fails.
	BudgetPerRequest float64
	// MaxBudget bounds the retries that a group can save up.
	MaxBudget float64
	// BaseDelay is the longest delay before the second attempt; the bound
	// doubles with each attempt up to MaxDelay.
	BaseDelay, MaxDelay time.Duration
}

// DefaultConfig allows one retry for ten requests. The delays are small
// against the target of 1 s for the first token.
var DefaultConfig = Config{
	MaxAttempts: 4, BudgetPerRequest: 0.1, MaxBudget: 20,
	BaseDelay: 20 * time.Millisecond, MaxDelay: 500 * time.Millisecond,
}

// Policy holds the budgets of all groups. Not safe for concurrent use.
type Policy struct {
	config  Config
	seed    uint64
	budgets map[fleet.GroupName]float64
}

// NewPolicy returns a policy whose groups start with a full budget.
func NewPolicy(config Config, seed uint64) *Policy {
	return &Policy{config: config, seed: seed, budgets: map[fleet.GroupName]float64{}}
}

func (p *Policy) budget(group fleet.GroupName) float64 {
	if left, ok := p.budgets[group]; ok {
		return left
	}
	return p.config.MaxBudget
}

// CountRequest adds one new request's share to its group's budget.
func (p *Policy) CountRequest(group fleet.GroupName) {
	p.budgets[group] = min(p.config.MaxBudget, p.budget(group)+p.config.BudgetPerRequest)
}

// Decide tells whether a failed attempt is repeated, and takes the retry from
// the group's budget if so. A kind that is not repeatable is repeated only
// after an attempt that was certainly never sent (invariants 5 and 6).
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
	delay := p.delay(a.Failures)
	if delay >= a.Remaining {
		return Decision{Denial: DenyDeadline}
	}
	p.budgets[a.Group] = p.budget(a.Group) - 1
	return Decision{Delay: delay}
}

// delay is between half and all of the attempt's bound, so that requests that
// failed together do not return together.
func (p *Policy) delay(number int) time.Duration {
	bound := p.config.BaseDelay
	for range number - 1 {
		bound = min(2*bound, p.config.MaxDelay)
	}
	if bound <= 1 {
		return bound
	}
	return bound/2 + time.Duration(p.random()%uint64(bound/2))
}

// random is the splitmix64 generator.
func (p *Policy) random() uint64 {
	p.seed += 0x9e3779b97f4a7c15
	z := p.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

package gateway

import (
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/retry"
)

// Every call for a request that reaches a server after the first one is a retry
// and is spent from the retry budget before it is sent. The first prefill that
// an engine accepts doesn't count as a call; a rejected prefill does.

// spendRetry spends the next call from the retry budget and reports whether the
// call may be sent. The first call of a request is free. A retry that was spent
// stays available until a call reaches a server.
func (p *proxyRequest) spendRetry() bool {
	if p.retrySpent || p.calls == 0 {
		return true
	}
	if !p.g.State.spendRetry(p.group) {
		p.logFields = append(p.logFields, zap.Bool("budget_used_up", true))
		p.denial = retry.DenyBudget
		return false
	}
	p.retrySpent = true
	return true
}

// countCall counts a call that reached a server.
func (p *proxyRequest) countCall() {
	p.calls++
	p.retrySpent = false
}

// refundRetry returns a retry that was spent and not sent.
func (p *proxyRequest) refundRetry() {
	if p.retrySpent {
		p.g.State.refundRetry(p.group)
		p.retrySpent = false
	}
}

// mayRetry reports whether the request may be sent to another server, and
// spends a retry for it.
func (p *proxyRequest) mayRetry(reason retry.Reason) bool {
	switch {
	case p.callerGone():
		return false
	case p.remaining() <= minAttempt:
		p.denial = retry.DenyDeadline
	case p.sends >= p.route.MaxAttempts:
		p.denial = retry.DenyAttempts
	case p.mayHaveRun && !p.route.Repeatable():
		p.denial = retry.DenyNotRepeatable
	case !p.spendRetry():
	default:
		p.g.Observer.Retried(reason)
		return true
	}
	return false
}

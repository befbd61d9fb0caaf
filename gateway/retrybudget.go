package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
)

// Every call for a request that reaches a server after the first one is a retry
// and is spent from the retry budget before it is sent. The first prefill that
// an engine accepts doesn't count as a call; a rejected prefill does.

// countDemand counts the request for the retry budget, unless another instance has.
func (p *proxyRequest) countDemand() {
	if !p.demandCounted {
		p.demandCounted = true
		p.g.State.countRequest(p.group)
	}
}

// spendRetry spends the next call from the retry budget and reports whether the
// call may be sent. The first call of a request is free. A retry that was spent
// stays available until a call reaches a server.
func (p *proxyRequest) spendRetry() bool { return p.calls == 0 || p.reserveRetries(1) }

// reserveRetries makes sure that n retries are spent and not sent yet. What it has
// spent stays reserved for the request when it returns false.
func (p *proxyRequest) reserveRetries(n int) bool {
	for p.reservedRetries < n {
		if !p.g.State.spendRetry(p.group) {
			if p.denial != retry.DenyBudget {
				p.logFields = append(p.logFields, zap.Bool("budget_used_up", true))
			}
			p.denial = retry.DenyBudget
			return false
		}
		p.reservedRetries++
	}
	return true
}

// countCall counts a call that reached a server.
func (p *proxyRequest) countCall() {
	p.calls++
	p.reservedRetries = max(p.reservedRetries-1, 0)
}

// refundRetries returns the retries that were spent and not sent.
func (p *proxyRequest) refundRetries() {
	p.g.State.refundRetries(p.group, p.reservedRetries)
	p.reservedRetries = 0
}

// retriesForSplit returns the number of retries that prefill and decode at two
// engines cost now.
func (p *proxyRequest) retriesForSplit() int {
	retries := 0
	if p.calls > 0 {
		retries++
	}
	if p.prefilled {
		retries++
	}
	return retries
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
	default:
		for !p.spendRetry() {
			if !p.awaitContinuation() {
				return false
			}
		}
		p.g.Observer.Retried(reason)
		return true
	}
	return false
}

// mayAskAgain reports whether a server that has turned the request away is asked again:
// a stream that has begun, and that may be sent to no further server. It waits, and
// spends the retry.
func (p *proxyRequest) mayAskAgain() bool {
	if p.sends < p.route.MaxAttempts {
		return false
	}
	for p.awaitContinuation() {
		if p.spendRetry() {
			p.g.Observer.Retried(retry.ReasonUpstreamStatus)
			return true
		}
	}
	return false
}

const (
	// patienceMargin is how long before its caller leaves a stream that has begun stops
	// to wait for an engine or a retry with which it goes on.
	patienceMargin = 200 * time.Millisecond
	// continuationPause is the time between two looks.
	continuationPause = 50 * time.Millisecond
)

// awaitContinuation waits a moment and reports whether to look once more for what lets
// the request go on. Only a stream that its caller has the beginning of waits: any other
// request is refused at once, so that its caller can go elsewhere.
func (p *proxyRequest) awaitContinuation() bool {
	if !p.headWritten || !p.route.Repeatable() || p.remaining() < minMove || time.Since(p.lastEventAt) > patience(p.route)-patienceMargin {
		return false
	}
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(continuationPause):
		return true
	}
}

func (s *State) spendRetry(group fleet.GroupName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(group, s.now())
}

// spendRetries spends n retries or none.
func (s *State) spendRetries(group fleet.GroupName, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for spent := range n {
		if s.budget.Spend(group, s.now()) {
			continue
		}
		for range spent {
			s.budget.Refund(group, s.now())
		}
		return false
	}
	return true
}

// refundRetries returns n retries.
func (s *State) refundRetries(group fleet.GroupName, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.budget.Refund(group, s.now())
	}
}

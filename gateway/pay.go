package gateway

import (
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/retry"
)

// Every call of a request that reaches a server after the first is an extra one
// and is taken from the budget before it is sent. The first read that an engine
// accepts is no call in this count; a read that is refused is.

// pay takes the next call from the budget; the first call of a request is free.
// What was paid stays for the next call until one reaches a server.
func (p *passage) pay() bool {
	if p.paid || p.calls == 0 {
		return true
	}
	if !p.g.State.takeRepeat(p.group) {
		p.trace = append(p.trace, zap.Bool("budget_used_up", true))
		return false
	}
	p.paid = true
	return true
}

// called counts a call that reached a server.
func (p *passage) called() {
	p.calls++
	p.paid = false
}

// settle gives back what was paid and not used.
func (p *passage) settle() {
	if p.paid {
		p.g.State.returnRepeat(p.group)
		p.paid = false
	}
}

// mayRepeat tells whether the request may be sent to another server, and pays
// for it.
func (p *passage) mayRepeat(reason retry.Reason) bool {
	if p.gone() || p.left() <= minAttempt {
		return false
	}
	if p.sends >= p.route.MaxAttempts {
		return false
	}
	if p.mayHaveRun && !p.route.Repeatable() {
		return false
	}
	if !p.pay() {
		return false
	}
	p.g.Observer.Retried(reason)
	return true
}

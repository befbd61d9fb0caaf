package gateway

import (
	"time"

	"github.com/bramleywick/bramleywick/core/placement"
)

// startOverdueTimer returns a timer that counts the attempt as overdue unless it
// is stopped in time. How long a late request is overtaken says nothing about the
// server.
func (p *proxyRequest) startOverdueTimer(c placement.Choice) *time.Timer {
	t := p.g.State.startOverdueTimer(c)
	if p.late {
		t.Stop()
	}
	return t
}

const (
	// An attempt is overdue after overdueFactor times the expected wait plus
	// overdueSlack: estimates at a peak are off by up to a half, and engines
	// pause up to 0.3 s while they prefill long prompts.
	overdueFactor = 2
	overdueSlack  = 400 * time.Millisecond
)

// startOverdueTimer returns a timer that counts the attempt as overdue unless
// it is stopped in time.
func (s *State) startOverdueTimer(c placement.Choice) *time.Timer {
	return time.AfterFunc(overdueFactor*c.Wait+overdueSlack, func() { s.recordOverdue(c.Server.ID) })
}

package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/shutdown"
)

// Drain prepares for the end of the process at a time: callers' connections are
// closed after the current request, and new requests that may last longer are
// refused.
func (g *Gateway) Drain(end time.Time) { g.endsAt.Store(&end) }

func (g *Gateway) draining() bool { return g.endsAt.Load() != nil }

// acceptedWhileDraining reports whether the request is certain to end before the
// process does, and refuses it otherwise.
func (p *proxyRequest) acceptedWhileDraining() bool {
	end := p.g.endsAt.Load()
	if end == nil || shutdown.Accepts(p.deadline, *end) {
		return true
	}
	p.logFields = append(p.logFields, zap.Duration("deadline_in", p.remaining()), zap.Duration("process_ends_in", time.Until(*end)))
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonDraining, drainingWait)
	return false
}

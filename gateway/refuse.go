package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// unknownConfigWait is the time in which an instance that starts usually
	// learns the configuration.
	unknownConfigWait = 500 * time.Millisecond
	// busyWait is asked of callers whose request a server refused: about the
	// time in which a full server finishes a request.
	busyWait = 150 * time.Millisecond
)

// refuse answers the caller without a server's answer. The status 503 promises
// that the request has not run and never will.
func (p *passage) refuse(status int, reason fleet.Reason, wait time.Duration) {
	p.g.Observer.Refused(reason)
	fields := []zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("reason", string(reason)), zap.Int("status", status),
		zap.Duration("retry_after", wait), zap.Duration("after", time.Since(p.start)), zap.Int("sends", p.sends),
		zap.Bool("may_have_run", p.mayHaveRun),
	}
	if p.route != nil {
		fields = append(fields, zap.String("route", p.route.Name))
	}
	p.g.Log.Warn("request refused", append(fields, p.trace...)...)
	if p.committed {
		panic(http.ErrAbortHandler)
	}
	if p.gone() {
		return
	}
	body := []byte(`{"error":"` + string(reason) + `"}` + "\n")
	h := p.w.Header()
	p.g.Wire.SetRefusalHeaders(h, p.req.ID, wait)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	// A caller that cannot be written to has left.
	_, _ = p.w.Write(body)
}

// fail answers a request that no server answered: 503 when it certainly did not
// run, 504 or 502 when it may have.
func (p *passage) fail(reason fleet.Reason, wait time.Duration) {
	switch {
	case !p.mayHaveRun:
		p.refuse(http.StatusServiceUnavailable, reason, wait)
	case p.left() <= 0:
		p.refuse(http.StatusGatewayTimeout, fleet.ReasonOutcomeUnknown, 0)
	default:
		p.refuse(http.StatusBadGateway, fleet.ReasonUpstreamFailed, 0)
	}
}

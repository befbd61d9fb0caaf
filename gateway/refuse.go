package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// unknownConfigWait is the Retry-After while no configuration is known: the
	// time in which a starting instance usually reads it.
	unknownConfigWait = 500 * time.Millisecond
	// busyWait is the Retry-After when no server takes the request: about the
	// time in which a full server finishes a request.
	busyWait = 150 * time.Millisecond
)

// refuse answers the caller with a refusal. The status 503 guarantees that the
// request has not run and never will. When the head of an answer has been
// written, refuse aborts the connection instead.
func (p *proxyRequest) refuse(status int, reason fleet.Reason, wait time.Duration) {
	p.g.Observer.Refused(reason)
	fields := []zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("reason", string(reason)), zap.Int("status", status),
		zap.Duration("retry_after", wait), zap.Duration("after", time.Since(p.start)), zap.Int("sends", p.sends),
		zap.Bool("may_have_run", p.mayHaveRun),
	}
	if p.route != nil {
		fields = append(fields, zap.String("route", p.route.Name))
	}
	p.g.Log.Warn("request refused", append(fields, p.logFields...)...)
	if p.headWritten {
		panic(http.ErrAbortHandler)
	}
	if p.callerGone() {
		return
	}
	body := []byte(`{"error":"` + string(reason) + `"}` + "\n")
	h := p.w.Header()
	p.g.Wire.SetRefusalHeaders(h, p.req.ID, wait)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = p.w.Write(body)
}

// fail answers a request that no server answered: 503 when it certainly did not
// run, else 504 after the deadline and 502 before.
func (p *proxyRequest) fail(reason fleet.Reason, wait time.Duration) {
	switch {
	case !p.mayHaveRun:
		p.refuse(http.StatusServiceUnavailable, reason, wait)
	case p.remaining() <= 0:
		p.refuse(http.StatusGatewayTimeout, fleet.ReasonOutcomeUnknown, 0)
	default:
		p.refuse(http.StatusBadGateway, fleet.ReasonUpstreamFailed, 0)
	}
}

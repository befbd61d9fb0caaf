package gateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// unknownConfigWait is the Retry-After while no configuration is known: the
	// time in which a starting instance usually reads it.
	unknownConfigWait = 500 * time.Millisecond
	// busyWait is the Retry-After when no server takes the request: about the
	// time in which a full server finishes a request.
	busyWait = 150 * time.Millisecond
	// drainingWait is the Retry-After during a planned stop. Other instances can
	// serve the request at once.
	drainingWait = 10 * time.Millisecond
)

// refuse answers the caller with a refusal. The status 503 guarantees that the
// request has not run and never will. When the head of an answer has been
// written, refuse aborts the connection instead.
func (p *proxyRequest) refuse(status int, reason fleet.Reason, wait time.Duration) {
	if p.refusesForPeer(reason) {
		return
	}
	p.g.Observer.Refused(reason)
	fields := []zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("reason", string(reason)), zap.Int("status", status),
		zap.Duration("retry_after", wait), zap.Duration("after", time.Since(p.start)), zap.Int("sends", p.sends),
		zap.Bool("may_have_run", p.mayHaveRun),
	}
	if p.sends > 0 {
		fields = append(fields, zap.Any("tried", p.tried), zap.String("not_retried", string(p.denial)), zap.Duration("left", p.remaining()))
	}
	if p.route != nil {
		fields = append(fields, zap.String("route", p.route.Name))
	}
	if p.req.Member != "" {
		fields = append(fields, zap.String("member", string(p.req.Member)))
	}
	fields = append(fields, p.logFields...)
	if p.headWritten {
		p.g.Observer.Unanswered(CauseBrokenOff)
		p.g.Log.Error("answer broken off", append(fields, zap.Int("events", p.events), zap.String("last_event", p.lastEvent))...)
		p.abort()
	}
	// The lines of each level are limited apart, so that a flood of refusals at
	// arrival does not displace those of requests that failed, nor a flood without
	// keys those of refusals.
	level := zapcore.WarnLevel
	switch {
	case p.mayHaveRun:
		level = zapcore.ErrorLevel
	case status == http.StatusUnauthorized:
		level = zapcore.InfoLevel
	}
	p.g.Log.Log(level, "request refused", fields...)
	if p.callerGone() && !p.bodyTimedOut {
		return
	}
	p.complete = true
	if p.hop != nil {
		p.hop.outcome = RelayRejected
	}
	discard := p.answerEarly()
	body := []byte(`{"error":"` + string(reason) + `"}` + "\n")
	h := p.w.Header()
	p.g.Wire.SetRefusalHeaders(h, p.req.ID, wait)
	p.markAnswer(false)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = p.w.Write(body)
	discard()
}

// answerEarly prepares an answer that doesn't wait for the rest of the body. The caller
// must call discard after it has written the answer.
func (p *proxyRequest) answerEarly() (discard func()) {
	if p.bodyRead {
		return func() {}
	}
	discard, err := door.AnswerEarly(p.w, p.r, p.bodyBegun)
	if err != nil {
		p.g.Log.Debug("refusal waits for the body", zap.String("request_id", string(p.req.ID)), logline.Error(err))
	}
	return discard
}

// abort ends the connection to the caller in the middle of an answer. To a
// caller of HTTP/1.0 the end of the connection is the end of the answer, so it
// gets a reset.
func (p *proxyRequest) abort() {
	if !p.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(p.w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				// Without the option the caller gets an orderly end.
				if err := tcp.SetLinger(0); err != nil {
					p.g.Log.Warn("connection ends without a reset", zap.String("request_id", string(p.req.ID)), logline.Error(err))
				}
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// fail answers a request that no server answered: 503 when it certainly did not
// run, else 504 after the deadline and 502 before.
func (p *proxyRequest) fail(reason fleet.Reason, wait time.Duration) {
	if p.mayHaveRun {
		p.logFields = append(p.logFields, zap.String("cause", string(reason)))
	}
	switch {
	case !p.mayHaveRun:
		p.refuse(http.StatusServiceUnavailable, reason, wait)
	case p.remaining() <= 0:
		p.refuse(http.StatusGatewayTimeout, fleet.ReasonOutcomeUnknown, 0)
	default:
		p.refuse(http.StatusBadGateway, fleet.ReasonUpstreamFailed, 0)
	}
}

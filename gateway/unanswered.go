package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/logline"
)

// UnansweredCause is why a request ended without a whole answer; its text is the
// value of the metric label.
type UnansweredCause string

// Causes of requests that ended without a whole answer.
const (
	// CauseCallerLeft means that the caller's connection ended first.
	CauseCallerLeft UnansweredCause = "caller_left"
	// CauseNotWritten means that an answer could not be written to the caller.
	CauseNotWritten UnansweredCause = "not_written"
	// CauseBrokenOff means that the server failed after the head of its answer had
	// been passed on, and no other server continued the answer.
	CauseBrokenOff UnansweredCause = "broken_off"
	// CausePanic means that this instance has a bug.
	CausePanic UnansweredCause = "panic"
	// CauseProcessEnd means that the grace time of a planned stop has ended.
	CauseProcessEnd UnansweredCause = "process_end"
)

// UnansweredCauses returns every cause, so that counters can be registered at zero.
func UnansweredCauses() []UnansweredCause {
	return []UnansweredCause{CauseCallerLeft, CauseNotWritten, CauseBrokenOff, CausePanic, CauseProcessEnd}
}

// unanswered counts and logs a request that ends without a whole answer.
func (p *proxyRequest) unanswered(level zapcore.Level, cause UnansweredCause, more ...zap.Field) {
	p.g.Observer.Unanswered(cause)
	p.g.Log.Log(level, "request ended without a whole answer", append([]zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("cause", string(cause)), zap.Duration("after", time.Since(p.start)),
		zap.Int("sends", p.sends), zap.Bool("may_have_run", p.mayHaveRun), zap.Int("events", p.events), zap.String("last_event", p.lastEvent),
	}, more...)...)
}

// openRequest is a request in flight, for logs.
type openRequest struct {
	id              fleet.RequestID
	route           string
	start, deadline time.Time
	// unframed is the connection of a caller to which only its end ends an answer; nil
	// for others.
	unframed *door.Conn
}

// openRequests holds the requests in flight. Safe for concurrent use.
type openRequests struct {
	mu       sync.Mutex
	last     uint64
	requests map[uint64]openRequest
}

// add adds a request and returns the function that removes it.
func (o *openRequests) add(r openRequest) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = map[uint64]openRequest{}
	}
	o.last++
	key := o.last
	o.requests[key] = r
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.requests, key)
	}
}

// CutOpen logs and counts the requests in flight, which the end of the process cuts, and
// makes it reset the connections of callers that would take an end in order for the end
// of their answer.
func (g *Gateway) CutOpen() {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	for _, r := range g.open.requests {
		g.Observer.Unanswered(CauseProcessEnd)
		g.Log.Error("request ended without a whole answer", zap.String("request_id", string(r.id)), zap.String("cause", string(CauseProcessEnd)),
			zap.String("route", r.route), zap.Duration("after", time.Since(r.start)), zap.Duration("left", time.Until(r.deadline)))
		if r.unframed == nil {
			continue
		}
		if err := r.unframed.SetLinger(0); err != nil {
			g.Log.Warn("connection ends without a reset", zap.String("request_id", string(r.id)), logline.Error(err))
		}
	}
}

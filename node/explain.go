package node

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/explanation"
	"github.com/bramleywick/bramleywick/logline"
)

// explainInterval is the least time between two explanations. Each copies the state
// of the servers of a service while requests wait for it, 3 ms of a core with 780
// servers and 67 other instances; the smallest instance has 0.144 cores.
const explainInterval = time.Second

// explainer answers questions where a request would go.
type explainer struct {
	explain     func(explanation.Question) explanation.Answer
	confirmedAt func() fleet.Instant
	log         *zap.Logger

	mu   sync.Mutex
	last time.Time
}

// mayAnswer reports whether the rate of explanations allows one now.
func (e *explainer) mayAnswer(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.last) < explainInterval {
		return false
	}
	e.last = now
	return true
}

// ServeHTTP implements http.Handler.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := explanation.Parse(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.mayAnswer(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "explanations are limited to one in "+explainInterval.String(), http.StatusTooManyRequests)
		return
	}
	answer := e.explain(q)
	answer.Configuration.ConfirmedAgeMS = -1
	if at := e.confirmedAt(); at > 0 {
		answer.Configuration.ConfirmedAgeMS = explanation.Milliseconds(boottime.Now() - at)
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		e.log.Error("explanation not encoded", logline.Error(err))
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The answer is buffered; writing it cannot fail.
	_, _ = w.Write(raw)
}

// metricsHandler returns the handler of the metrics listener: explanations at their
// path and metrics at any other.
func (n *Node) metricsHandler() http.Handler {
	e := &explainer{log: n.log, confirmedAt: n.directory.ConfirmedAt, explain: func(q explanation.Question) explanation.Answer {
		out := n.gateway.Explain(q)
		out.Instance = string(n.settings.Instance)
		return out
	}}
	mux := http.NewServeMux()
	mux.Handle("GET "+explanation.Path, e)
	mux.Handle("/", n.metrics.Handler())
	return mux
}

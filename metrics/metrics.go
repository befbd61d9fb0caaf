// Package metrics holds the Prometheus collectors of an instance.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
)

// Metrics holds the collectors of an entry instance. Safe for concurrent use.
type Metrics struct {
	*Authority
	registry    *prometheus.Registry
	refused     *prometheus.CounterVec
	retried     *prometheus.CounterVec
	interrupted prometheus.Counter
	firstToken  *prometheus.HistogramVec
	tokenGap    *prometheus.HistogramVec
}

// firstTokenBuckets and tokenGapBuckets are histogram bounds in seconds. Each has a
// bound at the latency target of the deployment expected in two years: 1 s and
// 74 ms.
var (
	firstTokenBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30, 60}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.074, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 10}
)

// newReasons registers the counters of refused requests and of retries with every
// reason at zero.
func newReasons(registry *prometheus.Registry) (refused, retried *prometheus.CounterVec) {
	refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleywick_refused_total", Help: "Requests refused, by reason.",
	}, []string{"reason"})
	retried = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleywick_retried_total", Help: "Attempts repeated, by reason.",
	}, []string{"reason"})
	registry.MustRegister(refused, retried)
	for _, r := range fleet.Reasons() {
		refused.WithLabelValues(string(r))
	}
	for _, r := range retry.Reasons() {
		retried.WithLabelValues(string(r))
	}
	return refused, retried
}

// New returns collectors with every refusal and retry reason at zero. They have a
// registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
	}
	m.refused, m.retried = newReasons(m.registry)
	m.interrupted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramleywick_interrupted_total", Help: "Requests interrupted by a forced stop.",
	})
	m.firstToken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bramleywick_first_token_seconds", Help: "Time from arrival to the first token, by kind.", Buckets: firstTokenBuckets,
	}, []string{"kind"})
	m.tokenGap = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bramleywick_token_gap_seconds", Help: "Time between two chunks of an answer, by kind.", Buckets: tokenGapBuckets,
	}, []string{"kind"})
	m.registry.MustRegister(m.interrupted, m.firstToken, m.tokenGap)
	m.Authority = newAuthority(m.registry)
	return m
}

// Refused counts one refused request.
func (m *Metrics) Refused(reason fleet.Reason) { m.refused.WithLabelValues(string(reason)).Inc() }

// Retried counts one retry.
func (m *Metrics) Retried(reason retry.Reason) { m.retried.WithLabelValues(string(reason)).Inc() }

// Interrupted adds n requests that a forced stop has interrupted.
func (m *Metrics) Interrupted(n int) { m.interrupted.Add(float64(n)) }

// FirstToken observes the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(kind fleet.KindName, d time.Duration) {
	m.firstToken.WithLabelValues(string(kind)).Observe(d.Seconds())
}

// TokenGap observes the time between two chunks of an answer.
func (m *Metrics) TokenGap(kind fleet.KindName, d time.Duration) {
	m.tokenGap.WithLabelValues(string(kind)).Observe(d.Seconds())
}

// RegisterGauge registers a gauge whose value read returns at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Register registers a collector of another package.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

// Package metrics holds the Prometheus collectors of an instance.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Metrics counts what an instance does.
type Metrics struct {
	*Authority
	registry *prometheus.Registry
	refused  *prometheus.CounterVec
	retried  *prometheus.CounterVec
}

// New returns collectors with every refusal reason at zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_refused_total", Help: "Requests refused, by reason.",
		}, []string{"reason"}),
		retried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_retried_total", Help: "Attempts repeated, by reason.",
		}, []string{"reason"}),
	}
	m.registry.MustRegister(m.refused, m.retried)
	m.Authority = newAuthority(m.registry)
	for _, r := range fleet.Reasons() {
		m.refused.WithLabelValues(string(r))
	}
	return m
}

// Refused counts one refused request.
func (m *Metrics) Refused(reason fleet.Reason) { m.refused.WithLabelValues(string(reason)).Inc() }

// Retried counts one repeated attempt.
func (m *Metrics) Retried(reason string) { m.retried.WithLabelValues(reason).Inc() }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Register adds the collectors of another package.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/order"
)

// Authority counts orders and claims. It is part of Metrics.
type Authority struct {
	fence  prometheus.Gauge
	orders *prometheus.CounterVec
	claims *prometheus.CounterVec
}

// newAuthority returns the collectors with every label value at zero.
func newAuthority(registry *prometheus.Registry) *Authority {
	a := &Authority{
		fence: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleywick_order_lease_fence",
			Help: "Fencing number under which this instance gives orders; 0 without the lease.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_order_phases_total", Help: "Order records written, by phase.",
		}, []string{"phase"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_claims_total", Help: "Outcomes of claims stored, by phase; not_stored counts those that were lost.",
		}, []string{"phase"}),
	}
	registry.MustRegister(a.fence, a.orders, a.claims)
	for _, p := range []order.Phase{order.PhaseDraining, order.PhaseSending, order.PhaseSettled, order.PhaseUndone} {
		a.orders.WithLabelValues(string(p))
	}
	for _, p := range []claim.Phase{claim.PhaseDone, claim.PhaseUnknown, claim.PhaseNotRun, notStored} {
		a.claims.WithLabelValues(string(p))
	}
	return a
}

// notStored is the label of an outcome that the platform did not store; later
// calls with the key are answered as unknown.
const notStored claim.Phase = "not_stored"

// SetLeaseFence sets the fencing number of the lease; 0 means that it is not held.
func (a *Authority) SetLeaseFence(fence int64) { a.fence.Set(float64(fence)) }

// OrderRecorded counts one write of an order's record.
func (a *Authority) OrderRecorded(p order.Phase) { a.orders.WithLabelValues(string(p)).Inc() }

// ClaimRecorded counts the outcome of one claimed call.
func (a *Authority) ClaimRecorded(p claim.Phase, stored bool) {
	if !stored {
		p = notStored
	}
	a.claims.WithLabelValues(string(p)).Inc()
}

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/order"
)

// Authority holds the collectors of orders and claims. It is part of Metrics.
type Authority struct {
	fence  prometheus.Gauge
	orders *prometheus.CounterVec
	claims *prometheus.CounterVec
}

// newAuthority registers the collectors and sets every label value to zero.
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
	for _, p := range []claim.Phase{claim.PhaseDone, claim.PhaseUnknown, claim.PhaseNotRun, outcomeNotStored} {
		a.claims.WithLabelValues(string(p))
	}
	return a
}

// outcomeNotStored is the label of an outcome that could not be stored at the
// platform. Later calls with the same key are answered with an unknown outcome.
const outcomeNotStored claim.Phase = "not_stored"

// SetLeaseFence sets the fencing number of the order lease that this instance holds; 0
// means that it holds none.
func (a *Authority) SetLeaseFence(fence int64) { a.fence.Set(float64(fence)) }

// OrderRecorded counts one write of an order record, by the order's phase.
func (a *Authority) OrderRecorded(p order.Phase) { a.orders.WithLabelValues(string(p)).Inc() }

// ClaimRecorded counts the outcome of one claimed call. stored reports whether the
// outcome was stored at the platform.
func (a *Authority) ClaimRecorded(p claim.Phase, stored bool) {
	if !stored {
		p = outcomeNotStored
	}
	a.claims.WithLabelValues(string(p)).Inc()
}

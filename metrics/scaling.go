package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Scaling holds the collectors of the duty to order servers. Safe for concurrent
// use.
type Scaling struct {
	orders         *prometheus.CounterVec
	wanted, listed *prometheus.GaugeVec
}

// RegisterScaling registers the collectors of the duty to order servers.
func (g *Gateway) RegisterScaling() *Scaling {
	labels := []string{"service", "data_centre", "kind"}
	s := &Scaling{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_server_orders_total", Help: "Orders for a number of servers, by result.",
		}, []string{"result"}),
		wanted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleywick_servers_wanted", Help: "Number of servers ordered, at the holder of the duty.",
		}, labels),
		listed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramleywick_servers_listed", Help: "Number of listed servers that do not leave, at the holder of the duty.",
		}, labels),
	}
	g.registry.MustRegister(s.orders, s.wanted, s.listed)
	return s
}

// ServersOrdered counts an order by its result.
func (s *Scaling) ServersOrdered(result string) { s.orders.WithLabelValues(result).Inc() }

// FleetSize sets the wanted and the listed number of servers of a kind in a data
// centre.
func (s *Scaling) FleetSize(service fleet.GroupName, dc fleet.DataCentre, spot bool, wanted, listed int) {
	kind := "regular"
	if spot {
		kind = "spot"
	}
	s.wanted.WithLabelValues(string(service), string(dc), kind).Set(float64(wanted))
	s.listed.WithLabelValues(string(service), string(dc), kind).Set(float64(listed))
}

// NoFleetSize drops the numbers of servers of an instance that doesn't hold the
// duty any longer.
func (s *Scaling) NoFleetSize() {
	s.wanted.Reset()
	s.listed.Reset()
}

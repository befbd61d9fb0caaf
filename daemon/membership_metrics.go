package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/peer"
)

var (
	instancesDesc       = prometheus.NewDesc("bramleywick_instances", "Other entry instances known, by state.", []string{"state"}, nil)
	upstreamsDesc       = prometheus.NewDesc("bramleywick_upstreams", "Declared upstreams, by state.", []string{"state"}, nil)
	polledDesc          = prometheus.NewDesc("bramleywick_upstreams_polled", "Upstreams that this instance polls.", nil, nil)
	failingDesc         = prometheus.NewDesc("bramleywick_peers_failing", "Peers that did not answer the last push.", nil, nil)
	pushFailuresDesc    = prometheus.NewDesc("bramleywick_push_failures_total", "Pushes to peers without an answer.", nil, nil)
	messagesRefusedDesc = prometheus.NewDesc("bramleywick_peer_messages_refused_total", "Malformed messages of peers.", nil, nil)
	nameConflictsDesc   = prometheus.NewDesc("bramleywick_name_conflicts_total", "Times that peers knew a later process under this instance's name.", nil, nil)
	droppedDesc         = prometheus.NewDesc("bramleywick_exchange_dropped_total", "Service items dropped at a bound of memory.", nil, nil)
)

// membershipCollector collects the membership metrics of a node at each scrape.
type membershipCollector struct{ node *peer.Node }

// Describe implements prometheus.Collector.
func (c membershipCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		instancesDesc, upstreamsDesc, polledDesc, failingDesc, pushFailuresDesc, messagesRefusedDesc, nameConflictsDesc, droppedDesc,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c membershipCollector) Collect(ch chan<- prometheus.Metric) {
	instances := map[membership.InstanceStatus]int{
		membership.InstanceSuspect: 0, membership.InstanceLive: 0, membership.InstanceLeaving: 0, membership.InstanceGone: 0,
	}
	for _, i := range c.node.Instances() {
		instances[i.Status]++
	}
	for status, n := range instances {
		ch <- prometheus.MustNewConstMetric(instancesDesc, prometheus.GaugeValue, float64(n), status.String())
	}
	upstreams := map[membership.UpstreamStatus]int{
		membership.UpstreamUnknown: 0, membership.UpstreamLive: 0, membership.UpstreamLeaving: 0,
		membership.UpstreamUnreachable: 0, membership.UpstreamGone: 0,
	}
	polled := 0
	for _, u := range c.node.Upstreams() {
		upstreams[u.Status]++
		if u.Polled {
			polled++
		}
	}
	for status, n := range upstreams {
		ch <- prometheus.MustNewConstMetric(upstreamsDesc, prometheus.GaugeValue, float64(n), status.String())
	}
	stats := c.node.Stats()
	ch <- prometheus.MustNewConstMetric(polledDesc, prometheus.GaugeValue, float64(polled))
	ch <- prometheus.MustNewConstMetric(failingDesc, prometheus.GaugeValue, float64(stats.FailingPeers))
	ch <- prometheus.MustNewConstMetric(pushFailuresDesc, prometheus.CounterValue, float64(stats.PushFailures))
	ch <- prometheus.MustNewConstMetric(messagesRefusedDesc, prometheus.CounterValue, float64(stats.RejectedMessages))
	ch <- prometheus.MustNewConstMetric(nameConflictsDesc, prometheus.CounterValue, float64(stats.IncarnationRenewals))
	ch <- prometheus.MustNewConstMetric(droppedDesc, prometheus.CounterValue, float64(stats.DroppedItems))
}

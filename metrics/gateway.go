package metrics

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bramleywick/bramleywick/core/connlimit"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/links"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/gateway"
	"github.com/bramleywick/bramleywick/store"
)

// Gateway holds the collectors of an instance on the users' platform. Safe for
// concurrent use.
type Gateway struct {
	registry      *prometheus.Registry
	refused       *prometheus.CounterVec
	retried       *prometheus.CounterVec
	unanswered    *prometheus.CounterVec
	admittedLate  prometheus.Counter
	calls         *prometheus.CounterVec
	departures    *prometheus.CounterVec
	restores      prometheus.Counter
	linkChanges   *prometheus.CounterVec
	linkProbes    *prometheus.CounterVec
	confirmations *prometheus.CounterVec
	usageReports  *prometheus.CounterVec
	usageWindows  *prometheus.CounterVec
	closed        *prometheus.CounterVec
	answerSeconds *prometheus.HistogramVec
	relayed       *prometheus.CounterVec
	relayServed   *prometheus.CounterVec

	mu sync.Mutex
	// answeredRoutes are the routes that answerSeconds has a series of.
	answeredRoutes map[string]bool
}

// NewGateway returns collectors with every refusal and retry reason at zero. gauges
// holds the functions that return the gauges' values at each scrape, by metric name.
func NewGateway(gauges map[string]func() float64) *Gateway {
	g := &Gateway{
		registry: prometheus.NewRegistry(), answeredRoutes: map[string]bool{},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_store_calls_total", Help: "Calls to the platform's store, by call and result.",
		}, []string{"call", "result"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_unanswered_total", Help: "Requests that ended without a whole answer, by cause.",
		}, []string{"cause"}),
		admittedLate: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleywick_admitted_late_total", Help: "Requests admitted although they are expected to miss their latency target.",
		}),
		departures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_servers_leaving_total", Help: "Processes of servers found to leave, by source.",
		}, []string{"source"}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleywick_store_restores_total", Help: "Returns of the platform's store from an older copy that this instance has seen.",
		}),
		linkChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_links_changes_total", Help: "Changes of what the instance believes of its links to the servers, by new state and reason.",
		}, []string{"to", "reason"}),
		linkProbes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_links_probes_total", Help: "Connections opened only to find out whether servers can be reached, by result.",
		}, []string{"result"}),
		confirmations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_configuration_confirmations_total", Help: "Attempts to confirm the configuration's age, by source and result.",
		}, []string{"source", "result"}),
		usageReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_usage_reports_total", Help: "Calls that report a window of usage, by result.",
		}, []string{"result"}),
		usageWindows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_usage_windows_total", Help: "Windows of usage that were counted for a report, by whether all instances' counts were known.",
		}, []string{"complete"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_connections_closed_total", Help: "Clients' connections closed to make room, by listener and reason.",
		}, []string{"listener", "reason"}),
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_relayed_total", Help: "Requests relayed to other instances, by outcome.",
		}, []string{"outcome"}),
		relayServed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_relay_served_total", Help: "Requests that other instances have relayed to this one, by outcome.",
		}, []string{"outcome"}),
		answerSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramleywick_answer_seconds", Help: "Time to the answer or the first event, by route.", Buckets: firstTokenBuckets,
		}, []string{"route"}),
	}
	g.refused, g.retried = newReasons(g.registry)
	for _, cause := range gateway.UnansweredCauses() {
		g.unanswered.WithLabelValues(string(cause))
	}
	for _, outcome := range gateway.RelayOutcomes() {
		g.relayed.WithLabelValues(string(outcome))
		g.relayServed.WithLabelValues(string(outcome))
	}
	for _, r := range links.Results() {
		g.linkProbes.WithLabelValues(r.String())
	}
	g.registry.MustRegister(g.linkChanges, g.linkProbes, g.relayed, g.relayServed, g.admittedLate, g.unanswered, g.calls, g.departures, g.restores, g.closed, g.confirmations, g.usageReports, g.usageWindows, g.answerSeconds)
	for name, value := range gauges {
		g.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: "See docs/OPERATIONS.md."}, value))
	}
	return g
}

// Refused counts a refused request.
func (g *Gateway) Refused(reason fleet.Reason) { g.refused.WithLabelValues(string(reason)).Inc() }

// Unanswered counts a request that ended without a whole answer.
func (g *Gateway) Unanswered(cause gateway.UnansweredCause) {
	g.unanswered.WithLabelValues(string(cause)).Inc()
}

// Relayed counts a request that was relayed to another instance.
func (g *Gateway) Relayed(outcome gateway.RelayOutcome) {
	g.relayed.WithLabelValues(string(outcome)).Inc()
}

// RelayServed counts a request that another instance has relayed to this one.
func (g *Gateway) RelayServed(outcome gateway.RelayOutcome) {
	g.relayServed.WithLabelValues(string(outcome)).Inc()
}

// AdmittedLate counts a request that is sent behind all others.
func (g *Gateway) AdmittedLate() { g.admittedLate.Inc() }

// Retried counts a retry.
func (g *Gateway) Retried(reason retry.Reason) { g.retried.WithLabelValues(string(reason)).Inc() }

// Answered observes the time to a plain answer or to the first event of a stream.
func (g *Gateway) Answered(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answeredRoutes[route] = true
	g.answerSeconds.WithLabelValues(route).Observe(took.Seconds())
}

// KeepRoutes drops the series of routes for which declared returns false.
func (g *Gateway) KeepRoutes(declared func(route string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for route := range g.answeredRoutes {
		if !declared(route) {
			g.answerSeconds.DeleteLabelValues(route)
			delete(g.answeredRoutes, route)
		}
	}
}

// ServerLeaves counts a server's process that was found to leave, by source.
func (g *Gateway) ServerLeaves(source string) { g.departures.WithLabelValues(source).Inc() }

// StoreRestored counts a return of the store from an older copy.
func (g *Gateway) StoreRestored() { g.restores.Inc() }

// LinksChanged counts a change of what the instance believes of its links.
func (g *Gateway) LinksChanged(_, to links.State, reason links.Reason) {
	g.linkChanges.WithLabelValues(to.String(), string(reason)).Inc()
}

// LinksProbed counts a probe.
func (g *Gateway) LinksProbed(r links.Result) { g.linkProbes.WithLabelValues(r.String()).Inc() }

// Confirmation counts an attempt to confirm the age of the configuration.
func (g *Gateway) Confirmation(source string, confirmed bool) {
	result := "confirmed"
	if !confirmed {
		result = "not_confirmed"
	}
	g.confirmations.WithLabelValues(source, result).Inc()
}

// UsageReport counts a call that reports a window of usage, by result.
func (g *Gateway) UsageReport(result string) { g.usageReports.WithLabelValues(result).Inc() }

// UsageWindow counts a window of usage that is about to be reported.
func (g *Gateway) UsageWindow(complete bool) {
	g.usageWindows.WithLabelValues(strconv.FormatBool(complete)).Inc()
}

// ConnectionClosed counts a client's connection that was closed to make room.
func (g *Gateway) ConnectionClosed(listener string, reason connlimit.Reason) {
	g.closed.WithLabelValues(listener, string(reason)).Inc()
}

// AddListener sets the counters of a listener to zero for every reason.
func (g *Gateway) AddListener(listener string, reasons []connlimit.Reason) {
	for _, r := range reasons {
		g.closed.WithLabelValues(listener, string(r))
	}
}

// StoreCall counts a call to the platform's store.
func (g *Gateway) StoreCall(call string, result store.Result) {
	g.calls.WithLabelValues(call, string(result)).Inc()
}

// maxScrapes is the most scrapes that are answered at the same time; others get 503. A
// scrape takes about a megabyte, most of it for compression.
const maxScrapes = 4

// Handler returns the handler that serves the metrics.
func (g *Gateway) Handler() http.Handler {
	return promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/store"
)

// RegisterPlatformCalls registers the counter of calls to the platform and returns
// the function that counts one attempt. It must be called only once.
func (m *Metrics) RegisterPlatformCalls() func(call string, result store.Result) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleywick_platform_calls_total", Help: "Attempts of calls on the platform, by call and result.",
	}, []string{"call", "result"})
	m.registry.MustRegister(calls)
	for _, result := range store.Results() {
		calls.WithLabelValues("GET /v1/watch", string(result))
	}
	return func(call string, result store.Result) {
		calls.WithLabelValues(call, string(result)).Inc()
	}
}

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleywick/bramleywick/config"
)

// Configuration holds the collectors of an instance's configuration. It implements
// config.Observer.
type Configuration struct {
	version prometheus.Gauge
	stored  prometheus.Gauge
	refused *prometheus.CounterVec
	reads   *prometheus.CounterVec
}

var _ config.Observer = (*Configuration)(nil)

// RegisterConfiguration registers the collectors of the configuration. It must be
// called only once.
func (m *Metrics) RegisterConfiguration() *Configuration {
	c := &Configuration{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleywick_config_version", Help: "Version of the configuration in force; 0 means none.",
		}),
		stored: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleywick_config_platform_version", Help: "Version last read from the platform; 0 means none.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_config_refused_total",
			Help: "Configurations not put in force, by source and reason.",
		}, []string{"source", "reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleywick_config_reads_total", Help: "Reads of the platform's configuration, by result.",
		}, []string{"result"}),
	}
	m.registry.MustRegister(c.version, c.stored, c.refused, c.reads)
	for _, source := range []config.Source{config.SourcePlatform, config.SourcePeer, config.SourceApply} {
		for _, reason := range []string{"older", "forked", "invalid"} {
			c.refused.WithLabelValues(string(source), reason)
		}
	}
	for _, result := range []string{"ok", "failed"} {
		c.reads.WithLabelValues(result)
	}
	return c
}

// ConfigInForce implements config.Observer.
func (c *Configuration) ConfigInForce(version int64) { c.version.Set(float64(version)) }

// ConfigStored implements config.Observer.
func (c *Configuration) ConfigStored(version int64) { c.stored.Set(float64(version)) }

// ConfigRefused implements config.Observer.
func (c *Configuration) ConfigRefused(source config.Source, reason string) {
	c.refused.WithLabelValues(string(source), reason).Inc()
}

// ConfigRead implements config.Observer.
func (c *Configuration) ConfigRead(ok bool) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	c.reads.WithLabelValues(result).Inc()
}

package metrics

import "sort"

// Count is the value of a counter under one label value.
type Count struct {
	Label string
	Value uint64
}

// Refusals returns the number of refused requests by reason.
func (m *Metrics) Refusals() []Count { return m.counts("bramleywick_refused_total") }

// Retries returns the number of retries by reason.
func (m *Metrics) Retries() []Count { return m.counts("bramleywick_retried_total") }

// counts returns the values of a counter vector with one label, sorted by label
// value, or nil if the collectors cannot be read.
func (m *Metrics) counts(name string) []Count {
	families, err := m.registry.Gather()
	if err != nil {
		return nil
	}
	var out []Count
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			label := ""
			if labels := metric.GetLabel(); len(labels) > 0 {
				label = labels[0].GetValue()
			}
			out = append(out, Count{Label: label, Value: uint64(metric.GetCounter().GetValue())})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Label < out[j].Label })
	return out
}

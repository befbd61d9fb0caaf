package loadshare

import (
	"maps"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/topology"
	"github.com/bramleywick/bramleywick/core/usage"
)

// UsageCounts counts the members' requests at all instances.
type UsageCounts interface {
	// UsageReport returns the counts for another instance; nil when it is not time
	// for them. include reports whether the clock of an instance is passed on.
	UsageReport(to fleet.InstanceID, link usage.Link, include func(fleet.InstanceID) bool) *usage.Report
	ApplyUsage(from fleet.InstanceID, link usage.Link, r *usage.Report)
}

// SetUsage sets what counts the members' requests. It must be called before the
// first exchange.
func (e *Exchange) SetUsage(u UsageCounts) { e.usage = u }

// usageReport returns the counts for another instance, or nil.
func (e *Exchange) usageReport(to fleet.InstanceID, topo topology.Topology) *usage.Report {
	if e.usage == nil {
		return nil
	}
	return e.usage.UsageReport(to, usageLink(to, topo), includes(topo, to))
}

// usageLink returns the kind of the connection to an instance.
func usageLink(to fleet.InstanceID, topo topology.Topology) usage.Link {
	switch {
	case topo.IsHub && topo.Hubs[to]:
		return usage.LinkHubs
	case topo.IsHub:
		return usage.LinkInstance
	}
	return usage.LinkPeer
}

// applyUsage applies the counts in a report.
func (e *Exchange) applyUsage(r Report) {
	if r.Usage == nil || e.usage == nil {
		return
	}
	e.mu.Lock()
	topo := e.topology
	e.mu.Unlock()
	e.usage.ApplyUsage(r.From, usageLink(r.From, topo), r.Usage)
}

// Hubs returns the hubs of all data centres in a deployment that has hubs, and
// false in a mesh.
func (e *Exchange) Hubs() ([]fleet.InstanceID, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology.Hubs == nil {
		return nil, false
	}
	out := slices.Collect(maps.Keys(e.topology.Hubs))
	if e.topology.IsHub {
		out = append(out, e.self)
	}
	return out, true
}

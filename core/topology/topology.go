// Package topology decides which instances connect to each other. A small
// deployment is a full mesh. In a large one each instance connects to the hub
// of its data centre, and the hubs form a mesh, so that the number of
// connections and messages grows linearly with the number of instances instead
// of quadratically.
package topology

import (
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// meshLimit is the number of instances up to which a full mesh is used. In a
// mesh, traffic and exchange together take 0.024 cores per instance with 8
// instances and 0.13 with 88 (docs/CAPACITY.md, docs/incidents).
const meshLimit = 12

// Instance is a listed instance.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Cores is its CPU capacity in cores; the hub of a data centre is the
	// instance with the most.
	Cores float64
}

// Topology is one instance's position: its hub and the peers that it dials.
type Topology struct {
	// Hub is the hub of the instance's data centre; "" in a mesh and for a hub.
	Hub fleet.InstanceID
	// IsHub reports whether the instance is a hub; it is false in a mesh.
	IsHub bool
	// DialPeers are the instances that this one dials; of each connected pair
	// only one dials.
	DialPeers []fleet.InstanceID
	// Hubs is the set of all other hubs; nil in a mesh.
	Hubs map[fleet.InstanceID]bool
	// Served is the set of the other instances of a hub's data centre; nil for an
	// instance that is not a hub.
	Served map[fleet.InstanceID]bool
}

// CountsLoadOf reports whether the load in a report of an instance counts, given
// whether the report includes that of others. While a hub is replaced, the old one
// and its successor both report the load of their data centre; only the one that this
// instance takes for the hub counts, so that no load counts twice.
func (t Topology) CountsLoadOf(from fleet.InstanceID, withOthers bool) bool {
	switch {
	case t.Hubs == nil:
		return true
	case t.Hubs[from]:
		return t.IsHub || from == t.Hub
	default:
		return t.Served[from] && !withOthers
	}
}

// Of returns the topology of an instance among the listed ones. It sorts list
// by id. Above meshLimit, an instance that is not listed has no hub and dials
// no peer.
func Of(self fleet.InstanceID, list []Instance) Topology {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	if len(list) <= meshLimit {
		return mesh(self, list)
	}
	hubs := map[fleet.DataCentre]Instance{}
	var dataCentre fleet.DataCentre
	for _, i := range list {
		if known, ok := hubs[i.DataCentre]; !ok || i.Cores > known.Cores {
			hubs[i.DataCentre] = i
		}
		if i.ID == self {
			dataCentre = i.DataCentre
		}
	}
	t := Topology{Hubs: map[fleet.InstanceID]bool{}}
	hub, ok := hubs[dataCentre]
	t.IsHub = ok && hub.ID == self
	for _, h := range hubs {
		if h.ID == self {
			continue
		}
		t.Hubs[h.ID] = true
		if t.IsHub && h.ID > self {
			t.DialPeers = append(t.DialPeers, h.ID)
		}
	}
	if t.IsHub {
		t.Served = map[fleet.InstanceID]bool{}
		for _, i := range list {
			if i.DataCentre == dataCentre && i.ID != self {
				t.Served[i.ID] = true
			}
		}
	}
	if ok && !t.IsHub {
		t.Hub = hub.ID
		t.DialPeers = []fleet.InstanceID{hub.ID}
	}
	return t
}

// mesh returns the topology in which the instance dials all peers with a higher
// id.
func mesh(self fleet.InstanceID, list []Instance) Topology {
	var t Topology
	for _, i := range list {
		if i.ID > self {
			t.DialPeers = append(t.DialPeers, i.ID)
		}
	}
	return t
}

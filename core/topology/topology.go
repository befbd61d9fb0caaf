// Package topology decides which instances talk to each other. In a small
// deployment each talks to every other. In a large one each talks to the hub of
// its data centre, and the hubs to each other, so that connections and messages
// grow with the instances and not with their square.
package topology

import (
	"sort"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// meshLimit is the number of instances up to which all talk to each other. Eight
// instances spend 0.024 of a core each on traffic and exchange together, in a
// mesh of 88 it was 0.13 (docs/CAPACITY.md, docs/incidents).
const meshLimit = 12

// Instance is one instance as it is listed.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Cores is its processor in cores; the hub of a data centre is the instance
	// with most.
	Cores float64
}

// Topology is one instance's place.
type Topology struct {
	// Hub is the hub of the instance's data centre; "" in a mesh and for the
	// hub itself.
	Hub fleet.InstanceID
	// IsHub tells that the instance is a hub.
	IsHub bool
	// DialPeers are the instances that this one calls; of a pair one calls.
	DialPeers []fleet.InstanceID
	// Hubs are all hubs but the instance itself; nil in a mesh.
	Hubs map[fleet.InstanceID]bool
}

// Of returns the place of an instance among those listed.
func Of(self fleet.InstanceID, list []Instance) Topology {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	if len(list) <= meshLimit {
		return mesh(self, list)
	}
	hubs := map[fleet.DataCentre]Instance{}
	var centre fleet.DataCentre
	for _, i := range list {
		if known, ok := hubs[i.DataCentre]; !ok || i.Cores > known.Cores {
			hubs[i.DataCentre] = i
		}
		if i.ID == self {
			centre = i.DataCentre
		}
	}
	t := Topology{Hubs: map[fleet.InstanceID]bool{}}
	hub, ok := hubs[centre]
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
	if ok && !t.IsHub {
		t.Hub = hub.ID
		t.DialPeers = []fleet.InstanceID{hub.ID}
	}
	return t
}

func mesh(self fleet.InstanceID, list []Instance) Topology {
	var t Topology
	for _, i := range list {
		if i.ID > self {
			t.DialPeers = append(t.DialPeers, i.ID)
		}
	}
	return t
}

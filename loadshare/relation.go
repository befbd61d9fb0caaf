package loadshare

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/topology"
	"github.com/bramleywick/bramleywick/directory"
)

// SetPeers recomputes the topology from the listed instances. It starts
// exchanges with the instances that this one dials and stops those with all
// others.
func (e *Exchange) SetPeers(ctx context.Context, list []directory.Instance) {
	topo := e.connect(ctx, list)
	if e.streams != nil {
		e.streams.setPool(list, topo.Hubs != nil)
	}
	// Not under e.mu: the view queues notes while it holds its own lock.
	e.view.KeepLoads(func(id fleet.InstanceID) bool { return topo.CountsLoadOf(id, false) })
}

// connect sets the topology, and the instances that this one dials, and returns the
// topology.
func (e *Exchange) connect(ctx context.Context, list []directory.Instance) topology.Topology {
	all := make([]topology.Instance, 0, len(list))
	for _, i := range list {
		all = append(all, topology.Instance{ID: i.ID, DataCentre: i.DataCentre, Cores: i.Cores})
	}
	topo := topology.Of(e.self, all)
	e.mu.Lock()
	defer e.mu.Unlock()
	if topo.Hub != e.topology.Hub || topo.IsHub != e.topology.IsHub {
		e.log.Info("place among instances", zap.String("hub", string(topo.Hub)), zap.Bool("is_hub", topo.IsHub), zap.Int("instances", len(list)))
	}
	if !e.caughtUp {
		e.catchUp(ctx, list)
	}
	e.topology, e.otherHubs = topo, nil
	for _, i := range list {
		if topo.Hubs[i.ID] && i.ID != topo.Hub {
			e.otherHubs = append(e.otherHubs, i)
		}
	}
	e.sources = e.otherHubs
	if topo.Hubs == nil {
		e.sources = slices.DeleteFunc(slices.Clone(list), func(i directory.Instance) bool { return i.ID == e.self })
	}
	seen := map[fleet.InstanceID]bool{}
	for _, i := range list {
		if !slices.Contains(topo.DialPeers, i.ID) {
			continue
		}
		seen[i.ID] = true
		if e.peerAddress[i.ID] == i.Address {
			continue
		}
		if stop := e.cancelPeer[i.ID]; stop != nil {
			stop()
		}
		peer, stop := context.WithCancel(ctx)
		e.cancelPeer[i.ID], e.peerAddress[i.ID] = stop, i.Address
		go e.runPeer(peer, i)
	}
	for id, stop := range e.cancelPeer {
		if !seen[id] {
			stop()
			delete(e.cancelPeer, id)
			delete(e.peerAddress, id)
			delete(e.nextNote, id)
		}
	}
	return topo
}

// includes returns whether the report to an instance includes what another
// instance has reported. A hub adds the work of its data centre for other hubs,
// and the work of all instances for its own instances.
func includes(topo topology.Topology, to fleet.InstanceID) func(fleet.InstanceID) bool {
	return func(id fleet.InstanceID) bool {
		return topo.IsHub && id != to && (topo.Hubs[id] || topo.Served[id]) && !(topo.Hubs[to] && topo.Hubs[id])
	}
}

// leaveOutLoad leaves the load out of a report whose sender is not the one from
// which this instance gets it.
func (e *Exchange) leaveOutLoad(r *Report) {
	if r.AgreementOnly {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology.CountsLoadOf(r.From, r.Hub) {
		delete(e.leftOut, r.From)
		return
	}
	r.AgreementOnly, r.Limits.Rates, r.Shares = true, nil, nil
	if e.leftOut[r.From] {
		return
	}
	if len(e.leftOut) >= maxLeftOut {
		clear(e.leftOut)
	}
	e.leftOut[r.From] = true
	e.log.Info("load reported by an instance does not count", zap.String("instance", string(r.From)), zap.Bool("as_hub", r.Hub),
		zap.String("hub", string(e.topology.Hub)), zap.Bool("is_hub", e.topology.IsHub))
}

// maxLeftOut bounds the instances whose load is known not to count.
const maxLeftOut = 256

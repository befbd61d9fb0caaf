package exchange

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Receive takes a peer's message and returns the answer. It fails on a message
// that is malformed, and then has counted nothing of it.
func (e *Exchange) Receive(now fleet.Instant, payload []byte) ([]byte, error) {
	r := &reader{in: payload, names: e.names}
	f := decodeHead(r)
	if r.err != nil || (f.profile != nil && f.profile.ID == "") {
		return nil, errMalformed
	}
	o := e.originOf(now, f)
	if o == nil || (f.profile != nil && f.incarnation < o.incarnation) {
		return e.answer(f, o, false).encode(), nil
	}
	refused := f.numbered && f.digest != e.names.digest
	if !refused {
		f.decodeBody(now, r)
	}
	if r.err != nil {
		return nil, errMalformed
	}
	e.meet(now, f, o)
	for _, mark := range f.marks {
		e.learn(membership.MarkReceived{Mark: mark, Source: membership.SourcePeer})
	}
	if !refused {
		e.takeReports(f, o)
		e.takeBatch(f, o)
	}
	o.push = max(o.push, f.push)
	return e.answer(f, o, refused).encode(), nil
}

// originOf returns what is remembered of a sender, or nil for a handle that
// was not given out, for this instance itself and beyond the bound.
func (e *Exchange) originOf(now fleet.Instant, f *frame) *origin {
	if f.profile == nil {
		return e.handles[f.handle]
	}
	id := f.profile.ID
	o := e.origins[id]
	if id == e.config.Self.ID || (o == nil && len(e.origins) >= maxOrigins && !e.forgetOrigin(now)) {
		return nil
	}
	if o == nil || f.incarnation > o.incarnation {
		if o != nil {
			delete(e.handles, o.handle)
		}
		o = &origin{incarnation: f.incarnation, handle: e.newHandle(), spelt: map[fleet.UpstreamID]spelling{}}
		e.origins[id], e.handles[o.handle] = o, o
	}
	if f.incarnation == o.incarnation {
		o.profile = *f.profile
	}
	return o
}

func (e *Exchange) newHandle() uint64 {
	for {
		h := e.next() & (1<<(8*handleBytes) - 1)
		if h != 0 && e.handles[h] == nil {
			return h
		}
	}
}

// forgetOrigin makes room by forgetting the sender that has been silent
// longest, unless it was heard lately.
func (e *Exchange) forgetOrigin(now fleet.Instant) bool {
	var oldest fleet.InstanceID
	for id, o := range e.origins {
		if oldest == "" || o.heardAt < e.origins[oldest].heardAt || (o.heardAt == e.origins[oldest].heardAt && id < oldest) {
			oldest = id
		}
	}
	if now-e.origins[oldest].heardAt < maxAge {
		return false
	}
	delete(e.handles, e.origins[oldest].handle)
	delete(e.origins, oldest)
	return true
}

// meet takes the sender's word about itself from a message that was not
// overtaken by a later one.
func (e *Exchange) meet(now fleet.Instant, f *frame, o *origin) {
	if f.push <= o.push {
		return
	}
	o.heardAt = now
	if s := e.sessions[o.profile.ID]; s != nil && s.failures > 0 && !s.inFlight {
		// It can be reached again.
		s.due = now
	}
	e.learn(membership.Heartbeat{
		Profile: o.profile, Incarnation: o.incarnation, ConfigVersion: f.configVersion, Leaving: f.leaving,
		HoldsOrderLease: f.holder,
	})
	e.seeVersion(now, o.profile.ID, o.profile.Address, f.configVersion)
}

func (e *Exchange) takeReports(f *frame, o *origin) {
	if f.push <= o.push {
		// Ages in an overtaken message are too small by its delay.
		return
	}
	for _, r := range f.reports {
		id := r.Load.Upstream
		if !e.names.knows(id) {
			continue
		}
		known := o.spelt[id]
		if r.named {
			known = spelling{r.Generation, r.Load.Incarnation, r.Load.KVCapacityTokens, r.counters}
		}
		if known.generation != r.Generation {
			continue
		}
		if r.counted && !r.named {
			known.counters = r.counters.extend(known.counters)
		}
		o.spelt[id] = known
		if r.counted {
			known.counters.fill(&r.Load)
		}
		r.Load.Incarnation, r.Load.KVCapacityTokens = known.incarnation, known.kvCapacity
		e.learn(membership.Reported{Report: r.Report})
		if f.relay {
			e.relay(r.Report)
		}
	}
}

// relay passes a report of another data centre on within this one, each
// upstream's at most once per relayPeriod unless its state changed.
func (e *Exchange) relay(r membership.Report) {
	known := e.reports[r.Load.Upstream]
	if known != nil && known.Generation == r.Generation {
		same := known.Unreachable == r.Unreachable && known.Load.Leaving == r.Load.Leaving
		if r.Load.At <= known.Load.At || (same && r.Load.At-known.Load.At < relayPeriod) {
			return
		}
	}
	if known == nil || known.Generation <= r.Generation {
		e.keepReport(r, true)
	}
}

// takeBatch counts service and dispatches once per sequence.
func (e *Exchange) takeBatch(f *frame, o *origin) {
	if f.profile != nil || f.sequence <= o.applied {
		return
	}
	o.applied = f.sequence
	for _, i := range f.service {
		e.emit(SchedulerEvent{Event: sched.PeerService{Member: i.member, Group: i.group, Cost: i.cost}})
		e.passOn(i)
	}
	for _, d := range f.dispatches {
		e.emit(SchedulerEvent{Event: d})
	}
	for _, t := range f.turns {
		t.Instance = o.profile.ID
		e.emit(SchedulerEvent{Event: t})
	}
	if len(f.demand) > 0 {
		e.emit(PeerDemand{Demand: f.demand})
	}
}

func (e *Exchange) passOn(i item) {
	switch i.class {
	case classAggregate:
		e.aggregate(i.itemKey, i.cost)
	case classTotal:
		i.class = classPlain
		e.add(e.inbound, i.itemKey, i.cost)
	}
}

func (e *Exchange) answer(f *frame, o *origin, refused bool) *reply {
	a := &reply{
		configVersion: e.version, refused: refused, leaving: e.leaving,
		unknown: o == nil && f.profile == nil,
	}
	if !f.numbered || refused {
		a.digest = e.names.digest
	}
	if o != nil {
		a.applied = o.applied
	}
	if f.profile != nil {
		a.welcome = e.welcome(f, o)
	}
	return a
}

func (e *Exchange) welcome(f *frame, o *origin) *welcome {
	out := &welcome{profile: e.config.Self, incarnation: e.config.Incarnation, known: f.incarnation}
	if o != nil {
		out.known, out.handle = o.incarnation, o.handle
	}
	if !f.askPeers {
		return out
	}
	for _, s := range e.order {
		if p := s.Profile; p.Address != "" && p.ID != f.profile.ID && len(out.peers) < maxPeersTold {
			out.peers = append(out.peers, p)
		}
	}
	return out
}

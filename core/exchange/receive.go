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
	if r.err != nil || f.from == "" {
		return nil, errMalformed
	}
	o := e.originOf(now, f)
	if o == nil || f.incarnation < o.incarnation {
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
		e.learn(membership.Marked{Mark: mark, Source: membership.SourcePeer})
	}
	if !refused {
		e.takeReports(f, o)
		e.takeBatch(f, o)
	}
	o.push = max(o.push, f.push)
	return e.answer(f, o, refused).encode(), nil
}

// originOf returns what is remembered of a sender, or nil beyond the bound.
func (e *Exchange) originOf(now fleet.Instant, f *frame) *origin {
	o := e.origins[f.from]
	if f.from == e.config.Self.ID {
		return nil
	}
	if o == nil && len(e.origins) >= maxOrigins && !e.forgetOrigin(now) {
		return nil
	}
	if o == nil || f.incarnation > o.incarnation {
		o = &origin{incarnation: f.incarnation, spelt: map[fleet.UpstreamID]spelling{}}
		e.origins[f.from] = o
	}
	return o
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
	profile := membership.Profile{ID: f.from}
	s := e.sessions[f.from]
	switch {
	case f.profile != nil && f.profile.ID == f.from:
		profile = *f.profile
	case s != nil:
		profile = s.Profile
	}
	if s != nil && s.failures > 0 && !s.inFlight {
		// It can be reached again.
		s.due = now
	}
	if profile.Address == "" {
		return
	}
	e.learn(membership.Heard{
		Profile: profile, Incarnation: f.incarnation, ConfigVersion: f.configVersion, Leaving: f.leaving,
	})
	e.seeVersion(now, f.from, profile.Address, f.configVersion)
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
		if r.named {
			o.spelt[id] = spelling{r.Generation, r.Load.Incarnation}
		}
		known := o.spelt[id]
		if known.generation != r.Generation {
			continue
		}
		r.Load.Incarnation = known.incarnation
		e.learn(membership.Reported{Report: r.Report})
		if f.relay {
			e.relay(r.Report)
		}
	}
}

// relay passes a report of another data centre on within this one.
func (e *Exchange) relay(r membership.Report) {
	known := e.reports[r.Load.Upstream]
	if known != nil && (known.Generation > r.Generation || (known.Generation == r.Generation && known.Load.At >= r.Load.At)) {
		return
	}
	e.keepReport(r, true)
}

// takeBatch counts service and dispatches once per sequence, and only what was
// meant for this incarnation.
func (e *Exchange) takeBatch(f *frame, o *origin) {
	if f.to != e.config.Incarnation || f.sequence <= o.applied {
		return
	}
	o.applied = f.sequence
	for _, i := range f.service {
		e.emit(Schedule{Event: sched.PeerService{Member: i.member, Group: i.group, Cost: i.cost}})
		e.passOn(i)
	}
	for _, d := range f.dispatches {
		e.emit(Schedule{Event: d})
	}
}

func (e *Exchange) passOn(i item) {
	switch i.class {
	case classAggregate:
		e.aggregate(i.itemKey, i.cost)
	case classTotal:
		i.class = classPlain
		for _, id := range e.order {
			if s := e.sessions[id]; s.open && e.local(s) {
				e.add(s.pending, i.itemKey, i.cost)
			}
		}
	}
}

func (e *Exchange) answer(f *frame, o *origin, refused bool) *reply {
	a := &reply{
		incarnation: e.config.Incarnation, known: f.incarnation, configVersion: e.version,
		refused: refused, leaving: e.leaving, digest: e.names.digest,
	}
	if o != nil {
		a.known, a.applied = o.incarnation, o.applied
	}
	if f.profile != nil {
		a.profile = &e.config.Self
	}
	if f.askPeers {
		for _, id := range e.order {
			if p := e.sessions[id].Profile; p.Address != "" && len(a.peers) < maxPeersTold && id != f.from {
				a.peers = append(a.peers, p)
			}
		}
	}
	return a
}

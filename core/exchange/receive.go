package exchange

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// Receive applies a peer's message and returns the encoded reply. It returns
// errMalformed for a message that cannot be decoded; nothing of such a message
// is counted.
func (e *Exchange) Receive(now fleet.Instant, payload []byte) ([]byte, error) {
	r := &reader{in: payload, dictionary: e.dictionary}
	f := decodeHeader(r)
	if r.err != nil || (f.profile != nil && f.profile.ID == "") {
		return nil, errMalformed
	}
	from := e.senderOf(now, f)
	if from == nil || (f.profile != nil && f.incarnation < from.incarnation) {
		return e.newReply(f, from, false).encode(), nil
	}
	rejected := f.numbered && f.digest != e.dictionary.digest
	if !rejected {
		f.decodeBody(now, r)
	}
	if r.err != nil {
		return nil, errMalformed
	}
	e.recordSender(now, f, from)
	for _, mark := range f.marks {
		e.emitMembership(membership.MarkReceived{Mark: mark, Source: membership.SourcePeer})
	}
	if !rejected {
		e.applyReports(f, from)
		e.applyBatch(f, from)
	}
	from.lastPushSeq = max(from.lastPushSeq, f.pushSeq)
	return e.newReply(f, from, rejected).encode(), nil
}

// senderOf returns the state of a frame's sender. It returns nil for a handle
// that was not issued here, for this instance itself and for a new sender
// beyond maxSenders.
func (e *Exchange) senderOf(now fleet.Instant, f *frame) *sender {
	if f.profile == nil {
		return e.sendersByHandle[f.handle]
	}
	id := f.profile.ID
	known := e.senders[id]
	if id == e.config.Self.ID || (known == nil && len(e.senders) >= maxSenders && !e.evictSender(now)) {
		return nil
	}
	if known == nil || f.incarnation > known.incarnation {
		if known != nil {
			delete(e.sendersByHandle, known.handle)
		}
		known = &sender{incarnation: f.incarnation, handle: e.newHandle(), fullReports: map[fleet.UpstreamID]fullReport{}}
		e.senders[id], e.sendersByHandle[known.handle] = known, known
	}
	if f.incarnation == known.incarnation {
		known.profile = *f.profile
	}
	return known
}

// newHandle returns a random handle that is not in use.
func (e *Exchange) newHandle() uint64 {
	for {
		h := e.nextRandom() & (1<<(8*handleBytes) - 1)
		if h != 0 && e.sendersByHandle[h] == nil {
			return h
		}
	}
}

// evictSender removes the sender that has been silent longest and reports
// whether it did so. A sender that has pushed within maxAge is kept.
func (e *Exchange) evictSender(now fleet.Instant) bool {
	var oldest fleet.InstanceID
	for id, known := range e.senders {
		if oldest == "" || known.lastPushAt < e.senders[oldest].lastPushAt || (known.lastPushAt == e.senders[oldest].lastPushAt && id < oldest) {
			oldest = id
		}
	}
	if now-e.senders[oldest].lastPushAt < maxAge {
		return false
	}
	delete(e.sendersByHandle, e.senders[oldest].handle)
	delete(e.senders, oldest)
	return true
}

// recordSender applies what the sender states about itself, unless a later push
// arrived before this one.
func (e *Exchange) recordSender(now fleet.Instant, f *frame, from *sender) {
	if f.pushSeq <= from.lastPushSeq {
		return
	}
	from.lastPushAt = now
	if s := e.sessions[from.profile.ID]; s != nil && s.failures > 0 && !s.inFlight {
		// The peer is reachable again.
		s.due = now
	}
	e.emitMembership(membership.Heartbeat{
		Profile: from.profile, Incarnation: from.incarnation, ConfigVersion: f.configVersion, Leaving: f.leaving,
		HoldsOrderLease: f.holdsOrderLease,
	})
	e.fetchIfNewer(now, from.profile.ID, from.profile.Address, f.configVersion)
}

// applyReports emits the load reports of a frame to the membership, unless a
// later push arrived before this one.
func (e *Exchange) applyReports(f *frame, from *sender) {
	if f.pushSeq <= from.lastPushSeq {
		// A delayed message's ages are too small by its delay.
		return
	}
	for _, r := range f.reports {
		id := r.Load.Upstream
		if !e.dictionary.hasUpstream(id) {
			continue
		}
		known := from.fullReports[id]
		if r.full {
			known = fullReport{r.Generation, r.Load.Incarnation, r.Load.KVCapacityTokens, r.counters}
		}
		if known.generation != r.Generation {
			continue
		}
		if r.hasCounters && !r.full {
			known.counters = r.counters.extend(known.counters)
		}
		from.fullReports[id] = known
		if r.hasCounters {
			known.counters.applyTo(&r.Load)
		}
		r.Load.Incarnation, r.Load.KVCapacityTokens = known.incarnation, known.kvCapacity
		e.emitMembership(membership.Reported{Report: r.Report})
		if f.relay {
			e.relayReport(r.Report)
		}
	}
}

// relayReport stores a report of another data centre for the peers of this one,
// at most once per relayPeriod and upstream unless its state has changed.
func (e *Exchange) relayReport(r membership.Report) {
	known := e.reports[r.Load.Upstream]
	if known != nil && known.Generation == r.Generation {
		same := known.Unreachable == r.Unreachable && known.Load.Leaving == r.Load.Leaving
		if r.Load.At <= known.Load.At || (same && r.Load.At-known.Load.At < relayPeriod) {
			return
		}
	}
	if known == nil || known.Generation <= r.Generation {
		e.storeReport(r, true)
	}
}

// applyBatch emits the service, dispatches and demand of a frame once per batch
// sequence number.
func (e *Exchange) applyBatch(f *frame, from *sender) {
	if f.profile != nil || f.batchSeq <= from.appliedBatch {
		return
	}
	from.appliedBatch = f.batchSeq
	for _, item := range f.service {
		e.emit(SchedulerEvent{Event: sched.PeerService{Member: item.member, Group: item.group, Cost: item.cost}})
		e.collectTotal(item)
	}
	for _, d := range f.dispatches {
		e.emit(SchedulerEvent{Event: d})
	}
	for _, q := range f.queueStates {
		q.Instance = from.profile.ID
		e.emit(SchedulerEvent{Event: q})
	}
	if len(f.demand) > 0 {
		e.emit(PeerDemand{Demand: f.demand})
	}
}

// collectTotal adds an item to the totals that its class asks for.
func (e *Exchange) collectTotal(item serviceItem) {
	switch item.class {
	case classAggregate:
		e.addToOutboundTotals(item.serviceKey, item.cost)
	case classTotal:
		item.class = classPlain
		e.addCost(e.inboundTotals, item.serviceKey, item.cost)
	}
}

// newReply returns the reply to a frame. from is nil for an unknown sender.
func (e *Exchange) newReply(f *frame, from *sender, rejected bool) *reply {
	a := &reply{
		configVersion: e.configVersion, rejected: rejected, leaving: e.leaving,
		unknownHandle: from == nil && f.profile == nil,
	}
	if !f.numbered || rejected {
		a.digest = e.dictionary.digest
	}
	if from != nil {
		a.appliedBatch = from.appliedBatch
	}
	if f.profile != nil {
		a.handshake = e.newHandshake(f, from)
	}
	return a
}

// newHandshake returns the handshake for a frame with a profile. Its handle is
// 0 if the sender is not accepted.
func (e *Exchange) newHandshake(f *frame, from *sender) *handshake {
	out := &handshake{profile: e.config.Self, incarnation: e.config.Incarnation, knownIncarnation: f.incarnation}
	if from != nil {
		out.knownIncarnation, out.handle = from.incarnation, from.handle
	}
	if !f.wantPeers {
		return out
	}
	for _, s := range e.sortedSessions {
		if p := s.Profile; p.Address != "" && p.ID != f.profile.ID && len(out.peers) < maxPeersInReply {
			out.peers = append(out.peers, p)
		}
	}
	return out
}

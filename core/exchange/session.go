package exchange

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// session is the sending side of the connection to one peer. One push is in
// flight at a time. Its batch of service and dispatches stays unchanged until
// the peer acknowledges its sequence number, so that a retry repeats it
// exactly.
type session struct {
	membership.Peer
	// period is the time between pushes; 0 means that none are sent
	// periodically.
	period fleet.Instant
	// standby reports whether the peer is the standby partner. It is pushed to
	// at once for leaving marks and otherwise every RemotePushPeriod, without
	// reports.
	standby bool
	// openWanted requests that the session be opened.
	openWanted bool
	// open reports whether the peer's incarnation is known and it has issued a
	// handle.
	open              bool
	incarnation       uint64
	handle            uint64
	digest            uint64
	batchSeq          uint64
	batchFrozen       bool
	batchService      []serviceItem
	batchDispatches   []sched.PeerDispatch
	pendingService    map[serviceKey]float64
	pendingDispatches []sched.PeerDispatch
	// batchDemand is part of the batch; pendingDemand is what arrived since the
	// batch was frozen.
	batchDemand, pendingDemand []sched.GroupDemand
	nextDemandAt               fleet.Instant
	inFlight                   bool
	due                        fleet.Instant
	failures                   int
	failedAt                   fleet.Instant
	// handshakeAt is when the profile was last sent.
	handshakeAt fleet.Instant
	// confirmedSeq is the last change of reports and marks that the peer has
	// acknowledged, sentSeq the last one in the push in flight.
	confirmedSeq, sentSeq uint64
	// confirmedStates holds what the peer knows of each upstream,
	// inFlightStates what the push in flight adds to it.
	confirmedStates, inFlightStates map[fleet.UpstreamID]sentState
}

// sentState is what a peer knows of an upstream: the generation of the last
// full report, and counters between confirmed and sent.
type sentState struct {
	generation      uint64
	confirmed, sent counters
}

// newSession returns a session that has not been opened and whose first push is
// due at the given time.
func newSession(due fleet.Instant) *session {
	return &session{
		due: due, batchSeq: 1,
		pendingService: map[serviceKey]float64{}, confirmedStates: map[fleet.UpstreamID]sentState{}, inFlightStates: map[fleet.UpstreamID]sentState{},
	}
}

// needsPush reports whether there is anything to push to the peer.
func (s *session) needsPush() bool {
	return s.period > 0 || s.standby || s.openWanted || s.batchFrozen || len(s.pendingService) > 0
}

// recordFailure ends the push in flight and schedules its retry with
// exponential backoff.
func (s *session) recordFailure(now fleet.Instant) {
	s.inFlight, s.failedAt = false, now
	limit := maxBackoff
	if !s.open {
		limit = maxHandshakeBackoff
	}
	s.due = now + min(initialBackoff<<min(s.failures, 4), limit)
	s.failures++
}

// reset clears the session with a peer that has restarted. Service from before
// the peer's start is not part of its accounting.
func (s *session) reset() {
	s.open, s.batchFrozen, s.batchService, s.batchDispatches, s.pendingDispatches = false, false, nil, nil, nil
	s.batchDemand, s.pendingDemand = nil, nil
	s.confirmedSeq, s.sentSeq = 0, 0
	clear(s.pendingService)
	clear(s.confirmedStates)
}

// queueDispatches adds dispatches for the next batch and drops the oldest ones
// beyond maxDispatches.
func (s *session) queueDispatches(ds []sched.PeerDispatch) {
	s.pendingDispatches = append(s.pendingDispatches, ds...)
	if over := len(s.pendingDispatches) - maxDispatches; over > 0 {
		s.pendingDispatches = slices.Delete(s.pendingDispatches, 0, over)
	}
}

// freezeBatch fills the batch of the next sequence number from the pending
// items.
func (s *session) freezeBatch(now fleet.Instant) {
	s.batchFrozen = true
	s.batchService = s.batchService[:0]
	for key, cost := range s.pendingService {
		s.batchService = append(s.batchService, serviceItem{key, cost})
	}
	slices.SortFunc(s.batchService, compareServiceItems)
	if len(s.batchService) > maxFrameItems {
		s.batchService = s.batchService[:maxFrameItems]
	}
	for _, item := range s.batchService {
		delete(s.pendingService, item.serviceKey)
	}
	s.batchDispatches = s.batchDispatches[:0]
	for _, d := range s.pendingDispatches {
		if now-d.At <= maxDispatchAge {
			s.batchDispatches = append(s.batchDispatches, d)
		}
	}
	s.pendingDispatches = s.pendingDispatches[:0]
	s.batchDemand = nil
	if now >= s.nextDemandAt {
		s.batchDemand, s.pendingDemand = s.pendingDemand, nil
		s.nextDemandAt = now + demandPeriod
	}
}

// addDemand sums demand by group, so that a peer that does not reply costs no
// further memory.
func (s *session) addDemand(demand []sched.GroupDemand) {
	for _, d := range demand {
		i := slices.IndexFunc(s.pendingDemand, func(a sched.GroupDemand) bool { return a.Group == d.Group })
		if i < 0 {
			s.pendingDemand = append(s.pendingDemand, d)
			continue
		}
		s.pendingDemand[i].Add(d)
	}
}

func compareServiceItems(a, b serviceItem) int {
	return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.group, b.group), cmp.Compare(a.class, b.class))
}

// newFrame returns a frame with the sender's state and the next push sequence
// number, but without contents.
func (e *Exchange) newFrame() *frame {
	e.pushSeq++
	return &frame{
		incarnation: e.config.Incarnation, pushSeq: e.pushSeq,
		configVersion: e.configVersion, leaving: e.leaving, holdsOrderLease: e.holdsOrderLease, digest: e.dictionary.digest,
	}
}

// send emits the next push to a peer, with the profile if the session is not
// open.
func (e *Exchange) send(now fleet.Instant, s *session) {
	f := e.newFrame()
	if !s.open {
		s.handshakeAt = now
		f.profile = &e.config.Self
		f.wantPeers = e.peerQueriesLeft > 0
		e.peerQueriesLeft = max(e.peerQueriesLeft-1, 0)
	} else {
		e.fillFrame(now, s, f)
	}
	s.inFlight, s.openWanted = true, false
	// This is the next periodic push. A reply makes it earlier if there is more
	// to send.
	s.due = now + e.jitter(max(s.period, PushPeriod))
	if s.standby && s.period == 0 {
		s.due = now + e.jitter(RemotePushPeriod)
	}
	e.emit(Send{Peer: s.ID, Address: s.Address, Payload: f.encode(now, e.dictionary)})
}

// fillFrame adds to a frame the batch and the reports and marks that the peer
// has not acknowledged.
func (e *Exchange) fillFrame(now fleet.Instant, s *session, f *frame) {
	if !s.batchFrozen {
		s.freezeBatch(now)
	}
	f.handle, f.batchSeq = s.handle, s.batchSeq
	f.numbered = s.digest == e.dictionary.digest
	f.service, f.dispatches = s.batchService, s.batchDispatches
	f.demand = s.batchDemand
	if e.sameDataCentre(s) || e.fullMesh {
		f.queueStates = e.queueStates
	}
	f.relay = !e.sameDataCentre(s) && !e.fullMesh
	s.sentSeq = e.changeSeq
	for mark, seq := range e.marks {
		if seq > s.confirmedSeq {
			f.marks = append(f.marks, mark)
		}
	}
	slices.SortFunc(f.marks, func(a, b membership.Mark) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	clear(s.inFlightStates)
	if !e.sameDataCentre(s) && !(e.sameRegion(s) && s.period == PushPeriod) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(e.reports)) {
		r := e.reports[id]
		if r.changeSeq <= s.confirmedSeq || (r.relayed && !e.sameDataCentre(s)) {
			continue
		}
		f.reports = append(f.reports, wireReport{Report: r.Report, full: s.recordReport(r.Report)})
	}
}

// recordReport records a report as part of the push in flight. It reports
// whether the report must be sent in full.
func (s *session) recordReport(r membership.Report) (full bool) {
	id, was := r.Load.Upstream, s.confirmedStates[r.Load.Upstream]
	full = was.generation != r.Generation || r.Generation == 0
	if r.Unreachable {
		// An unreachable report carries no counters. The peer keeps those that
		// it knows.
		if full {
			s.inFlightStates[id] = sentState{generation: r.Generation}
		}
		return full
	}
	now := countersOf(r.Load)
	full = full || !now.fitLowBytes(was.confirmed, was.sent)
	s.inFlightStates[id] = sentState{r.Generation, now, now}
	if !full {
		was.sent = now
		s.confirmedStates[id] = was
	}
	return full
}

// handleReply applies the reply to the push in flight and sends the next push
// if it is due.
func (e *Exchange) handleReply(now fleet.Instant, ev SendReplied) {
	s := e.sessions[ev.Peer]
	if s == nil {
		return
	}
	a, err := decodeReply(ev.Payload)
	if err != nil || (a.handshake != nil && a.handshake.knownIncarnation < e.config.Incarnation) {
		// The reply is malformed or was meant for an earlier incarnation of
		// this instance.
		s.recordFailure(now)
		return
	}
	s.inFlight, s.failures = false, 0
	renumbered := a.digest != 0 && a.digest != s.digest
	if renumbered {
		s.digest = a.digest
	}
	e.emitHeartbeat(s, a)
	switch {
	case a.handshake != nil && a.handshake.knownIncarnation > e.config.Incarnation:
		e.renewIncarnation(now, s, a.handshake.knownIncarnation+1)
		return
	case a.handshake != nil && a.handshake.handle == 0:
		// The peer considers this instance to be itself, or has no room for
		// another sender.
		s.recordFailure(now)
	case a.handshake != nil:
		s.establish(a)
		s.due = now
	case a.unknownHandle || !s.open:
		s.reopen(now)
	case a.rejected:
		s.due = now
	case a.appliedBatch >= s.batchSeq:
		e.completeBatch(now, s)
	}
	if renumbered {
		// The peer has another configuration and may have ignored reports of
		// upstreams that were not declared there.
		clear(s.confirmedStates)
		s.confirmedSeq = 0
	}
	e.fetchIfNewer(now, s.ID, s.Address, a.configVersion)
	e.sendDue(now, s)
}

// reopen closes the session and schedules a handshake, at most once per
// PushPeriod: a peer that keeps losing the handle must not be asked
// continuously.
func (s *session) reopen(now fleet.Instant) {
	s.open = false
	s.due = max(now, s.handshakeAt+PushPeriod)
}

// establish opens the session, or resumes it if the peer is still the same
// process.
func (s *session) establish(a *reply) {
	if s.incarnation != a.handshake.incarnation {
		s.reset()
	}
	if !s.batchFrozen {
		s.batchSeq = a.appliedBatch + 1
	}
	s.open, s.incarnation, s.handle = true, a.handshake.incarnation, a.handshake.handle
}

// completeBatch ends the batch that the peer has acknowledged and makes a
// further push due if there is more to send.
func (e *Exchange) completeBatch(now fleet.Instant, s *session) {
	s.batchFrozen = false
	s.batchSeq++
	s.confirmedSeq = max(s.confirmedSeq, s.sentSeq)
	maps.Copy(s.confirmedStates, s.inFlightStates)
	newMark := false
	for _, seq := range e.marks {
		newMark = newMark || seq > s.confirmedSeq
	}
	if newMark || len(s.pendingService) >= maxFrameItems {
		s.due = now
	}
}

// renewIncarnation takes a higher incarnation than the one that a peer knows:
// the clock went back between two starts, or another process runs under this
// instance's ID. Two such processes would outbid each other endlessly without
// minRenewalInterval. All sessions are reopened under the new incarnation.
func (e *Exchange) renewIncarnation(now fleet.Instant, s *session, incarnation uint64) {
	if e.incarnationRenewals > 0 && now-e.renewedAt < minRenewalInterval {
		s.recordFailure(now)
		return
	}
	e.incarnationRenewals++
	e.renewedAt = now
	e.config.Incarnation = incarnation
	for _, s := range e.sortedSessions {
		// A batch that the peer may have counted under the old incarnation is
		// dropped, because it must not be counted again.
		s.open, s.batchFrozen, s.confirmedSeq = false, false, 0
		s.due = now + e.jitter(PushPeriod/10)
		clear(s.confirmedStates)
	}
}

// emitHeartbeat reports to the membership that a peer has replied.
func (e *Exchange) emitHeartbeat(s *session, a *reply) {
	heartbeat := membership.Heartbeat{
		Profile: s.Profile, Incarnation: s.incarnation, ConfigVersion: a.configVersion, Leaving: a.leaving,
		HoldsOrderLease: s.HoldsOrderLease,
	}
	if a.handshake != nil {
		e.applyHandshake(a)
	} else if s.open && !a.unknownHandle {
		e.emitMembership(heartbeat)
	}
}

// applyHandshake passes the profile, incarnation and known instances of a
// handshake to the membership.
func (e *Exchange) applyHandshake(a *reply) {
	known := e.sessions[a.handshake.profile.ID]
	e.emitMembership(membership.Heartbeat{
		Profile: a.handshake.profile, Incarnation: a.handshake.incarnation,
		ConfigVersion: a.configVersion, Leaving: a.leaving,
		HoldsOrderLease: known != nil && known.HoldsOrderLease,
	})
	if len(a.handshake.peers) > 0 {
		e.peerQueriesLeft = 0
		e.emitMembership(membership.PeersDiscovered{Profiles: a.handshake.peers})
	}
}

// handleJoinReply applies the reply to a SendJoin.
func (e *Exchange) handleJoinReply(now fleet.Instant, payload []byte) {
	a, err := decodeReply(payload)
	if err != nil || a.handshake == nil || a.handshake.profile.ID == e.config.Self.ID {
		return
	}
	e.applyHandshake(a)
	e.fetchIfNewer(now, a.handshake.profile.ID, a.handshake.profile.Address, a.configVersion)
}

// fetchIfNewer requests a peer's configuration if it is newer than the one in
// force, at most once per minFetchInterval.
func (e *Exchange) fetchIfNewer(now fleet.Instant, peer fleet.InstanceID, address string, version int64) {
	if version <= e.configVersion || address == "" || (e.fetchedAt != 0 && now-e.fetchedAt < minFetchInterval) {
		return
	}
	e.fetchedAt = now
	e.emit(Fetch{Peer: peer, Address: address, Version: version})
}

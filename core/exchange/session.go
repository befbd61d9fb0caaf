package exchange

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// session is the sending side towards one peer. One push is outstanding at a
// time. Its batch of service and dispatches is frozen until the peer confirms
// its sequence, so that a lost push is repeated unchanged.
type session struct {
	membership.Peer
	// period is the time between pushes; 0 means that there is none.
	period fleet.Instant
	// second is the stand-by partner, which gets leaving marks only.
	second bool
	// hello asks for the session to be opened.
	hello bool
	// open tells that the peer's incarnation is known.
	open        bool
	incarnation uint64
	handle      uint64
	digest      uint64
	sequence    uint64
	frozen      bool
	service     []item
	dispatches  []sched.PeerDispatch
	pending     map[itemKey]float64
	queued      []sched.PeerDispatch
	// demand is part of the batch, arrived what came since it was frozen.
	demand, arrived []sched.GroupDemand
	demandAt        fleet.Instant
	inFlight        bool
	due             fleet.Instant
	failures        int
	failedAt        fleet.Instant
	// helloAt is when the profile was sent last.
	helloAt fleet.Instant
	// stamp is the last change of reports and marks that the peer confirmed,
	// sent the last one in the outstanding push.
	stamp, sent uint64
	// spelt holds what the peer was told of upstreams, spelling what the
	// outstanding push tells.
	spelt, spelling map[fleet.UpstreamID]told
}

// told is what a peer knows of an upstream: the generation whose incarnation
// it has seen, and counters from confirmed to sent.
type told struct {
	generation      uint64
	confirmed, sent counters
}

func newSession(due fleet.Instant) *session {
	return &session{
		due: due, sequence: 1,
		pending: map[itemKey]float64{}, spelt: map[fleet.UpstreamID]told{}, spelling: map[fleet.UpstreamID]told{},
	}
}

// wanted tells whether there is a reason to push.
func (s *session) wanted() bool {
	return s.period > 0 || s.second || s.hello || s.frozen || len(s.pending) > 0
}

// fail schedules the repetition of a push.
func (s *session) fail(now fleet.Instant) {
	s.inFlight, s.failedAt = false, now
	limit := retryLimit
	if !s.open {
		limit = helloRetryLimit
	}
	s.due = now + min(retryPause<<min(s.failures, 4), limit)
	s.failures++
}

// forget empties the session with a peer that has restarted: what it served before
// its start is not part of its accounting.
func (s *session) forget() {
	s.open, s.frozen, s.service, s.dispatches, s.queued = false, false, nil, nil, nil
	s.demand, s.arrived = nil, nil
	s.stamp, s.sent = 0, 0
	clear(s.pending)
	clear(s.spelt)
}

func (s *session) keepDispatches(ds []sched.PeerDispatch) {
	s.queued = append(s.queued, ds...)
	if over := len(s.queued) - maxDispatches; over > 0 {
		s.queued = slices.Delete(s.queued, 0, over)
	}
}

// freeze fills the batch of the next sequence from what is pending.
func (s *session) freeze(now fleet.Instant) {
	s.frozen = true
	s.service = s.service[:0]
	for key, cost := range s.pending {
		s.service = append(s.service, item{key, cost})
	}
	slices.SortFunc(s.service, compareItems)
	if len(s.service) > maxItems {
		s.service = s.service[:maxItems]
	}
	for _, i := range s.service {
		delete(s.pending, i.itemKey)
	}
	s.dispatches = s.dispatches[:0]
	for _, d := range s.queued {
		if now-d.At <= maxDispatchAge {
			s.dispatches = append(s.dispatches, d)
		}
	}
	s.queued = s.queued[:0]
	s.demand = nil
	if now >= s.demandAt {
		s.demand, s.arrived = s.arrived, nil
		s.demandAt = now + demandPeriod
	}
}

// keepDemand adds demand by group, so that a silent peer costs no memory.
func (s *session) keepDemand(demand []sched.GroupDemand) {
	for _, d := range demand {
		i := slices.IndexFunc(s.arrived, func(a sched.GroupDemand) bool { return a.Group == d.Group })
		if i < 0 {
			s.arrived = append(s.arrived, d)
			continue
		}
		s.arrived[i].Add(d)
	}
}

func compareItems(a, b item) int {
	return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.group, b.group), cmp.Compare(a.class, b.class))
}

// frame returns a message without contents.
func (e *Exchange) frame() *frame {
	e.pushes++
	return &frame{
		incarnation: e.config.Incarnation, push: e.pushes,
		configVersion: e.version, leaving: e.leaving, holder: e.holder, digest: e.names.digest,
	}
}

func (e *Exchange) send(now fleet.Instant, s *session) {
	f := e.frame()
	if !s.open {
		s.helloAt = now
		f.profile = &e.config.Self
		f.askPeers = e.asks > 0
		e.asks = max(e.asks-1, 0)
	} else {
		e.fill(now, s, f)
	}
	s.inFlight, s.hello = true, false
	// The next regular push; an answer with more to come makes it earlier.
	s.due = now + e.jitter(max(s.period, PushPeriod))
	if s.second && s.period == 0 {
		s.due = now + e.jitter(RemotePushPeriod)
	}
	e.emit(Send{Peer: s.ID, Address: s.Address, Payload: f.encode(now, e.names)})
}

// fill puts the state that the peer has not confirmed into a frame.
func (e *Exchange) fill(now fleet.Instant, s *session, f *frame) {
	if !s.frozen {
		s.freeze(now)
	}
	f.handle, f.sequence = s.handle, s.sequence
	f.numbered = s.digest == e.names.digest
	f.service, f.dispatches = s.service, s.dispatches
	f.demand = s.demand
	if e.local(s) || e.mesh {
		f.turns = e.turns
	}
	f.relay = !e.local(s) && !e.mesh
	s.sent = e.stamp
	for mark, stamp := range e.marks {
		if stamp > s.stamp {
			f.marks = append(f.marks, mark)
		}
	}
	slices.SortFunc(f.marks, func(a, b membership.Mark) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	clear(s.spelling)
	if !e.local(s) && !(e.regional(s) && s.period == PushPeriod) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(e.reports)) {
		r := e.reports[id]
		if r.stamp <= s.stamp || (r.foreign && !e.local(s)) {
			continue
		}
		f.reports = append(f.reports, wireReport{Report: r.Report, named: s.tell(r.Report)})
	}
}

// tell records a report in the outstanding push and tells whether it must be
// spelt out.
func (s *session) tell(r membership.Report) (named bool) {
	id, was := r.Load.Upstream, s.spelt[r.Load.Upstream]
	named = was.generation != r.Generation || r.Generation == 0
	if r.Unreachable {
		// It carries no counters; the peer keeps those that it knows.
		if named {
			s.spelling[id] = told{generation: r.Generation}
		}
		return named
	}
	now := countersOf(r.Load)
	named = named || !now.follows(was.confirmed, was.sent)
	s.spelling[id] = told{r.Generation, now, now}
	if !named {
		was.sent = now
		s.spelt[id] = was
	}
	return named
}

func (e *Exchange) replied(now fleet.Instant, ev SendReplied) {
	s := e.sessions[ev.Peer]
	if s == nil {
		return
	}
	a, err := decodeReply(ev.Payload)
	if err != nil || (a.welcome != nil && a.welcome.known < e.config.Incarnation) {
		// An answer to an earlier incarnation of this instance, or noise.
		s.fail(now)
		return
	}
	s.inFlight, s.failures = false, 0
	renumbered := a.digest != 0 && a.digest != s.digest
	if renumbered {
		s.digest = a.digest
	}
	e.hearReply(s, a)
	switch {
	case a.welcome != nil && a.welcome.known > e.config.Incarnation:
		e.renew(now, s, a.welcome.known+1)
		return
	case a.welcome != nil && a.welcome.handle == 0:
		// The peer takes this instance for itself, or remembers no more
		// senders.
		s.fail(now)
	case a.welcome != nil:
		s.start(a)
		s.due = now
	case a.unknown || !s.open:
		s.reopen(now)
	case a.refused:
		s.due = now
	case a.applied >= s.sequence:
		e.confirmed(now, s)
	}
	if renumbered {
		// The peer has another configuration and may have ignored reports of
		// upstreams that it did not know.
		clear(s.spelt)
		s.stamp = 0
	}
	e.seeVersion(now, s.ID, s.Address, a.configVersion)
	e.sendDue(now, s)
}

// reopen sends the profile again, at most once a second: a peer that keeps
// forgetting the handle must not be asked without pause.
func (s *session) reopen(now fleet.Instant) {
	s.open = false
	s.due = max(now, s.helloAt+PushPeriod)
}

// start opens the session, or continues it when the peer is still the same
// process.
func (s *session) start(a *reply) {
	if s.incarnation != a.welcome.incarnation {
		s.forget()
	}
	if !s.frozen {
		s.sequence = a.applied + 1
	}
	s.open, s.incarnation, s.handle = true, a.welcome.incarnation, a.welcome.handle
}

// confirmed completes the outstanding batch.
func (e *Exchange) confirmed(now fleet.Instant, s *session) {
	s.frozen = false
	s.sequence++
	s.stamp = max(s.stamp, s.sent)
	maps.Copy(s.spelt, s.spelling)
	newMark := false
	for _, stamp := range e.marks {
		newMark = newMark || stamp > s.stamp
	}
	if newMark || len(s.pending) >= maxItems {
		s.due = now
	}
}

// renew takes a higher incarnation than the one a peer remembers: the clock
// went back between two starts, or another process runs under this name. Two
// such processes would outbid each other without end, so there is a pause
// between two renewals. Everything starts anew under the new incarnation.
func (e *Exchange) renew(now fleet.Instant, s *session, incarnation uint64) {
	if e.renewals > 0 && now-e.renewedAt < renewPause {
		s.fail(now)
		return
	}
	e.renewals++
	e.renewedAt = now
	e.config.Incarnation = incarnation
	for _, s := range e.order {
		// Batches that may have been counted under the old incarnation are
		// dropped: they must not be counted again.
		s.open, s.frozen, s.stamp = false, false, 0
		s.due = now + e.jitter(PushPeriod/10)
		clear(s.spelt)
	}
}

func (e *Exchange) hearReply(s *session, a *reply) {
	heard := membership.Heartbeat{
		Profile: s.Profile, Incarnation: s.incarnation, ConfigVersion: a.configVersion, Leaving: a.leaving,
		HoldsOrderLease: s.HoldsOrderLease,
	}
	if a.welcome != nil {
		e.greet(a)
	} else if s.open && !a.unknown {
		e.learn(heard)
	}
}

// greet learns from the answer to a frame with a profile.
func (e *Exchange) greet(a *reply) {
	known := e.sessions[a.welcome.profile.ID]
	e.learn(membership.Heartbeat{
		Profile: a.welcome.profile, Incarnation: a.welcome.incarnation,
		ConfigVersion: a.configVersion, Leaving: a.leaving,
		HoldsOrderLease: known != nil && known.HoldsOrderLease,
	})
	if len(a.welcome.peers) > 0 {
		e.asks = 0
		e.learn(membership.PeersDiscovered{Profiles: a.welcome.peers})
	}
}

// introduced learns from the answer of an address without a known instance.
func (e *Exchange) introduced(now fleet.Instant, payload []byte) {
	a, err := decodeReply(payload)
	if err != nil || a.welcome == nil || a.welcome.profile.ID == e.config.Self.ID {
		return
	}
	e.greet(a)
	e.seeVersion(now, a.welcome.profile.ID, a.welcome.profile.Address, a.configVersion)
}

// seeVersion asks for a configuration that is newer than the one in force.
func (e *Exchange) seeVersion(now fleet.Instant, peer fleet.InstanceID, address string, version int64) {
	if version <= e.version || address == "" || (e.fetchAt != 0 && now-e.fetchAt < fetchPause) {
		return
	}
	e.fetchAt = now
	e.emit(Fetch{Peer: peer, Address: address, Version: version})
}

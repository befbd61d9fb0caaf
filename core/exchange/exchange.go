// Package exchange implements the gossip between instances as a state machine
// without I/O. It decides what is pushed to which peer and when, and counts
// every received service item exactly once. Events go in through Step and
// Receive; Ready returns the resulting commands.
package exchange

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

const (
	// PushPeriod is the time between two pushes to a peer in the same data
	// centre or to a partner in the same region.
	PushPeriod = time.Second
	// RemotePushPeriod is the time between two pushes to a partner in another
	// region, and between two rounds of service totals for other data centres.
	RemotePushPeriod = 5 * time.Second
	// relayPeriod is the minimum time between two relayed reports of one
	// upstream of another data centre. Each relayed report goes to every peer;
	// at one report a second they took half of all bytes sent.
	relayPeriod = 1800 * time.Millisecond
	// demandPeriod is the minimum time between two pushes with demand to one
	// peer. The role planner runs at most every 2 s and looks at longer
	// horizons, and each group costs 17 bytes per push.
	demandPeriod = 3 * time.Second
	// initialBackoff is the delay before a push without a reply is retried. It
	// doubles with each failure up to maxBackoff, which stays below the 3 s
	// within which a peer must learn of a leaving upstream.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxHandshakeBackoff is the maximum delay between two attempts to open a
	// session with a peer that has never replied.
	maxHandshakeBackoff = 5 * time.Second
	// maxMeshInstances is the number of instances in a region up to which every
	// instance pushes its reports and dispatches to every other one. In a
	// larger region one partner per data centre relays the reports.
	maxMeshInstances = 16
	// slotCount is the number of slots into which members are hashed. Each
	// slot's service totals are owned by one instance of a data centre. It is
	// close to the number of instances per data centre, so that each instance
	// sends about one total to each other data centre.
	slotCount = 32
	// maxPartnerFailures is the number of consecutive failures after which
	// another partner is chosen. The failed peer becomes a candidate again
	// partnerRetryAfter after its last failure.
	maxPartnerFailures = 2
	partnerRetryAfter  = 10 * time.Second
	// minRenewalInterval is the minimum time between two renewals of this
	// instance's incarnation.
	minRenewalInterval = 30 * time.Second
	// minFetchInterval is the minimum time between two requests for a
	// configuration.
	minFetchInterval = time.Second
	// maxDispatches and maxDispatchAge limit the dispatches kept for a peer
	// that does not reply. A dispatch is useful only until a load report covers
	// it.
	maxDispatches  = 256
	maxDispatchAge = 10 * time.Second
	// maxFrameItems limits the service items in one frame and with it the
	// frame's size, to about 60 KB with the longest usual names.
	maxFrameItems = 1000
	// maxPendingItems limits the items queued for one peer or data centre. It
	// is ten times the designed number of members.
	maxPendingItems = 13000
	// maxSenders limits the senders whose sequence numbers are kept.
	maxSenders = 4096
	// maxPeerQueries limits how many peers are asked for the instances they
	// know, since each reply takes up to 20 KB.
	maxPeerQueries = 3
	// maxPeersInReply limits the instances listed in one reply.
	maxPeersInReply = 512
)

// Config is the identity of an instance.
type Config struct {
	Self membership.Profile
	// Incarnation must increase with every start of the instance, for example
	// the start time in milliseconds.
	Incarnation uint64
	// Seed seeds the jitter and the handles, so that they differ between
	// instances.
	Seed uint64
}

// Exchange is the gossip state of one instance. It is not safe for concurrent
// use.
type Exchange struct {
	// queueStates are the most recent ones of this instance's scheduler.
	queueStates     []sched.PeerQueueState
	config          Config
	configVersion   int64
	dictionary      *Dictionary
	leaving         bool
	holdsOrderLease bool
	rngState        uint64
	sessions        map[fleet.InstanceID]*session
	// sortedSessions holds the sessions in the order of their peers, so that
	// commands do not depend on map iteration.
	sortedSessions  []*session
	senders         map[fleet.InstanceID]*sender
	sendersByHandle map[uint64]*sender
	// outboundTotals holds this data centre's service totals that are queued
	// for each other data centre.
	outboundTotals map[fleet.DataCentre]map[serviceKey]float64
	reports        map[fleet.UpstreamID]*sequencedReport
	marks          map[membership.Mark]uint64
	// changeSeq is the sequence number of the last change of a report or mark.
	changeSeq uint64
	pushSeq   uint64
	// owners are the slot owners in this data centre, remoteOwners those in
	// each other data centre.
	owners       ownership
	remoteOwners map[fleet.DataCentre]*ownership
	// inboundTotals holds service totals from other data centres until they are
	// forwarded to the peers of this one.
	inboundTotals       map[serviceKey]float64
	plannedAt           fleet.Instant
	nextTotalsAt        fleet.Instant
	fetchedAt           fleet.Instant
	renewedAt           fleet.Instant
	incarnationRenewals uint64
	// fullMesh reports whether the region has at most maxMeshInstances.
	fullMesh bool
	// peerQueriesLeft is the number of further peers that are asked for the
	// instances they know.
	peerQueriesLeft int
	droppedItems    uint64
	ready           []Command
}

// sequencedReport is a report with the sequence number of its last change.
type sequencedReport struct {
	membership.Report
	changeSeq uint64
	// relayed reports whether a report came from another data centre and is
	// relayed to the peers of this one.
	relayed bool
}

// sender is the receiving side of a session: the state kept for one sending
// instance. lastPushSeq is the highest push sequence number received from it,
// appliedBatch the sequence number of the last batch that was counted.
type sender struct {
	profile                   membership.Profile
	incarnation               uint64
	handle                    uint64
	lastPushSeq, appliedBatch uint64
	fullReports               map[fleet.UpstreamID]fullReport
	lastPushAt                fleet.Instant
}

// fullReport holds the values of the last full report about an upstream that a
// sender pushed.
type fullReport struct {
	generation  uint64
	incarnation fleet.Incarnation
	kvCapacity  int
	counters    counters
}

// New returns an Exchange without peers.
func New(config Config) *Exchange {
	e := &Exchange{
		config:          config,
		dictionary:      NewDictionary(&declare.Declaration{}),
		rngState:        membership.Hash(strconv.FormatUint(config.Seed, 16), strconv.FormatUint(config.Incarnation, 16)) | 1,
		sessions:        map[fleet.InstanceID]*session{},
		senders:         map[fleet.InstanceID]*sender{},
		sendersByHandle: map[uint64]*sender{},
		outboundTotals:  map[fleet.DataCentre]map[serviceKey]float64{},
		remoteOwners:    map[fleet.DataCentre]*ownership{},
		inboundTotals:   map[serviceKey]float64{},
		reports:         map[fleet.UpstreamID]*sequencedReport{},
		marks:           map[membership.Mark]uint64{},
		peerQueriesLeft: maxPeerQueries,
	}
	// The random offset keeps instances that start together from sending their
	// totals at the same time.
	e.nextTotalsAt = fleet.Instant(e.nextRandom() % uint64(RemotePushPeriod))
	return e
}

// Step applies one event at the given time. Times must not decrease between
// calls.
func (e *Exchange) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Peers:
		e.setPeers(now, ev.Peers)
	case Configured:
		e.configure(now, ev)
	case LocalWork:
		e.queueLocalWork(ev.Update)
	case Polled:
		e.storeReport(ev.Report, false)
	case OrderLeaseHeld:
		e.holdsOrderLease = ev.Held
	case MarkAdded:
		e.pushMark(now, ev.Mark)
	case MarkRemoved:
		delete(e.marks, ev.Mark)
	case SendReplied:
		e.handleReply(now, ev)
	case SendFailed:
		if s := e.sessions[ev.Peer]; s != nil {
			s.recordFailure(now)
			e.reclaimTotals(s)
		}
	case Join:
		f := e.newFrame()
		f.profile, f.wantPeers = &e.config.Self, true
		e.emit(SendJoin{Address: ev.Address, Payload: f.encode(now, e.dictionary)})
	case JoinReplied:
		e.handleJoinReply(now, ev.Payload)
	case Leave:
		e.leaving = true
		e.forwardInboundTotals()
		e.makePushesDue(now)
		e.tick(now)
	case Tick:
		e.tick(now)
	}
}

// Ready returns the pending commands in order and clears them.
func (e *Exchange) Ready() []Command {
	out := e.ready
	e.ready = nil
	return out
}

// DroppedItems returns the number of service items dropped because a queue was
// full.
func (e *Exchange) DroppedItems() uint64 { return e.droppedItems }

// IncarnationRenewals returns how often a peer knew a later incarnation under
// this instance's ID. More than one means that two processes use the same ID.
func (e *Exchange) IncarnationRenewals() uint64 { return e.incarnationRenewals }

// FailingPeers returns the number of peers that did not reply to the last push.
func (e *Exchange) FailingPeers() int {
	n := 0
	for _, s := range e.sortedSessions {
		if s.failures > 0 {
			n++
		}
	}
	return n
}

func (e *Exchange) emit(c Command) { e.ready = append(e.ready, c) }

func (e *Exchange) emitMembership(ev membership.Event) { e.emit(MembershipEvent{Event: ev}) }

// sameDataCentre reports whether the peer is in this instance's data centre.
func (e *Exchange) sameDataCentre(s *session) bool { return s.DataCentre == e.config.Self.DataCentre }

// sameRegion reports whether the peer is in this instance's region.
func (e *Exchange) sameRegion(s *session) bool { return s.Region == e.config.Self.Region }

// jitter returns a random duration within 10% of d. Without it the instances of
// a data centre that restarts as a whole would push at the same instant.
func (e *Exchange) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(e.nextRandom()%uint64(d/5+1))
}

// nextRandom returns the next number of an xorshift generator.
func (e *Exchange) nextRandom() uint64 {
	e.rngState ^= e.rngState << 13
	e.rngState ^= e.rngState >> 7
	e.rngState ^= e.rngState << 17
	return e.rngState
}

// tick sends the pushes and totals that are due.
func (e *Exchange) tick(now fleet.Instant) {
	if now-e.plannedAt >= PushPeriod {
		e.planTopology(now)
	}
	if now >= e.nextTotalsAt {
		e.nextTotalsAt = now + e.jitter(RemotePushPeriod)
		e.assignTotals(now)
		e.forwardInboundTotals()
	}
	for _, s := range e.sortedSessions {
		e.sendDue(now, s)
	}
}

// sendDue sends the next push to a peer if it is due and none is in flight.
func (e *Exchange) sendDue(now fleet.Instant, s *session) {
	if s.due <= now && !s.inFlight && s.needsPush() {
		e.send(now, s)
	}
}

// planTopology sets the push period of each peer and chooses the partners in
// other data centres and the owners of the slots.
func (e *Exchange) planTopology(now fleet.Instant) {
	e.plannedAt = now
	regionSize := 1
	others := map[fleet.DataCentre]bool{}
	for _, s := range e.sessions {
		if e.sameRegion(s) || e.sameDataCentre(s) {
			regionSize++
		}
		if !e.sameDataCentre(s) {
			others[s.DataCentre] = true
		}
	}
	e.fullMesh = regionSize <= maxMeshInstances
	for _, s := range e.sessions {
		s.period, s.standby = 0, false
		if e.sameDataCentre(s) || (e.fullMesh && e.sameRegion(s)) {
			s.period = PushPeriod
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(others)) {
		e.choosePartners(now, dc)
	}
	maps.DeleteFunc(e.remoteOwners, func(dc fleet.DataCentre, _ *ownership) bool { return !others[dc] })
	maps.DeleteFunc(e.outboundTotals, func(dc fleet.DataCentre, _ map[serviceKey]float64) bool { return !others[dc] })
	for dc := range others {
		if e.outboundTotals[dc] == nil {
			e.outboundTotals[dc] = map[serviceKey]float64{}
		}
	}
	e.chooseOwners()
}

// Package exchange decides what an instance tells which peer and when, and
// counts what it is told exactly once. Events go in through Step and Receive,
// commands come out of Ready.
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
	// PushPeriod is the time between two pushes to a peer of the own data centre
	// and to the partners within the region.
	PushPeriod = time.Second
	// RemotePushPeriod is the time between two pushes to other regions and between
	// two totals of service for other data centres.
	RemotePushPeriod = 5 * time.Second
	// relayPeriod bounds the reports passed on from other data centres, which
	// go to every peer. At one a second they were half of all bytes.
	relayPeriod = 1800 * time.Millisecond
	// demandPeriod is the least time between two pushes to a peer that carry
	// demand. The planner of roles evaluates every 2 s at most and judges longer
	// horizons; each group takes 17 bytes.
	demandPeriod = 3 * time.Second
	// retryPause is the first pause after a push without an answer; it doubles
	// up to retryLimit. The limit stays below the bound of 3 s within which a
	// peer must learn of a departure.
	retryPause = 500 * time.Millisecond
	retryLimit = 2 * time.Second
	// helloRetryLimit bounds the pause between attempts to open a session
	// with a peer that has never answered.
	helloRetryLimit = 5 * time.Second
	// meshLimit is the number of instances of a region up to which every
	// instance tells every other one of its reports and dispatches. Beyond it
	// one partner per data centre passes the reports on.
	meshLimit = 16
	// slots divide the members among the instances of a data centre that
	// total their service. About as many as instances per data centre, so
	// that each instance sends about one total to each other data centre.
	slots = 32
	// badAfter failures in a row make another partner be chosen; after
	// retryBad the failed one is a candidate again.
	badAfter = 2
	retryBad = 10 * time.Second
	// renewPause is the time between two renewals of the incarnation.
	renewPause = 30 * time.Second
	// fetchPause is the time between two requests for a configuration.
	fetchPause = time.Second
	// maxDispatches and maxDispatchAge bound what is kept for a silent peer:
	// a dispatch is of use until a load report covers it.
	maxDispatches  = 256
	maxDispatchAge = 10 * time.Second
	// maxItems bounds the service items of one frame, and with it the frame's
	// size to about 60 KB with the longest usual names.
	maxItems = 1000
	// maxPending bounds the items that wait for one peer or data centre: ten
	// times the designed number of members.
	maxPending = 13000
	// maxOrigins bounds the senders whose sequences are remembered.
	maxOrigins = 4096
	// maxAsks bounds the peers asked for their peers, whose answers take up to
	// 20 KB each.
	maxAsks = 3
	// maxPeersTold bounds the peers in an answer.
	maxPeersTold = 512
)

// Config fixes the identity of an instance.
type Config struct {
	Self membership.Profile
	// Incarnation rises with every start of the instance, such as the
	// milliseconds of its start time.
	Incarnation uint64
	// Seed makes the jitter and the handles differ between instances.
	Seed uint64
}

// Exchange is not safe for concurrent use.
type Exchange struct {
	// turns are the scheduler's present ones.
	turns    []sched.PeerQueueState
	config   Config
	version  int64
	names    *Dictionary
	leaving  bool
	holder   bool
	random   uint64
	sessions map[fleet.InstanceID]*session
	// order lists the sessions by peer, so that outputs do not depend on map
	// iteration.
	order   []*session
	origins map[fleet.InstanceID]*origin
	handles map[uint64]*origin
	// outbound holds this data centre's totals for each other data centre.
	outbound map[fleet.DataCentre]map[itemKey]float64
	reports  map[fleet.UpstreamID]*stampedReport
	marks    map[membership.Mark]uint64
	// stamp numbers the changes of reports and marks.
	stamp  uint64
	pushes uint64
	// owners are those of this data centre, far those of the others.
	owners ownership
	far    map[fleet.DataCentre]*ownership
	// inbound holds totals from other data centres until they are passed on.
	inbound   map[itemKey]float64
	planAt    fleet.Instant
	roundAt   fleet.Instant
	fetchAt   fleet.Instant
	renewedAt fleet.Instant
	renewals  uint64
	mesh      bool
	// asks is how many more peers are asked for the instances they know.
	asks    int
	dropped uint64
	ready   []Command
}

type stampedReport struct {
	membership.Report
	stamp uint64
	// foreign tells that it came from another data centre to be passed on.
	foreign bool
}

// origin is what is remembered of a sender.
type origin struct {
	profile       membership.Profile
	incarnation   uint64
	handle        uint64
	push, applied uint64
	spelt         map[fleet.UpstreamID]spelling
	heardAt       fleet.Instant
}

type spelling struct {
	generation  uint64
	incarnation fleet.Incarnation
	kvCapacity  int
	counters    counters
}

// New returns an exchange without peers.
func New(config Config) *Exchange {
	e := &Exchange{
		config:   config,
		names:    NewDictionary(&declare.Declaration{}),
		random:   membership.Hash(strconv.FormatUint(config.Seed, 16), strconv.FormatUint(config.Incarnation, 16)) | 1,
		sessions: map[fleet.InstanceID]*session{},
		origins:  map[fleet.InstanceID]*origin{},
		handles:  map[uint64]*origin{},
		outbound: map[fleet.DataCentre]map[itemKey]float64{},
		far:      map[fleet.DataCentre]*ownership{},
		inbound:  map[itemKey]float64{},
		reports:  map[fleet.UpstreamID]*stampedReport{},
		marks:    map[membership.Mark]uint64{},
		asks:     maxAsks,
	}
	// Instances that start together must not send their totals together.
	e.roundAt = fleet.Instant(e.next() % uint64(RemotePushPeriod))
	return e
}

// Step applies one event at the given time. Times must not decrease.
func (e *Exchange) Step(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Peers:
		e.setPeers(now, ev.Peers)
	case Configured:
		e.configure(now, ev)
	case LocalWork:
		e.work(ev.Update)
	case Polled:
		e.keepReport(ev.Report, false)
	case OrderLeaseHeld:
		e.holder = ev.On
	case MarkAdded:
		e.spread(now, ev.Mark)
	case MarkRemoved:
		delete(e.marks, ev.Mark)
	case SendReplied:
		e.replied(now, ev)
	case SendFailed:
		if s := e.sessions[ev.Peer]; s != nil {
			s.fail(now)
			e.reclaim(s)
		}
	case Join:
		f := e.frame()
		f.profile, f.askPeers = &e.config.Self, true
		e.emit(SendJoin{Address: ev.Address, Payload: f.encode(now, e.names)})
	case JoinReplied:
		e.introduced(now, ev.Payload)
	case Leave:
		e.leaving = true
		e.passTotals()
		e.hurry(now)
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

// DroppedItems counts the items that bounds of memory made the exchange forget.
func (e *Exchange) DroppedItems() uint64 { return e.dropped }

// IncarnationRenewals counts how often a peer remembered a later process under this
// instance's name. More than one means that two processes use the name.
func (e *Exchange) IncarnationRenewals() uint64 { return e.renewals }

// FailingPeers counts the peers that did not answer the last push.
func (e *Exchange) FailingPeers() int {
	n := 0
	for _, s := range e.order {
		if s.failures > 0 {
			n++
		}
	}
	return n
}

func (e *Exchange) emit(c Command) { e.ready = append(e.ready, c) }

func (e *Exchange) learn(ev membership.Event) { e.emit(MembershipEvent{Event: ev}) }

func (e *Exchange) local(s *session) bool { return s.DataCentre == e.config.Self.DataCentre }

func (e *Exchange) regional(s *session) bool { return s.Region == e.config.Self.Region }

// jitter returns a time within a tenth of d around d. Without it the instances
// of a data centre that restarts as a whole would push at the same instant.
func (e *Exchange) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(e.next()%uint64(d/5+1))
}

// next returns the next number of an xorshift generator.
func (e *Exchange) next() uint64 {
	e.random ^= e.random << 13
	e.random ^= e.random >> 7
	e.random ^= e.random << 17
	return e.random
}

func (e *Exchange) setPeers(now fleet.Instant, peers []membership.Peer) {
	keep := map[fleet.InstanceID]bool{}
	e.order = e.order[:0]
	for _, p := range peers {
		keep[p.ID] = true
		s := e.sessions[p.ID]
		if s == nil {
			s = newSession(now + e.jitter(PushPeriod/10))
			e.sessions[p.ID] = s
		}
		s.Peer = p
		e.order = append(e.order, s)
	}
	maps.DeleteFunc(e.sessions, func(id fleet.InstanceID, _ *session) bool { return !keep[id] })
	e.plan(now)
}

func (e *Exchange) configure(now fleet.Instant, ev Configured) {
	e.version, e.names = ev.Version, ev.Dictionary
	maps.DeleteFunc(e.reports, func(id fleet.UpstreamID, _ *stampedReport) bool { return !e.names.knows(id) })
	maps.DeleteFunc(e.marks, func(m membership.Mark, _ uint64) bool { return !e.names.knows(m.Upstream) })
	for _, s := range e.sessions {
		maps.DeleteFunc(s.spelt, func(id fleet.UpstreamID, _ told) bool { return !e.names.knows(id) })
	}
	e.hurry(now)
}

// hurry makes the next push to every peer of the data centre due at once.
func (e *Exchange) hurry(now fleet.Instant) {
	for _, s := range e.order {
		if s.period > 0 && s.failures == 0 {
			s.due = now
		}
	}
}

// spread pushes a mark at once to every peer, also to failing ones, and to two
// instances of each other data centre of the region, since one may be down.
func (e *Exchange) spread(now fleet.Instant, mark membership.Mark) {
	if _, known := e.marks[mark]; known {
		return
	}
	e.stamp++
	e.marks[mark] = e.stamp
	for _, s := range e.order {
		if s.period > 0 || s.second {
			s.due = now
			e.sendDue(now, s)
		}
	}
}

func (e *Exchange) keepReport(r membership.Report, foreign bool) {
	if !e.names.knows(r.Load.Upstream) {
		return
	}
	e.stamp++
	e.reports[r.Load.Upstream] = &stampedReport{Report: r, stamp: e.stamp, foreign: foreign}
}

// tick sends what is due.
func (e *Exchange) tick(now fleet.Instant) {
	if now-e.planAt >= PushPeriod {
		e.plan(now)
	}
	if now >= e.roundAt {
		e.roundAt = now + e.jitter(RemotePushPeriod)
		e.assignTotals(now)
		e.passTotals()
	}
	for _, s := range e.order {
		e.sendDue(now, s)
	}
}

func (e *Exchange) sendDue(now fleet.Instant, s *session) {
	if s.due <= now && !s.inFlight && s.wanted() {
		e.send(now, s)
	}
}

// plan chooses the partners in other data centres and the owners of members.
func (e *Exchange) plan(now fleet.Instant) {
	e.planAt = now
	region := 1
	others := map[fleet.DataCentre]bool{}
	for _, s := range e.sessions {
		if e.regional(s) || e.local(s) {
			region++
		}
		if !e.local(s) {
			others[s.DataCentre] = true
		}
	}
	e.mesh = region <= meshLimit
	for _, s := range e.sessions {
		s.period, s.second = 0, false
		if e.local(s) || (e.mesh && e.regional(s)) {
			s.period = PushPeriod
		}
	}
	for _, dc := range slices.Sorted(maps.Keys(others)) {
		e.choosePartners(now, dc)
	}
	maps.DeleteFunc(e.far, func(dc fleet.DataCentre, _ *ownership) bool { return !others[dc] })
	maps.DeleteFunc(e.outbound, func(dc fleet.DataCentre, _ map[itemKey]float64) bool { return !others[dc] })
	for dc := range others {
		if e.outbound[dc] == nil {
			e.outbound[dc] = map[itemKey]float64{}
		}
	}
	e.chooseOwners()
}

// work hands own service and dispatches to the sessions.
func (e *Exchange) work(shared sched.PeerUpdate) {
	e.turns = shared.Queues
	for _, service := range shared.Service {
		owner := e.owners.of(service.Member)
		if owner == e.config.Self.ID {
			e.aggregate(itemKey{service.Member, service.Group, classTotal}, service.Cost)
		}
		for _, s := range e.order {
			if !s.open || !e.local(s) {
				continue
			}
			key := itemKey{service.Member, service.Group, classPlain}
			if s.ID == owner {
				key.class = classAggregate
			}
			e.add(s.pending, key, service.Cost)
		}
	}
	for _, s := range e.order {
		if s.open && s.period == PushPeriod && (e.local(s) || e.mesh) {
			s.keepDispatches(shared.Dispatches)
			s.keepDemand(shared.Demand)
		}
	}
}

package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/prefix"
	"github.com/bramleywick/bramleywick/core/route"
)

// Config holds the parameters of a scheduler. Zero values select the defaults.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Seed makes tie-breaking reproducible and different between instances.
	Seed uint64
	// PriorSpeed is the engine speed assumed before any observation.
	PriorSpeed cost.Speed
	// BlockTokens is the size, in tokens, of the engines' prefix cache blocks.
	BlockTokens int
	// PrefixEntries bounds the number of entries of the prefix index.
	PrefixEntries int
	// MaxPrefillWait is the expected prefill backlog of the chosen engine
	// up to which a request is dispatched to it; beyond it the request stays
	// queued.
	MaxPrefillWait time.Duration
	Limits         admit.Limits
	Ablation       Ablation
}

// Ablation turns off single mechanisms, to measure their effect.
type Ablation struct {
	// NoPrefix ignores prompt blocks and cache events.
	NoPrefix bool
	// NoPeerDispatch ignores the dispatches of peers.
	NoPeerDispatch bool
	// NoFair serves in order of arrival instead of by member share and urgency.
	NoFair bool
	// NoAdmission refuses only for full queues and for deadlines that have
	// passed.
	NoAdmission bool
	// NoSplit never uses PathSplit.
	NoSplit bool
	// NoLearning keeps the initial speeds and token predictions.
	NoLearning bool
	// NoTargets ignores the latency targets when ordering and routing.
	NoTargets bool
}

const (
	defaultBlockTokens = 2000
	// defaultPrefixEntries covers the blocks of 284 engines, one of three
	// regions at the two-year size, in 8 MB.
	defaultPrefixEntries = 1 << 19
	// defaultMaxPrefillWait keeps the queue inside the engines, on which the
	// fair queue has no influence, short, but long enough that engines do not
	// run out of work between two events. 300 ms loses a twentieth of the
	// goodput of one instance at twice the load. With 200 ms, eight instances
	// with deep queues leave a quarter of the engines' time unused, because
	// waits caused by other instances are learned as slow engines.
	defaultMaxPrefillWait = 250 * time.Millisecond
	// expiryPeriod and refreshPeriod are the intervals of the scan for expired
	// requests and of the recomputation of averages and rates.
	expiryPeriod  = 100 * time.Millisecond
	refreshPeriod = time.Second
)

func (c *Config) setDefaults() {
	if c.PriorSpeed == (cost.Speed{}) {
		c.PriorSpeed = cost.DefaultSpeed
	}
	if c.BlockTokens == 0 {
		c.BlockTokens = defaultBlockTokens
	}
	if c.PrefixEntries == 0 {
		c.PrefixEntries = defaultPrefixEntries
	}
	if c.MaxPrefillWait == 0 {
		c.MaxPrefillWait = defaultMaxPrefillWait
	}
	if c.Limits == (admit.Limits{}) {
		c.Limits = admit.DefaultLimits
	}
}

// Scheduler decides which requests are admitted, when they are dispatched and
// where they run. It is not safe for concurrent use.
type Scheduler struct {
	config     Config
	configured bool
	draining   bool
	now        fleet.Instant

	members   nameTable[fleet.MemberID]
	kinds     nameTable[fleet.KindName]
	groups    nameTable[fleet.GroupName]
	upstreams nameTable[fleet.UpstreamID]

	memberStates   []memberState
	kindStates     []kindState
	groupStates    []groupState
	upstreamStates []upstreamState

	tokens *cost.Tokens
	speeds *cost.Speeds
	blocks *prefix.Index
	router *route.Router

	requests map[fleet.RequestID]*trackedRequest
	// queued lists the queued requests in no particular order; the position of
	// each is its item's Index.
	queued      []*trackedRequest
	queuedBytes int
	freeList    []*trackedRequest

	lastExpiry, lastRefresh fleet.Instant
	peerLog                 peerUpdateLog
	query                   route.Query
	ready                   []Command
}

// New returns a scheduler that refuses every request until the first Configure.
func New(config Config) *Scheduler {
	config.setDefaults()
	s := &Scheduler{
		config:   config,
		tokens:   cost.NewTokens(),
		speeds:   cost.NewSpeeds(config.PriorSpeed),
		router:   route.New(config.Seed),
		requests: map[fleet.RequestID]*trackedRequest{},
	}
	if !config.Ablation.NoPrefix {
		s.blocks = prefix.New(config.PrefixEntries)
		s.query.CacheConfidence = s.blocks.Confidence
	}
	return s
}

// Step applies one event at the given time, which must not decrease.
func (s *Scheduler) Step(now fleet.Instant, ev Event) {
	s.now = max(s.now, now)
	switch ev := ev.(type) {
	case Configure:
		s.configure(ev.Declaration)
	case Submit:
		s.submit(ev.Request)
	case Cancel:
		s.cancel(ev.ID)
	case FirstToken:
		s.firstToken(ev.ID)
	case Tokens:
		s.observeTokens(ev)
	case Finished:
		s.finished(ev)
	case Failed:
		s.failed(ev)
	case Report:
		s.report(ev.Load)
	case PeerService:
		s.peerService(ev)
	case PeerQueueState:
		s.peerQueue(ev)
	case PeerDispatch:
		s.peerDispatch(ev)
	case UpstreamState:
		s.setState(ev)
	case Hold:
		s.hold(ev)
	case CacheUpdate:
		s.cacheUpdate(ev)
	case Drain:
		s.draining = true
	case Tick:
		s.tick()
	}
}

// Ready returns the pending commands in order and removes them.
func (s *Scheduler) Ready() []Command {
	out := s.ready
	s.ready = nil
	return out
}

// tick runs the periodic work that is due and dispatches queued requests.
func (s *Scheduler) tick() {
	if s.now-s.lastRefresh >= refreshPeriod {
		s.refresh((s.now - s.lastRefresh).Seconds())
		s.lastRefresh = s.now
	}
	if s.now-s.lastExpiry >= expiryPeriod {
		s.expire()
		s.lastExpiry = s.now
	}
	for g := range s.groupStates {
		s.dispatchQueued(int32(g))
	}
}

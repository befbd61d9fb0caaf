package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/prefix"
	"github.com/bramleywick/bramleywick/core/route"
)

// Config fixes the parameters of a scheduler for its lifetime. Zero values
// select the defaults.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Seed makes tie-breaking differ between instances and reproducible.
	Seed uint64
	// PriorSpeed is the engine speed assumed before anything has been observed.
	PriorSpeed cost.Speed
	// BlockTokens is the size of the engines' prefix cache blocks.
	BlockTokens int
	// PrefixEntries bounds the prefix index.
	PrefixEntries int
	// MaxPrefillBacklog is the expected prefill queue of the chosen engine up to
	// which a request is released to it.
	MaxPrefillBacklog time.Duration
	Limits            admit.Limits
	Ablate            Ablate
}

// Ablate turns off one mechanism each, for measurements.
type Ablate struct {
	// NoPrefix ignores prompt blocks and cache events.
	NoPrefix bool
	// NoPeerDispatch ignores the dispatches of peers.
	NoPeerDispatch bool
	// NoFair serves in order of arrival instead of by member and urgency.
	NoFair bool
	// NoAdmission refuses only for full queues and missed deadlines.
	NoAdmission bool
	// NoSplit never uses PathSplit.
	NoSplit bool
	// NoLearning keeps the prior speeds and token predictions.
	NoLearning bool
	// NoSlack ignores the targets when choosing and ordering.
	NoSlack bool
}

const (
	defaultBlockTokens = 2000
	// defaultPrefixEntries is enough for the blocks of 284 engines (one of
	// three regions at the two-year size) in 8 MB.
	defaultPrefixEntries = 1 << 19
	// defaultHoldPrefill trades a short engine queue, in which the fair queue no
	// longer decides, against engines that run dry between two events. In the
	// loop tests 300 ms costs a twentieth of one instance's goodput at twice
	// the load; with 200 ms eight instances with deep queues leave a quarter of
	// the engines' time unused, because waits that an instance did not know of
	// are learned as slow engines.
	defaultHoldPrefill = 250 * time.Millisecond
	// expiryPeriod and refreshPeriod are the intervals of the queue's expiry
	// scan and of the recomputation of group means and rates.
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
	if c.MaxPrefillBacklog == 0 {
		c.MaxPrefillBacklog = defaultHoldPrefill
	}
	if c.Limits == (admit.Limits{}) {
		c.Limits = admit.DefaultLimits
	}
}

// Scheduler is not safe for concurrent use.
type Scheduler struct {
	config     Config
	configured bool
	draining   bool
	now        fleet.Instant

	members   table[fleet.MemberID]
	kinds     table[fleet.KindName]
	groups    table[fleet.GroupName]
	upstreams table[fleet.UpstreamID]

	memberStates   []memberState
	kindStates     []kindState
	groupStates    []groupState
	upstreamStates []upstreamState

	tokens *cost.Tokens
	speeds *cost.Speeds
	blocks *prefix.Index
	router *route.Router

	requests map[fleet.RequestID]*tracked
	// queued lists the queued requests in no particular order; the position
	// of each is its item's Owner.
	queued      []*tracked
	queuedBytes int
	free        []*tracked

	lastExpiry, lastRefresh fleet.Instant
	shared                  sharedLog
	query                   route.Query
	ready                   []Command
}

// New returns a scheduler that refuses everything until Configure.
func New(config Config) *Scheduler {
	config.setDefaults()
	s := &Scheduler{
		config:   config,
		tokens:   cost.NewTokens(),
		speeds:   cost.NewSpeeds(config.PriorSpeed),
		router:   route.New(config.Seed),
		requests: map[fleet.RequestID]*tracked{},
	}
	if !config.Ablate.NoPrefix {
		s.blocks = prefix.New(config.PrefixEntries)
		s.query.CacheConfidence = s.blocks.Confidence
	}
	return s
}

// Step applies one event at the given time. Times must not decrease.
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
		s.progress(ev)
	case Finished:
		s.finished(ev)
	case Failed:
		s.failed(ev)
	case Report:
		s.report(ev.Load)
	case PeerService:
		s.peerService(ev)
	case PeerQueueState:
		s.peerTurn(ev)
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

// Ready returns the pending commands in order and clears them.
func (s *Scheduler) Ready() []Command {
	out := s.ready
	s.ready = nil
	return out
}

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
		s.pump(int32(g))
	}
}

package sched

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

// table gives names dense indices. An index stays valid for the life of the
// scheduler, so that learned state survives changes of the configuration.
type table[K comparable] struct {
	index map[K]int32
	names []K
}

// of returns the index of a name and adds it if it is new.
func (t *table[K]) of(name K) int32 {
	if i, ok := t.index[name]; ok {
		return i
	}
	if t.index == nil {
		t.index = map[K]int32{}
	}
	i := int32(len(t.names))
	t.index[name] = i
	t.names = append(t.names, name)
	return i
}

func (t *table[K]) find(name K) (int32, bool) {
	i, ok := t.index[name]
	return i, ok
}

type memberState struct {
	declared        bool
	share           float64
	queued, running int
	served          float64
}

type kindState struct {
	declared               bool
	kind                   declare.Kind
	group                  int32
	firstToken, gap, limit float64 // seconds
	first                  firstError
}

type groupState struct {
	service bool
	queue   *fair.Queue
	shares  shareLedger
	// prefillCost and tokenCost are the group's cost units: mean engine-seconds
	// per uncached prompt token and per output token.
	prefillCost, tokenCost float64
	// ownPrefillCost and ownTokenCost are the instance's own estimates.
	ownPrefillCost, ownTokenCost float64
	// released is the cost released since the last refresh, rate the cost per
	// second that this instance can release, learned while work is queued.
	released, rate float64
	backlogged     bool
	// turns are the peers' turns, turnSlack the lead over the least of them
	// from which this instance leaves room to the others.
	turns     []peerTurn
	turnSlack float64
	// usableAt is when the group last had a usable upstream.
	usableAt fleet.Instant
	// cachedShare is the learned part of prompts found in prefix caches.
	cachedShare float64
	// cachedTokens and promptTokens are the running means it is made from.
	cachedTokens, promptTokens float64
	// promptDemand and outputDemand are the tokens of the requests that
	// arrived since the last TakeShared, refused ones included.
	promptDemand, outputDemand, contextDemand float64
	// arrived counts them, late those that were refused or missed a target.
	arrived, late float64
}

// firstError is how far first tokens of one kind are off the estimate: the mean
// and the mean deviation of observed over expected times. It covers what the
// estimate leaves out, such as prefill that shares an engine with decode. Kinds
// are kept apart because short prompts miss their few expected milliseconds by
// a multiple, which says nothing about long ones.
type firstError struct{ mean, deviation float64 }

const (
	// firstErrorGain is the weight of a new first-token time in the error.
	firstErrorGain = 0.05
	// maxFirstFactor bounds the correction: an engine that stalled for a while
	// must not make every later request look late.
	maxFirstFactor = 2
	// firstErrorKept is the part of a kind's error that is left after a second.
	// A kind whose requests are all refused would otherwise never learn better.
	firstErrorKept = 0.97
)

func (e *firstError) observe(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.2), 5)
	e.deviation += firstErrorGain * (math.Abs(ratio-e.mean) - e.deviation)
	e.mean += firstErrorGain * (ratio - e.mean)
}

func (e *firstError) decay() {
	e.deviation *= firstErrorKept
	e.mean = 1 + (e.mean-1)*firstErrorKept
}

// planned is an expected first-token time with its usual error.
func (e *firstError) planned(expected float64) float64 {
	return expected * math.Min(math.Max(e.mean+e.deviation, 1), maxFirstFactor)
}

type upstreamState struct {
	declared    bool
	dataCentre  fleet.DataCentre
	group       int32
	available   bool
	leaving     bool
	held        bool
	incarnation fleet.Incarnation
	// last is the report before, for the differences of its counters.
	last LoadReport
}

// maxLeadSeconds is the time for which service received while others were idle
// is held against a member; the share error is stated over a minute.
const maxLeadSeconds = 60

func (s *Scheduler) configure(d *declare.Declaration) {
	s.configured = true
	for i := range s.kindStates {
		s.kindStates[i].declared = false
	}
	for i := range s.memberStates {
		s.memberStates[i].declared = false
	}
	for i := range s.upstreamStates {
		s.upstreamStates[i].declared = false
	}
	for i := range d.Groups {
		s.configureGroup(&d.Groups[i])
	}
	for i := range d.Kinds {
		s.configureKind(&d.Kinds[i])
	}
	for i := range d.Upstreams {
		s.configureUpstream(&d.Upstreams[i])
	}
	s.listGroups(d)
	s.configureMembers(d.Members)
	s.refreshUnits()
}

func (s *Scheduler) configureGroup(g *declare.Group) {
	i := s.groups.of(g.Name)
	for int(i) >= len(s.groupStates) {
		s.groupStates = append(s.groupStates, groupState{queue: fair.New()})
		s.router.Groups = append(s.router.Groups, nil)
	}
	s.groupStates[i].service = g.Type == declare.GroupService
}

// untargetedGap bounds, in seconds, the token gap of kinds that declare none.
// Without a bound a backlog of them fills a few engines with batches so large
// that prefill there almost stops.
const untargetedGap = 0.15

func (s *Scheduler) configureKind(k *declare.Kind) {
	group, ok := s.groups.find(k.Group)
	if !ok {
		return
	}
	i := s.kinds.of(k.Name)
	for int(i) >= len(s.kindStates) {
		s.kindStates = append(s.kindStates, kindState{first: firstError{mean: 1}})
	}
	s.kindStates[i] = kindState{
		declared: true, kind: *k, group: group, first: s.kindStates[i].first,
		firstToken: k.TargetFirstToken.Seconds(), gap: k.TargetTokenGap.Seconds(), limit: k.Deadline.Seconds(),
	}
	if k.TargetTokenGap == 0 {
		s.kindStates[i].gap = untargetedGap
	}
	s.tokens.Grow(len(s.kindStates))
}

func (s *Scheduler) configureUpstream(u *declare.Upstream) {
	group, ok := s.groups.find(u.Group)
	if !ok {
		return
	}
	i := s.upstreams.of(u.ID)
	for int(i) >= len(s.upstreamStates) {
		s.upstreamStates = append(s.upstreamStates, upstreamState{available: true, group: -1})
		s.router.Engines = append(s.router.Engines, route.Engine{Role: u.Role, ServiceTime: initialServiceTime})
	}
	x := &s.upstreamStates[i]
	x.declared, x.dataCentre, x.group = true, u.DataCentre, group
	e := &s.router.Engines[i]
	e.Group = u.Group
	e.Home = u.DataCentre == s.config.DataCentre
	s.speeds.SetGroup(i, group)
	s.speeds.SetMachine(i, u.Speed)
	if s.blocks != nil {
		s.blocks.Grow(len(s.upstreamStates))
	}
	s.updateEngine(i)
}

// updateEngine copies learned and declared state to the router's view.
func (s *Scheduler) updateEngine(i int32) {
	x, e := &s.upstreamStates[i], &s.router.Engines[i]
	e.Usable = x.declared && x.available && !x.leaving && !x.held
	e.Speed = s.speeds.Of(i, e.Role)
}

func (s *Scheduler) listGroups(d *declare.Declaration) {
	for g := range s.router.Groups {
		s.router.Groups[g] = s.router.Groups[g][:0]
	}
	for i := range d.Upstreams {
		if u, ok := s.upstreams.find(d.Upstreams[i].ID); ok {
			g := s.upstreamStates[u].group
			s.router.Groups[g] = append(s.router.Groups[g], u)
		}
	}
	for i := range s.upstreamStates {
		s.updateEngine(int32(i))
	}
}

func (s *Scheduler) configureMembers(members []declare.Member) {
	total := 0.0
	for i := range members {
		m := s.members.of(members[i].ID)
		for int(m) >= len(s.memberStates) {
			s.memberStates = append(s.memberStates, memberState{})
		}
		share := members[i].Share
		if share <= 0 {
			share = 1
		}
		s.memberStates[m].declared, s.memberStates[m].share = true, share
		total += share
	}
	for g := range s.groupStates {
		q := s.groupStates[g].queue
		for m := range s.memberStates {
			q.SetWeight(int32(m), s.memberStates[m].share)
		}
		perSecond := float64(len(s.router.Groups[g])) / math.Max(total, 1e-9)
		q.SetMaxLead(maxLeadSeconds * perSecond)
		s.groupStates[g].turnSlack = turnSlackSeconds * perSecond
	}
}

// refresh recomputes what changes slowly. elapsed is seconds.
func (s *Scheduler) refresh(elapsed float64) {
	if !s.config.Ablate.NoLearning {
		s.speeds.Refresh()
	}
	for i := range s.upstreamStates {
		s.updateEngine(int32(i))
		s.router.Engines[i].Refresh(elapsed)
	}
	s.refreshUnits()
	for k := range s.kindStates {
		s.kindStates[k].first.decay()
	}
	for g := range s.groupStates {
		s.groupStates[g].refreshRate(elapsed)
		s.groupStates[g].shares.refresh(elapsed, s.memberStates, float64(1+s.groupStates[g].peers(s.now)))
	}
}

// rateGain is the weight of a new second in the learned release rate.
const rateGain = 0.2

func (g *groupState) refreshRate(elapsed float64) {
	rate := g.released / math.Max(elapsed, 1e-3)
	switch {
	case g.rate == 0 && g.backlogged:
		g.rate = rate
	case g.backlogged:
		g.rate += rateGain * (rate - g.rate)
	default:
		g.rate = math.Max(g.rate, rate)
	}
	g.released, g.backlogged = 0, false
}

// refreshUnits recomputes the groups' cost units as the mean over the engines
// that do the work in their role.
func (s *Scheduler) refreshUnits() {
	for g := range s.groupStates {
		var prefill, token mean
		for _, i := range s.router.Groups[g] {
			e := &s.router.Engines[i]
			if e.Role != fleet.RoleDecode {
				prefill.add(e.Speed.Prefill)
			}
			if e.Role != fleet.RolePrefill {
				token.add(e.Speed.TokenCost())
			}
		}
		x := &s.groupStates[g]
		x.ownPrefillCost = prefill.or(s.config.Prior.Prefill)
		x.ownTokenCost = token.or(s.config.Prior.TokenCost())
		x.agreeUnits(s.now)
	}
}

// agreeUnits takes the mean of the own and the peers' estimates. Instances see
// different engines and batches, and a member would be charged differently at
// each of them.
func (g *groupState) agreeUnits(now fleet.Instant) {
	var prefill, token mean
	prefill.add(g.ownPrefillCost)
	token.add(g.ownTokenCost)
	for _, t := range g.turns {
		if now-t.at < turnLife && t.prefillCost > 0 && t.tokenCost > 0 {
			prefill.add(t.prefillCost)
			token.add(t.tokenCost)
		}
	}
	g.prefillCost, g.tokenCost = prefill.or(0), token.or(0)
}

type mean struct{ sum, n float64 }

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

func (m *mean) or(x float64) float64 {
	if m.n == 0 {
		return x
	}
	return m.sum / m.n
}

func (s *Scheduler) report(l LoadReport) {
	i, ok := s.upstreams.find(l.Upstream)
	if !ok {
		return
	}
	s.setIncarnation(i, l.Incarnation)
	x, e := &s.upstreamStates[i], &s.router.Engines[i]
	x.leaving = x.leaving || l.Leaving
	if !e.Reported || l.At >= e.ReportedAt {
		e.Role = l.Role
	}
	s.learnCounters(i, l)
	s.updateEngine(i)
	e.Report(route.Load{
		At: l.At, Running: l.Running, Waiting: l.Waiting, WaitingPrompt: float64(l.WaitingPromptTokens),
		KVUsed: float64(l.KVUsedTokens), KVCapacity: float64(l.KVCapacityTokens),
	})
	s.pump(x.group)
}

// counterSpan bounds the time between two reports whose counters are compared.
const counterSpan = 3 * time.Second

// learnCounters learns an engine's speed from the tokens that it processed
// between two reports. Unlike first-token times this is not disturbed by
// requests that share an iteration.
func (s *Scheduler) learnCounters(i int32, l LoadReport) {
	x := &s.upstreamStates[i]
	last := x.last
	span := l.At - last.At
	if span <= 0 {
		return
	}
	x.last = l
	known := last.PrefilledTotal+last.GeneratedTotal > 0 && last.Incarnation == l.Incarnation && last.Role == l.Role
	if !known || span > counterSpan || s.config.Ablate.NoLearning {
		return
	}
	prefilled, generated := float64(l.PrefilledTotal-last.PrefilledTotal), float64(l.GeneratedTotal-last.GeneratedTotal)
	if l.Role == fleet.RolePrefill && last.WaitingPromptTokens > 0 && l.WaitingPromptTokens > 0 && prefilled > 0 {
		s.speeds.ObserveWork(i, l.Role, span.Seconds()/prefilled)
	}
	running := float64(last.Running+l.Running) / 2
	if l.Role != fleet.RolePrefill && last.Running > 0 && l.Running > 0 && generated > running {
		step := running * span.Seconds() / generated
		s.router.Engines[i].ObserveGap(s.now, step)
		s.speeds.ObserveStep(i, l.Role, running, float64(last.KVUsedTokens+l.KVUsedTokens)/2, step)
	}
}

// setIncarnation starts afresh with an upstream that has restarted.
func (s *Scheduler) setIncarnation(i int32, incarnation fleet.Incarnation) {
	x := &s.upstreamStates[i]
	if incarnation == "" || x.incarnation == incarnation {
		return
	}
	known := x.incarnation != ""
	x.incarnation = incarnation
	if !known {
		return
	}
	x.leaving = false
	s.router.Engines[i].Restart()
	if s.blocks != nil {
		s.blocks.DropEngine(i)
	}
}

func (s *Scheduler) setState(ev UpstreamState) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok {
		return
	}
	s.setIncarnation(i, ev.Incarnation)
	x := &s.upstreamStates[i]
	x.available = ev.Available
	// Only a new incarnation clears the mark.
	x.leaving = x.leaving || ev.Leaving
	s.router.Engines[i].Role = ev.Role
	s.updateEngine(i)
	s.pump(x.group)
}

func (s *Scheduler) hold(ev Hold) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok {
		return
	}
	s.upstreamStates[i].held = ev.On
	s.updateEngine(i)
	s.pump(s.upstreamStates[i].group)
}

func (s *Scheduler) cacheUpdate(ev CacheUpdate) {
	if i, ok := s.upstreams.find(ev.Upstream); ok && s.blocks != nil {
		s.blocks.Update(i, ev.Sequence, ev.Stored, ev.Evicted)
	}
}

func (s *Scheduler) peerService(ev PeerService) {
	m, ok := s.members.find(ev.Member)
	g, ok2 := s.groups.find(ev.Group)
	if ok && ok2 && !s.config.Ablate.NoFair {
		s.groupStates[g].queue.Charge(m, ev.Cost)
		s.groupStates[g].shares.of(m).served += ev.Cost
	}
}

type peerTurn struct {
	instance         fleet.InstanceID
	start            float64
	backlogged, deep bool
	at               fleet.Instant
	// prefillCost and tokenCost are the peer's estimates.
	prefillCost, tokenCost float64
}

const (
	// turnLife is how long a peer's turn counts without an update, three
	// exchanges.
	turnLife = 3 * time.Second
	// turnSlackSeconds is the lead in seconds of the fleet's service. It covers
	// a few exchanges, because smaller leads are noise and restricting them
	// costs goodput, and stays small against the minute of the share error.
	turnSlackSeconds = 4
	// deepRoom is the part of an engine's room that an instance ahead of the
	// fleet uses while an instance behind has a deep queue: only idle engines.
	// Without a deep queue it uses all room. Giving way to short queues cost
	// MixShift 3 points of goodput and 13 of tokens at Hrafnsey, and anything
	// between leaves engines unused without giving the others their share.
	deepRoom = 1e-6
	// deepSeconds is the work of every engine of the group in a deep queue, one
	// exchange and the delay of its message.
	deepSeconds = 1.3
)

func (s *Scheduler) peerTurn(ev PeerTurn) {
	i, ok := s.groups.find(ev.Group)
	if !ok || s.config.Ablate.NoFair || ev.Instance == s.config.Instance {
		return
	}
	g := &s.groupStates[i]
	turn := peerTurn{ev.Instance, ev.Start, ev.Backlogged, ev.Deep, s.now, ev.PrefillCost, ev.TokenCost}
	found := false
	kept := g.turns[:0]
	for _, t := range g.turns {
		if t.instance == ev.Instance {
			t, found = turn, true
		}
		if s.now-t.at < turnLife {
			kept = append(kept, t)
		}
	}
	if !found {
		kept = append(kept, turn)
	}
	g.turns = kept
	if least, ok := g.leastTurn(s.now); ok {
		g.queue.Advance(least)
	}
}

// leastTurn returns the least start tag of the backlogged peers.
func (g *groupState) leastTurn(now fleet.Instant) (least float64, ok bool) {
	for _, t := range g.turns {
		if t.backlogged && now-t.at < turnLife && (!ok || t.start < least) {
			least, ok = t.start, true
		}
	}
	return least, ok
}

func (g *groupState) peers(now fleet.Instant) (n int) {
	for _, t := range g.turns {
		if now-t.at < turnLife {
			n++
		}
	}
	return n
}

// peerWaits tells that work waits at a peer for the same engines.
func (g *groupState) peerWaits(now fleet.Instant) bool {
	_, waits := g.leastTurn(now)
	return waits
}

// room is the part of an engine's room that this instance may use now.
func (g *groupState) room(now fleet.Instant) float64 {
	own, ok := g.queue.Turn()
	if !ok {
		return 1
	}
	for _, t := range g.turns {
		if t.deep && t.start+g.turnSlack < own && now-t.at < turnLife {
			return deepRoom
		}
	}
	return 1
}

func (s *Scheduler) peerDispatch(ev PeerDispatch) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok || s.config.Ablate.NoPeerDispatch {
		return
	}
	e := &s.router.Engines[i]
	tokens := float64(ev.PromptTokens)
	s.router.Heard(s.now)
	e.PeerDispatched(ev.At, tokens*e.Speed.Prefill, ev.OutputTokens > 0, float64(ev.PromptTokens+ev.OutputTokens))
}

func (s *Scheduler) cost(group int32, uncached, output float64) float64 {
	g := &s.groupStates[group]
	return uncached*g.prefillCost + output*g.tokenCost
}

package mixshift

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/emulator"
)

// Scheduler is the interface of the simulated schedulers. Step handles an event, Ready
// returns the commands since its last call, and TakePeerUpdate returns what the
// scheduler shares with the other instances since its last call.
type Scheduler interface {
	Step(now fleet.Instant, ev sched.Event)
	Ready() []sched.Command
	TakePeerUpdate() sched.PeerUpdate
}

// Periods, delays and limits of the simulation.
const (
	tickPeriod      = 20 * time.Millisecond
	reportPeriod    = 500 * time.Millisecond
	reportLag       = 250 * time.Millisecond
	exchangePeriod  = time.Second
	cachePeriod     = time.Second
	cacheLag        = 500 * time.Millisecond
	planPeriod      = time.Second
	detectionDelay  = time.Second      // until a broken connection is noticed
	withdrawalGrace = 20 * time.Second // from the announcement to the crash
	drainLimit      = 60 * time.Second
	drainPoll       = 50 * time.Millisecond
	cacheLossRate   = 0.02 // fraction of the batches of cache events that are lost
	tokensPerReport = 16   // tokens in one report to the scheduler
)

// KV cache transfer between engines.
const (
	transferBase     = 5 * time.Millisecond
	transferPerToken = time.Microsecond
)

// faults is the withdrawal of an engine and the partition of a data centre in a run.
type faults struct {
	withdrawnEngine             int // engine; -1 for none
	withdrawAt, returnAt        fleet.Instant
	partitionedDC               int // data centre; -1 for none
	partitionAt, partitionEndAt fleet.Instant
}

func noFaults() faults { return faults{withdrawnEngine: -1, partitionedDC: -1} }

func requestID(i int) fleet.RequestID { return fleet.RequestID(fmt.Sprintf("r%06d", i)) }

// request is an arrival with its state during a run.
type request struct {
	arrival
	attempt              int           // number of the current attempt, from 1
	choice               sched.Choice  // of the current attempt
	firstAt              fleet.Instant // when the first token reached the caller
	lastAt               fleet.Instant // when the last token so far did
	generated            int           // tokens so far
	unreportedTokens     int           // tokens not yet reported to the scheduler
	longestUnreportedGap time.Duration // longest token gap among them
	gaps                 int
	lateGaps             int
	maxGap               time.Duration
	cached               int
	done                 bool
	refused              bool
	answered             bool
	reason               fleet.Reason // of the refusal
	endAt                fleet.Instant
	tokenGaps            []time.Duration
}

// engineState is an emulated engine with the state that the simulation keeps of it.
type engineState struct {
	*emulator.Engine
	index    int
	dc       int
	sequence int64 // of the newest batch of cache events
	leaving  bool
	// incarnation counts restarts.
	incarnation int
}

// Sim is the state of one run of one policy.
type Sim struct {
	deployment Deployment
	now        fleet.Instant
	seq        int64
	calendar   calendar
	rng        *rand.Rand
	engines    []*engineState
	schedulers []Scheduler
	requests   map[fleet.RequestID]*request
	arrivals   []*request
	faults     faults
	planner    planner
	change     *roleChange
	end        fleet.Instant
	events     []emulator.Event

	roleChanges     int
	planReasons     []string
	servedByMember  map[int][]servedCost
	choicesByReason map[string]int
	// demand is the demand that instances have shared since the last plan.
	demand []sched.GroupDemand
	// reports holds the latest report of each engine at the planning instance.
	reports []sched.LoadReport
}

// servedCost is the cost of a request that was served to a member.
type servedCost struct {
	at   fleet.Instant
	cost time.Duration
}

// schedule calls run after d.
func (s *Sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.calendar, event{at: s.now + d, seq: s.seq, run: run})
}

// schedulePeriodic calls run every period until the end of the run.
func (s *Sim) schedulePeriodic(period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if s.now < s.end {
			s.schedule(period, again)
		}
	}
	s.schedule(period, again)
}

// run processes the calendar and the engines' iterations in time order.
func (s *Sim) run() {
	for {
		engine, at := s.nextIteration()
		if len(s.calendar) > 0 && (engine == nil || s.calendar[0].at <= at) {
			e := heap.Pop(&s.calendar).(event)
			s.now = e.at
			e.run()
			continue
		}
		if engine == nil {
			return
		}
		s.now = at
		s.iterate(engine)
	}
}

// nextIteration returns the engine whose iteration ends first and when it ends, or nil
// if no iteration is running.
func (s *Sim) nextIteration() (next *engineState, at fleet.Instant) {
	for _, e := range s.engines {
		if t, busy := e.NextAt(); busy && (next == nil || t < at) {
			next, at = e, t
		}
	}
	return next, at
}

// connected reports whether two data centres can reach each other now.
func (s *Sim) connected(a, b int) bool {
	partitionedDC := s.faults.partitionedDC
	if partitionedDC < 0 || s.now < s.faults.partitionAt || s.now >= s.faults.partitionEndAt {
		return true
	}
	return a == b || a != partitionedDC && b != partitionedDC
}

// delay returns the one-way network delay between two data centres.
func (s *Sim) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return s.deployment.Delay
}

// step passes an event to an instance's scheduler and executes its commands.
func (s *Sim) step(instance int, ev sched.Event) {
	sc := s.schedulers[instance]
	sc.Step(s.now, ev)
	for _, c := range sc.Ready() {
		s.execute(instance, c)
	}
}

// execute executes a command of an instance's scheduler.
func (s *Sim) execute(instance int, c sched.Command) {
	switch c := c.(type) {
	case sched.Dispatch:
		r := s.requests[c.ID]
		r.choice = c.Choice
		r.attempt++
		s.choicesByReason[c.Choice.Reason]++
		s.send(r, r.attempt)
	case sched.Refuse:
		r := s.requests[c.ID]
		r.refused = true
		r.reason = c.Refusal.Reason
		s.finish(r)
	case sched.CancelAt:
		if e := s.engineByID(c.Upstream); e != nil {
			e.Cancel(c.ID)
		}
	}
}

// engineByID returns the engine with an id, or nil if there is none.
func (s *Sim) engineByID(id fleet.UpstreamID) *engineState {
	for _, e := range s.engines {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// send starts an attempt at the engines that the scheduler has chosen.
func (s *Sim) send(r *request, attempt int) {
	if r.choice.Path == sched.PathSplit {
		s.submit(r, attempt, r.choice.PrefillTarget, emulator.ModePrefill)
		return
	}
	s.submit(r, attempt, r.choice.Target, emulator.ModeFull)
}

// submit sends a job of a request to an engine. The attempt fails if the engine cannot
// be reached or does not accept the job.
func (s *Sim) submit(r *request, attempt int, target fleet.UpstreamID, mode emulator.Mode) {
	e := s.engineByID(target)
	dc := instanceDataCentre(r.instance)
	if e == nil || !s.connected(dc, e.dc) {
		s.schedule(detectionDelay, func() { s.attemptFailed(r, attempt, target) })
		return
	}
	s.schedule(s.delay(dc, e.dc), func() {
		if r.done || r.attempt != attempt {
			return
		}
		job := emulator.Job{
			ID: r.id, Mode: mode, PromptTokens: r.prompt + r.generated, OutputTokens: r.output - r.generated,
			Blocks: r.blocks, Priority: r.choice.Priority,
		}
		if !e.Submit(s.now, job) {
			s.schedule(s.delay(dc, e.dc), func() { s.attemptFailed(r, attempt, target) })
		}
	})
}

// attemptFailed reports a failed attempt to the scheduler unless the request has moved
// on.
func (s *Sim) attemptFailed(r *request, attempt int, target fleet.UpstreamID) {
	if r.done || r.attempt != attempt {
		return
	}
	s.step(r.instance, sched.Failed{ID: r.id, Upstream: target, Retry: true})
}

// iterate ends an engine's iteration and handles its events.
func (s *Sim) iterate(e *engineState) {
	s.events = e.Advance(s.now, s.events[:0])
	for _, ev := range s.events {
		r := s.requests[ev.ID]
		if r.done {
			continue
		}
		switch ev.Type {
		case emulator.EventPrefilled:
			s.prefilled(r, e, ev.Cached)
		case emulator.EventToken:
			s.token(r, e)
		case emulator.EventFinished:
			s.answered(r, e, ev.Cached)
		}
	}
}

// prefilled transfers the KV cache to the engine that decodes. The attempt fails if
// that engine cannot be reached.
func (s *Sim) prefilled(r *request, e *engineState, cached int) {
	r.cached = cached
	target := s.engineByID(r.choice.Target)
	attempt := r.attempt
	dc := instanceDataCentre(r.instance)
	if !s.connected(e.dc, target.dc) || !s.connected(dc, target.dc) {
		s.schedule(detectionDelay, func() { s.attemptFailed(r, attempt, target.ID) })
		return
	}
	s.schedule(s.delay(dc, e.dc), func() {
		if !r.done && r.attempt == attempt {
			s.notePrefilled(r, cached)
		}
	})
	transfer := transferBase + time.Duration(r.prompt)*transferPerToken + 2*s.delay(dc, e.dc)
	s.schedule(transfer, func() {
		if !r.done && r.attempt == attempt {
			s.submit(r, attempt, target.ID, emulator.ModeDecode)
		}
	})
}

// notePrefilled is called when the instance learns that the prefill engine is done
// with a request. The schedulers have no event for it.
func (s *Sim) notePrefilled(*request, int) {}

// token records a generated token and reports it to the scheduler, after the first one
// in batches of tokensPerReport.
func (s *Sim) token(r *request, e *engineState) {
	d := s.delay(instanceDataCentre(r.instance), e.dc)
	at := s.now + d + clientDelay
	r.generated++
	r.unreportedTokens++
	if r.firstAt == 0 {
		r.firstAt = at
		s.schedule(d, func() { s.step(r.instance, sched.FirstToken{ID: r.id}) })
	} else {
		r.recordGap(at - r.lastAt)
		r.longestUnreportedGap = max(r.longestUnreportedGap, at-r.lastAt)
	}
	r.lastAt = at
	if r.unreportedTokens >= tokensPerReport {
		report := sched.Tokens{ID: r.id, N: r.unreportedTokens, LongestGap: r.longestUnreportedGap}
		r.unreportedTokens, r.longestUnreportedGap = 0, 0
		s.schedule(d, func() { s.step(r.instance, report) })
	}
}

func (r *request) recordGap(d time.Duration) {
	r.gaps++
	r.maxGap = max(r.maxGap, d)
	if d > r.kind.TokenGapTarget {
		r.lateGaps++
	}
	r.tokenGaps = append(r.tokenGaps, d)
}

// answered ends a request after its last token and records its cost for its member.
func (s *Sim) answered(r *request, e *engineState, cached int) {
	r.answered = true
	if r.choice.Path == sched.PathSplit {
		cached = r.cached
	}
	s.finish(r)
	usage := fleet.Usage{PromptTokens: r.prompt, CachedTokens: cached, OutputTokens: r.output}
	s.schedule(s.delay(instanceDataCentre(r.instance), e.dc), func() {
		s.step(r.instance, sched.Finished{ID: r.id, Usage: usage})
	})
	s.servedByMember[r.member] = append(s.servedByMember[r.member], servedCost{at: s.now, cost: prefillWork(r.prompt-cached) + decodeWork(r.prompt, r.output)})
}

// finish ends a request with any outcome.
func (s *Sim) finish(r *request) {
	r.done = true
	r.endAt = s.now + clientDelay
}

// arrive submits a request at its instance and schedules the caller's timeout.
func (s *Sim) arrive(r *request) {
	s.step(r.instance, sched.Submit{Request: sched.Request{
		ID: r.id, Member: memberID(r.member), Kind: r.kind.Name,
		// The caller declares the kind's longest output, a round number above
		// the real length.
		PromptTokens: r.prompt, MaxOutputTokens: r.kind.outputMax, Blocks: r.blocks,
	}})
	s.schedule(r.kind.Deadline, func() {
		if r.done {
			return
		}
		s.finish(r)
		s.cancelEverywhere(r)
		s.step(r.instance, sched.Cancel{ID: r.id})
	})
}

// cancelEverywhere cancels a request at the engines of its current attempt.
func (s *Sim) cancelEverywhere(r *request) {
	for _, id := range []fleet.UpstreamID{r.choice.PrefillTarget, r.choice.Target} {
		if e := s.engineByID(id); e != nil {
			e.Cancel(r.id)
		}
	}
}

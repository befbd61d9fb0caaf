package sched_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

const (
	simTick      = 10 * time.Millisecond
	reportLag    = 300 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
)

// simEngine is a simulated engine. It prefills one request at a time and
// decodes a batch; with both kinds of work present it gives each half of its
// time.
type simEngine struct {
	id       fleet.UpstreamID
	slowdown float64
	prefill  []*simRequest
	decode   []*simRequest
}

type simRequest struct {
	id                fleet.RequestID
	member, instance  int
	arrived           fleet.Instant
	prompt, output    int
	remaining         float64 // seconds of prefill, then tokens
	reportedTokens    int
	ttft              time.Duration
	running, finished bool
}

// simulation runs schedulers against simulated engines in virtual time.
type simulation struct {
	now            fleet.Instant
	instances      []*sched.Scheduler
	engines        []*simEngine
	requests       map[fleet.RequestID]*simRequest
	seed           uint64
	pendingReports []sched.LoadReport
	served         map[int]float64 // engine-seconds by member
	onTime         int
	refused        int
	offered        int
}

// newSimulation returns a simulation in which the speed of the engines differs by
// up to a factor of three.
func newSimulation(instances, engines int, ablate sched.Ablation, shares ...float64) *simulation {
	sim := &simulation{requests: map[fleet.RequestID]*simRequest{}, served: map[int]float64{}, seed: 7}
	d := declaration(engines, shares...)
	for i := range instances {
		s := sched.New(sched.Config{Instance: fleet.InstanceID(fmt.Sprint(i)), Seed: uint64(i), Ablation: ablate})
		s.Step(0, sched.Configure{Version: 1, Declaration: d})
		sim.instances = append(sim.instances, s)
	}
	for i := range engines {
		sim.engines = append(sim.engines, &simEngine{id: fleet.UpstreamID(fmt.Sprintf("e%d", i)), slowdown: 1 + float64(i%3)})
	}
	return sim
}

func (sim *simulation) random(n int) int {
	sim.seed += 0x9e3779b97f4a7c15
	z := (sim.seed ^ sim.seed>>30) * 0xbf58476d1ce4e5b9
	return int((z ^ z>>29) >> 11 % uint64(n))
}

// submit sends a request of a member to an instance.
func (sim *simulation) submit(instance, member int, kind string, prompt, output int) {
	r := &simRequest{id: fleet.RequestID(fmt.Sprintf("r%d", sim.offered)), member: member, instance: instance,
		arrived: sim.now, prompt: prompt, output: output}
	sim.offered++
	sim.requests[r.id] = r
	sim.step(instance, request(string(r.id), fmt.Sprintf("m%d", member), kind, prompt))
}

// step applies an event to an instance and carries out its commands.
func (sim *simulation) step(instance int, ev sched.Event) {
	s := sim.instances[instance]
	s.Step(sim.now, ev)
	for _, c := range s.Ready() {
		switch c := c.(type) {
		case sched.Refuse:
			sim.refused++
			delete(sim.requests, c.ID)
		case sched.Dispatch:
			for _, e := range sim.engines {
				if e.id == c.Choice.Target {
					r := sim.requests[c.ID]
					r.running = true
					r.remaining = float64(r.prompt) * 1e-4 * e.slowdown
					e.prefill = append(e.prefill, r)
				}
			}
		}
	}
}

// run advances the simulation by d and calls arrivals at every tick.
func (sim *simulation) run(d time.Duration, arrivals func()) {
	for end := sim.now + d; sim.now < end; sim.now += simTick {
		arrivals()
		for _, e := range sim.engines {
			sim.advance(e)
		}
		for i := range sim.instances {
			sim.step(i, sched.Tick{})
		}
		if sim.now%reportPeriod == 0 {
			sim.createReports()
		}
		if sim.now%reportPeriod == reportLag {
			sim.deliverReports()
		}
		if sim.now%time.Second == 0 {
			sim.exchange()
		}
	}
}

// advance runs an engine for one tick.
func (sim *simulation) advance(e *simEngine) {
	dt := simTick.Seconds()
	share := 1.0
	if len(e.prefill) > 0 && len(e.decode) > 0 {
		share = 0.5
	}
	for budget := dt * share; len(e.prefill) > 0 && budget > 0; {
		r := e.prefill[0]
		used := math.Min(budget, r.remaining)
		r.remaining -= used
		budget -= used
		sim.served[r.member] += used
		if r.remaining > 1e-9 {
			break
		}
		e.prefill = e.prefill[1:]
		e.decode = append(e.decode, r)
		r.remaining = float64(r.output)
		r.ttft = sim.now - r.arrived
		sim.step(r.instance, sched.FirstToken{ID: r.id})
	}
	n := float64(len(e.decode))
	tokens := dt * share / ((15e-3 + 4e-4*n) * e.slowdown)
	kept := e.decode[:0]
	for _, r := range e.decode {
		r.remaining -= tokens
		sim.served[r.member] += dt * share / n
		if done := r.output - int(math.Max(r.remaining, 0)); done-r.reportedTokens >= 16 {
			sim.step(r.instance, sched.Tokens{ID: r.id, N: done - r.reportedTokens})
			r.reportedTokens = done
		}
		if r.remaining > 0 {
			kept = append(kept, r)
			continue
		}
		r.finished = true
		if r.ttft <= time.Second {
			sim.onTime++
		}
		sim.step(r.instance, sched.Finished{ID: r.id, Usage: fleet.Usage{PromptTokens: r.prompt, OutputTokens: r.output}})
	}
	e.decode = kept
}

// deliverReports delivers the reports that were created reportLag ago.
func (sim *simulation) deliverReports() {
	for _, load := range sim.pendingReports {
		for i := range sim.instances {
			sim.step(i, sched.Report{Load: load})
		}
	}
	sim.pendingReports = sim.pendingReports[:0]
}

// createReports records the load of every engine for deliverReports.
func (sim *simulation) createReports() {
	for _, e := range sim.engines {
		waiting := 0.0
		for _, r := range e.prefill {
			waiting += r.remaining / (1e-4 * e.slowdown)
		}
		sim.pendingReports = append(sim.pendingReports, sched.LoadReport{Upstream: e.id, At: sim.now,
			Running: len(e.decode), Waiting: len(e.prefill), WaitingPromptTokens: int(waiting)})
	}
}

// exchange sends every instance's peer update to the other instances.
func (sim *simulation) exchange() {
	for i, s := range sim.instances {
		update := s.TakePeerUpdate()
		for j := range sim.instances {
			if i == j {
				continue
			}
			for _, ev := range update.Service {
				sim.step(j, ev)
			}
			for _, ev := range update.Queues {
				sim.step(j, ev)
			}
			for _, ev := range update.Dispatches {
				sim.step(j, ev)
			}
		}
	}
}

// TestSharesUnderLoad guards against a share error above 5% of a backlogged
// member over a minute. Member 1 has twice the share of member 0 and sends
// longer prompts.
func TestSharesUnderLoad(t *testing.T) {
	sim := newSimulation(1, 6, sched.Ablation{}, 1, 2, 1)
	load := func() {
		for m := range 3 {
			for sim.instances[0].Status().Members[m].Queued < 20 {
				sim.submit(0, m, "bulk", 1000+3000*m, 100)
			}
		}
	}
	sim.run(20*time.Second, load)
	before := [3]float64{}
	for m := range before {
		before[m] = sim.instances[0].Status().Members[m].ServedCost
	}
	sim.run(time.Minute, load)
	got, total := [3]float64{}, 0.0
	for m := range got {
		got[m] = sim.instances[0].Status().Members[m].ServedCost - before[m]
		total += got[m]
	}
	for m, want := range []float64{0.25, 0.5, 0.25} {
		if err := math.Abs(got[m]/total-want) / want; err > 0.05 {
			t.Errorf("member %d got %.3f of the cost, share %.3f", m, got[m]/total, want)
		}
	}
}

// TestGoodputUnderOverload guards against goodput that falls when the offered
// load is twice the capacity, with one and with four instances.
func TestGoodputUnderOverload(t *testing.T) {
	for _, instances := range []int{1, 4} {
		// goodput returns the answers per second whose first token was on time.
		goodput := func(perSecond int, ablate sched.Ablation) float64 {
			onTime := 0
			for seed := range uint64(3) {
				sim := newSimulation(instances, 6, ablate, 1, 1)
				sim.seed = seed
				sim.run(time.Minute, func() {
					if sim.random(100) < perSecond {
						sim.submit(sim.random(instances), sim.random(2), "ledger", 500+sim.random(1500), 20+sim.random(80))
					}
				})
				onTime += sim.onTime
			}
			return float64(onTime) / 3 / 60
		}
		const capacity = 12
		at, twice := goodput(capacity, sched.Ablation{}), goodput(2*capacity, sched.Ablation{})
		without := goodput(2*capacity, sched.Ablation{NoAdmission: true})
		t.Logf("%d instances: on time per second: %.1f at %d/s, %.1f at twice, %.1f at twice without admission", instances, at, capacity, twice, without)
		if twice < 0.95*at {
			t.Errorf("%d instances: goodput %.1f at capacity, %.1f at twice the load", instances, at, twice)
		}
	}
}

// TestSpreadingGainsNothing guards against a member that gets more than its
// share by queueing at every instance while the other one queues at a single
// instance, and against engines that are idle because instances yield to each
// other. The order in which the instances run rotates, so that none is always
// first.
func TestSpreadingGainsNothing(t *testing.T) {
	// answersPerMember returns the answers in the third minute.
	answersPerMember := func(instances int) (answers [2]float64) {
		sim := newSimulation(instances, 12, sched.Ablation{}, 1, 1)
		last := instances - 1
		fill := func(i, m int) {
			for sim.instances[i].Status().Members[m].Queued < 40 {
				sim.submit(i, m, "bulk", 1000, 100)
			}
		}
		load := func() {
			for k := range instances {
				i := (k + int(sim.now/simTick)) % instances
				if i == last {
					fill(i, 1)
				}
				fill(i, 0)
			}
		}
		count := func(sign float64) {
			for _, r := range sim.requests {
				if r.finished {
					answers[r.member] += sign
				}
			}
		}
		sim.run(2*time.Minute, load)
		count(-1)
		sim.run(time.Minute, load)
		count(1)
		return answers
	}
	single := answersPerMember(1)
	for _, instances := range []int{2, 8} {
		got := answersPerMember(instances)
		total, singleTotal := got[0]+got[1], single[0]+single[1]
		t.Logf("%d instances: share %.3f, %.0f answers, with one instance %.0f", instances, got[1]/total, total, singleTotal)
		if err := math.Abs(got[1]/total-0.5) / 0.5; err > 0.05 {
			t.Errorf("%d instances: the member at one instance got %.3f", instances, got[1]/total)
		}
		if total < 0.9*singleTotal {
			t.Errorf("%d instances: %.0f answers, with one instance %.0f", instances, total, singleTotal)
		}
	}
}

package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Step is a choice of one server that a Trace records.
type Step string

// Steps of a request. StepPrefill and StepDecode are the two engines of a request
// that runs on separate ones, and StepDirect is one engine that runs both.
const (
	StepPrefill Step = "prefill"
	StepDecode  Step = "decode"
	StepDirect  Step = "direct"
	StepPlain   Step = "plain"
)

// Passed says why a server was not scored or, if it was, not chosen.
type Passed string

// Reasons for passing over a server.
const (
	PassedLeaving Passed = "leaving"
	PassedPaused  Passed = "paused"
	PassedHeld    Passed = "held"
	PassedEjected Passed = "ejected"
	PassedLimited Passed = "limited"
	// PassedStage means that the server does not serve the stage of this step.
	PassedStage Passed = "other_stage"
	// PassedVersion means that the server has another software version than the one
	// that began the stream.
	PassedVersion Passed = "other_software_version"
	// PassedSkipped means that the request was already sent there.
	PassedSkipped Passed = "skipped"
	// PassedSample means that the server was not among those that are scored for
	// this request.
	PassedSample Passed = "not_sampled"
	// PassedScore means a higher score than that of the chosen server.
	PassedScore Passed = "higher_score"
	// PassedSpread means a lower score than that of the chosen server, which was
	// drawn because other instances are expected to have sent requests here since
	// their reports.
	PassedSpread Passed = "spread"
)

// Weighed is a server that a choice has considered.
type Weighed struct {
	// Choice holds the estimates; only Server is set unless Scored is.
	Choice
	Scored bool
	// Score is what the choice compares, the lowest being the best.
	Score time.Duration
	// Passed says why the server was not chosen; "" for the chosen one.
	Passed Passed
	// Ejected reports whether the server is ejected, also if it was chosen because
	// no other is left.
	Ejected bool
	// PausedFor is how long a paused server wants no requests.
	PausedFor time.Duration
}

// TracedStep is one choice of a server and what it has considered.
type TracedStep struct {
	Step    Step
	Servers []Weighed
	// index maps a server to its position in Servers.
	index map[fleet.UpstreamID]int
}

// Trace records what choices consider. Only a Fleet returned by Copy has one.
type Trace struct{ Steps []TracedStep }

// begin begins the record of a step. A choice that is made again replaces the
// first one, and the choices that depend on it.
func (t *Trace) begin(step Step) {
	if t == nil {
		return
	}
	if step == StepPrefill {
		t.Steps = nil
	}
	t.Steps = slices.DeleteFunc(t.Steps, func(s TracedStep) bool { return s.Step == step })
	t.Steps = append(t.Steps, TracedStep{Step: step, index: map[fleet.UpstreamID]int{}})
}

// pass records why a server is not scored; PassedSample until it is.
func (t *Trace) pass(s *server, why Passed, now fleet.Instant) {
	if t == nil || len(t.Steps) == 0 {
		return
	}
	w := Weighed{Choice: Choice{Server: s.Server}, Passed: why, Ejected: why == PassedEjected}
	if why == PassedPaused {
		w.PausedFor = s.pausedUntil - now
	}
	step := &t.Steps[len(t.Steps)-1]
	step.index[s.ID] = len(step.Servers)
	step.Servers = append(step.Servers, w)
}

// score records the estimates for a server and its score.
func (t *Trace) score(c Choice, score time.Duration) {
	step := &t.Steps[len(t.Steps)-1]
	if i, ok := step.index[c.Server.ID]; ok {
		w := &step.Servers[i]
		w.Choice, w.Score, w.Scored = c, score, true
		if w.Passed == PassedSample {
			w.Passed = PassedScore
		}
	}
}

// end records the chosen server.
func (t *Trace) end(chosen fleet.UpstreamID) {
	step := &t.Steps[len(t.Steps)-1]
	at, ok := step.index[chosen]
	if !ok {
		return
	}
	step.Servers[at].Passed = ""
	for i := range step.Servers {
		if w := &step.Servers[i]; w.Passed == PassedScore && w.Score < step.Servers[at].Score {
			w.Passed = PassedSpread
		}
	}
}

// Copy returns a Fleet with a Trace that makes the same choices for a service at
// the given time as f would. Choices and demand recorded there do not change f.
// The copy shares the prompt parts of engines with f, so that both must not be
// used concurrently, and it must not be told of other events or times.
func (f *Fleet) Copy(group fleet.GroupName, now fleet.Instant) (*Fleet, *Trace) {
	out := *f
	out.trace, out.options, out.permit = &Trace{}, nil, nil
	out.ejector, out.held = f.ejector.Copy(), maps.Clone(f.held)
	out.demandSince = maps.Clone(f.demandSince)
	out.meters = map[fleet.GroupName]*demandMeter{}
	if m := f.meters[group]; m != nil {
		meter := *m
		out.meters[group] = &meter
	}
	out.servers, out.groups = map[fleet.UpstreamID]*server{}, map[fleet.GroupName][]*server{}
	for _, s := range f.groups[group] {
		c := *s
		// The sum at this time replaces the reports, from which a later one would
		// remove those that expire.
		if s.peerSumStale || now >= s.peerSumUntil {
			c.peerSum, _, _ = s.sumPeers(now)
		}
		c.byPeer, c.peerSumStale, c.peerSumUntil = nil, false, maxInstant
		out.servers[s.ID] = &c
		out.groups[group] = append(out.groups[group], &c)
	}
	return &out, out.trace
}

// Views describes the reports of other instances that choices rest on.
type Views struct {
	// Instances is the number of instances whose reports count.
	Instances int
	// Mean is the mean age of the reported work, weighted by its runs, and Oldest
	// the time since the least recent report arrived.
	Mean, Oldest time.Duration
}

// Views returns the ages of the other instances' reports.
func (f *Fleet) Views(now fleet.Instant) Views {
	out := Views{Mean: f.viewAge(now)}
	for _, p := range f.peers {
		if age := now - p.receivedAt; age <= peerWorkTTL {
			out.Instances++
			out.Oldest = max(out.Oldest, age)
		}
	}
	return out
}

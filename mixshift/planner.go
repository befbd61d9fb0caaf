package mixshift

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/role"
	"github.com/bramleywick/bramleywick/core/sched"
)

// rolePlanner implements planner with the product's role planner and the knowledge
// of one instance.
type rolePlanner struct {
	planner *role.Planner
}

func newRolePlanner(d Deployment) planner {
	p := role.New(role.Config{})
	p.Step(0, role.Group{Name: groupName, ChangeWeight: d.RoleChangeWeight, TokenGapTarget: tokenGap})
	return &rolePlanner{planner: p}
}

// plan implements planner.
func (p *rolePlanner) plan(now fleet.Instant, s *Sim) (int, fleet.Role, bool) {
	scheduler, ok := s.schedulers[s.plannerInstance()].(*sched.Scheduler)
	if !ok {
		return 0, 0, false
	}
	for _, u := range scheduler.Status().Upstreams {
		p.planner.Step(now, role.EngineState{
			Group: u.Group, Upstream: u.ID, Role: u.Role, Speed: u.Speed, At: u.ReportedAt,
			Available: u.Available && !u.Leaving && !u.Held,
			Load:      math.Min(u.Backlog.Seconds()+u.Batch/fullBatchSequences, 1),
		})
	}
	total := role.Demand{Group: groupName}
	for _, d := range s.demand {
		total.PromptTokens += d.PromptTokens
		total.OutputTokens += d.OutputTokens
		total.ContextTokens += d.ContextTokens
	}
	s.demand = s.demand[:0]
	p.planner.Step(now, total)
	for _, c := range p.planner.Ready() {
		for i, e := range s.engines {
			if e.ID == c.Upstream {
				s.planReasons = append(s.planReasons, now.Round(time.Second).String()+" "+string(c.Upstream)+": "+c.Reason)
				return i, c.To, true
			}
		}
	}
	return 0, 0, false
}

// fullBatchSequences is the decode batch at which an engine counts as fully loaded.
const fullBatchSequences = 256

// plannerInstance returns the instance that plans, as the order holder does: the
// first one in the data centre plannerDC.
func (s *Sim) plannerInstance() int { return s.plannerDC() }

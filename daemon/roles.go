package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/role"
	"github.com/bramleywick/bramleywick/core/sched"
)

// planPeriod is the time between two steps of the role planner.
const planPeriod = time.Second

// fullBatchSequences is the decode batch at which an engine counts as fully
// loaded.
const fullBatchSequences = 256

// rolePlanner runs the role planner of an instance. Every instance runs one, so that
// a new order holder knows the recent mix of requests. Only the order holder of the
// engine's data centre acts on a change. Safe for concurrent use.
type rolePlanner struct {
	mu      sync.Mutex
	planner *role.Planner
	// demand is the demand since the last call of plan.
	demand map[fleet.GroupName]*sched.GroupDemand
}

func newRolePlanner() *rolePlanner {
	return &rolePlanner{planner: role.New(role.Config{}), demand: map[fleet.GroupName]*sched.GroupDemand{}}
}

// addDemand adds the demand of requests that arrived at this instance or at a peer.
func (r *rolePlanner) addDemand(demand []sched.GroupDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range demand {
		known := r.demand[d.Group]
		if known == nil {
			known = &sched.GroupDemand{Group: d.Group}
			r.demand[d.Group] = known
		}
		known.Add(d)
	}
}

// takePeerUpdate returns the scheduler's recent work for the peers and adds its
// demand to the role planner.
func (d *Daemon) takePeerUpdate() sched.PeerUpdate {
	update := d.dispatcher.TakePeerUpdate()
	d.roles.addDemand(update.Demand)
	return update
}

// planRoles runs the role planner every planPeriod until ctx ends.
func (d *Daemon) planRoles(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if index := d.keeper.Index(); index != nil {
				d.planOnce(index)
			}
		case <-ctx.Done():
			return
		}
	}
}

// planOnce runs one step of the role planner and passes the changes of engines
// for which this instance holds the order lease to the authority.
func (d *Daemon) planOnce(index *declare.Index) {
	now := d.dispatcher.Now()
	for _, c := range d.roles.plan(now, index, d.dispatcher.Status().Upstreams) {
		u := index.Upstream(c.Upstream)
		held, _ := d.authority.Status()
		if u == nil || u.DataCentre != d.settings.DataCentre || held.Fence == 0 {
			continue
		}
		d.log.Info("role change planned", zap.String("upstream", string(c.Upstream)),
			zap.String("role", c.To.String()), zap.String("reason", c.Reason))
		d.authority.SetRole(c.Upstream, c.To)
	}
}

// plan passes the current state and the demand since the last call to the planner
// and returns the planned changes.
func (r *rolePlanner) plan(now fleet.Instant, index *declare.Index, upstreams []sched.UpstreamStatus) []role.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range index.Declaration.Groups {
		g := &index.Declaration.Groups[i]
		if g.Type != declare.GroupEngine || g.FixedRoles {
			continue
		}
		r.planner.Step(now, role.Group{Name: g.Name, ChangeWeight: g.RoleChangeWeight, TokenGapTarget: leastTokenGap(index, g.Name)})
		r.feedGroup(now, g.Name, upstreams)
	}
	clear(r.demand)
	return r.planner.Ready()
}

// feedGroup passes the engine states and the demand of one group to the planner.
func (r *rolePlanner) feedGroup(now fleet.Instant, group fleet.GroupName, upstreams []sched.UpstreamStatus) {
	for _, u := range upstreams {
		if u.Group != group {
			continue
		}
		r.planner.Step(now, role.EngineState{
			Group: u.Group, Upstream: u.ID, Role: u.Role, Speed: u.Speed, At: u.ReportedAt,
			Available: u.Available && !u.Leaving && !u.Held,
			Load:      math.Min(u.Backlog.Seconds()+u.Batch/fullBatchSequences, 1),
		})
	}
	if d := r.demand[group]; d != nil {
		r.planner.Step(now, role.Demand{
			Group: group, PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
			ContextTokens: d.ContextTokens,
		})
	}
}

// leastTokenGap returns the lowest token gap target of a group's kinds, or 0 if
// none has one.
func leastTokenGap(index *declare.Index, group fleet.GroupName) time.Duration {
	least := time.Duration(0)
	for i := range index.Declaration.Kinds {
		k := &index.Declaration.Kinds[i]
		if k.Group == group && k.TokenGapTarget > 0 && (least == 0 || k.TokenGapTarget < least) {
			least = k.TokenGapTarget
		}
	}
	return least
}

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

// planPeriod is how often the role planner is fed.
const planPeriod = time.Second

// fullBatch relates a decode batch to a full engine.
const fullBatch = 256

// roles runs the role planner of an instance. Every instance feeds its planner,
// so that a new order holder knows the recent mix; only the holder of the
// engine's data centre acts on a change.
type roles struct {
	mu      sync.Mutex
	planner *role.Planner
	demand  map[fleet.GroupName]*sched.GroupDemand
}

func newRoles() *roles {
	return &roles{planner: role.New(role.Config{}), demand: map[fleet.GroupName]*sched.GroupDemand{}}
}

// arrived adds work that arrived here or at a peer.
func (r *roles) arrived(demand []sched.GroupDemand) {
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

// takeShared hands the scheduler's recent work to the peers and to the planner.
func (d *Daemon) takeShared() sched.PeerUpdate {
	shared := d.dispatcher.TakePeerUpdate()
	d.roles.arrived(shared.Demand)
	return shared
}

// planRoles feeds the planner until ctx ends.
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

func (d *Daemon) planOnce(index *declare.Index) {
	now := d.dispatcher.Now()
	for _, c := range d.roles.step(now, index, d.dispatcher.Status().Upstreams) {
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

// step gives the planner what is known now and returns its changes.
func (r *roles) step(now fleet.Instant, index *declare.Index, upstreams []sched.UpstreamStatus) []role.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range index.Declaration.Groups {
		g := &index.Declaration.Groups[i]
		if g.Type != declare.GroupEngine || g.FixedRoles {
			continue
		}
		r.planner.Step(now, role.Group{Name: g.Name, ChangeWeight: g.RoleChangeWeight, TokenGapTarget: gapOf(index, g.Name)})
		r.feed(now, g.Name, upstreams)
	}
	clear(r.demand)
	return r.planner.Ready()
}

func (r *roles) feed(now fleet.Instant, group fleet.GroupName, upstreams []sched.UpstreamStatus) {
	for _, u := range upstreams {
		if u.Group != group {
			continue
		}
		r.planner.Step(now, role.EngineState{
			Group: u.Group, Upstream: u.ID, Role: u.Role, Speed: u.Speed, At: u.ReportedAt,
			Available: u.Available && !u.Leaving && !u.Held,
			Load:      math.Min(u.Backlog.Seconds()+u.Batch/fullBatch, 1),
		})
	}
	if d := r.demand[group]; d != nil {
		r.planner.Step(now, role.Demand{
			Group: group, PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
			ContextTokens: d.ContextTokens,
		})
	}
}

// gapOf returns the least token gap target of a group's kinds, or zero.
func gapOf(index *declare.Index, group fleet.GroupName) time.Duration {
	least := time.Duration(0)
	for i := range index.Declaration.Kinds {
		k := &index.Declaration.Kinds[i]
		if k.Group == group && k.TokenGapTarget > 0 && (least == 0 || k.TokenGapTarget < least) {
			least = k.TokenGapTarget
		}
	}
	return least
}

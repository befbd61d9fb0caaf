package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/gateway"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/usage"
)

const (
	// competeStep is the delay per rank of an instance before it competes for a
	// free lease, so that the instances don't all try at once.
	competeStep = 400 * time.Millisecond
	// lastExchange is the time that a stopping instance leaves for its last counts
	// to be sent: more than two intervals of the exchange of counts.
	lastExchange = 500 * time.Millisecond
)

// Cloud is the platform's API for duties.
type Cloud interface {
	usage.Cloud
	OrderServers(ctx context.Context, by duty.Call, order duty.ServerOrder) error
}

// turn is an instance's turn to compete for a lease. Its fields are guarded by
// Node.mu.
type turn struct {
	// key is the key of the lease's holder.
	key string
	// freeSince is when the lease was first seen without a holder; zero while it
	// has one.
	freeSince time.Time
}

// mayCompete reports whether this instance may compete for a lease: the lease has
// no holder, and the instances ranked before this one have had competeStep each.
// rank is called with mu held; it returns false if this instance must not compete.
func (n *Node) mayCompete(t *turn, rank func() (int, bool)) bool {
	held := n.directory.KeyExists(t.key)
	n.mu.Lock()
	defer n.mu.Unlock()
	if held || !n.Ready() {
		t.freeSince = time.Time{}
		return false
	}
	if t.freeSince.IsZero() {
		t.freeSince = time.Now()
	}
	before, ok := rank()
	return ok && time.Since(t.freeSince) >= time.Duration(before)*competeStep
}

// mayCompeteForOrders reports whether this instance may compete for the lease for
// orders to engines. The instances are ranked by id.
func (n *Node) mayCompeteForOrders() bool {
	return n.mayCompete(&n.ordersTurn, func() (rank int, ok bool) {
		for _, i := range n.instances {
			if i.ID < n.settings.Instance {
				rank++
			}
		}
		return rank, true
	})
}

// mayCompeteForDuty returns a function that reports whether this instance may
// compete for the lease of a duty. The candidates are ranked by a hash of the duty
// and the instance, so that the duties are spread over them.
func (n *Node) mayCompeteForDuty(name string) func() bool {
	t := &turn{key: duty.Keys(name).Holder}
	return func() bool {
		candidates := n.candidates()
		return n.mayCompete(t, func() (int, bool) {
			rank := slices.Index(rankFor(name, candidates), n.settings.Instance)
			return rank, rank >= 0
		})
	}
}

// mayHoldDuty reports whether this instance may keep a duty: an instance that is no
// longer a hub does not get the others' counts and views.
func (n *Node) mayHoldDuty() bool { return slices.Contains(n.candidates(), n.settings.Instance) }

// rankFor returns the candidates for a duty in the order in which they compete.
func rankFor(name string, candidates []fleet.InstanceID) []fleet.InstanceID {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(membership.Hash(name, string(a)), membership.Hash(name, string(b))), cmp.Compare(a, b))
	})
	return out
}

// candidates returns the instances that may perform duties: the hubs, or all
// listed instances in a mesh.
func (n *Node) candidates() []fleet.InstanceID {
	if hubs, ok := n.exchange.Hubs(); ok {
		return hubs
	}
	return n.listed()
}

// listed returns the listed instances.
func (n *Node) listed() []fleet.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]fleet.InstanceID, 0, len(n.instances))
	for _, i := range n.instances {
		out = append(out, i.ID)
	}
	return out
}

// leaseTTL returns the duration of the leases for orders and duties.
func (n *Node) leaseTTL() time.Duration { return max(n.settings.OrderLease, n.settings.MinLease) }

// dutyHolder returns the holder of a duty's lease.
func (n *Node) dutyHolder(name string) *duty.Holder {
	return duty.NewHolder(duty.Options{
		Duty: name, Instance: n.settings.Instance, Process: n.process, Store: n.store, TTL: n.leaseTTL(),
		MayCompete: n.mayCompeteForDuty(name), MayHold: n.mayHoldDuty, Log: n.log,
	})
}

// setUpUsage creates what counts and reports the members' requests, if the
// settings list the duty. epoch tells the processes of the instance apart.
func (n *Node) setUpUsage(epoch uint64) {
	s := n.settings
	if !s.Cloud.Performs(settings.DutyUsageReporting) {
		return
	}
	n.usageHolder = n.dutyHolder(settings.DutyUsageReporting)
	n.usage = usage.New(usage.Options{
		Instance: s.Instance, Epoch: epoch, Window: s.ReportWindow, Late: s.UsageDelay, Store: n.store,
		Cloud: n.platform.NewCloud(s.Cloud.Address, s.Cloud.CallsPerSecond), Holder: n.usageHolder,
		Listed: n.listed, Candidates: n.candidates, Observer: n.metrics, Log: n.log,
	})
	n.exchange.SetUsage(n.usage)
}

// usageCounter returns the counter of the members' requests, or nil.
func (n *Node) usageCounter() gateway.Counter {
	if n.usage == nil {
		return nil
	}
	return n.usage
}

// addUsageGauges adds the gauges of the usage reports, if the settings list the
// duty.
func (n *Node) addUsageGauges(gauges map[string]func() float64) {
	if !n.settings.Cloud.Performs(settings.DutyUsageReporting) {
		return
	}
	for name, value := range map[string]func(usage.Stats) float64{
		"bramleywick_usage_late_requests":    func(s usage.Stats) float64 { return float64(s.Late) },
		"bramleywick_usage_dropped_counts":   func(s usage.Stats) float64 { return float64(s.Dropped) },
		"bramleywick_usage_counts":           func(s usage.Stats) float64 { return float64(s.Cells) },
		"bramleywick_usage_reported_through": func(s usage.Stats) float64 { return float64(s.ReportedThrough) },
		"bramleywick_clock_ahead_seconds":    func(s usage.Stats) float64 { return s.ClockAhead.Seconds() },
	} {
		gauges[name] = func() float64 { return value(n.usage.Stats()) }
	}
}

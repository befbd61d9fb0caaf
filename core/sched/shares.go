package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/route"
)

const (
	// shareWindowSeconds is the time constant over which service and refusals
	// of members are compared. The share error is specified over a minute.
	shareWindowSeconds = 10
	// backlogFraction is the refused part of a member's demand from which the
	// member counts as backlogged.
	backlogFraction = 0.1
	// underservedFraction is the part of its share below which a backlogged
	// member causes requests of members over their share to be refused.
	underservedFraction = 0.9
	// overShareMargin is the factor over the mean service of the backlogged
	// members that a member's service may reach.
	overShareMargin = 1.1
	// minServicePerShare is the service per unit of share, in engine-seconds,
	// below which a member is left out of the comparison.
	minServicePerShare = 1e-6
)

// recentService holds a member's recent service in one group, as decaying sums
// of engine-seconds.
type recentService struct {
	// servedCost is the service by the whole fleet; refusedCost is the cost of
	// the requests that this instance refused.
	servedCost, refusedCost float64
}

// shareLimiter compares members' recent service with their shares. If a member
// is refused work although it had less than its share, it limits the service of
// the other members.
type shareLimiter struct {
	members []recentService
	// maxServicePerShare is the service per unit of share above which requests
	// are refused while others wait; zero means no limit.
	maxServicePerShare float64
}

// member returns the record of a member, adding it if it is new.
func (l *shareLimiter) member(m int32) *recentService {
	for int(m) >= len(l.members) {
		l.members = append(l.members, recentService{})
	}
	return &l.members[m]
}

// exceeds reports whether a member's service is above the limit.
func (l *shareLimiter) exceeds(m int32, share float64) bool {
	return l.maxServicePerShare > 0 && l.member(m).servedCost > l.maxServicePerShare*share
}

// refresh decays the sums by elapsed seconds and recomputes the limit.
// instances is the number of instances that refuse work of the same members.
func (l *shareLimiter) refresh(elapsed float64, members []memberState, instances float64) {
	decay := math.Exp(-elapsed / shareWindowSeconds)
	total, shares := 0.0, 0.0
	for m := range l.members {
		x := &l.members[m]
		x.servedCost = math.Max(x.servedCost*decay, 0)
		x.refusedCost *= decay
		if x.servedCost+x.refusedCost > minServicePerShare*members[m].share {
			total += x.servedCost
			shares += members[m].share
		}
	}
	l.maxServicePerShare = 0
	if shares == 0 {
		return
	}
	meanPerShare := total / shares
	var served, backloggedShares float64
	underserved := false
	for m := range l.members {
		x, share := &l.members[m], members[m].share
		refused := x.refusedCost * instances
		demand := x.servedCost + refused
		if demand < meanPerShare*share || refused < backlogFraction*demand {
			continue
		}
		served += x.servedCost
		backloggedShares += share
		underserved = underserved || x.servedCost < underservedFraction*meanPerShare*share
	}
	if underserved {
		l.maxServicePerShare = overShareMargin * math.Max(served/backloggedShares, meanPerShare)
	}
}

// recordRefusedCost adds the cost of a request that was refused because of the
// load.
func (s *Scheduler) recordRefusedCost(t *trackedRequest) {
	s.groupStates[t.group].shareLimiter.member(t.member).refusedCost += s.cost(t.group, t.predictedPrompt, t.predictedOutput)
}

// exceedsShare reports whether the member of a request had more than its share
// while backlogged members had less, and engines have no room to spare.
func (s *Scheduler) exceedsShare(t *trackedRequest) bool {
	g := &s.groupStates[t.group]
	if s.config.Ablation.NoFair || s.config.Ablation.NoAdmission || !g.shareLimiter.exceeds(t.member, s.memberStates[t.member].share) {
		return false
	}
	s.query = route.Query{Group: t.group, Prompt: t.predictedPrompt * (1 - g.cachedShare), Output: t.predictedOutput, TokenGapTarget: s.kindStates[t.kind].tokenGapTarget}
	return s.router.Saturated(s.now, &s.query)
}

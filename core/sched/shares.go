package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/route"
)

const (
	// shareWindow is the time constant, in seconds, over which service and
	// refusals of members are compared. The share error is stated over a minute.
	shareWindow = 10
	// backlogPart is the refused part of a member's demand from which it counts
	// as backlogged.
	backlogPart = 0.1
	// victimPart is the part of its share below which a backlogged member makes
	// the others give way.
	victimPart = 0.9
	// capMargin is how far above the mean of the backlogged members a member's
	// service may be.
	capMargin = 1.1
	// minShareService is the seconds of engine time per share and second below
	// which nothing is compared.
	minShareService = 1e-6
)

// shareState is what one group knows of one member's recent service, in
// decaying sums of engine seconds.
type shareState struct {
	// served is the service of the whole fleet, refused the cost that this
	// instance refused.
	served, refused float64
}

// shareLedger compares members' recent service with their shares. It finds
// members that are refused work although they had less than their share, and
// the service from which the others have to give way to them.
type shareLedger struct {
	members []shareState
	// cap is the service per unit of share from which requests are refused
	// while others wait; zero means none.
	cap float64
}

func (l *shareLedger) of(m int32) *shareState {
	for int(m) >= len(l.members) {
		l.members = append(l.members, shareState{})
	}
	return &l.members[m]
}

func (l *shareLedger) over(m int32, share float64) bool {
	return l.cap > 0 && l.of(m).served > l.cap*share
}

// refresh decays the sums and finds the cap. instances is the number of
// instances that refuse work of the same members.
func (l *shareLedger) refresh(elapsed float64, members []memberState, instances float64) {
	keep := math.Exp(-elapsed / shareWindow)
	total, shares := 0.0, 0.0
	for m := range l.members {
		x := &l.members[m]
		x.served = math.Max(x.served*keep, 0)
		x.refused *= keep
		if x.served+x.refused > minShareService*members[m].share {
			total += x.served
			shares += members[m].share
		}
	}
	l.cap = 0
	if shares == 0 {
		return
	}
	guaranteed := total / shares
	var served, backlogged float64
	victim := false
	for m := range l.members {
		x, share := &l.members[m], members[m].share
		refused := x.refused * instances
		demand := x.served + refused
		if demand < guaranteed*share || refused < backlogPart*demand {
			continue
		}
		served += x.served
		backlogged += share
		victim = victim || x.served < victimPart*guaranteed*share
	}
	if victim {
		l.cap = capMargin * math.Max(served/backlogged, guaranteed)
	}
}

// refusedCost notes that a member's request was refused for the load.
func (s *Scheduler) refusedCost(t *tracked) {
	s.groupStates[t.group].shares.of(t.member).refused += s.cost(t.group, t.prompt, t.output)
}

// overShare tells that the member had more than the backlogged ones.
func (s *Scheduler) overShare(t *tracked) bool {
	g := &s.groupStates[t.group]
	if s.config.Ablate.NoFair || s.config.Ablate.NoAdmission || !g.shares.over(t.member, s.memberStates[t.member].share) {
		return false
	}
	s.query = route.Query{Group: t.group, Prompt: t.prompt * (1 - g.cachedShare), Output: t.output, TokenGapTarget: s.kindStates[t.kind].gap}
	return s.router.Saturated(s.now, &s.query)
}

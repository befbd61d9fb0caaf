package gateway

import (
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/routes"
)

const (
	// outputCost is the cost of an output token in prompt tokens that are read.
	outputCost = 10
	// maxCost bounds the cost of a request, since callers declare the numbers of
	// tokens.
	maxCost = 1e7
)

// requestCost returns the cost of a request in prompt tokens that are read, of which
// uncached are expected.
func requestCost(r *call.Request, uncached float64) float64 {
	return min(uncached+outputCost*float64(max(r.OutputTokens, 1)), maxCost)
}

// countShare counts the decision about a member's request that its share admits.
func (s *State) countShare(group fleet.GroupName, member fleet.MemberID, cost float64, d overload.Decision, now fleet.Instant) {
	switch {
	case member == "":
	case d.Admit:
		s.shares.Accepted(group, cost, now)
	case d.NoRoom:
		s.shares.Refused(group, cost, now)
	}
}

// keepShares forgets the rates of services that a configuration does not have, and all
// rates if it has no members.
func (s *State) keepShares(t *routes.Table) {
	s.shares.Keep(func(group fleet.GroupName) bool { return t.Members() != nil && t.Service(group) != nil })
}

// Shares implements loadshare.View.
func (s *State) Shares(include func(fleet.InstanceID) bool) fairshare.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.ReportFor(include, s.now())
}

// SharesEnforced reports whether shares of members are enforced at any service.
func (s *State) SharesEnforced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.Active()
}

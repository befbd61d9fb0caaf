package sched

import "github.com/bramleywick/bramleywick/core/fleet"

// Shared is what the instance's peers must learn about its recent work.
type Shared struct {
	// Service is the cost served per member and group since the last call.
	Service []PeerService
	// Dispatches is the work sent to engines since the last call.
	Dispatches []PeerDispatch
}

// Status is a snapshot of the scheduler for operators.
type Status struct {
	Members   []MemberStatus
	Upstreams []UpstreamStatus
	Draining  bool
}

// MemberStatus describes one member at this instance.
type MemberStatus struct {
	ID              fleet.MemberID
	Share           float64
	Queued, Running int
	// ServedCost is the cost served at this instance since it started.
	ServedCost float64
}

// UpstreamStatus describes one upstream as this instance sees it.
type UpstreamStatus struct {
	ID          fleet.UpstreamID
	Group       fleet.GroupName
	DataCentre  fleet.DataCentre
	Role        fleet.Role
	Incarnation fleet.Incarnation
	Available   bool
	Leaving     bool
	// InFlight is this instance's own running work.
	InFlight int
	// ReportedAt is the time of the last load report.
	ReportedAt fleet.Instant
}

// TakeShared returns and clears what peers must learn.
func (s *Scheduler) TakeShared() Shared { return Shared{} }

// Status returns a snapshot.
func (s *Scheduler) Status() Status {
	out := Status{Draining: s.draining}
	for _, u := range s.upstreams {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: u.ID, Group: u.Group, DataCentre: u.DataCentre, Role: u.Role,
			Available: u.available, InFlight: u.inFlight,
		})
	}
	return out
}

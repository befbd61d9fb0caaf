package placement

import "github.com/bramleywick/bramleywick/core/fleet"

// usable returns the servers of a group that may get a new request, except
// those in skip and those for which match returns false. Ejected servers are
// returned only when no other is left. Servers whose limit is used up are left out.
func (f *Fleet) usable(group fleet.GroupName, now fleet.Instant, skip []fleet.UpstreamID, match func(*server) bool) []*server {
	for _, c := range f.ejector.TakeChanges(now) {
		if s := f.servers[c.Upstream]; s != nil {
			s.available = c.Available
		}
	}
	f.limited, f.unavailable = 0, Unavailable{}
	var available, fallback []*server
	for _, s := range f.groups[group] {
		if !f.takesRequests(s, now) {
			continue
		}
		fits := f.versionFits(s)
		if !fits {
			f.unavailable.OtherVersions++
		}
		switch {
		case !fits && !isPrefill(s):
			f.trace.pass(s, PassedVersion, now)
		case contains(skip, s.ID):
			f.trace.pass(s, PassedSkipped, now)
		case !match(s):
			f.trace.pass(s, PassedStage, now)
		case f.isHeld(s.ID, now):
			f.trace.pass(s, PassedHeld, now)
		case !s.available:
			fallback = append(fallback, s)
			f.trace.pass(s, PassedEjected, now)
		case f.permit != nil && !f.permit(s.Server, now):
			f.limited++
			f.trace.pass(s, PassedLimited, now)
		default:
			available = append(available, s)
			f.trace.pass(s, PassedSample, now)
		}
	}
	if len(available) == 0 && f.limited == 0 {
		return fallback
	}
	return available
}

// Processes returns the processes of a group's servers that may get a new
// request, whatever their limits: those that prefill and those that decode or
// run whole requests.
func (f *Fleet) Processes(group fleet.GroupName, now fleet.Instant) (prefill, others []fleet.Process) {
	for _, s := range f.groups[group] {
		switch {
		case s.Leaving || now < s.pausedUntil || !s.available || f.isHeld(s.ID, now):
		case isPrefill(s):
			prefill = append(prefill, s.Process())
		default:
			others = append(others, s.Process())
		}
	}
	return prefill, others
}

func contains(list []fleet.UpstreamID, id fleet.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// clockStep is the precision of the clocks in reports.
	clockStep = 10 * time.Millisecond
	// maxClockGroups bounds the groups of clocks in a report.
	maxClockGroups = 64
	// voteAge is how long a clock counts after it was last heard.
	voteAge = 5 * time.Second
	// filterTime is the time over which the highest reading of a clock counts: a
	// reading that was delayed on its way shows a clock too low.
	filterTime = time.Second
	// settleTime is how long a process waits for the clocks of half of the listed
	// instances before it goes by those that it knows.
	settleTime = 3 * time.Second
	// minSettleTime is how long it waits in any case: until others are listed.
	minSettleTime = time.Second
	// tolerance is the difference to the median that is not followed, and
	// persistTime how long a larger one must last. Delays of the exchange would
	// move the windows otherwise.
	tolerance   = 30 * time.Millisecond
	persistTime = 2 * time.Second
	// agreement is the difference to the median within which more than half of
	// the clocks must be for it to be followed.
	agreement = 250 * time.Millisecond
	// WrongBy is the difference to the median from which a clock counts as wrong.
	WrongBy = 500 * time.Millisecond
)

// ClockGroup is a number of instances whose clocks agree.
type ClockGroup struct {
	// Offset is how far they are ahead of the clock of the instance that reports
	// them.
	Offset time.Duration
	Count  int
}

// vote is what is known of the clocks that an instance reports. Offsets are those
// of a clock to this instance's boottime clock.
type vote struct {
	heardAt fleet.Instant
	// highest is the highest offset since filterFrom, and before the highest in
	// the time before.
	highest, before time.Duration
	filterFrom      fleet.Instant
	groups          []ClockGroup
}

// Clock converts a clock that includes frozen time to the time since the start of
// 1970. It goes by the median of the instances' clocks. The own clock counts as of
// the start of the process: a later step of the wall clock changes nothing.
type Clock struct {
	started fleet.Instant
	// own is the offset of the own clock and offset the one in force, once
	// settled.
	own, offset time.Duration
	settled     bool
	heard       map[fleet.InstanceID]*vote
	// differsSince is since when the median differs from the offset; 0 while it
	// does not.
	differsSince fleet.Instant
}

// NewClock returns the clock of a process that started at a time on its boottime
// clock at which its wall clock showed a time since the start of 1970.
func NewClock(started, wall fleet.Instant) *Clock {
	return &Clock{started: started, own: wall - started, heard: map[fleet.InstanceID]*vote{}}
}

// Own returns the own clock, which an instance reports to others.
func (c *Clock) Own(now fleet.Instant) fleet.Instant { return now + c.own }

// Time returns the time since the start of 1970; false before it is known.
func (c *Clock) Time(now fleet.Instant) (fleet.Instant, bool) { return now + c.offset, c.settled }

// Deviation returns how far a wall clock is ahead of the time; 0 before the time
// is known.
func (c *Clock) Deviation(now, wall fleet.Instant) time.Duration {
	if !c.settled {
		return 0
	}
	return wall - now - c.offset
}

// Heard records a report of an instance's own clock and of the clocks that it
// reports for.
func (c *Clock) Heard(from fleet.InstanceID, now, clock fleet.Instant, groups []ClockGroup) {
	v := c.heard[from]
	if v == nil || now-v.heardAt > voteAge {
		v = &vote{highest: clock - now, before: clock - now, filterFrom: now}
		c.heard[from] = v
	}
	if now-v.filterFrom > filterTime {
		v.before, v.highest, v.filterFrom = v.highest, clock-now, now
	}
	v.heardAt, v.highest, v.groups = now, max(v.highest, clock-now), groups
}

// Groups returns the clocks that this instance reports: its own and those of the
// instances for which include returns true.
func (c *Clock) Groups(now fleet.Instant, include func(fleet.InstanceID) bool) []ClockGroup {
	counts := map[time.Duration]int{0: 1}
	for id, v := range c.heard {
		if now-v.heardAt > voteAge || !include(id) {
			continue
		}
		base := max(v.highest, v.before) - c.own
		for _, g := range v.groups {
			counts[(base + g.Offset).Round(clockStep)] += g.Count
		}
	}
	out := make([]ClockGroup, 0, len(counts))
	for offset, n := range counts {
		out = append(out, ClockGroup{offset, n})
	}
	slices.SortFunc(out, func(a, b ClockGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Offset, b.Offset))
	})
	return out[:min(len(out), maxClockGroups)]
}

// Update follows the median of the clocks. listed is the number of listed
// instances, 0 when unknown. It reports whether the offset has changed.
func (c *Clock) Update(now fleet.Instant, listed int) bool {
	type offset struct {
		at    time.Duration
		count int
	}
	all := []offset{{c.own, 1}}
	total := 1
	for id, v := range c.heard {
		if now-v.heardAt > voteAge {
			delete(c.heard, id)
			continue
		}
		for _, g := range v.groups {
			all = append(all, offset{max(v.highest, v.before) + g.Offset, g.Count})
			total += g.Count
		}
	}
	slices.SortFunc(all, func(a, b offset) int { return cmp.Compare(a.at, b.at) })
	// Of two in the middle the lower one is taken, so that two instances agree.
	median, seen := time.Duration(0), 0
	for _, o := range all {
		if seen += o.count; 2*seen >= total {
			median = o.at
			break
		}
	}
	near := 0
	for _, o := range all {
		if (o.at - median).Abs() <= agreement {
			near += o.count
		}
	}
	switch {
	case !c.settled:
		age := now - c.started
		if age < minSettleTime || (age < settleTime && (listed == 0 || 2*total <= listed)) {
			return false
		}
		c.offset, c.settled = median, true
		return true
	case (median-c.offset).Abs() <= tolerance || 2*near <= total:
		c.differsSince = 0
		return false
	case c.differsSince == 0:
		c.differsSince = now
		return false
	case now-c.differsSince < persistTime:
		return false
	}
	c.offset, c.differsSince = median, 0
	return true
}

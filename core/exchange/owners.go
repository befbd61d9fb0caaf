package exchange

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

func (e *Exchange) choosePartners(now fleet.Instant, dc fleet.DataCentre) {
	for rank, s := range e.partners(now, dc) {
		switch {
		case s.period > 0:
		case rank == 1:
			s.second = e.regional(s)
		case e.regional(s):
			s.period = PushPeriod
		default:
			s.period = RemotePushPeriod
		}
	}
}

// partners returns the partner in another data centre and the stand-by one.
// The instances of both data centres are paired by rank: with independent
// random choices one of 35 instances was the partner of five others, and passed
// their reports on to all its peers.
func (e *Exchange) partners(now fleet.Instant, dc fleet.DataCentre) []*session {
	rank, own := 0, 1
	var there []*session
	for _, s := range e.order {
		switch {
		case e.local(s):
			own++
			if s.ID < e.config.Self.ID {
				rank++
			}
		case s.DataCentre == dc:
			there = append(there, s)
		}
	}
	if len(there) == 0 {
		return nil
	}
	slices.SortFunc(there, func(a, b *session) int { return cmp.Compare(a.ID, b.ID) })
	// The offset keeps one instance from being the first of every pairing.
	offset := membership.Hash(string(e.config.Self.DataCentre), string(dc)) % uint64(len(there))
	first := (rank*len(there)/own + int(offset)) % len(there)
	there = slices.Concat(there[first:], there[:first])
	good := slices.DeleteFunc(slices.Clone(there), func(s *session) bool { return !usable(now, s) })
	if len(good) == 0 {
		good = there
	}
	return good[:min(2, len(good))]
}

// usable tells whether a peer answered last time, or failed long enough ago to
// be tried again.
func usable(now fleet.Instant, s *session) bool {
	return s.failures < badAfter || now-s.failedAt > retryBad
}

// candidates are the instances of a data centre that answered last time, or
// all when none did.
func (e *Exchange) candidates(now fleet.Instant, dc fleet.DataCentre) []fleet.InstanceID {
	var good, all []fleet.InstanceID
	for _, s := range e.order {
		if s.DataCentre != dc {
			continue
		}
		all = append(all, s.ID)
		if usable(now, s) {
			good = append(good, s.ID)
		}
	}
	if len(good) == 0 {
		return all
	}
	return good
}

// chooseOwners decides who totals which members for other data centres. The
// instance that did the work names the owner, so that views that differ
// neither count twice nor leave out.
func (e *Exchange) chooseOwners() {
	var members []fleet.InstanceID
	if !e.leaving && !e.holder {
		members = append(members, e.config.Self.ID)
	}
	for _, s := range e.order {
		if e.local(s) && s.Live && !s.HoldsOrderLease && s.open && s.failures == 0 {
			members = append(members, s.ID)
		}
	}
	if len(members) == 0 {
		members = append(members, e.config.Self.ID)
	}
	e.owners.assign(members)
}

// ownership divides the slots among the instances of a data centre.
type ownership struct {
	members []fleet.InstanceID
	slots   []fleet.InstanceID
}

// slotKeys are hashed with every instance of a data centre.
var slotKeys = func() (keys []string) {
	for slot := range slots {
		keys = append(keys, "slot "+strconv.Itoa(slot))
	}
	return keys
}()

// assign divides the slots again if the instances have changed.
func (o *ownership) assign(members []fleet.InstanceID) {
	if o.slots == nil || !slices.Equal(o.members, members) {
		o.members, o.slots = members, membership.BalancedOwners(slotKeys, members)
	}
}

// of returns the owner of a member, or "" before the first assignment.
func (o *ownership) of(member fleet.MemberID) fleet.InstanceID {
	if o.slots == nil {
		return ""
	}
	return o.slots[slotOf(member)]
}

func slotOf(member fleet.MemberID) int { return int(membership.Hash(string(member)) % slots) }

// aggregate adds to the totals for every other data centre.
func (e *Exchange) aggregate(key itemKey, cost float64) {
	key.class = classTotal
	for _, totals := range e.outbound {
		e.add(totals, key, cost)
	}
}

// reclaim takes back the totals that a failing peer was not sent yet.
func (e *Exchange) reclaim(s *session) {
	totals := e.outbound[s.DataCentre]
	if totals == nil {
		return
	}
	for key, cost := range s.pending {
		if key.class == classTotal {
			e.add(totals, key, cost)
			delete(s.pending, key)
		}
	}
}

func (e *Exchange) add(to map[itemKey]float64, key itemKey, cost float64) {
	if _, known := to[key]; !known && len(to) >= maxPending {
		e.dropped++
		return
	}
	to[key] += cost
}

// assignTotals moves the totals for other data centres to the sessions with
// the owners there. What has no open session yet waits for the next round.
func (e *Exchange) assignTotals(now fleet.Instant) {
	for _, dc := range slices.Sorted(maps.Keys(e.outbound)) {
		totals := e.outbound[dc]
		if len(totals) == 0 {
			continue
		}
		if e.far[dc] == nil {
			e.far[dc] = &ownership{}
		}
		e.far[dc].assign(e.candidates(now, dc))
		for key, cost := range totals {
			s := e.sessions[e.far[dc].of(key.member)]
			if s == nil {
				continue
			}
			if !s.open {
				s.hello = true
				continue
			}
			// A peer that does not answer keeps what it was sent; the rest
			// goes to the next owner.
			if s.failures == 0 {
				e.add(s.pending, key, cost)
				delete(totals, key)
			}
		}
	}
}

// passTotals hands the totals from other data centres to the peers of this
// one. Their owners send at different instants; passed on one by one, the same
// members would go to every peer up to ten times in a round.
func (e *Exchange) passTotals() {
	for _, s := range e.order {
		if !s.open || !e.local(s) {
			continue
		}
		for key, cost := range e.inbound {
			e.add(s.pending, key, cost)
		}
	}
	clear(e.inbound)
}

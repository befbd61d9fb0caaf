package exchange

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

// choosePartners sets the push period of the partner in another data centre and
// marks the standby partner.
func (e *Exchange) choosePartners(now fleet.Instant, dc fleet.DataCentre) {
	for rank, s := range e.partners(now, dc) {
		switch {
		case s.period > 0:
		case rank == 1:
			s.standby = e.sameRegion(s)
		case e.sameRegion(s):
			s.period = PushPeriod
		default:
			s.period = RemotePushPeriod
		}
	}
}

// partners returns the partner in another data centre followed by the standby
// partner. The instances of both data centres are paired by rank: with
// independent random choices one of 35 instances was the partner of five others
// and relayed their reports to all of its peers.
func (e *Exchange) partners(now fleet.Instant, dc fleet.DataCentre) []*session {
	rank, local := 0, 1
	var remote []*session
	for _, s := range e.sortedSessions {
		switch {
		case e.sameDataCentre(s):
			local++
			if s.ID < e.config.Self.ID {
				rank++
			}
		case s.DataCentre == dc:
			remote = append(remote, s)
		}
	}
	if len(remote) == 0 {
		return nil
	}
	slices.SortFunc(remote, func(a, b *session) int { return cmp.Compare(a.ID, b.ID) })
	// The offset keeps one instance from being the first of every pairing.
	offset := membership.Hash(string(e.config.Self.DataCentre), string(dc)) % uint64(len(remote))
	first := (rank*len(remote)/local + int(offset)) % len(remote)
	remote = slices.Concat(remote[first:], remote[:first])
	candidates := slices.DeleteFunc(slices.Clone(remote), func(s *session) bool { return !usable(now, s) })
	if len(candidates) == 0 {
		candidates = remote
	}
	return candidates[:min(2, len(candidates))]
}

// usable reports whether a peer has fewer than maxPartnerFailures consecutive
// failures, or last failed more than partnerRetryAfter ago.
func usable(now fleet.Instant, s *session) bool {
	return s.failures < maxPartnerFailures || now-s.failedAt > partnerRetryAfter
}

// candidates returns the usable instances of a data centre, or all of them if
// none is usable.
func (e *Exchange) candidates(now fleet.Instant, dc fleet.DataCentre) []fleet.InstanceID {
	var healthy, all []fleet.InstanceID
	for _, s := range e.sortedSessions {
		if s.DataCentre != dc {
			continue
		}
		all = append(all, s.ID)
		if usable(now, s) {
			healthy = append(healthy, s.ID)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	return healthy
}

// chooseOwners decides which instances total the service of which members for
// other data centres. The instance that did the work names the owner in the
// item's class (classAggregate), so that service is neither counted twice nor
// left out while the instances' views differ.
func (e *Exchange) chooseOwners() {
	var instances []fleet.InstanceID
	if !e.leaving && !e.holdsOrderLease {
		instances = append(instances, e.config.Self.ID)
	}
	for _, s := range e.sortedSessions {
		if e.sameDataCentre(s) && s.Live && !s.HoldsOrderLease && s.open && s.failures == 0 {
			instances = append(instances, s.ID)
		}
	}
	if len(instances) == 0 {
		instances = append(instances, e.config.Self.ID)
	}
	e.owners.assign(instances)
}

// ownership assigns the slots to the instances of a data centre.
type ownership struct {
	instances []fleet.InstanceID
	slots     []fleet.InstanceID
}

// slotKeys are the keys of the slots for rendezvous hashing.
var slotKeys = func() (keys []string) {
	for slot := range slotCount {
		keys = append(keys, "slot "+strconv.Itoa(slot))
	}
	return keys
}()

// assign reassigns the slots if the instances have changed.
func (o *ownership) assign(instances []fleet.InstanceID) {
	if o.slots == nil || !slices.Equal(o.instances, instances) {
		o.instances, o.slots = instances, membership.BalancedOwners(slotKeys, instances)
	}
}

// ownerOf returns the owner of a member's slot, or "" before the first
// assignment.
func (o *ownership) ownerOf(member fleet.MemberID) fleet.InstanceID {
	if o.slots == nil {
		return ""
	}
	return o.slots[slotOf(member)]
}

// slotOf returns the slot of a member.
func slotOf(member fleet.MemberID) int { return int(membership.Hash(string(member)) % slotCount) }

// addToOutboundTotals adds a cost to the totals for every other data centre.
func (e *Exchange) addToOutboundTotals(key serviceKey, cost float64) {
	key.class = classTotal
	for _, totals := range e.outboundTotals {
		e.addCost(totals, key, cost)
	}
}

// reclaimTotals moves the totals that were not yet sent to a failing peer back
// to the outbound totals.
func (e *Exchange) reclaimTotals(s *session) {
	totals := e.outboundTotals[s.DataCentre]
	if totals == nil {
		return
	}
	for key, cost := range s.pendingService {
		if key.class == classTotal {
			e.addCost(totals, key, cost)
			delete(s.pendingService, key)
		}
	}
}

// addCost adds a cost to a bounded map and counts the items that do not fit.
func (e *Exchange) addCost(to map[serviceKey]float64, key serviceKey, cost float64) {
	if _, known := to[key]; !known && len(to) >= maxPendingItems {
		e.droppedItems++
		return
	}
	to[key] += cost
}

// assignTotals moves the outbound totals to the sessions with their owners in
// the other data centres. Totals whose owner has no open session wait for the
// next round.
func (e *Exchange) assignTotals(now fleet.Instant) {
	for _, dc := range slices.Sorted(maps.Keys(e.outboundTotals)) {
		totals := e.outboundTotals[dc]
		if len(totals) == 0 {
			continue
		}
		if e.remoteOwners[dc] == nil {
			e.remoteOwners[dc] = &ownership{}
		}
		e.remoteOwners[dc].assign(e.candidates(now, dc))
		for key, cost := range totals {
			s := e.sessions[e.remoteOwners[dc].ownerOf(key.member)]
			if s == nil {
				continue
			}
			if !s.open {
				s.openWanted = true
				continue
			}
			// What was already sent to a failing peer stays with it; the rest
			// goes to the next owner.
			if s.failures == 0 {
				e.addCost(s.pendingService, key, cost)
				delete(totals, key)
			}
		}
	}
}

// forwardInboundTotals queues the totals from other data centres for the peers
// of this one. Their owners send at different times; forwarded one by one, the
// same members would go to every peer up to ten times in a round.
func (e *Exchange) forwardInboundTotals() {
	for _, s := range e.sortedSessions {
		if !s.open || !e.sameDataCentre(s) {
			continue
		}
		for key, cost := range e.inboundTotals {
			e.addCost(s.pendingService, key, cost)
		}
	}
	clear(e.inboundTotals)
}

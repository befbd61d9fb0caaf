// Package fairshare decides which requests are admitted while there is too little
// capacity, so that members with work to do get equal shares in cost. As in core-
// stateless fair queueing (Stoica, Shenker, Zhang 1998) a member whose rate exceeds a
// threshold is admitted with the probability threshold/rate, and all others in full.
// Rates are summed over all instances; the threshold divides what was accepted lately,
// and a little more, among the members.
//
// It performs no input or output. Not safe for concurrent use.
package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

const (
	// averaging is the time constant of all rates.
	averaging = 3 * time.Second
	// updateInterval is the time between two computations of the threshold.
	updateInterval = 200 * time.Millisecond
	// minRefused is the share of the cost that is refused for want of room from
	// which on shares are enforced.
	minRefused = 0.01
	// The threshold divides more than was accepted, by least to most, so that free
	// capacity is found: most while nothing is refused, and least from targetRefused
	// on. In equilibrium about 2.5% of the cost are refused for want of room.
	leastExcess, mostExcess = 0.02, 0.25
	targetRefused           = 0.03
	// The threshold divides no less than recentShare of the most that was accepted
	// lately, which is forgotten with the time constant recentMemory, and offeredShare
	// of what is offered. Otherwise shares leave most of the capacity unused for long
	// after an outage, in which nothing is accepted. A threshold that is too high does
	// less harm: the members above it are refused equally for want of room.
	recentShare, offeredShare = 0.9, 0.1
	recentMemory              = time.Minute
	// idleTime is how long after the last refusal for want of room shares are
	// enforced, if no member exceeds the threshold.
	idleTime = 3 * time.Second
	// peerTTL is how long a report counts.
	peerTTL = 3 * time.Second
)

// unlimited is the threshold while shares are not enforced.
var unlimited = math.Inf(1)

// memberKey identifies a member in reports, in place of its name of up to 256 bytes. Two
// of 1,300 members share a key in one deployment of 5,000; they then share a rate.
type memberKey uint32

func keyOf(m fleet.MemberID) memberKey { return memberKey(membership.Hash(string(m))) }

// meter is an exponentially weighted rate, and the weighted number of requests that it
// was measured by.
type meter struct {
	perSecond, requests float64
	at                  fleet.Instant
}

func (m *meter) add(cost float64, now fleet.Instant) {
	decay := m.decay(now)
	m.perSecond = m.perSecond*decay + cost/averaging.Seconds()
	m.requests = m.requests*decay + 1
	m.at = now
}

func (m *meter) decay(now fleet.Instant) float64 {
	return math.Exp(-max(now-m.at, 0).Seconds() / averaging.Seconds())
}

func (m *meter) rate(now fleet.Instant) float64 { return m.perSecond * m.decay(now) }

// rates are costs per second at some instances.
type rates struct {
	// offered holds the members' rates. Few of them were measured by minRequests
	// if sparse is set, so that their order says little.
	offered map[memberKey]float64
	sparse  bool
	// rest is the sum of the rates that reports had no room for.
	rest float64
	// accepted is what was sent to servers, and refused what was refused for want
	// of room.
	accepted, refused float64
}

func (r *rates) add(other rates) {
	for key, rate := range other.offered {
		r.offered[key] += rate
	}
	r.rest += other.rest
	r.accepted += other.accepted
	r.refused += other.refused
}

// sum returns the rate of all members.
func (r *rates) sum() float64 {
	sum := r.rest
	for _, rate := range r.offered {
		sum += rate
	}
	return sum
}

// received is what another instance has reported.
type received struct {
	rates
	at fleet.Instant
}

// service is the state of one service.
type service struct {
	offered           map[memberKey]*meter
	accepted, refused meter
	peers             map[fleet.InstanceID]received
	// others holds the members' rates at the other instances as of the last
	// computation of threshold.
	others    map[memberKey]float64
	threshold float64
	// mostAccepted is the most that was accepted lately at all instances.
	mostAccepted float64
	// updatedAt is the time of the last computation, and refusedAt that of the last
	// one with refusals.
	updatedAt, refusedAt fleet.Instant
	active               bool
}

// Controller holds the rates of all services. A request of a service is counted by
// Admit, and then by Accepted or Refused.
type Controller struct {
	services map[fleet.GroupName]*service
}

// New returns a Controller that enforces no shares.
func New() *Controller { return &Controller{services: map[fleet.GroupName]*service{}} }

func (c *Controller) service(group fleet.GroupName) *service {
	s := c.services[group]
	if s == nil {
		s = &service{offered: map[memberKey]*meter{}, peers: map[fleet.InstanceID]received{}, threshold: unlimited}
		c.services[group] = s
	}
	return s
}

// Decision is the result of Admit.
type Decision struct {
	// Admit reports whether the request is admitted as far as its member's share is
	// concerned.
	Admit bool
	// Probability is that with which it was admitted.
	Probability float64
	// Above reports whether its member is above the threshold. A request of any
	// other member should be refused for want of room later than one of these.
	Above bool
	// Enforced reports whether shares are enforced: some member is above the
	// threshold.
	Enforced bool
	// Rate and Threshold are the member's rate at all instances and the threshold,
	// in cost per second.
	Rate, Threshold float64
}

// Admit counts a request of a member and decides whether it is admitted; draw is a
// uniformly distributed number from 0 to 1. Requests without a member are admitted and
// not counted.
func (c *Controller) Admit(group fleet.GroupName, member fleet.MemberID, cost, draw float64, now fleet.Instant) Decision {
	if member == "" {
		return Decision{Admit: true, Probability: 1, Threshold: unlimited}
	}
	s, key := c.service(group), keyOf(member)
	m := s.offered[key]
	if m == nil {
		m = &meter{}
		s.offered[key] = m
	}
	m.add(cost, now)
	s.update(now)
	d := Decision{Rate: m.rate(now) + s.others[key], Threshold: s.threshold, Enforced: s.threshold < unlimited, Probability: 1}
	if d.Rate > s.threshold {
		d.Above, d.Probability = true, s.threshold/d.Rate
	}
	d.Admit = draw < d.Probability
	return d
}

// Accepted counts a member's request that is sent to a server.
func (c *Controller) Accepted(group fleet.GroupName, cost float64, now fleet.Instant) {
	c.service(group).accepted.add(cost, now)
}

// Refused counts a member's request that was admitted and then refused for want of
// room.
func (c *Controller) Refused(group fleet.GroupName, cost float64, now fleet.Instant) {
	c.service(group).refused.add(cost, now)
}

// own returns this instance's rates, and forgets members without requests.
func (s *service) own(now fleet.Instant) rates {
	out := rates{offered: make(map[memberKey]float64, len(s.offered)), accepted: s.accepted.rate(now), refused: s.refused.rate(now)}
	measured := 0
	for key, m := range s.offered {
		decay := m.decay(now)
		if m.requests*decay >= minRequests {
			measured++
		}
		if rate := m.perSecond * decay; rate > minRate {
			out.offered[key] = rate
		} else {
			delete(s.offered, key)
		}
	}
	out.sparse = measured < maxMembers
	return out
}

// update computes the threshold, at most once in updateInterval.
func (s *service) update(now fleet.Instant) {
	if now-s.updatedAt < updateInterval && s.others != nil {
		return
	}
	s.mostAccepted *= math.Exp(-(now - s.updatedAt).Seconds() / recentMemory.Seconds())
	s.updatedAt = now
	others := rates{offered: map[memberKey]float64{}}
	for id, r := range s.peers {
		if now-r.at > peerTTL {
			delete(s.peers, id)
			continue
		}
		others.add(r.rates)
	}
	s.others = others.offered
	total := s.own(now)
	for key, rate := range others.offered {
		total.offered[key] += rate
	}
	total.rest += others.rest
	total.accepted += others.accepted
	total.refused += others.refused
	s.mostAccepted = max(s.mostAccepted, total.accepted)
	refused := total.refused / max(total.accepted+total.refused, minRate)
	if refused > minRefused {
		s.active, s.refusedAt = true, now
	}
	s.threshold = unlimited
	if !s.active {
		return
	}
	excess := max(mostExcess*(1-refused/targetRefused), leastExcess)
	divided := max(total.accepted*(1+excess), recentShare*s.mostAccepted, offeredShare*total.sum())
	s.threshold = threshold(total.offered, divided-total.rest)
	s.active = s.threshold < unlimited || now-s.refusedAt < idleTime
}

// threshold returns the rate up to which each member's rate counts if they amount to
// capacity together; it is unlimited if all rates fit in full.
func threshold(offered map[memberKey]float64, capacity float64) float64 {
	sorted := make([]float64, 0, len(offered))
	for _, rate := range offered {
		sorted = append(sorted, rate)
	}
	slices.Sort(sorted)
	left := max(capacity, 0)
	for i, rate := range sorted {
		if share := left / float64(len(sorted)-i); rate > share {
			return share
		}
		left -= rate
	}
	return unlimited
}

// KeepPeers forgets the rates that were reported by instances for which keep returns
// false.
func (c *Controller) KeepPeers(keep func(fleet.InstanceID) bool) {
	for _, s := range c.services {
		maps.DeleteFunc(s.peers, func(id fleet.InstanceID, _ received) bool { return !keep(id) })
	}
}

// Keep forgets the services for which exists returns false.
func (c *Controller) Keep(exists func(fleet.GroupName) bool) {
	for group := range c.services {
		if !exists(group) {
			delete(c.services, group)
		}
	}
}

// Active reports whether shares of any service are enforced.
func (c *Controller) Active() bool {
	for _, s := range c.services {
		if s.active {
			return true
		}
	}
	return false
}

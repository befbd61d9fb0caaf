// Package relaypick chooses the instance that serves a request for one that cannot
// reach the servers. It has no input or output and no clock.
package relaypick

import (
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Peer is another instance that serves relayed requests.
type Peer struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentre
	// Address is the address at which it takes them.
	Address string
	// Cores is its processor capacity in cores; 0 if unknown.
	Cores float64
}

const (
	// minExclusion and maxExclusion are the shortest and the longest time for which a
	// peer that refused a request, or failed, gets no other. The time doubles with each
	// further refusal or failure.
	minExclusion = 2 * time.Second
	maxExclusion = 10 * time.Second
	// knownTime is how long a peer that has taken a request is preferred after another
	// peer has refused one.
	knownTime = 5 * time.Second
	// localTries is the number of peers of the own data centre that are asked for one
	// request while others have any.
	localTries = 2
	// minCores is assumed of a peer that declares less.
	minCores = 0.05
)

// state is what is known of a peer.
type state struct {
	inFlight int
	// excludedUntil is the time until which it gets no request, exclusion the length of
	// the last exclusion, and takenAt when it has last taken a request; 0 for never.
	excludedUntil, exclusion, takenAt fleet.Instant
}

// Picker chooses peers. It is not safe for concurrent use.
type Picker struct {
	self   fleet.InstanceID
	own    fleet.DataCentre
	peers  []Peer
	states map[fleet.InstanceID]*state
	// draw returns a random number from 0 to n-1.
	draw func(n int) int
}

// New returns a Picker for an instance of a data centre. draw returns a random number
// from 0 to n-1.
func New(self fleet.InstanceID, own fleet.DataCentre, draw func(n int) int) *Picker {
	return &Picker{self: self, own: own, states: map[fleet.InstanceID]*state{}, draw: draw}
}

// SetPeers sets the peers. This instance itself and entries without an address are left
// out; what is known of a peer at the same address stays.
func (p *Picker) SetPeers(list []Peer) {
	addresses := map[fleet.InstanceID]string{}
	for _, peer := range p.peers {
		addresses[peer.ID] = peer.Address
	}
	p.peers = nil
	states := map[fleet.InstanceID]*state{}
	for _, peer := range list {
		if peer.ID == p.self || peer.Address == "" {
			continue
		}
		s := p.states[peer.ID]
		if s == nil || addresses[peer.ID] != peer.Address {
			s = &state{}
		}
		states[peer.ID] = s
		p.peers = append(p.peers, peer)
	}
	p.states = states
}

// Pick chooses a peer for a request; asked are those that have already been asked for it.
// It returns false if there is none. A first choice goes to the own data centre as long
// as peers there are not excluded. After a refusal a peer that has lately taken a request
// is chosen first, and after several refusals one of another data centre.
func (p *Picker) Pick(asked []fleet.InstanceID, now fleet.Instant) (Peer, bool) {
	var local, remote, knownLocal, knownRemote []Peer
	for _, peer := range p.peers {
		s := p.states[peer.ID]
		if now < s.excludedUntil || slices.Contains(asked, peer.ID) {
			continue
		}
		known := s.takenAt > 0 && now-s.takenAt < knownTime
		if peer.DataCentre == p.own {
			local = append(local, peer)
			if known {
				knownLocal = append(knownLocal, peer)
			}
			continue
		}
		remote = append(remote, peer)
		if known {
			knownRemote = append(knownRemote, peer)
		}
	}
	order := [][]Peer{local, remote}
	switch {
	case len(asked) >= localTries:
		order = [][]Peer{knownLocal, knownRemote, remote, local}
	case len(asked) > 0:
		order = [][]Peer{knownLocal, knownRemote, local, remote}
	}
	for _, candidates := range order {
		if len(candidates) > 0 {
			return p.lessLoaded(candidates), true
		}
	}
	return Peer{}, false
}

// load returns the requests of this instance that would be in flight at a peer with one
// more, for its capacity.
func (p *Picker) load(peer Peer) float64 {
	return float64(p.states[peer.ID].inFlight+1) / max(peer.Cores, minCores)
}

// lessLoaded returns the one of two drawn candidates that has fewer requests of this
// instance in flight for its capacity.
func (p *Picker) lessLoaded(candidates []Peer) Peer {
	first := p.draw(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := p.draw(len(candidates) - 1)
	if second >= first {
		second++
	}
	if p.load(candidates[second]) < p.load(candidates[first]) {
		return candidates[second]
	}
	return candidates[first]
}

// Begin counts a request in flight at a peer. The returned function, which is called at
// most once, ends it.
func (p *Picker) Begin(id fleet.InstanceID) (end func()) {
	s := p.states[id]
	if s == nil {
		return func() {}
	}
	s.inFlight++
	return func() { s.inFlight-- }
}

// Taken records that a peer has taken a request.
func (p *Picker) Taken(id fleet.InstanceID, now fleet.Instant) {
	if s := p.states[id]; s != nil {
		s.takenAt, s.excludedUntil, s.exclusion = now, 0, 0
	}
}

// Failed records that a peer has refused a request or failed, and returns for how long it
// gets no other. Failures of requests that were sent before the exclusion began do not
// lengthen it.
func (p *Picker) Failed(id fleet.InstanceID, now fleet.Instant) time.Duration {
	s := p.states[id]
	if s == nil {
		return 0
	}
	if now < s.excludedUntil {
		return s.excludedUntil - now
	}
	s.exclusion = min(max(2*s.exclusion, minExclusion), maxExclusion)
	s.excludedUntil, s.takenAt = now+s.exclusion, 0
	return s.exclusion
}

// Counts returns the number of peers and how many of them are excluded.
func (p *Picker) Counts(now fleet.Instant) (peers, excluded int) {
	for _, s := range p.states {
		if now < s.excludedUntil {
			excluded++
		}
	}
	return len(p.peers), excluded
}

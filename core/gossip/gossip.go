// Package gossip keeps track of which records of an instance each other instance
// has confirmed. Records carry a version that rises with each change; a report
// holds those that changed since the version that the receiver has confirmed, so
// that lost reports and restarts on either side need no further handling.
//
// It performs no input or output. Not safe for concurrent use.
package gossip

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Header is the head of a report.
type Header struct {
	// Epoch identifies the sender's process, and UpTo is the version of its
	// records up to which the report is complete. An Epoch of 0 means no news.
	Epoch, UpTo uint64
	// ConfirmedEpoch and Confirmed are the Epoch and UpTo of the last report
	// that the sender has received from the receiver.
	ConfirmedEpoch, Confirmed uint64
	// Confirm asks the receiver for a confirmation.
	Confirm bool
}

// Peers is the state of the exchange with all other instances.
type Peers struct {
	epoch uint64
	peers map[fleet.InstanceID]*peer
}

// peer is the state of the exchange with one instance.
type peer struct {
	// epoch is the other's process and received the version of its records that
	// was received.
	epoch, received uint64
	// confirmed is the version of the own records that the other has confirmed,
	// and known reports whether it has confirmed the own process.
	confirmed uint64
	known     bool
	// toConfirm reports whether the other awaits a confirmation.
	toConfirm bool
}

// NewPeers returns the state of a process that is told apart from the instance's
// other processes by epoch, which is not 0.
func NewPeers(epoch uint64) *Peers {
	return &Peers{epoch: epoch, peers: map[fleet.InstanceID]*peer{}}
}

// Keep forgets all instances but the listed ones.
func (p *Peers) Keep(list []fleet.InstanceID) {
	for id := range p.peers {
		if !slices.Contains(list, id) {
			delete(p.peers, id)
		}
	}
}

func (p *Peers) get(id fleet.InstanceID) *peer {
	if p.peers[id] == nil {
		p.peers[id] = &peer{}
	}
	return p.peers[id]
}

// Confirmed returns the version of the own records that an instance has
// confirmed.
func (p *Peers) Confirmed(id fleet.InstanceID) uint64 { return p.get(id).confirmed }

// Send returns the head of a report that is complete up to a version, or false
// when there is nothing to tell.
func (p *Peers) Send(id fleet.InstanceID, upTo uint64) (Header, bool) {
	q := p.get(id)
	confirm := !q.known || upTo > q.confirmed
	if !confirm && !q.toConfirm {
		return Header{}, false
	}
	q.toConfirm = false
	return Header{Epoch: p.epoch, UpTo: upTo, ConfirmedEpoch: q.epoch, Confirmed: q.received, Confirm: confirm}, true
}

// Receive applies the head of a report, and reports whether the report has news.
func (p *Peers) Receive(id fleet.InstanceID, h Header) bool {
	if h.Epoch == 0 {
		return false
	}
	q := p.get(id)
	if h.Epoch != q.epoch {
		*q = peer{epoch: h.Epoch}
	}
	q.received = max(q.received, h.UpTo)
	q.toConfirm = q.toConfirm || h.Confirm
	if q.known = h.ConfirmedEpoch == p.epoch; q.known {
		q.confirmed = max(q.confirmed, h.Confirmed)
	} else {
		q.confirmed = 0
	}
	return true
}

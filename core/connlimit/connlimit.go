// Package connlimit decides which connection of a client is closed when connections
// or memory run out.
package connlimit

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Phase is what a connection is doing.
type Phase uint8

const (
	// Receiving means that the client has connected or begun a request and has to
	// send more.
	Receiving Phase = iota
	// Idle means that no request is under way on a connection that has carried one.
	Idle
	// Running means that the request is complete and the client waits for the
	// answer.
	Running
	// Answering means that a part of the answer is being written, and waits for the
	// client to read.
	Answering
)

const (
	// MinBytesPerSecond is the rate of a client that makes progress. On a link of
	// 10 Mbit/s that 1,000 clients share, each has 1,250 bytes a second.
	MinBytesPerSecond = 256
	// receiveWindow and answerWindow are how long a client may pause. A receiving
	// client on a full link pauses for several round trips and one TCP
	// retransmission; an answer is kept longer, because a server has run the
	// request.
	receiveWindow = 2 * time.Second
	answerWindow  = 5 * time.Second
)

// Progress measures whether a client sends or reads at MinBytesPerSecond, with
// pauses. The zero value is a connection that was accepted at time 0.
type Progress struct {
	// Phase is what the connection is doing.
	Phase Phase
	// Due is the time by which more bytes must have passed, and Last the time of
	// the last ones, or of the beginning of the phase.
	Due, Last fleet.Instant
}

// Enter returns the progress of a connection that begins a phase.
func Enter(p Phase, now fleet.Instant) Progress {
	return Progress{Phase: p, Due: now + window(p), Last: now}
}

// Passed returns the progress after n bytes have passed. They pay for the time that
// they take at MinBytesPerSecond, at most the window of the phase.
func (p Progress) Passed(n int, now fleet.Instant) Progress {
	paid := time.Duration(n) * time.Second / MinBytesPerSecond
	p.Due = min(max(p.Due, now)+paid, now+window(p.Phase))
	p.Last = now
	return p
}

func window(p Phase) time.Duration {
	if p == Answering {
		return answerWindow
	}
	return receiveWindow
}

// Stalled reports whether the connection waits for a client that makes no progress.
func (p Progress) Stalled(now fleet.Instant) bool {
	return (p.Phase == Receiving || p.Phase == Answering) && now > p.Due
}

// Conn is a connection that may be closed.
type Conn struct {
	Progress
	// Share is what the connection's client address holds in all: connections or
	// bytes, whatever has run out.
	Share int64
	// Client identifies the client address.
	Client string
}

// Need says for whom a connection is to be closed.
type Need struct {
	// Client is the address of the client that needs a connection or memory, and
	// Share what it holds, including what it needs.
	Client string
	Share  int64
	// NewConnection reports whether a new connection is needed. A client that has
	// the largest share may get one in place of another of its own, since a new
	// connection is all that an ordinary request needs. More memory is refused to
	// it.
	NewConnection bool
}

// Reason says why a connection is closed.
type Reason string

// Reasons, in the order in which connections are closed.
const (
	ReasonIdle         Reason = "idle"
	ReasonNoProgress   Reason = "no_progress"
	ReasonLargestShare Reason = "largest_share"
)

// Reasons returns every reason.
func Reasons() []Reason { return []Reason{ReasonIdle, ReasonNoProgress, ReasonLargestShare} }

// Choose returns the connection to close of n, where at returns connection i, and
// false if none may be closed. Idle connections come first, those that have been
// idle longest before others; then those without progress; then those of the client
// with the largest share that still send a request. A connection whose request may
// have run is closed only without progress.
func Choose(n int, at func(i int) (Conn, bool), need Need, now fleet.Instant) (int, Reason, bool) {
	idle, stalled, largest := best{}, best{}, best{}
	for i := range n {
		c, ok := at(i)
		switch {
		case !ok:
		case c.Phase == Idle:
			idle.offer(i, 0, c.Last)
		case c.Stalled(now):
			stalled.offer(i, 0, c.Due)
		case c.Phase == Receiving && mayDisplace(need, c):
			largest.offer(i, c.Share, c.Last)
		}
	}
	switch {
	case idle.found:
		return idle.index, ReasonIdle, true
	case stalled.found:
		return stalled.index, ReasonNoProgress, true
	default:
		return largest.index, ReasonLargestShare, largest.found
	}
}

// mayDisplace reports whether a client's need may displace a connection that makes
// progress.
func mayDisplace(need Need, c Conn) bool {
	if c.Client == need.Client {
		return need.NewConnection && need.Share > 1
	}
	return c.Share > need.Share
}

// best is the candidate with the largest share, and of these the one with the
// earliest time.
type best struct {
	found bool
	index int
	share int64
	since fleet.Instant
}

func (b *best) offer(index int, share int64, since fleet.Instant) {
	if !b.found || share > b.share || share == b.share && since < b.since {
		*b = best{true, index, share, since}
	}
}

// Package lease is the state machine with which one instance becomes and
// remains the order holder of its data centre. It performs no I/O: events go in
// through Step, calls to the platform come out of Ready.
//
// It uses two keys. The holder key is written under a platform lease and
// disappears with it. The fence key is durable and keeps the highest fencing
// number, so that the number rises with each holder even if the holder key has
// expired in between. If the platform comes back from an older copy of itself, it has
// an older number; numbers of a later era are above all of an earlier one.
package lease

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// Config holds the parameters of a machine.
type Config struct {
	Instance fleet.InstanceID
	// Process distinguishes successive processes of one instance.
	Process string
	// TTL is the lifetime of the lease at the platform.
	TTL time.Duration
	// Margin is subtracted from the lease on the instance's own clock. It
	// covers the difference in rate between the two clocks over one TTL.
	Margin time.Duration
	// RetryInterval is the wait after a failed attempt.
	RetryInterval time.Duration
	// PollInterval is the wait between two reads of a holder key that another
	// instance holds. Reading it before requesting a lease keeps the many
	// instances that are not the holder from writing to the platform.
	PollInterval time.Duration
}

// Holder is the value of the holder key.
type Holder struct {
	Instance fleet.InstanceID `json:"instance"`
	// Attempt is unique per attempt to become the holder, so that a write whose
	// answer was lost can be recognised.
	Attempt string `json:"attempt"`
}

// Fence is the value of the fence key.
type Fence struct {
	Number  int64  `json:"number"`
	Attempt string `json:"attempt"`
}

// fenceEraShift is the number of bits of a fencing number within an era.
const fenceEraShift = 32

// lowestFence returns the number that all fencing numbers of an era exceed.
func lowestFence(era int64) int64 { return max(era-fleet.FirstEra, 0) << fenceEraShift }

type state uint8

const (
	waiting        state = iota
	checkingHolder       // reading the holder key before a lease is requested
	granting
	writingHolder
	readingHolder // reading back after a write without an answer
	readingFence
	writingFence
	holding
	renewing
	released
)

// Term is the period in which an instance may act as the holder.
type Term struct {
	// Fence is the fencing number. 0 means that the instance is not the holder.
	Fence int64
	// ValidUntil is the time before which actions must begin.
	ValidUntil fleet.Instant
	// Era is the platform's era in which the lease was granted.
	Era int64
	// First reports whether certainly no instance has held the lease before.
	First bool
}

// Valid reports whether an action may begin at the given time.
func (t Term) Valid(now fleet.Instant) bool { return t.Fence > 0 && now < t.ValidUntil }

// Machine is the lease state machine of one instance. It is not safe for
// concurrent use.
type Machine struct {
	config   Config
	state    state
	call     int64  // number of the latest call
	attempts int64  // to become the holder
	attempt  string // id of the present attempt
	leaseID  string // empty without a lease
	// sentAt is when the latest Grant or Renew was issued.
	sentAt     fleet.Instant
	validUntil fleet.Instant
	nextCallAt fleet.Instant
	fence      int64 // 0 without a lease
	nextFence  int64 // number that writingFence writes
	era        int64 // platform's era of the lease; 0 without one
	first      bool  // certainly no instance has held the lease before
	ready      outbox.Outbox[Command]
}

// New returns a machine that starts to compete for the lease at its first Tick.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the commands issued since the last call, in order, and clears
// them.
func (m *Machine) Ready() []Command { return m.ready.Take() }

// Term returns the present term. It is counted from before the request that
// granted or renewed the lease, less the margin, so that it ends before the
// lease expires at the platform.
func (m *Machine) Term() Term {
	if m.state != holding && m.state != renewing {
		return Term{}
	}
	return Term{Fence: m.fence, ValidUntil: m.validUntil, Era: m.era, First: m.first}
}

// Step applies one event. It ignores an answer to any call but the latest.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	if m.state == released {
		return
	}
	if _, ok := ev.(Release); ok {
		m.revokeLease()
		m.state = released
		return
	}
	if m.state > granting && now >= m.validUntil {
		// Once the lease has expired on this clock, nothing done since the
		// grant counts, whatever the platform answered.
		m.revokeLease()
		m.state, m.nextCallAt = waiting, now
	}
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Granted:
		m.granted(now, ev)
	case HolderRead:
		m.holderRead(now, ev)
	case FenceRead:
		m.fenceRead(ev)
	case Resign:
		if m.fence == ev.Fence {
			m.revokeLease()
			m.call++ // the answer to a renewal no longer matters
			m.state, m.nextCallAt = waiting, now+max(ev.Wait, m.config.RetryInterval)
		}
	case Done:
		m.done(now, ev)
	case Failed:
		m.failed(now, ev)
	}
}

func (m *Machine) issue(s state, c func(Header) Command) {
	m.call++
	m.state = s
	m.ready.Add(c(Header{Call: m.call, Era: m.era}))
}

// revokeLease gives up the lease, if there is one, and with it the fencing
// number.
func (m *Machine) revokeLease() {
	if m.leaseID != "" {
		m.ready.Add(Revoke{LeaseID: m.leaseID})
	}
	m.leaseID = ""
	m.fence, m.era, m.first = 0, 0, false
}

func (m *Machine) retry(now fleet.Instant) {
	m.revokeLease()
	m.state = waiting
	m.nextCallAt = now + m.config.RetryInterval
}

func (m *Machine) tick(now fleet.Instant) {
	if now < m.nextCallAt {
		return
	}
	switch m.state {
	case waiting:
		m.issue(checkingHolder, func(h Header) Command { return ReadHolder{h} })
	case holding:
		m.sentAt = now
		m.issue(renewing, func(h Header) Command { return Renew{Header: h, LeaseID: m.leaseID} })
	}
}

// Package lease is the state machine by which one instance becomes and remains
// the order holder of its data centre. It performs no I/O: events go in through
// Step, calls to the platform come out of Ready.
//
// Two keys are involved. The holder key is written under a platform lease and
// disappears with it. The fence key is durable and keeps the highest fencing
// number, so that the number rises with each holder even when the holder key
// has lapsed in between.
package lease

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// Config fixes the parameters of a machine.
type Config struct {
	Instance fleet.InstanceID
	// Process distinguishes successive processes of one instance.
	Process string
	// TTL is the platform's lease time.
	TTL time.Duration
	// Margin is subtracted from the lease on the instance's own clock. It
	// covers the difference in rate between the two clocks over one TTL.
	Margin time.Duration
	// RetryInterval is the wait after a failed or refused attempt.
	RetryInterval time.Duration
	// PollInterval is the wait between two looks at a key that another instance holds.
	// Looking before asking for a lease keeps the many instances that do not
	// hold it from writing to the platform.
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

type state uint8

const (
	waiting state = iota
	looking
	granting
	writingHolder
	readingHolder
	readingFence
	writingFence
	holding
	renewing
	resigned
)

// Term states whether and until when an instance may act as the holder.
type Term struct {
	// Fence is the fencing number; 0 means that the instance is not the holder.
	Fence int64
	// ValidUntil is the last instant at which an action may begin.
	ValidUntil fleet.Instant
}

// Valid tells whether the authority still stands at the given time.
func (a Term) Valid(now fleet.Instant) bool { return a.Fence > 0 && now < a.ValidUntil }

// Machine is the lease state machine of one instance. It is not safe for
// concurrent use.
type Machine struct {
	config   Config
	state    state
	call     int64
	attempts int64
	attempt  string
	leaseID  string
	// sent is when the latest granting or renewing call was issued.
	sent      fleet.Instant
	until     fleet.Instant
	next      fleet.Instant
	fence     int64
	wantFence int64
	ready     outbox.Outbox[Command]
}

// New returns a machine that starts to compete at its first Tick.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the pending commands in order and clears them.
func (m *Machine) Ready() []Command { return m.ready.Take() }

// Term returns the present authority. The lease is counted from before
// the request that granted or renewed it, less the margin, so it ends here
// before it ends at the platform.
func (m *Machine) Term() Term {
	if m.state != holding && m.state != renewing {
		return Term{}
	}
	return Term{Fence: m.fence, ValidUntil: m.until}
}

// Step applies one event. An answer to any call but the latest is ignored.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	if m.state == resigned {
		return
	}
	if _, ok := ev.(Release); ok {
		m.release()
		m.state = resigned
		return
	}
	if m.state > granting && now >= m.until {
		// Every step after the grant is void once the lease has run out on
		// this clock, whatever the platform answered.
		m.release()
		m.state, m.next = waiting, now
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
	case Done:
		m.done(now, ev)
	case Failed:
		m.failed(now, ev)
	}
}

func (m *Machine) issue(s state, c func(Header) Command) {
	m.call++
	m.state = s
	m.ready.Add(c(Header{Call: m.call}))
}

func (m *Machine) release() {
	if m.leaseID != "" {
		m.ready.Add(Revoke{LeaseID: m.leaseID})
	}
	m.leaseID = ""
	m.fence = 0
}

func (m *Machine) retry(now fleet.Instant) {
	m.release()
	m.state = waiting
	m.next = now + m.config.RetryInterval
}

func (m *Machine) tick(now fleet.Instant) {
	if now < m.next {
		return
	}
	switch m.state {
	case waiting:
		m.issue(looking, func(h Header) Command { return ReadHolder{h} })
	case holding:
		m.sent = now
		m.issue(renewing, func(h Header) Command { return Renew{Header: h, LeaseID: m.leaseID} })
	}
}

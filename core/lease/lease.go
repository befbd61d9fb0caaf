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
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
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
	// Retry is the wait after a failed or refused attempt.
	Retry time.Duration
	// Look is the wait between two looks at a key that another instance holds.
	// Looking before asking for a lease keeps the many instances that do not
	// hold it from writing to the platform.
	Look time.Duration
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

// Cause is why a call to the platform failed.
type Cause uint8

// Causes of a failed call.
const (
	// CauseUnavailable means that the call certainly had no effect.
	CauseUnavailable Cause = iota
	// CauseUnknown means that a write may have taken effect.
	CauseUnknown
	// CauseConflict means that the compared revision is not current.
	CauseConflict
	// CauseLost means that the platform's lease has lapsed.
	CauseLost
)

// Event is an input of the machine.
type Event interface{ isEvent() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Granted answers Grant.
	Granted struct {
		Call    int64
		LeaseID string
	}
	// HolderRead answers ReadHolder; Holder is nil when the key is absent.
	HolderRead struct {
		Call   int64
		Holder *Holder
	}
	// FenceRead answers ReadFence; Revision is 0 when the key is absent.
	FenceRead struct {
		Call     int64
		Fence    Fence
		Revision int64
	}
	// Done answers WriteHolder, WriteFence and Renew.
	Done struct{ Call int64 }
	// Failed answers any call that did not succeed.
	Failed struct {
		Call  int64
		Cause Cause
	}
	// Resign gives up the lease for good, before a planned stop.
	Resign struct{}
)

func (Tick) isEvent()       {}
func (Granted) isEvent()    {}
func (HolderRead) isEvent() {}
func (FenceRead) isEvent()  {}
func (Done) isEvent()       {}
func (Failed) isEvent()     {}
func (Resign) isEvent()     {}

// Command is a call to the platform.
type Command interface{ Number() int64 }

// Header is common to all commands.
type Header struct {
	// Call numbers the command; its answer carries the same number.
	Call int64
}

// Number returns the call's number.
func (h Header) Number() int64 { return h.Call }

type (
	// Grant asks for a lease.
	Grant struct {
		Header
		TTL time.Duration
	}
	// WriteHolder creates the holder key under the lease if it is absent.
	WriteHolder struct {
		Header
		LeaseID string
		Holder  Holder
	}
	// ReadHolder reads the holder key.
	ReadHolder struct{ Header }
	// ReadFence reads the fence key.
	ReadFence struct{ Header }
	// WriteFence replaces the fence key if its revision is unchanged.
	WriteFence struct {
		Header
		Revision int64
		Fence    Fence
	}
	// Renew extends the lease.
	Renew struct {
		Header
		LeaseID string
	}
	// Revoke ends the lease; it has no answer.
	Revoke struct {
		Header
		LeaseID string
	}
)

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

// Authority states whether and until when an instance may act as the holder.
type Authority struct {
	// Fence is the fencing number; 0 means that the instance is not the holder.
	Fence int64
	// Until is the last instant at which an action may begin.
	Until fleet.Instant
}

// Valid tells whether the authority still stands at the given time.
func (a Authority) Valid(now fleet.Instant) bool { return a.Fence > 0 && now < a.Until }

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
	ready     []Command
}

// New returns a machine that starts to compete at its first Tick.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the pending commands in order and clears them.
func (m *Machine) Ready() []Command {
	out := m.ready
	m.ready = nil
	return out
}

// Authority returns the present authority. The lease is counted from before
// the request that granted or renewed it, less the margin, so it ends here
// before it ends at the platform.
func (m *Machine) Authority() Authority {
	if m.state != holding && m.state != renewing {
		return Authority{}
	}
	return Authority{Fence: m.fence, Until: m.until}
}

// Step applies one event. An answer to any call but the latest is ignored.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	if m.state == resigned {
		return
	}
	if _, ok := ev.(Resign); ok {
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
	m.ready = append(m.ready, c(Header{Call: m.call}))
}

func (m *Machine) release() {
	if m.leaseID != "" {
		m.ready = append(m.ready, Revoke{LeaseID: m.leaseID})
	}
	m.leaseID = ""
	m.fence = 0
}

func (m *Machine) retry(now fleet.Instant) {
	m.release()
	m.state = waiting
	m.next = now + m.config.Retry
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

func (m *Machine) looked(now fleet.Instant, ev HolderRead) {
	if ev.Holder != nil {
		m.state, m.next = waiting, now+m.config.Look
		return
	}
	m.sent = now
	m.attempts++
	m.attempt = string(m.config.Instance) + "/" + m.config.Process + "/" + strconv.FormatInt(m.attempts, 10)
	m.issue(granting, func(h Header) Command { return Grant{Header: h, TTL: m.config.TTL} })
}

func (m *Machine) granted(now fleet.Instant, ev Granted) {
	if m.state != granting || ev.Call != m.call {
		// An unused lease lapses by itself; revoking it only frees it sooner.
		m.ready = append(m.ready, Revoke{LeaseID: ev.LeaseID})
		return
	}
	m.leaseID = ev.LeaseID
	m.until = m.sent + m.config.TTL - m.config.Margin
	if now >= m.until {
		m.retry(now)
		return
	}
	m.writeHolder()
}

func (m *Machine) writeHolder() {
	holder := Holder{Instance: m.config.Instance, Attempt: m.attempt}
	m.issue(writingHolder, func(h Header) Command {
		return WriteHolder{Header: h, LeaseID: m.leaseID, Holder: holder}
	})
}

func (m *Machine) holderRead(now fleet.Instant, ev HolderRead) {
	if ev.Call != m.call {
		return
	}
	if m.state == looking {
		m.looked(now, ev)
		return
	}
	if m.state != readingHolder {
		return
	}
	switch {
	case ev.Holder == nil:
		m.writeHolder()
	case ev.Holder.Attempt == m.attempt:
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	default:
		m.release()
		m.state, m.next = waiting, now+m.config.Look
	}
}

func (m *Machine) fenceRead(ev FenceRead) {
	if m.state != readingFence || ev.Call != m.call {
		return
	}
	if ev.Fence.Attempt == m.attempt {
		// The write whose answer was lost had taken effect.
		m.hold(ev.Fence.Number)
		return
	}
	m.wantFence = ev.Fence.Number + 1
	fence := Fence{Number: m.wantFence, Attempt: m.attempt}
	m.issue(writingFence, func(h Header) Command {
		return WriteFence{Header: h, Revision: ev.Revision, Fence: fence}
	})
}

func (m *Machine) hold(fence int64) {
	m.fence = fence
	m.state = holding
	m.next = m.sent + m.config.TTL/3
}

func (m *Machine) done(now fleet.Instant, ev Done) {
	if ev.Call != m.call {
		return
	}
	switch m.state {
	case writingHolder:
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	case writingFence:
		m.hold(m.wantFence)
	case renewing:
		m.until = m.sent + m.config.TTL - m.config.Margin
		m.hold(m.fence)
	}
}

func (m *Machine) failed(now fleet.Instant, ev Failed) {
	if ev.Call != m.call {
		return
	}
	switch m.state {
	case writingHolder:
		if ev.Cause != CauseUnknown {
			m.retry(now)
			return
		}
		m.issue(readingHolder, func(h Header) Command { return ReadHolder{h} })
	case writingFence:
		if ev.Cause == CauseUnavailable {
			m.retry(now)
			return
		}
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	case renewing:
		if ev.Cause == CauseLost {
			m.retry(now)
			return
		}
		// The lease stands until its time is up; a short wait keeps a platform
		// that refuses at once from being asked without pause.
		m.state = holding
		m.next = now + m.config.Retry
	default:
		m.retry(now)
	}
}

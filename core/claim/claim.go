// Package claim is the state machine of one call that may run at most once and
// carries an idempotency key. It performs no I/O: events go in through Step,
// commands come out of Ready, one at a time.
//
// A claim moves only forward: absent, claimed, then done, unknown or not run.
// Only a claim that was recorded as not run is ever claimed again.
package claim

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 128

// Config describes one call.
type Config struct {
	Attempt  string
	Instance fleet.InstanceID
	BodyHash string
	// SendBefore is the instant after which the call must not be sent: the age
	// at which an earlier claim of the same key may have been removed. 0 means
	// that the key does not tell its age.
	SendBefore fleet.Instant
	// Wait bounds how long a call waits for an earlier one that is running.
	Wait time.Duration
}

// maxWrites bounds the writes of one claim or one outcome whose answers are lost.
const maxWrites = 3

type state uint8

const (
	idle state = iota
	claiming
	settling // reading back after a write without an answer
	inspecting
	watching
	running
	recording
	checking // reading back the outcome after a write without an answer
	ended
)

// Machine is the state of one call. It is not safe for concurrent use.
type Machine struct {
	config   Config
	state    state
	writes   int
	revision int64
	outcome  Record
	ready    outbox.Outbox[Command]
}

// New returns a machine for one call.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the pending commands in order and clears them.
func (m *Machine) Ready() []Command { return m.ready.Take() }

// Step applies one event.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	switch m.state {
	case idle:
		if _, ok := ev.(Start); ok {
			m.claim(0)
		}
	case claiming:
		m.claimAnswered(now, ev)
	case settling, inspecting, watching:
		m.found(now, ev)
	case running:
		m.ran(ev)
	case recording, checking:
		m.recorded(ev)
	}
}

func (m *Machine) issue(s state, c Command) {
	m.state = s
	m.ready.Add(c)
}

func (m *Machine) refuse(r *fleet.Refusal) { m.issue(ended, Refuse{Refusal: r}) }

func (m *Machine) notPossible(detail string) {
	m.refuse(fleet.Refuse(fleet.ReasonClaimNotPossible, "%s; this request was not run, repeat it with the same key", detail))
}

func (m *Machine) claim(revision int64) {
	if m.writes == maxWrites {
		m.notPossible("the platform's answers to the claim were lost")
		return
	}
	m.writes++
	m.revision = revision
	m.issue(claiming, Write{Revision: revision, Record: m.record(PhaseClaimed, nil)})
}

func (m *Machine) record(p Phase, a *Answer) Record {
	return Record{
		Attempt: m.config.Attempt, Instance: m.config.Instance,
		BodyHash: m.config.BodyHash, Phase: p, Answer: a,
	}
}

func (m *Machine) claimAnswered(now fleet.Instant, ev Event) {
	switch ev := ev.(type) {
	case Written:
		m.claimed(now, ev.Revision)
	case Conflict:
		m.issue(inspecting, Read{})
	case Unknown:
		m.issue(settling, Read{})
	case Unavailable:
		m.notPossible("the platform cannot be reached")
	}
}

// claimed decides whether the call may be sent. The age of the key is checked
// after the claim was made: a key young enough now was young enough then, and
// so any earlier claim of it still existed and would have prevented this one.
func (m *Machine) claimed(now fleet.Instant, revision int64) {
	m.revision = revision
	if m.config.SendBefore != 0 && now >= m.config.SendBefore {
		m.refuse(fleet.Refuse(fleet.ReasonBadRequest, "the idempotency key is too old"))
		return
	}
	m.writes = 0
	m.issue(running, Run{})
}

func (m *Machine) found(now fleet.Instant, ev Event) {
	found, ok := ev.(Found)
	if !ok {
		m.notPossible("the claim cannot be read")
		return
	}
	r := found.Record
	switch {
	case found.Revision == 0 && m.state == watching:
		m.unknown("the claim of the first call has been removed")
	case found.Revision == 0:
		m.claim(0)
	case r.Attempt == m.config.Attempt && r.Phase == PhaseClaimed:
		m.claimed(now, found.Revision)
	case r.BodyHash != m.config.BodyHash:
		m.refuse(fleet.Refuse(fleet.ReasonBadRequest, "the idempotency key was used for a different call"))
	case r.Phase == PhaseNotRun:
		m.claim(found.Revision)
	case r.Phase == PhaseDone:
		m.replay(*r.Answer)
	case r.Phase == PhaseClaimed && m.state != watching && m.config.Wait > 0:
		m.issue(watching, Watch{After: found.Revision, Wait: m.config.Wait})
	default:
		m.unknown("the first call with this key may have run")
	}
}

func (m *Machine) unknown(detail string) {
	m.refuse(&fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeUnknown, Detail: detail})
}

func (m *Machine) replay(a Answer) {
	if a.Omitted {
		m.refuse(&fleet.Refusal{
			Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeRun,
			Detail: "the first call with this key ran; its answer was too large to keep",
		})
		return
	}
	m.issue(ended, Replay{Answer: a})
}

// Package claim is the state machine of one call that has an idempotency key
// and may run at most once. It performs no I/O: events go in through Step,
// commands come out of Ready, one at a time.
//
// A claim only moves forward: absent, claimed, then done, unknown or not run.
// Only a claim that was recorded as not run can be claimed again.
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
	// SendBefore is the time from which the call must not be sent, because an
	// earlier claim of the same key may have been removed. 0 means no limit:
	// the key does not contain its time of creation.
	SendBefore fleet.Instant
	// Wait bounds how long a call waits for an earlier one that is running.
	Wait time.Duration
}

// maxWrites bounds the writes of one claim or one outcome when answers are
// lost.
const maxWrites = 3

type state uint8

const (
	idle state = iota
	writingClaim
	confirmingClaim // reading back after a write without an answer
	readingClaim
	watchingClaim
	running
	writingOutcome
	confirmingOutcome // reading back the outcome after a write without an answer
	ended
)

// Machine is the state of one call. It is not safe for concurrent use.
type Machine struct {
	config   Config
	state    state
	writes   int    // of the present claim or outcome
	revision int64  // of the claim's key, as last written or read
	outcome  Record // set when the run has ended
	ready    outbox.Outbox[Command]
}

// New returns a machine for one call.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the commands issued since the last call, in order, and clears
// them.
func (m *Machine) Ready() []Command { return m.ready.Take() }

// Step applies one event.
func (m *Machine) Step(now fleet.Instant, ev Event) {
	switch m.state {
	case idle:
		if _, ok := ev.(Start); ok {
			m.claim(0)
		}
	case writingClaim:
		m.claimAnswered(now, ev)
	case confirmingClaim, readingClaim, watchingClaim:
		m.claimRead(now, ev)
	case running:
		m.runEnded(ev)
	case writingOutcome, confirmingOutcome:
		m.outcomeAnswered(ev)
	}
}

func (m *Machine) issue(s state, c Command) {
	m.state = s
	m.ready.Add(c)
}

func (m *Machine) refuse(r *fleet.Refusal) { m.issue(ended, Refuse{Refusal: r}) }

func (m *Machine) refuseNotRun(detail string) {
	m.refuse(fleet.Refuse(fleet.ReasonClaimNotPossible, "%s; this request was not run, repeat it with the same key", detail))
}

// claim writes the claim in place of the given revision. It refuses the call
// after maxWrites writes.
func (m *Machine) claim(revision int64) {
	if m.writes == maxWrites {
		m.refuseNotRun("the platform's answers to the claim were lost")
		return
	}
	m.writes++
	m.revision = revision
	m.issue(writingClaim, Write{Revision: revision, Record: m.record(PhaseClaimed, nil)})
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
		m.issue(readingClaim, Read{})
	case Unknown:
		m.issue(confirmingClaim, Read{})
	case Unavailable:
		m.refuseNotRun("the platform cannot be reached")
	}
}

// claimed decides whether the call may be sent. It checks the age of the key
// after the claim has been made: if the key is young enough now, it also was
// then, so an earlier claim of it still existed and would have prevented this
// one.
func (m *Machine) claimed(now fleet.Instant, revision int64) {
	m.revision = revision
	if m.config.SendBefore != 0 && now >= m.config.SendBefore {
		m.refuse(fleet.Refuse(fleet.ReasonBadRequest, "the idempotency key is too old"))
		return
	}
	m.writes = 0
	m.issue(running, Run{})
}

func (m *Machine) claimRead(now fleet.Instant, ev Event) {
	found, ok := ev.(Found)
	if !ok {
		m.refuseNotRun("the claim cannot be read")
		return
	}
	r := found.Record
	switch {
	case found.Revision == 0 && m.state == watchingClaim:
		m.refuseUnknown("the claim of the first call has been removed")
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
	case r.Phase == PhaseClaimed && m.state != watchingClaim && m.config.Wait > 0:
		m.issue(watchingClaim, Watch{After: found.Revision, Wait: m.config.Wait})
	default:
		m.refuseUnknown("the first call with this key may have run")
	}
}

func (m *Machine) refuseUnknown(detail string) {
	m.refuse(&fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeUnknown, Detail: detail})
}

// replay answers with the recorded answer, or refuses the call if its body was
// not kept.
func (m *Machine) replay(a Answer) {
	if a.BodyOmitted {
		m.refuse(&fleet.Refusal{
			Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeRun,
			Detail: "the first call with this key ran; its answer was too large to keep",
		})
		return
	}
	m.issue(ended, Replay{Answer: a})
}

// Package claim is the state machine of one call that may run at most once and
// carries an idempotency key. It performs no I/O: events go in through Step,
// commands come out of Ready, one at a time.
//
// A claim moves only forward: absent, claimed, then done, unknown or not run.
// Only a claim that was recorded as not run is ever claimed again.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// MaxAnswerBytes is the largest answer that is kept for repeated calls.
const MaxAnswerBytes = 64 << 10

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 128

// Phase is how far a call has come.
type Phase string

// Phases of a claim.
const (
	// PhaseClaimed means that the call may run, is running or may have run.
	PhaseClaimed Phase = "claimed"
	// PhaseDone means that the call ran and its answer is known.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the call was sent and its answer was lost.
	PhaseUnknown Phase = "unknown"
	// PhaseNotRun means that the call was certainly not sent.
	PhaseNotRun Phase = "not_run"
)

// Answer is what the upstream replied.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted tells that the body exceeded MaxAnswerBytes and was not kept.
	Omitted bool `json:"omitted,omitempty"`
}

// Record is the value of a claim's key.
type Record struct {
	// Attempt is unique per call received by any instance.
	Attempt  string           `json:"attempt"`
	Instance fleet.InstanceID `json:"instance"`
	// BodyHash covers the method, the path and the body.
	BodyHash string  `json:"body_hash"`
	Phase    Phase   `json:"phase"`
	Answer   *Answer `json:"answer,omitempty"`
}

// Hash returns the digest that must be equal for calls with the same key.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

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

// Event is an input of the machine.
type Event interface{ isEvent() }

type (
	// Start begins the claim.
	Start struct{}
	// Written answers Write.
	Written struct{ Revision int64 }
	// Conflict answers Write when the revision was not current.
	Conflict struct{}
	// Unavailable answers Write, Read or Watch that certainly had no effect.
	Unavailable struct{}
	// Unknown answers Write that may have taken effect.
	Unknown struct{}
	// Found answers Read and Watch; Revision is 0 when the key is absent.
	Found struct {
		Record   Record
		Revision int64
	}
	// NotSent ends the run: no byte of the call reached an upstream.
	NotSent struct{}
	// Answered ends the run with the upstream's answer.
	Answered struct{ Answer Answer }
	// Lost ends the run without an answer.
	Lost struct{}
)

func (Start) isEvent()       {}
func (Written) isEvent()     {}
func (Conflict) isEvent()    {}
func (Unavailable) isEvent() {}
func (Unknown) isEvent()     {}
func (Found) isEvent()       {}
func (NotSent) isEvent()     {}
func (Answered) isEvent()    {}
func (Lost) isEvent()        {}

// Command is an output of the machine.
type Command interface{ isCommand() }

type (
	// Write replaces the claim by compare-and-swap; revision 0 creates it.
	Write struct {
		Revision int64
		Record   Record
	}
	// Read reads the claim.
	Read struct{}
	// Watch waits until the claim's revision exceeds After or Wait has passed.
	Watch struct {
		After int64
		Wait  time.Duration
	}
	// Run sends the call to an upstream. It is issued at most once.
	Run struct{}
	// Refuse ends the call with a refusal.
	Refuse struct{ Refusal *fleet.Refusal }
	// Replay ends the call with the recorded answer of the first one.
	Replay struct{ Answer Answer }
	// Recorded ends a call that was claimed; Stored tells whether its outcome
	// is known to be kept.
	Recorded struct {
		Phase  Phase
		Stored bool
	}
)

func (Write) isCommand()    {}
func (Read) isCommand()     {}
func (Watch) isCommand()    {}
func (Run) isCommand()      {}
func (Refuse) isCommand()   {}
func (Replay) isCommand()   {}
func (Recorded) isCommand() {}

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
	ready    []Command
}

// New returns a machine for one call.
func New(config Config) *Machine { return &Machine{config: config} }

// Ready returns the pending commands in order and clears them.
func (m *Machine) Ready() []Command {
	out := m.ready
	m.ready = nil
	return out
}

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
	m.ready = append(m.ready, c)
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

func (m *Machine) ran(ev Event) {
	switch ev := ev.(type) {
	case NotSent:
		m.outcome = m.record(PhaseNotRun, nil)
	case Answered:
		a := ev.Answer
		if len(a.Body) > MaxAnswerBytes {
			a.Body, a.Omitted = nil, true
		}
		m.outcome = m.record(PhaseDone, &a)
	case Lost:
		m.outcome = m.record(PhaseUnknown, nil)
	default:
		return
	}
	m.writeOutcome()
}

func (m *Machine) writeOutcome() {
	if m.writes == maxWrites {
		m.issue(ended, Recorded{Phase: m.outcome.Phase})
		return
	}
	m.writes++
	m.issue(recording, Write{Revision: m.revision, Record: m.outcome})
}

func (m *Machine) recorded(ev Event) {
	switch ev := ev.(type) {
	case Written:
		m.issue(ended, Recorded{Phase: m.outcome.Phase, Stored: true})
	case Unavailable:
		m.writeOutcome()
	case Conflict, Unknown:
		if m.state == checking {
			m.writeOutcome()
			return
		}
		m.issue(checking, Read{})
	case Found:
		m.checkOutcome(ev)
	}
}

func (m *Machine) checkOutcome(f Found) {
	switch {
	case f.Revision == m.revision:
		m.writeOutcome()
	case f.Record.Attempt == m.config.Attempt && f.Record.Phase == m.outcome.Phase:
		m.issue(ended, Recorded{Phase: m.outcome.Phase, Stored: true})
	default:
		// Another writer or a restored store; nothing may be overwritten.
		m.issue(ended, Recorded{Phase: m.outcome.Phase})
	}
}

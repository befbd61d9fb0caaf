package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// MaxAnswerBytes is the largest answer body that is kept for repeated calls.
const MaxAnswerBytes = 64 << 10

// Phase is the progress of a call.
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

// Answer is the upstream's answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted reports whether the body exceeded MaxAnswerBytes and was not
	// kept.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// Record is the value of a claim's key.
type Record struct {
	// Attempt is unique per call received by any instance.
	Attempt  string           `json:"attempt"`
	Instance fleet.InstanceID `json:"instance"`
	// BodyHash is the digest that Hash returns for the call.
	BodyHash string  `json:"body_hash"`
	Phase    Phase   `json:"phase"`
	Answer   *Answer `json:"answer,omitempty"`
}

// Hash returns the hex SHA-256 digest of a call's method, path and body, which
// must be equal for all calls with the same key.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

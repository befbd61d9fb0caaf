package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/stream"
)

// Step is the part of a request's way at which an error occurred.
type Step string

// Steps.
const (
	StepPrefill  Step = "prefill"
	StepComplete Step = "complete"
	StepStream   Step = "stream"
	StepCancel   Step = "cancel"
	StepCall     Step = "call"
)

// Error is a failed attempt at an upstream.
type Error struct {
	Step Step
	// Peer is the upstream's address.
	Peer   string
	Reason retry.Reason
	// NeverSent tells that the upstream certainly received nothing. If false,
	// the request may have run.
	NeverSent bool
	// Status is the upstream's HTTP status, or 0 when there was none.
	Status int
	cause  error
}

// Error implements error. The text holds no part of a request or an answer.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s at %s: %s (status %d)", e.Step, e.Peer, e.Reason, e.Status)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Reason, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Permanent tells that another upstream would give the same answer.
func (e *Error) Permanent() bool {
	switch e.Status {
	case 0, http.StatusRequestTimeout, http.StatusTooManyRequests, StatusKVMissing:
		return false
	}
	return e.Status < http.StatusInternalServerError
}

// Causes of errors.
var (
	// ErrStalled is an upstream that sent nothing for the stall timeout.
	ErrStalled = errors.New("the upstream sent nothing for too long")
	// ErrTooLarge is an answer or a chunk beyond its bound.
	ErrTooLarge = errors.New("the upstream's answer exceeds its bound")
	// ErrEnded is a stream that ended before its last chunk.
	ErrEnded = errors.New("the stream ended before its last chunk")
	// errDecode replaces the decoder's error, which may quote the answer.
	errDecode = errors.New("the upstream's answer cannot be decoded")
)

// transportError types an error of the HTTP library. neverSent must be true
// only if no connection was handed to the request.
func transportError(ctx context.Context, step Step, peer string, neverSent bool, err error) *Error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	// The library's error quotes the URL, whose query may hold a caller's data.
	var quoted *url.Error
	if errors.As(err, &quoted) {
		err = quoted.Err
	}
	e := &Error{Step: step, Peer: peer, NeverSent: neverSent, Reason: retry.ReasonConnectionLost, cause: err}
	switch {
	case neverSent:
		e.Reason = retry.ReasonNotSent
	case errors.Is(err, ErrStalled):
		e.Reason = retry.ReasonStalled
	case errors.Is(err, ErrTooLarge), errors.Is(err, errDecode):
		e.Reason = retry.ReasonBadAnswer
	}
	return e
}

func statusError(step Step, peer string, status int) *Error {
	reason := retry.ReasonUpstreamStatus
	if status == StatusKVMissing {
		reason = retry.ReasonKVImportFailed
	}
	return &Error{Step: step, Peer: peer, Reason: reason, Status: status}
}

// SequenceError types a sequencer's rejection of the stream from peer.
func SequenceError(peer string, err error) *Error {
	e := &Error{Step: StepStream, Peer: peer, Reason: retry.ReasonBadAnswer, cause: err}
	var fault *stream.Error
	if errors.As(err, &fault) {
		switch fault.Fault {
		case stream.FaultGap:
			e.Reason = retry.ReasonMissingChunk
		case stream.FaultWrongRequest:
			e.Reason = retry.ReasonWrongRequest
		}
	}
	return e
}

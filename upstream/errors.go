package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/stream"
	"github.com/bramleywick/bramleywick/httphead"
)

// Step names the call at an upstream in which an error occurred.
type Step string

// Steps.
const (
	StepPrefill  Step = "prefill"
	StepComplete Step = "complete"
	StepStream   Step = "stream"
	StepCancel   Step = "cancel"
	StepCall     Step = "call"
)

// Error is the error of a failed attempt at an upstream.
type Error struct {
	Step Step
	// Peer is the upstream's address (host:port).
	Peer   string
	Reason retry.Reason
	// NeverSent reports whether the upstream certainly received nothing. If
	// false, the request may have run.
	NeverSent bool
	// Status is the upstream's HTTP status, or 0 if there was no answer.
	Status int
	cause  error
}

// Error implements error. The text contains no part of a request or an answer.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s at %s: %s (status %d)", e.Step, e.Peer, e.Reason, e.Status)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Reason, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Permanent reports whether another upstream would give the same answer, so that
// a retry is useless.
func (e *Error) Permanent() bool {
	switch e.Status {
	case 0, http.StatusRequestTimeout, http.StatusTooManyRequests, StatusKVMissing:
		return false
	}
	return e.Status < http.StatusInternalServerError
}

// Causes of errors.
var (
	// ErrStalled means that the upstream sent nothing for the stall timeout.
	ErrStalled = errors.New("the upstream sent nothing within the stall timeout")
	// ErrTooLarge means that an answer or a chunk exceeds its size limit.
	ErrTooLarge = errors.New("the upstream's answer exceeds its size limit")
	// ErrEnded means that a stream ended before its last chunk.
	ErrEnded = errors.New("the stream ended before its last chunk")
	// errDecode replaces the decoder's error, whose text may quote the answer.
	errDecode = errors.New("the upstream's answer cannot be decoded")
)

// transportError converts an error of the HTTP library or a cancelled context to
// an *Error. neverSent must be true only if the request got no connection.
func transportError(ctx context.Context, step Step, address string, neverSent bool, err error) *Error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	// The text of a *url.Error quotes the URL, whose query may hold a caller's
	// data.
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	e := &Error{Step: step, Peer: address, NeverSent: neverSent, Reason: retry.ReasonConnectionLost, cause: err}
	switch {
	case neverSent:
		e.Reason = retry.ReasonNotSent
	case errors.Is(err, ErrStalled):
		e.Reason = retry.ReasonStalled
	case errors.Is(err, ErrTooLarge), errors.Is(err, errDecode), errors.Is(err, httphead.ErrMalformed):
		e.Reason = retry.ReasonBadAnswer
	}
	return e
}

// statusError returns the error of an answer with an unexpected HTTP status.
func statusError(step Step, address string, status int) *Error {
	reason := retry.ReasonUpstreamStatus
	if status == StatusKVMissing {
		reason = retry.ReasonKVImportFailed
	}
	return &Error{Step: step, Peer: address, Reason: reason, Status: status}
}

// SequenceError converts a sequencer's rejection of the stream from the upstream
// at address (host:port) to an *Error.
func SequenceError(address string, err error) *Error {
	e := &Error{Step: StepStream, Peer: address, Reason: retry.ReasonBadAnswer, cause: err}
	var rejected *stream.Error
	if errors.As(err, &rejected) {
		switch rejected.Fault {
		case stream.FaultGap:
			e.Reason = retry.ReasonMissingChunk
		case stream.FaultWrongRequest:
			e.Reason = retry.ReasonWrongRequest
		}
	}
	return e
}

package ctl

import (
	"crypto/tls"
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
)

// Exit codes of the command line. Scripts depend on them; docs/operating.md
// lists them.
const (
	ExitOK              = 0
	ExitFailed          = 1 // any failure without a code of its own
	ExitUsage           = 2 // wrong arguments
	ExitInvalid         = 3 // the declaration has faults; nothing was changed
	ExitConflict        = 4 // the configuration changed in the meantime; nothing was changed
	ExitOutcomeUnknown  = 5 // the outcome is open; run again with the same -change-id
	ExitNotInForce      = 6 // accepted, but not in force at every live instance in time
	ExitUnavailable     = 7 // the instance or the platform cannot be reached; nothing was changed
	ExitUnauthenticated = 8 // the operator's key is not known
	ExitDiffers         = 9 // plan or diff with -exit-code found differences
	ExitNotFound        = 10
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// usage returns an error with ExitUsage.
func usage(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: errors.Errorf(format, args...)}
}

var exitCodes = map[connect.Code]int{
	connect.CodeInvalidArgument:   ExitInvalid,
	connect.CodeAborted:           ExitConflict,
	connect.CodeUnknown:           ExitOutcomeUnknown,
	connect.CodeUnavailable:       ExitUnavailable,
	connect.CodeResourceExhausted: ExitUnavailable,
	connect.CodeUnauthenticated:   ExitUnauthenticated,
	connect.CodeNotFound:          ExitNotFound,
}

// callError adds the exit code to the error of a call. change is the ID of the
// change that the call makes, or "" if it changes nothing.
func callError(err error, change string) error {
	if err == nil {
		return nil
	}
	if !connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeUnauthenticated {
		return transportError(err, change)
	}
	code, ok := exitCodes[connect.CodeOf(err)]
	if !ok {
		code = ExitFailed
	}
	if code == ExitOutcomeUnknown && change != "" {
		err = errors.Errorf("%v\nrun the command again with -change-id %s", err, change)
	}
	return &exitError{code: code, err: err}
}

// transportError returns the error of a call that got no answer from the
// instance. Only if no connection was established is it certain that nothing
// was changed.
func transportError(err error, change string) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	unsent := errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate)
	if change == "" || unsent {
		return &exitError{code: ExitUnavailable, err: err}
	}
	return &exitError{code: ExitOutcomeUnknown, err: errors.Errorf(
		"%v\nthe answer was lost; run the command again with -change-id %s", err, change)}
}

// faultsOf returns the declaration errors in the details of an error.
func faultsOf(err error) []*operatorv1.Fault {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, d := range connectErr.Details() {
		if value, valueErr := d.Value(); valueErr == nil {
			if faults, ok := value.(*operatorv1.Faults); ok {
				return faults.Faults
			}
		}
	}
	return nil
}

// faultLine formats a declaration error as "file:line: message; expected ...".
func faultLine(f *operatorv1.Fault) string {
	text := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	if f.Expected != "" {
		text += "; expected " + f.Expected
	}
	return text
}

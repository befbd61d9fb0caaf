package operator

import (
	"google.golang.org/protobuf/proto"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/inifile"
	"github.com/bramleywick/bramleywick/store"
)

// codeOf returns the code that operator.proto documents for an error.
func codeOf(err error) connect.Code {
	var (
		faults    inifile.Faults
		moved     *config.Moved
		large     *config.TooLarge
		undecided *config.Undecided
	)
	switch {
	case errors.As(err, &faults), errors.Is(err, config.ErrNoChangeID):
		return connect.CodeInvalidArgument
	case errors.As(err, &moved), errors.Is(err, store.ErrConflict):
		return connect.CodeAborted
	case errors.As(err, &undecided), errors.Is(err, store.ErrOutcomeUnknown):
		return connect.CodeUnknown
	case errors.As(err, &large), errors.Is(err, store.ErrTooLarge), errors.Is(err, store.ErrRateLimited):
		return connect.CodeResourceExhausted
	case errors.Is(err, config.ErrNoVersion), errors.Is(err, store.ErrNotFound):
		return connect.CodeNotFound
	case errors.Is(err, store.ErrUnavailable):
		return connect.CodeUnavailable
	default:
		return connect.CodeInternal
	}
}

// connectError converts an error into a connect error with its code and detail.
func connectError(err error) error {
	out := connect.NewError(codeOf(err), err)
	if message := detailOf(err); message != nil {
		if detail, detailErr := connect.NewErrorDetail(message); detailErr == nil {
			out.AddDetail(detail)
		}
	}
	return out
}

// detailOf returns the detail message of an error, or nil.
func detailOf(err error) proto.Message {
	var (
		faults    inifile.Faults
		moved     *config.Moved
		undecided *config.Undecided
	)
	switch {
	case errors.As(err, &faults):
		return &operatorv1.Faults{Faults: protoFaults(faults)}
	case errors.As(err, &moved):
		return &operatorv1.Moved{
			BaseVersion: moved.Base, CurrentVersion: moved.Current,
			Since: protoVersions(moved.Since), Changes: protoChanges(moved.Changes),
		}
	case errors.As(err, &undecided):
		return &operatorv1.Undecided{ChangeId: undecided.ChangeID}
	default:
		return nil
	}
}

func protoFaults(faults inifile.Faults) []*operatorv1.Fault {
	var out []*operatorv1.Fault
	for _, f := range faults {
		out = append(out, &operatorv1.Fault{File: f.File, Line: int32(f.Line), Message: f.Message, Expected: f.Expected})
	}
	return out
}

var operations = map[declare.Op]operatorv1.Operation{
	declare.OpAdded:   operatorv1.Operation_OPERATION_ADDED,
	declare.OpRemoved: operatorv1.Operation_OPERATION_REMOVED,
	declare.OpChanged: operatorv1.Operation_OPERATION_CHANGED,
}

func protoChanges(changes []declare.Change) []*operatorv1.Change {
	var out []*operatorv1.Change
	for _, c := range changes {
		m := &operatorv1.Change{Operation: operations[c.Op], Section: string(c.Section), Name: c.Name}
		for _, f := range c.Fields {
			m.Fields = append(m.Fields, &operatorv1.FieldChange{Key: f.Key, Old: f.Old, New: f.New})
		}
		out = append(out, m)
	}
	return out
}

func protoVersion(s config.Stamp) *operatorv1.Version {
	return &operatorv1.Version{
		Version: s.Version, ChangeId: s.ChangeID, Author: s.Author, File: s.File,
		AppliedAtMs: s.AppliedAt.UnixMilli(), RevertOf: s.RevertOf,
	}
}

func protoVersions(stamps []config.Stamp) []*operatorv1.Version {
	var out []*operatorv1.Version
	for _, s := range stamps {
		out = append(out, protoVersion(s))
	}
	return out
}

// protoInstances returns for each instance whether it has at least the given
// version in force.
func protoInstances(instances []config.InstanceVersion, version int64) []*operatorv1.InstanceStatus {
	var out []*operatorv1.InstanceStatus
	for _, i := range instances {
		state := "in_force"
		if i.Version < version {
			state = "behind"
		}
		out = append(out, &operatorv1.InstanceStatus{
			Id: string(i.Instance), DataCentre: string(i.DataCentre), State: state, ConfigVersion: i.Version,
		})
	}
	return out
}

package config

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
)

// ErrNoChangeID is returned for a change without an id, because the outcome of
// its write could not be determined if the answer was lost.
var ErrNoChangeID = errors.New("a change needs an id")

// Moved is returned when the configuration has changed since the version on
// which a change is based. Nothing was changed.
type Moved struct {
	Base    int64
	Current int64
	// Since lists the versions accepted in the meantime, newest first.
	Since []Stamp
	// Changes lists the differences between the base and the current version;
	// empty if the base is no longer kept.
	Changes []declare.Change
}

// Error implements error.
func (e *Moved) Error() string {
	text := fmt.Sprintf("the configuration is at version %d, not at version %d on which the change is based; nothing was changed", e.Current, e.Base)
	for _, s := range e.Since {
		text += fmt.Sprintf("\n  version %d by %s (change %s)", s.Version, s.Author, s.ChangeID)
	}
	for _, c := range e.Changes {
		text += "\n  " + c.String()
	}
	return text
}

// Undecided is returned when the answer to a write was lost and reading back
// has not shown the change so far. The change may be applied again with the
// same id, which does not make it twice.
type Undecided struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *Undecided) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted (%v); apply it again with the same change id to settle it", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *Undecided) Unwrap() error { return e.Cause }

// NotInForce is returned for an offered record that must not replace the one in
// force.
type NotInForce struct {
	Comparison declare.Comparison
	Offered    Stamp
	Current    declare.Stamp
	Source     Source
}

// Error implements error.
func (e *NotInForce) Error() string {
	return fmt.Sprintf("configuration version %d (change %s) from %s is %s: version %d (change %s) is in force",
		e.Offered.Version, e.Offered.ChangeID, e.Source, e.Comparison, e.Current.Version, e.Current.ChangeID)
}

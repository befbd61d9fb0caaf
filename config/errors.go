package config

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
)

// ErrNoChangeID refuses a change without an id, whose lost answer could not be
// settled.
var ErrNoChangeID = errors.New("a change needs an id")

// Moved refuses a change because the configuration changed after the version
// on which it was based. Nothing was changed.
type Moved struct {
	Base    int64
	Current int64
	// Since are the versions accepted in the meantime, newest first.
	Since []Stamp
	// Changes are the differences between the base and the current version;
	// empty when the base is no longer kept.
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

// Undecided tells that a write's answer was lost and that reading back has not
// shown the change so far. The same change id may be applied again: that either
// finds the change or makes it, never both.
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

// NotInForce refuses an offered record that must not replace the one in force.
type NotInForce struct {
	Verdict declare.Comparison
	Offered Stamp
	Current declare.Stamp
	Source  Source
}

// Error implements error.
func (e *NotInForce) Error() string {
	return fmt.Sprintf("configuration version %d (change %s) from %s is %s: version %d (change %s) is in force",
		e.Offered.Version, e.Offered.ChangeID, e.Source, e.Verdict, e.Current.Version, e.Current.ChangeID)
}

// Package members indexes the members of a deployment by their keys. An Index is
// immutable; each configuration version has its own.
package members

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Member is a declared member.
type Member struct {
	Name fleet.MemberID
	// Keys are the member's API keys; none after the last one was revoked. They are
	// secret: String leaves them out.
	Keys []string
	// Rank overrides the priority of routes if HasRank is set; 0 is the most
	// urgent.
	Rank    int
	HasRank bool
}

// String returns the name, so that a formatted member does not show its keys.
func (m Member) String() string { return string(m.Name) }

// GoString returns the name, for the same reason.
func (m Member) GoString() string { return string(m.Name) }

// maxLength bounds names and keys, in bytes.
const maxLength = 256

// Index finds members by their keys.
type Index struct {
	members []Member
	byKey   map[string]*Member
}

// NewIndex returns the index of a list of members. The error names the first fault
// and its location, without the text of any key.
func NewIndex(list []Member) (*Index, error) {
	total := 0
	for _, m := range list {
		total += len(m.Keys)
	}
	x := &Index{members: list, byKey: make(map[string]*Member, total)}
	names := make(map[fleet.MemberID]int, len(list))
	for i := range list {
		m := &list[i]
		if fault := textFault(string(m.Name)); fault != "" {
			return nil, errors.Errorf("member %d: the name %s", i, fault)
		}
		if first, ok := names[m.Name]; ok {
			return nil, errors.Errorf("member %d: the name %q is that of member %d", i, m.Name, first)
		}
		names[m.Name] = i
		for j, key := range m.Keys {
			if fault := textFault(key); fault != "" {
				return nil, errors.Errorf("member %d (%q): key %d %s", i, m.Name, j, fault)
			}
			if holder, ok := x.byKey[key]; ok && holder != m {
				return nil, errors.Errorf("member %d (%q): key %d is also a key of %q", i, m.Name, j, holder.Name)
			}
			x.byKey[key] = m
		}
	}
	return x, nil
}

// Lookup returns the member that holds a key.
func (x *Index) Lookup(key string) (*Member, bool) {
	m, ok := x.byKey[key]
	return m, ok
}

// Named returns the member with a name.
func (x *Index) Named(name fleet.MemberID) (*Member, bool) {
	for i := range x.members {
		if x.members[i].Name == name {
			return &x.members[i], true
		}
	}
	return nil, false
}

// Len returns the number of members.
func (x *Index) Len() int { return len(x.members) }

// textFault returns what is wrong with a name or a key; "" for nothing. Whatever can
// be the value of a header, which has no blanks at its ends, is accepted.
func textFault(text string) string {
	switch {
	case text == "":
		return "is missing or empty"
	case len(text) > maxLength:
		return "is too long"
	case text != strings.Trim(text, " \t"):
		return "begins or ends with a blank"
	}
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return "has a character that a header cannot carry"
		}
	}
	return ""
}

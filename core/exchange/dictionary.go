package exchange

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

// Dictionary maps the names of a declaration to numbers, so that messages carry
// one or two bytes instead of a name. Two instances use numbers between them
// only if their digests are equal.
type Dictionary struct {
	digest    uint64
	members   nameTable
	groups    nameTable
	upstreams nameTable
}

// nameTable numbers names from 1 in declared order. 0 stands for a name that is
// spelled out.
type nameTable struct {
	names   []string
	numbers map[string]uint64
}

// newNameTable numbers the names of items in their order.
func newNameTable[T any](items []T, name func(T) string) nameTable {
	t := nameTable{numbers: make(map[string]uint64, len(items))}
	for _, item := range items {
		t.names = append(t.names, name(item))
		t.numbers[name(item)] = uint64(len(t.names))
	}
	return t
}

// name returns the name with a number, and false if there is none.
func (t nameTable) name(number uint64) (string, bool) {
	if number == 0 || number > uint64(len(t.names)) {
		return "", false
	}
	return t.names[number-1], true
}

// NewDictionary returns the dictionary of the names in a declaration.
func NewDictionary(d *declare.Declaration) *Dictionary {
	n := &Dictionary{
		members:   newNameTable(d.Members, func(m declare.Member) string { return string(m.ID) }),
		groups:    newNameTable(d.Groups, func(g declare.Group) string { return string(g.Name) }),
		upstreams: newNameTable(d.Upstreams, func(u declare.Upstream) string { return string(u.ID) }),
	}
	var all []string
	for _, t := range []nameTable{n.members, n.groups, n.upstreams} {
		all = append(all, t.names...)
		all = append(all, "")
	}
	// 28 bits fit into four bytes as a varint.
	n.digest = membership.Hash(all...) >> 36
	return n
}

// hasUpstream reports whether an upstream is declared here. Reports and marks
// of others are ignored.
func (d *Dictionary) hasUpstream(id fleet.UpstreamID) bool {
	return d.upstreams.numbers[string(id)] != 0
}

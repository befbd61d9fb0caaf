package exchange

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

// Dictionary numbers the names of a declaration, so that messages carry one or two
// bytes instead of a name. Two instances use numbers between them only when
// their digests are equal.
type Dictionary struct {
	digest    uint64
	members   table
	groups    table
	upstreams table
}

// table numbers names from 1 in declared order; 0 stands for a spelt-out name.
type table struct {
	names  []string
	number map[string]uint64
}

func newTable[T any](items []T, name func(T) string) table {
	t := table{number: make(map[string]uint64, len(items))}
	for _, item := range items {
		t.names = append(t.names, name(item))
		t.number[name(item)] = uint64(len(t.names))
	}
	return t
}

func (t table) name(number uint64) (string, bool) {
	if number == 0 || number > uint64(len(t.names)) {
		return "", false
	}
	return t.names[number-1], true
}

// NewDictionary numbers the names of a declaration.
func NewDictionary(d *declare.Declaration) *Dictionary {
	n := &Dictionary{
		members:   newTable(d.Members, func(m declare.Member) string { return string(m.ID) }),
		groups:    newTable(d.Groups, func(g declare.Group) string { return string(g.Name) }),
		upstreams: newTable(d.Upstreams, func(u declare.Upstream) string { return string(u.ID) }),
	}
	var all []string
	for _, t := range []table{n.members, n.groups, n.upstreams} {
		all = append(all, t.names...)
		all = append(all, "")
	}
	// 28 bits fit in four bytes as a varint.
	n.digest = membership.Hash(all...) >> 36
	return n
}

// knows tells whether a report about the upstream is of use here.
func (n *Dictionary) knows(id fleet.UpstreamID) bool { return n.upstreams.number[string(id)] != 0 }

package declare

import (
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Lint returns the parts of a valid declaration that are allowed but probably
// not intended.
func Lint(d *Declaration) []Problem {
	v := newValidator(d)
	for _, m := range d.Members {
		v.lintMember(m)
	}
	for _, k := range d.Kinds {
		v.lintKind(k)
	}
	v.lintGroups()
	for _, r := range d.Routes {
		v.lintRoute(r)
	}
	return v.problems
}

func (v *validator) lintMember(m Member) {
	v.setItem(Item{Section: SectionMember, Name: string(m.ID), Pos: m.Pos})
	if len(m.KeyHashes) == 0 {
		v.add("", "", "member %s has no key and cannot send requests", m.ID)
	}
	if len(m.Kinds) == 0 {
		v.add("", "", "member %s is granted no kind and cannot send requests", m.ID)
	}
}

func (v *validator) lintKind(k Kind) {
	v.setItem(Item{Section: SectionKind, Name: string(k.Name), Pos: k.Pos})
	longest := k.FirstTokenTarget + time.Duration(k.MaxOutputTokens)*k.TokenGapTarget
	if longest > k.Deadline {
		v.add("deadline", "", "an answer of max_output_tokens at token_gap takes %v, longer than deadline %v", longest, k.Deadline)
	}
	granted := false
	for _, m := range v.d.Members {
		granted = granted || m.MaySend(k.Name)
	}
	if !granted {
		v.add("", "", "kind %s is granted to no member", k.Name)
	}
	if !k.Repeatable && v.groups[k.Group] != nil && v.groups[k.Group].Type == GroupEngine {
		v.add("repeatable", "", "kind %s is served by engines but not repeatable: its streams are not continued on another engine", k.Name)
	}
}

func (v *validator) lintGroups() {
	used := map[fleet.GroupName]bool{}
	for _, k := range v.d.Kinds {
		used[k.Group] = true
	}
	sizes := map[fleet.GroupName]int{}
	for _, u := range v.d.Upstreams {
		sizes[u.Group]++
	}
	for _, g := range v.d.Groups {
		v.setItem(Item{Section: SectionGroup, Name: string(g.Name), Pos: g.Pos})
		if sizes[g.Name] == 0 {
			v.add("", "", "group %s has no upstream: its kinds are refused", g.Name)
		}
		if !used[g.Name] {
			v.add("", "", "group %s serves no kind", g.Name)
		}
	}
}

// lintRoute reports a route whose kind is not repeatable below a route whose
// kind is. A path that is spelled differently but that the service still
// understands would match the outer route, and its calls would be repeated.
func (v *validator) lintRoute(r Route) {
	v.setItem(Item{Section: SectionRoute, Name: r.Path, Pos: r.Pos})
	inner := v.kinds[r.Kind]
	if inner == nil || inner.Repeatable {
		return
	}
	for _, other := range v.d.Routes {
		outer := v.kinds[other.Kind]
		if other.Path != r.Path && strings.HasPrefix(r.Path, other.Path) && outer != nil && outer.Repeatable {
			v.add("", "", "route %s must not be repeated but lies below %s, whose calls may be", r.Path, other.Path)
		}
	}
}

package declare_test

import (
	"testing"

	"github.com/bramleywick/bramleywick/core/declare"
)

// TestVersionsOnlyRise guards against a version in force that decreases or is
// replaced by another change of the same number, and against a next version
// that other instances consider old.
func TestVersionsOnlyRise(t *testing.T) {
	cases := []struct {
		name    string
		offers  []declare.Stamp
		want    declare.Comparison
		inForce declare.Stamp
	}{
		{"first", []declare.Stamp{{Version: 3, ChangeID: "a"}}, declare.VersionNewer, declare.Stamp{Version: 3, ChangeID: "a"}},
		{"newer", []declare.Stamp{{Version: 3, ChangeID: "a"}, {Version: 5, ChangeID: "b"}}, declare.VersionNewer, declare.Stamp{Version: 5, ChangeID: "b"}},
		{"older", []declare.Stamp{{Version: 3, ChangeID: "a"}, {Version: 2, ChangeID: "b"}}, declare.VersionOlder, declare.Stamp{Version: 3, ChangeID: "a"}},
		{"same", []declare.Stamp{{Version: 3, ChangeID: "a"}, {Version: 3, ChangeID: "a"}}, declare.VersionSame, declare.Stamp{Version: 3, ChangeID: "a"}},
		{"forked", []declare.Stamp{{Version: 3, ChangeID: "a"}, {Version: 3, ChangeID: "b"}}, declare.VersionForked, declare.Stamp{Version: 3, ChangeID: "a"}},
	}
	for _, c := range cases {
		var v declare.VersionTracker
		var result declare.Comparison
		for _, s := range c.offers {
			result = v.Offer(s)
		}
		if result != c.want || v.Current() != c.inForce {
			t.Errorf("%s: result %s with %v in force, want %s with %v", c.name, result, v.Current(), c.want, c.inForce)
		}
	}
	var v declare.VersionTracker
	v.Offer(declare.Stamp{Version: 4, ChangeID: "a"})
	v.Observe(9)
	if next := v.Next(2); next != 10 {
		t.Errorf("next version after a restored store is %d, want 10", next)
	}
}

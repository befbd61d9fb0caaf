package sched

import "testing"

// TestShareLedger guards against a member that keeps more than its share while
// another one is refused below its own, and against a limit where nobody is
// kept from its share.
func TestShareLedger(t *testing.T) {
	type usage struct{ share, served, refused float64 }
	for _, c := range []struct {
		name    string
		members []usage
		over    []bool
	}{
		{"a member below its share is refused", []usage{{1, 40, 20}, {1, 10, 20}}, []bool{true, false}},
		{"refusals in proportion to the shares", []usage{{1, 10, 30}, {3, 30, 10}}, []bool{false, false}},
		{"lent work while nobody is refused", []usage{{1, 40, 0}, {1, 10, 0}}, []bool{false, false}},
		{"the refused member wants less than its share", []usage{{1, 40, 20}, {1, 5, 2}}, []bool{false, false}},
		{"a few refusals are no backlog", []usage{{1, 30, 20}, {1, 24, 1}}, []bool{false, false}},
		{"nothing was served", []usage{{1, 0, 0}, {1, 0, 0}}, []bool{false, false}},
	} {
		var l shareLedger
		var members []memberState
		for m, u := range c.members {
			*l.of(int32(m)) = shareState{served: u.served, refused: u.refused}
			members = append(members, memberState{share: u.share})
		}
		l.refresh(0, members, 1)
		for m, want := range c.over {
			if got := l.over(int32(m), members[m].share); got != want {
				t.Errorf("%s: member %d over its share: %v", c.name, m, got)
			}
		}
	}
}

// TestFirstErrorByKind guards against late first tokens of short prompts that
// make long prompts look late, and against an error that stays when a kind's
// requests are no longer sent.
func TestFirstErrorByKind(t *testing.T) {
	short, long := firstError{mean: 1}, firstError{mean: 1}
	for range 100 {
		short.observe(4)
		long.observe(1)
	}
	if got := long.planned(1); got > 1.1 {
		t.Errorf("a long prompt is planned at %.2f of its expected time", got)
	}
	if got := short.planned(1); got != maxFirstFactor {
		t.Errorf("a short prompt is planned at %.2f of its expected time", got)
	}
	for range 120 {
		short.decay()
	}
	if got := short.planned(1); got > 1.1 {
		t.Errorf("after two minutes without samples planned at %.2f", got)
	}
}

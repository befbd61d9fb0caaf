package sched

import "testing"

// TestShareLimiter guards against a member that keeps more than its share while
// another one is refused below its share, and against a limit while every
// member can have its share.
func TestShareLimiter(t *testing.T) {
	type usage struct{ share, served, refused float64 }
	for _, c := range []struct {
		name    string
		members []usage
		over    []bool
	}{
		{"a member below its share is refused", []usage{{1, 40, 20}, {1, 10, 20}}, []bool{true, false}},
		{"refusals in proportion to the shares", []usage{{1, 10, 30}, {3, 30, 10}}, []bool{false, false}},
		{"more than a share while nobody is refused", []usage{{1, 40, 0}, {1, 10, 0}}, []bool{false, false}},
		{"the refused member wants less than its share", []usage{{1, 40, 20}, {1, 5, 2}}, []bool{false, false}},
		{"a few refusals are no backlog", []usage{{1, 30, 20}, {1, 24, 1}}, []bool{false, false}},
		{"nothing was served", []usage{{1, 0, 0}, {1, 0, 0}}, []bool{false, false}},
	} {
		var l shareLimiter
		var members []memberState
		for m, u := range c.members {
			*l.member(int32(m)) = recentService{servedCost: u.served, refusedCost: u.refused}
			members = append(members, memberState{share: u.share})
		}
		l.refresh(0, members, 1)
		for m, want := range c.over {
			if got := l.exceeds(int32(m), members[m].share); got != want {
				t.Errorf("%s: member %d over its share: %v", c.name, m, got)
			}
		}
	}
}

// TestFirstTokenErrorByKind guards against late first tokens of short prompts
// that raise the estimates of long prompts, and against an error that persists
// when there are no new samples of a kind.
func TestFirstTokenErrorByKind(t *testing.T) {
	short, long := firstTokenError{mean: 1}, firstTokenError{mean: 1}
	for range 100 {
		short.observe(4)
		long.observe(1)
	}
	if got := long.upperEstimate(1); got > 1.1 {
		t.Errorf("the estimate of a long prompt is %.2f times its expected time", got)
	}
	if got := short.upperEstimate(1); got != maxFirstTokenFactor {
		t.Errorf("the estimate of a short prompt is %.2f times its expected time", got)
	}
	for range 120 {
		short.decay()
	}
	if got := short.upperEstimate(1); got > 1.1 {
		t.Errorf("after two minutes without samples the estimate is %.2f times the expected time", got)
	}
}

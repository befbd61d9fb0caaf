package admit_test

import (
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/admit"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// TestCheck guards against a bound that is not applied, and against refusals of
// requests that can be on time or whose refusal helps no other request.
func TestCheck(t *testing.T) {
	limits := admit.Limits{Requests: 10, MemberRequests: 5, Bytes: 1000}
	ok := admit.Input{FirstTokenSeconds: 0.2, AnswerSeconds: 5, FirstTokenTargetSeconds: 1, DeadlineSeconds: 60}
	for _, c := range []struct {
		name   string
		change func(*admit.Input)
		want   fleet.Reason
	}{
		{"idle", func(*admit.Input) {}, ""},
		{"queue full", func(s *admit.Input) { s.Queued = 10 }, fleet.ReasonQueueFull},
		{"member's queue full", func(s *admit.Input) { s.MemberQueued = 5 }, fleet.ReasonShareUsedUp},
		{"bytes", func(s *admit.Input) { s.Queued, s.QueuedBytes, s.Bytes = 1, 900, 200 }, fleet.ReasonQueueFull},
		{"large but alone", func(s *admit.Input) { s.Bytes = 2000 }, ""},
		{"deadline", func(s *admit.Input) { s.WaitSeconds = 56 }, fleet.ReasonDeadlineUnmeetable},
		{"first token late, others wait", func(s *admit.Input) { s.WaitSeconds, s.Contended = 0.9, true }, fleet.ReasonDeadlineUnmeetable},
		{"first token late, nobody waits", func(s *admit.Input) { s.WaitSeconds = 0.9 }, ""},
		{"target out of reach", func(s *admit.Input) { s.FirstTokenSeconds, s.WaitSeconds, s.Contended = 2, 0.9, true }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := ok
			c.change(&s)
			r := admit.Check(limits, s)
			if (r == nil) != (c.want == "") || r != nil && (r.Reason != c.want || r.Outcome != fleet.OutcomeNotRun || r.RetryAfter < time.Second) {
				t.Fatalf("refusal %v", r)
			}
		})
	}
}

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
		{"queue full", func(in *admit.Input) { in.Queued = 10 }, fleet.ReasonQueueFull},
		{"member's queue full", func(in *admit.Input) { in.MemberQueued = 5 }, fleet.ReasonShareUsedUp},
		{"bytes", func(in *admit.Input) { in.Queued, in.QueuedBytes, in.Bytes = 1, 900, 200 }, fleet.ReasonQueueFull},
		{"large but alone", func(in *admit.Input) { in.Bytes = 2000 }, ""},
		{"deadline", func(in *admit.Input) { in.WaitSeconds = 56 }, fleet.ReasonDeadlineUnmeetable},
		{"first token late, others wait", func(in *admit.Input) { in.WaitSeconds, in.Contended = 0.9, true }, fleet.ReasonDeadlineUnmeetable},
		{"first token late, nobody waits", func(in *admit.Input) { in.WaitSeconds = 0.9 }, ""},
		{"target out of reach", func(in *admit.Input) { in.FirstTokenSeconds, in.WaitSeconds, in.Contended = 2, 0.9, true }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := ok
			c.change(&in)
			r := admit.Check(limits, in)
			if (r == nil) != (c.want == "") || r != nil && (r.Reason != c.want || r.Outcome != fleet.OutcomeNotRun || r.RetryAfter < time.Second) {
				t.Fatalf("refusal %v", r)
			}
		})
	}
}

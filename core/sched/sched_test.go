package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// declaration returns a declaration with engines e0.. in one group, two plain
// services and members m0.. with the given shares.
func declaration(engines int, shares ...float64) *declare.Declaration {
	d := &declare.Declaration{
		Groups: []declare.Group{{Name: "language", Type: declare.GroupEngine}, {Name: "accounts", Type: declare.GroupService}},
		Kinds: []declare.Kind{
			{Name: "ledger", Group: "language", FirstTokenTarget: time.Second, TokenGapTarget: 74 * time.Millisecond,
				Deadline: 60 * time.Second, MaxPromptTokens: 100000, MaxOutputTokens: 400, Repeatable: true},
			{Name: "bulk", Group: "language", MaxOutputTokens: 400},
			{Name: "lookup", Group: "accounts", Deadline: 5 * time.Second},
		},
		Upstreams: []declare.Upstream{{ID: "s0", Group: "accounts"}, {ID: "s1", Group: "accounts"}},
	}
	for i := range engines {
		d.Upstreams = append(d.Upstreams, declare.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Group: "language"})
	}
	for i, share := range shares {
		d.Members = append(d.Members, declare.Member{ID: fleet.MemberID(fmt.Sprintf("m%d", i)), Share: share})
	}
	return d
}

// newScheduler returns a scheduler with declaration(engines, shares...) in
// force.
func newScheduler(engines int, shares ...float64) *sched.Scheduler {
	s := sched.New(sched.Config{Seed: 1})
	s.Step(0, sched.Configure{Version: 1, Declaration: declaration(engines, shares...)})
	return s
}

func request(id, member, kind string, prompt int) sched.Submit {
	return sched.Submit{Request: sched.Request{
		ID: fleet.RequestID(id), Member: fleet.MemberID(member), Kind: fleet.KindName(kind), PromptTokens: prompt, MaxOutputTokens: 100,
	}}
}

// onlyCommand returns the pending command, which must be the only one and a C.
func onlyCommand[C sched.Command](t *testing.T, s *sched.Scheduler) C {
	t.Helper()
	commands := s.Ready()
	if len(commands) != 1 {
		t.Fatalf("want one command, have %+v", commands)
	}
	c, ok := commands[0].(C)
	if !ok {
		t.Fatalf("unexpected command %+v", commands[0])
	}
	return c
}

// TestRefusals guards against refusals with the wrong reason or with an
// outcome that is not certain.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []sched.Event
		submit sched.Submit
		want   fleet.Reason
	}{
		{"unknown kind", nil, request("a", "m0", "other", 10), fleet.ReasonKindNotGranted},
		{"unknown member", nil, request("a", "nobody", "ledger", 10), fleet.ReasonUnknownKey},
		{"draining", []sched.Event{sched.Drain{}}, request("a", "m0", "ledger", 10), fleet.ReasonDraining},
		{"no upstream", []sched.Event{sched.UpstreamState{Upstream: "e0"}}, request("a", "m0", "ledger", 10), fleet.ReasonNoUpstream},
		{"leaving", []sched.Event{sched.Report{Load: sched.LoadReport{Upstream: "e0", Leaving: true}}},
			request("a", "m0", "ledger", 10), fleet.ReasonNoUpstream},
		{"deadline shorter than the prefill", nil, request("a", "m0", "ledger", 900000), fleet.ReasonDeadlineUnmeetable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(1, 1)
			for _, ev := range c.before {
				s.Step(0, ev)
			}
			s.Step(time.Millisecond, c.submit)
			got := onlyCommand[sched.Refuse](t, s).Refusal
			if got.Reason != c.want || got.Outcome != fleet.OutcomeNotRun {
				t.Fatalf("refused with %v", got)
			}
		})
	}
}

// TestRetry guards against a retry at the upstream that failed while another is
// available, and against the outcome "not run" after an attempt.
func TestRetry(t *testing.T) {
	for _, kind := range []string{"ledger", "lookup"} {
		s := newScheduler(2, 1)
		s.Step(0, request("a", "m0", kind, 1000))
		first := onlyCommand[sched.Dispatch](t, s).Choice.Target
		s.Step(time.Millisecond, sched.Failed{ID: "a", Upstream: first, Retry: true})
		second := onlyCommand[sched.Dispatch](t, s).Choice.Target
		if second == first {
			t.Fatalf("%s: second attempt at %s again", kind, second)
		}
		for _, id := range []fleet.UpstreamID{"e0", "e1", "s0", "s1"} {
			s.Step(2*time.Millisecond, sched.UpstreamState{Upstream: id})
		}
		s.Step(3*time.Millisecond, sched.Failed{ID: "a", Upstream: second, Retry: true})
		if got := onlyCommand[sched.Refuse](t, s).Refusal; got.Outcome != fleet.OutcomeUnknown {
			t.Fatalf("%s: refused after two attempts with %v", kind, got)
		}
	}
}

// TestSplitFallsBack guards against a split request that is lost when its
// prefill engine fails.
func TestSplitFallsBack(t *testing.T) {
	s := newScheduler(2, 1)
	s.Step(0, sched.UpstreamState{Upstream: "e0", Available: true, Role: fleet.RolePrefill})
	s.Step(0, sched.UpstreamState{Upstream: "e1", Available: true, Role: fleet.RoleDecode})
	s.Step(0, request("a", "m0", "ledger", 5000))
	c := onlyCommand[sched.Dispatch](t, s).Choice
	if c.Path != sched.PathSplit || c.PrefillTarget != "e0" || c.Target != "e1" {
		t.Fatalf("chose %+v", c)
	}
	s.Step(time.Millisecond, sched.Failed{ID: "a", Upstream: "e0", Retry: true})
	c = onlyCommand[sched.Dispatch](t, s).Choice
	if c.Path != sched.PathLocal || c.Target != "e1" {
		t.Fatalf("after the failure chose %+v", c)
	}
}

// TestAvoidsLongGaps guards against long token gaps of an engine being ignored
// in the choice of an engine.
func TestAvoidsLongGaps(t *testing.T) {
	s := newScheduler(2, 1)
	s.Step(0, sched.UpstreamState{Upstream: "e1"})
	s.Step(0, request("long", "m0", "ledger", 1000))
	s.Step(time.Millisecond, sched.FirstToken{ID: "long"})
	now := time.Millisecond
	for range 100 {
		now += 16 * 20 * time.Millisecond
		s.Step(now, sched.Tokens{ID: "long", N: 16, LongestGap: 300 * time.Millisecond})
	}
	s.Step(now, sched.UpstreamState{Upstream: "e1", Available: true})
	for i := range 20 {
		s.Ready()
		now += time.Second
		s.Step(now, request(fmt.Sprint(i), "m0", "ledger", 1000))
		if c := onlyCommand[sched.Dispatch](t, s).Choice; c.Target == "e0" {
			t.Fatalf("chose the engine with long gaps: %+v", c)
		}
		s.Step(now, sched.Cancel{ID: fleet.RequestID(fmt.Sprint(i))})
	}
}

package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// BenchmarkDecide measures one dispatch from the fair queue with 1,300
// backlogged members: peek, prefix look-up over 8 blocks, routing, pop, charge
// and a new request of the same member.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{18, 71, 780} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) { benchmarkDecide(b, n) })
	}
}

func benchmarkDecide(b *testing.B, n int) {
	const members = 1300
	s := New(Config{Seed: 1})
	d := &declare.Declaration{
		Groups: []declare.Group{{Name: "g", Type: declare.GroupEngine}},
		Kinds: []declare.Kind{{Name: "k", Group: "g", FirstTokenTarget: time.Second, TokenGapTarget: 74 * time.Millisecond,
			Deadline: time.Hour, MaxOutputTokens: 400}},
	}
	for i := range n {
		d.Upstreams = append(d.Upstreams, declare.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Group: "g", Role: fleet.Role(i % 3)})
	}
	for i := range members {
		d.Members = append(d.Members, declare.Member{ID: fleet.MemberID(fmt.Sprintf("m%d", i)), Share: float64(1 + i%5)})
	}
	s.Step(0, Configure{Declaration: d})
	for i := range members {
		blocks := make([]uint64, 8)
		for j := range blocks {
			blocks[j] = uint64(i/20*100 + j + 1)
		}
		s.blocks.Insert(int32(i%n), blocks)
		t := &trackedRequest{Request: Request{PromptTokens: 16000, MaxOutputTokens: 400, Blocks: blocks}, member: int32(i), avoidEngine: -1, onlyEngine: -1}
		t.predictedPrompt, t.predictedOutput = 16000, 200
		s.enqueue(t)
	}
	b.ReportAllocs()
	for b.Loop() {
		q := s.groupStates[0].queue
		t := s.queued[q.Peek().Index]
		s.chooseRoute(t)
		q.Pop()
		q.Push(&t.item)
	}
}

// BenchmarkRequest measures all events of a request at 71 upstreams: submit,
// dispatch, first token, 100 chunks and the end.
func BenchmarkRequest(b *testing.B) {
	s := New(Config{Seed: 1})
	d := &declare.Declaration{
		Members: []declare.Member{{ID: "m", Share: 1}},
		Groups:  []declare.Group{{Name: "g", Type: declare.GroupEngine}},
		Kinds:   []declare.Kind{{Name: "k", Group: "g", FirstTokenTarget: time.Second, Deadline: time.Hour, MaxOutputTokens: 400}},
	}
	for i := range 71 {
		d.Upstreams = append(d.Upstreams, declare.Upstream{ID: fleet.UpstreamID(fmt.Sprintf("e%d", i)), Group: "g"})
	}
	s.Step(0, Configure{Declaration: d})
	now := fleet.Instant(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second
		s.Step(now, Tick{})
		s.Step(now, Submit{Request: Request{ID: "r", Member: "m", Kind: "k", PromptTokens: 3000, MaxOutputTokens: 100}})
		s.Step(now+300*time.Millisecond, FirstToken{ID: "r"})
		for i := range 100 {
			s.Step(now+time.Duration(300+i)*time.Millisecond, Tokens{ID: "r", N: 1})
		}
		s.Step(now+500*time.Millisecond, Finished{ID: "r", Usage: fleet.Usage{PromptTokens: 3000, OutputTokens: 100}})
		s.Ready()
		s.TakePeerUpdate()
	}
}

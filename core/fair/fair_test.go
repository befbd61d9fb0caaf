package fair_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// queue returns a queue of members 0 and up with the given weights.
func queue(weights ...float64) *fair.Queue {
	q := fair.New()
	for i, w := range weights {
		q.SetWeight(int32(i), w)
	}
	return q
}

// TestShareOfBackloggedMember guards against a share error above 5% and against
// starvation, with costs that differ between members and are corrected after
// the pop. 600 pops correspond to a minute.
func TestShareOfBackloggedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "members")
		weights := make([]float64, n)
		total := 0.0
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			total += weights[i]
		}
		q := queue(weights...)
		served, all := make([]float64, n), 0.0
		push := func(m int32) { q.Push(&fair.Item{Member: m, Cost: 1}) }
		for m := range n {
			push(int32(m))
			push(int32(m))
		}
		for range 2000 {
			it := q.Pop()
			actual := float64(1+it.Member) / float64(n) * rapid.Float64Range(0.5, 1.5).Draw(t, "actual")
			q.Charge(it.Member, actual-it.Cost)
			served[it.Member] += actual
			all += actual
			push(it.Member)
		}
		for m := range n {
			want := weights[m] / total
			if err := math.Abs(served[m]/all-want) / want; err > 0.05 {
				t.Fatalf("member %d got %.3f of %.3f", m, served[m]/all, want)
			}
		}
	})
}

// TestIdleSavesNothing guards against credit for idle time, and against a debt
// for service received while the other member was idle: as soon as both are
// backlogged, they get equal service.
func TestIdleSavesNothing(t *testing.T) {
	q := queue(1, 1)
	for i := range 100 {
		q.Push(&fair.Item{Member: 0, Cost: 1, Index: int32(i)})
	}
	for range 50 {
		q.Pop()
	}
	for i := range 50 {
		q.Push(&fair.Item{Member: 1, Cost: 1, Index: int32(i)})
	}
	got := [2]int{}
	for range 40 {
		got[q.Pop().Member]++
	}
	if got[0] < 19 || got[0] > 21 {
		t.Fatalf("of 40 pops the members got %v", got)
	}
}

// TestSpreadingGainsNothing guards against a member that gets more than its
// share by using several instances. Member 0 queues at both instances, member 1
// only at the first one.
func TestSpreadingGainsNothing(t *testing.T) {
	instances := []*fair.Queue{queue(1, 1), queue(1, 1)}
	served := [2]float64{}
	for i := range 2000 {
		instances[0].Push(&fair.Item{Member: 0, Cost: 1, Index: int32(i)})
		instances[1].Push(&fair.Item{Member: 0, Cost: 1, Index: int32(i)})
		instances[0].Push(&fair.Item{Member: 1, Cost: 1, Index: int32(i)})
	}
	for range 60 {
		unsent := [2][2]float64{}
		for range 10 {
			for i, q := range instances {
				it := q.Pop()
				served[it.Member]++
				unsent[i][it.Member]++
			}
		}
		for i, q := range instances {
			for m := range served {
				q.Charge(int32(m), unsent[1-i][m])
			}
		}
	}
	if share := served[1] / (served[0] + served[1]); share < 0.475 {
		t.Fatalf("the member at one instance got %.3f of the service", share)
	}
}

// TestOrderInsideMember guards against urgency or slack being ignored between
// items of a member, and against either being used between members.
func TestOrderInsideMember(t *testing.T) {
	q := queue(1, 1)
	for i, it := range []fair.Item{
		{Urgency: 0, StartBy: 1}, {Urgency: 1, StartBy: 9}, {Urgency: 1, StartBy: 5}, {Member: 1, Urgency: 9, StartBy: 0}, {Member: 1, Urgency: 9, StartBy: 1},
	} {
		it.Index, it.Cost = int32(i), 1
		q.Push(&it)
	}
	var order []int32
	for q.Len() > 0 {
		order = append(order, q.Pop().Index)
	}
	if got := fmt.Sprint(order); got != "[2 3 1 4 0]" {
		t.Fatalf("order %s", got)
	}
}

// TestRemove guards against a broken heap after removals from the middle.
func TestRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue(1, 2, 3)
		var items []*fair.Item
		for i := range rapid.IntRange(1, 40).Draw(t, "items") {
			it := &fair.Item{Member: int32(rapid.IntRange(0, 2).Draw(t, "member")), Index: int32(i), Cost: 1,
				StartBy: fleet.Instant(rapid.IntRange(0, 9).Draw(t, "due"))}
			items = append(items, it)
			q.Push(it)
		}
		left := len(items)
		for _, it := range items {
			if rapid.Bool().Draw(t, "remove") {
				q.Remove(it)
				left--
			}
		}
		last := map[int32]fleet.Instant{}
		for ; left > 0; left-- {
			it := q.Pop()
			if it == nil || it.StartBy < last[it.Member] {
				t.Fatalf("popped %+v with %d left", it, left)
			}
			last[it.Member] = it.StartBy
		}
		if q.Len() != 0 || q.Pop() != nil || math.Abs(q.Cost()) > 1e-9 {
			t.Fatalf("%d items and cost %v left", q.Len(), q.Cost())
		}
	})
}

// BenchmarkFairQueue measures a pop and a push with 1,300 backlogged members.
func BenchmarkFairQueue(b *testing.B) {
	q := fair.New()
	for m := range int32(1300) {
		q.SetWeight(m, float64(1+m%7))
		q.Push(&fair.Item{Member: m, Cost: 1 + float64(m%3)})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(q.Pop())
	}
}

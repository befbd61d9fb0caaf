package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bramleywick/bramleywick/capacity/meter"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// BenchmarkSchedulerState measures a scheduler's memory by the numbers of members
// and engines. Each member has had a request and each engine has reported. The
// cache index is off, since its size is fixed.
func BenchmarkSchedulerState(b *testing.B) {
	for _, c := range []struct{ members, upstreams int }{
		{130, 71}, {1300, 71}, {3900, 71}, {1300, 18}, {1300, 284}, {1300, 780},
	} {
		b.Run(fmt.Sprintf("members=%d/upstreams=%d", c.members, c.upstreams), func(b *testing.B) {
			for range b.N {
				d := stateDeclaration(c.members, c.upstreams)
				before := meter.Memory()
				s := populatedScheduler(d)
				b.ReportMetric((meter.Memory()-before)/bytesPerKB, "KB")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(s)
			}
		})
	}
}

// stateDeclaration returns a declaration with one kind, one group of engines and the
// given numbers of members and upstreams.
func stateDeclaration(members, upstreams int) *declare.Declaration {
	d := &declare.Declaration{
		Groups: []declare.Group{{Name: "g", Type: declare.GroupEngine}},
		Kinds:  []declare.Kind{{Name: "k", Group: "g", FirstTokenTarget: time.Second, Deadline: time.Hour, MaxOutputTokens: 400}},
	}
	for i := range members {
		d.Members = append(d.Members, declare.Member{ID: fleet.MemberID(fmt.Sprint("member-", i)), Share: 1})
	}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, declare.Upstream{ID: fleet.UpstreamID(fmt.Sprint("engine-", i)), Group: "g"})
	}
	return d
}

// populatedScheduler returns a scheduler that has served one request of each member,
// one after another.
func populatedScheduler(d *declare.Declaration) *sched.Scheduler {
	s := sched.New(sched.Config{Seed: 1, Ablation: sched.Ablation{NoPrefix: true}})
	s.Step(0, sched.Configure{Declaration: d})
	now := fleet.Instant(0)
	for _, m := range d.Members {
		now += time.Second
		for i, u := range d.Upstreams {
			if i%10 == int(now/time.Second)%10 {
				s.Step(now, sched.Report{Load: sched.LoadReport{Upstream: u.ID, Incarnation: "x", At: now, KVCapacityTokens: 1 << 20}})
			}
		}
		id := fleet.RequestID(m.ID)
		s.Step(now, sched.Submit{Request: sched.Request{ID: id, Member: m.ID, Kind: "k", PromptTokens: 3000, MaxOutputTokens: 100}})
		s.Step(now+300*time.Millisecond, sched.FirstToken{ID: id})
		s.Step(now+400*time.Millisecond, sched.Tokens{ID: id, N: 100})
		s.Step(now+500*time.Millisecond, sched.Finished{ID: id, Usage: fleet.Usage{PromptTokens: 3000, OutputTokens: 100}})
		s.Ready()
		s.TakePeerUpdate()
	}
	return s
}

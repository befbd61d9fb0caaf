package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/peer"
)

const (
	benchMembers = 1300
	// benchRequests is the number of requests per daemon and second.
	benchRequests = 8.7
	// benchPrefill and benchGenerated are an engine's tokens per second.
	benchPrefill   = 22_000
	benchGenerated = 950
	benchWarmUp    = 8 * time.Second
	// benchTime covers two rounds of totals between data centres.
	benchTime = 10 * time.Second
)

// traffic counts the bytes that one daemon sends and receives.
type traffic struct{ sent, received atomic.Int64 }

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.t}, err
}

// fixedConfig is a ConfigSource that never changes.
type fixedConfig struct{}

func (fixedConfig) Record() config.Record     { return config.Record{Stamp: config.Stamp{Version: 1}} }
func (fixedConfig) Offer(config.Record) error { return nil }

// load drives one node in place of a scheduler and a poller.
type load struct {
	node     *peer.Node
	traffic  traffic
	requests float64
	// engines are the upstreams to which it dispatches.
	engines []fleet.UpstreamID
	start   time.Time
	mu      sync.Mutex
	polled  []fleet.UpstreamID
}

func (l *load) now() fleet.Instant { return time.Since(l.start) }

// takePeerUpdate returns the work of half a second.
func (l *load) takePeerUpdate() sched.PeerUpdate {
	var out sched.PeerUpdate
	for range int(l.requests/2 + rand.Float64()) {
		out.Service = append(out.Service, sched.PeerService{
			Member: memberName(rand.IntN(benchMembers)), Group: "language-models", Cost: rand.Float64() * 9,
		})
		out.Dispatches = append(out.Dispatches, sched.PeerDispatch{
			Upstream: l.engines[rand.IntN(len(l.engines))], At: l.now(),
			PromptTokens: rand.IntN(40_000), OutputTokens: rand.IntN(2_000),
		})
	}
	out.Queues = []sched.PeerQueueState{{
		Group: "language-models", StartTag: 1e6 * rand.Float64(), Backlogged: true,
		PrefillCost: rand.Float64(), TokenCost: rand.Float64(),
	}}
	out.Demand = []sched.GroupDemand{{
		Group: "language-models", PromptTokens: 1e5 * rand.Float64(), OutputTokens: 1e4 * rand.Float64(),
		ContextTokens: 1e6 * rand.Float64(),
	}}
	return out
}

// poll applies a load report of each polled upstream every half second.
func (l *load) poll(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		l.mu.Lock()
		polled := l.polled
		l.mu.Unlock()
		for _, id := range polled {
			l.node.ApplyMembership(membership.Polled{Load: sched.LoadReport{
				Upstream: id, Incarnation: fleet.Incarnation("3f1c6a52-" + id), At: l.now(), Running: rand.IntN(64),
				Waiting: rand.IntN(16), WaitingPromptTokens: rand.IntN(400_000),
				KVUsedTokens: rand.IntN(4_000_000), KVCapacityTokens: 4_000_000,
				PrefilledTotal: int64(l.now().Seconds() * benchPrefill), GeneratedTotal: int64(l.now().Seconds() * benchGenerated),
			}})
		}
	}
}

func memberName(i int) fleet.MemberID { return fleet.MemberID(fmt.Sprintf("member-team-%04d", i)) }

func benchDeclaration(c benchCase) *declare.Declaration {
	d := &declare.Declaration{Groups: []declare.Group{{Name: "language-models"}}}
	for i := range benchMembers {
		d.Members = append(d.Members, declare.Member{ID: memberName(i)})
	}
	for dc := range c.dcs {
		name := fmt.Sprintf("dc-%d", dc)
		for i := range c.upstreams {
			d.Upstreams = append(d.Upstreams, declare.Upstream{
				ID: fleet.UpstreamID(fmt.Sprint(name, "-engine-", i)), DataCentre: fleet.DataCentre(name), Address: fmt.Sprintf("192.0.2.%d:%d", dc, i),
			})
		}
	}
	return d
}

// startLoad starts one node.
func startLoad(ctx context.Context, b *testing.B, l *load, self membership.Profile, listener net.Listener) {
	l.start = time.Now()
	l.node = peer.New(peer.Options{
		Self: self, Incarnation: uint64(time.Now().UnixMilli()), Seed: membership.Hash(string(self.ID)),
		Now: l.now, Config: fixedConfig{}, Log: zap.NewNop(),
		Hooks: peer.Hooks{
			Schedule:       func(sched.Event) {},
			TakePeerUpdate: l.takePeerUpdate,
			WatchConfig:    func(bool) {},
			SetPolled: func(ids []fleet.UpstreamID) {
				l.mu.Lock()
				l.polled = ids
				l.mu.Unlock()
			},
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return countedConn{conn, &l.traffic}, err
		},
	})
	go func() { _ = l.node.Serve(countedListener{listener, &l.traffic}) }()
	b.Cleanup(func() { _ = listener.Close() })
	go l.node.Run(ctx)
	go l.poll(ctx)
}

const (
	// regionDataCentres is the number of data centres in a region.
	regionDataCentres = 4
	// regionDaemons is the maximum number of daemons started for another data
	// centre of the region. With 35 in each, the connections exceed the 20,000
	// files that a process may open, and pushes fail.
	regionDaemons = 20
)

// benchCase is a fleet size: the daemons and upstreams of each data centre, and
// the requests per daemon and second.
type benchCase struct {
	peers, dcs, upstreams int
	requests              float64
}

// daemonSpec is one daemon to start, with its data centre, its region and its
// requests per second.
type daemonSpec struct {
	dc, region string
	requests   float64
}

// daemonSpecs returns the daemons to start. One daemon stands for a data centre
// of another region. Daemons that stand for a larger data centre carry the work
// of all its daemons.
func daemonSpecs(c benchCase) []daemonSpec {
	var out []daemonSpec
	for dc := range c.dcs {
		count, region := c.peers, dc/regionDataCentres
		switch {
		case region > 0:
			count = 1
		case dc > 0:
			count = min(count, regionDaemons)
		}
		for range count {
			out = append(out, daemonSpec{
				fmt.Sprintf("dc-%d", dc), fmt.Sprintf("region-%d", region),
				c.requests * float64(c.peers) / float64(count),
			})
		}
	}
	return out
}

// startFleet starts the daemons of data centre dc-0 and those that stand for
// the other data centres.
func startFleet(ctx context.Context, b *testing.B, c benchCase) []*load {
	var loads []*load
	var rows []membership.ListRow
	var profiles []membership.Profile
	var listeners []net.Listener
	declaration := benchDeclaration(c)
	var engines []fleet.UpstreamID
	for _, u := range declaration.Upstreams[:min(c.dcs, regionDataCentres)*c.upstreams] {
		engines = append(engines, u.ID)
	}
	for i, spec := range daemonSpecs(c) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		p := membership.Profile{
			ID: fleet.InstanceID(fmt.Sprintf("%s-entry-%02d", spec.dc, i)), DataCentre: fleet.DataCentre(spec.dc),
			Region: spec.region, Address: listener.Addr().String(),
		}
		rows = append(rows, membership.ListRow{ID: string(p.ID), Address: p.Address, DataCentre: p.DataCentre})
		loads, profiles, listeners = append(loads, &load{requests: spec.requests, engines: engines}), append(profiles, p), append(listeners, listener)
	}
	for i, l := range loads {
		startLoad(ctx, b, l, profiles[i], listeners[i])
		l.node.Configure(1, declaration)
		l.node.ApplyMembership(membership.InstancesListed{Rows: rows})
	}
	return loads
}

func failedPushes(loads []*load) (n uint64) {
	for _, l := range loads {
		n += l.node.Stats().PushFailures
	}
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchange measures the cost of the control plane per daemon, where
// peers is the number of daemons in the data centre. The budget of the busiest
// daemon at peers=35 is 22 KB/s sent and received, 1.5% of a core and 64 MB.
// Processor time and memory are the mean over all daemons of the process. The
// first case is the current size of the fleet.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []benchCase{
		{3, 3, 7, 30}, {8, 11, 16, benchRequests}, {16, 11, 32, benchRequests}, {35, 11, 71, benchRequests},
	} {
		b.Run(fmt.Sprintf("peers=%d/data_centres=%d", c.peers, c.dcs), func(b *testing.B) {
			for range b.N {
				measure(b, c)
			}
		})
	}
}

// measure runs a fleet of one size and reports its metrics per daemon.
func measure(b *testing.B, c benchCase) {
	peers := c.peers
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loads := startFleet(ctx, b, c)
	time.Sleep(benchWarmUp)
	for _, l := range loads {
		l.traffic.sent.Store(0)
		l.traffic.received.Store(0)
	}
	failed := failedPushes(loads)
	cpu, start := cpuTime(), time.Now()
	time.Sleep(benchTime)
	seconds := time.Since(start).Seconds()
	cpu = cpuTime() - cpu
	failures := failedPushes(loads) - failed
	var out, in, most int64
	for _, l := range loads[:peers] {
		o, n := l.traffic.sent.Load(), l.traffic.received.Load()
		out, in, most = out+o, in+n, max(most, o+n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(peers) * seconds
	all := float64(len(loads))
	b.ReportMetric(float64(out)/each, "sent_B/s")
	b.ReportMetric(float64(in)/each, "received_B/s")
	b.ReportMetric(float64(most)/seconds, "most_sent+received_B/s")
	b.ReportMetric(100*cpu.Seconds()/seconds/all, "core_%")
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/all/1e6, "MB")
	b.ReportMetric(float64(failures), "failed_pushes")
	b.ReportMetric(0, "ns/op")
}

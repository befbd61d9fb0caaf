package usage

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"go.uber.org/zap"

	counts "github.com/bramleywick/bramleywick/core/usage"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/duty/dutytest"
)

const (
	window = 5 * time.Second
	late   = 10 * time.Second
	ttl    = 3 * time.Second
	// epoch0 is the time since the start of 1970 when the boottime clocks of all
	// instances are 0.
	epoch0 = 400_000 * time.Hour
	step   = 100 * time.Millisecond
)

// received is a call that has reached the platform.
type received struct {
	at     fleet.Instant
	holder fleet.InstanceID
	fence  int64
	window int64
	counts map[fleet.MemberID]int64
	// executed reports whether the call has taken effect.
	executed bool
}

// world is a deployment with its store and platform in virtual time.
type world struct {
	now   fleet.Instant
	rng   *rand.Rand
	store *dutytest.Store
	nodes []*node
	hubs  int
	// requireFencing makes the platform check the fencing numbers.
	requireFencing bool
	calls          []received
	// accepted holds the reports that the platform has executed, and acceptedAt when
	// the first one of a window was.
	accepted   map[int64]map[fleet.MemberID]int64
	acceptedAt map[int64]fleet.Instant
	highest    int64
	// delayed are the calls that are executed later.
	delayed []func()
	truth   map[int64]map[fleet.MemberID]int64
	faults  []string
	// operation counts the calls of all nodes to the store and the platform, and
	// onOperation is called before and after each.
	operation   int
	onOperation func(n *node, operation int, after bool)
	// unreachable holds the nodes that cannot reach the platform's API.
	unreachable map[fleet.InstanceID]error
	// cut holds pairs of nodes that do not reach each other.
	cut map[[2]int]bool
}

// node is an instance of the world.
type node struct {
	w        *world
	index    int
	id       fleet.InstanceID
	holder   *duty.Holder
	reporter *Reporter
	stopped  bool
	// frozenUntil is until when the process is frozen, and wallStep the error of its
	// wall clock.
	frozenUntil fleet.Instant
	wallStep    time.Duration
	storeDown   bool
	acting      bool
	// era is the store's era that the node has seen.
	era int64
}

// killed is the panic that ends a process in the middle of a call.
type killed struct{}

func newWorld(n, hubs int) *world {
	w := &world{
		now: time.Hour, rng: rand.New(rand.NewSource(1)), hubs: hubs, requireFencing: true, accepted: map[int64]map[fleet.MemberID]int64{},
		acceptedAt: map[int64]fleet.Instant{}, truth: map[int64]map[fleet.MemberID]int64{}, unreachable: map[fleet.InstanceID]error{}, cut: map[[2]int]bool{},
	}
	w.store = dutytest.NewStore(func() fleet.Instant { return w.now })
	for i := range n {
		w.nodes = append(w.nodes, w.start(i))
	}
	return w
}

// start starts a process of an instance.
func (w *world) start(i int) *node {
	n := &node{w: w, index: i, id: fleet.InstanceID(fmt.Sprint("i", i))}
	if i < len(w.nodes) {
		n.wallStep = w.nodes[i].wallStep
	}
	clock := func() fleet.Instant { return w.now }
	process := w.rng.Uint64()
	s := nodeStore{n, w.store}
	n.holder = duty.NewHolder(duty.Options{
		Duty: "d", Instance: n.id, Process: fmt.Sprint(process), Store: s, TTL: ttl, Now: clock, Log: zap.NewNop(),
		MayCompete: func() bool { return n.mayCompete() },
	})
	n.reporter = New(Options{
		Instance: n.id, Epoch: process, Window: window, Late: late, Store: s, Cloud: nodeCloud{n}, Holder: n.holder,
		Listed: w.listed, Candidates: w.candidates, Observer: noObserver{}, Now: clock,
		Wall: func() fleet.Instant { return epoch0 + w.now + n.wallStep }, Log: zap.NewNop(),
	})
	return n
}

type noObserver struct{}

func (noObserver) UsageReport(string) {}
func (noObserver) UsageWindow(bool)   {}

// listed returns the instances that the store lists. Those that were just killed
// still are.
func (w *world) listed() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, n := range w.nodes {
		out = append(out, n.id)
	}
	return out
}

func (w *world) candidates() []fleet.InstanceID {
	if w.hubs > 0 {
		return w.listed()[:w.hubs]
	}
	return w.listed()
}

// mayCompete ranks the nodes by index, a third of a second apart.
func (n *node) mayCompete() bool {
	if n.w.hubs > 0 && n.index >= n.w.hubs {
		return false
	}
	return n.w.store.FreeFor(duty.Keys("d").Holder) >= time.Duration(n.index)*300*time.Millisecond
}

func (n *node) runs() bool { return !n.stopped && n.w.now >= n.frozenUntil && !n.acting }

// requests lets a node serve requests of some members that begin to run now.
func (n *node) requests(perStep float64) {
	for range int(perStep + n.w.rng.Float64()) {
		member := fleet.MemberID(fmt.Sprint("m", n.w.rng.Intn(6)))
		n.reporter.Began(member, n.w.now)
		n.w.addTruth(member, 1)
	}
}

func (w *world) addTruth(member fleet.MemberID, n int64) {
	k := counts.Window(epoch0+w.now, window)
	if w.truth[k] == nil {
		w.truth[k] = map[fleet.MemberID]int64{}
	}
	w.truth[k][member] += n
}

// link returns the kind of the link between two nodes; false for none.
func (w *world) link(from, to *node) (counts.Link, bool) {
	switch {
	case w.cut[[2]int{min(from.index, to.index), max(from.index, to.index)}]:
		return 0, false
	case w.hubs == 0:
		return counts.LinkPeer, true
	case from.index < w.hubs && to.index < w.hubs:
		return counts.LinkHubs, true
	case from.index >= w.hubs && to.index == w.hubOf(from):
		return counts.LinkPeer, true
	case to.index >= w.hubs && from.index == w.hubOf(to):
		return counts.LinkInstance, true
	}
	return 0, false
}

// reverse returns the kind of a link as the other instance sees it.
func reverse(link counts.Link) counts.Link {
	if link == counts.LinkHubs {
		return link
	}
	return counts.LinkPeer
}

// hubOf returns the index of the hub of a node: the hub of another data centre
// while its own is lost.
func (w *world) hubOf(n *node) int {
	for k := range w.hubs {
		if hub := (n.index + k) % w.hubs; w.nodes[hub].runs() {
			return hub
		}
	}
	return n.index % w.hubs
}

// advance lets time pass. perStep is the number of requests of each node in each
// step.
func (w *world) advance(d time.Duration, perStep float64) {
	for end := w.now + d; w.now < end; {
		w.now += step
		for _, f := range w.takeDelayed() {
			f()
		}
		for _, n := range w.nodes {
			if n.runs() {
				n.requests(perStep)
				n.reporter.Tick()
			}
			if n.runs() && !n.storeDown && !w.store.Down && (w.now/step)%5 == 0 {
				n.era = w.store.Era() // the directory reads the store
			}
		}
		for _, from := range w.nodes {
			for _, to := range w.nodes {
				if link, ok := w.link(from, to); ok && from != to && from.runs() && to.runs() {
					include := func(id fleet.InstanceID) bool {
						return w.hubs > 0 && from.index < w.hubs && id != to.id && !(link == counts.LinkHubs && isHub(w, id))
					}
					if r := from.reporter.UsageReport(to.id, link, include); r != nil {
						to.reporter.ApplyUsage(from.id, reverse(link), r)
					}
				}
			}
		}
		for _, n := range w.nodes {
			if n.runs() && w.now%(2*step) == 0 {
				n.act()
			}
		}
	}
}

func isHub(w *world, id fleet.InstanceID) bool {
	for _, n := range w.nodes[:w.hubs] {
		if n.id == id {
			return true
		}
	}
	return false
}

func (w *world) takeDelayed() []func() {
	out := w.delayed
	w.delayed = nil
	return out
}

// later executes f after a time.
func (w *world) later(d time.Duration, f func()) {
	at := w.now + d
	var wait func()
	wait = func() {
		if w.now < at {
			w.delayed = append(w.delayed, wait)
			return
		}
		f()
	}
	w.delayed = append(w.delayed, wait)
}

// act runs a step of a node's holder; the node may be killed or frozen in it.
func (n *node) act() {
	defer func() {
		n.acting = false
		if cause := recover(); cause != nil {
			if _, ok := cause.(killed); !ok {
				panic(cause)
			}
			n.stopped = true
		}
	}()
	n.acting = true
	n.holder.Tick(context.Background())
	n.reporter.act(context.Background())
}

// release releases the lease as in a planned stop.
func (n *node) release() {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	n.holder.Run(ctx)
}

// holderNode returns the node that may act as the holder, or nil.
func (w *world) holderNode() *node {
	for _, n := range w.nodes {
		if _, ok := n.holder.Term(); ok && !n.stopped {
			return n
		}
	}
	return nil
}

func (w *world) called(n *node, after bool) {
	if !after {
		w.operation++
	}
	if w.onOperation != nil {
		w.onOperation(n, w.operation, after)
	}
}

// present returns the present window.
func (w *world) present() int64 { return counts.Window(epoch0+w.now, window) }

package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
)

const (
	ttl    = 10 * time.Second
	margin = 2 * time.Second
)

// TestMain fixes rapid's seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "5000")
	os.Exit(m.Run())
}

// world is the platform's side of the lease and the instances that compete.
type world struct {
	now     time.Duration
	down    bool
	expires map[string]time.Duration
	holder  *lease.Holder
	under   string // lease of the holder key
	fence   lease.Fence
	rev     int64
	late    []func()
	nodes   []*node

	steps, terms, highest int64
}

type node struct {
	machine *lease.Machine
	queue   []lease.Command
	slow    []lease.Event // answers on their way
}

func (w *world) expire() {
	for id, at := range w.expires {
		if w.now > at {
			w.drop(id)
		}
	}
}

func (w *world) drop(id string) {
	delete(w.expires, id)
	if w.under == id {
		w.holder, w.under = nil, ""
	}
}

// apply has the effect of a command at the platform and returns its answer.
func (w *world) apply(c lease.Command) lease.Event {
	w.expire()
	switch c := c.(type) {
	case lease.Grant:
		id := fmt.Sprint("l", c.Call, len(w.expires), w.steps)
		w.expires[id] = w.now + c.TTL
		return lease.Granted{Call: c.Call, LeaseID: id}
	case lease.WriteHolder:
		if _, alive := w.expires[c.LeaseID]; !alive {
			return lease.Failed{Call: c.Call, Cause: lease.CauseLeaseExpired}
		}
		if w.holder != nil {
			return lease.Failed{Call: c.Call, Cause: lease.CauseConflict}
		}
		holder := c.Holder
		w.holder, w.under = &holder, c.LeaseID
		return lease.Done{Call: c.Call}
	case lease.ReadHolder:
		return lease.HolderRead{Call: c.Call, Holder: w.holder}
	case lease.ReadFence:
		return lease.FenceRead{Call: c.Call, Fence: w.fence, Revision: w.rev}
	case lease.WriteFence:
		if c.Revision != w.rev {
			return lease.Failed{Call: c.Call, Cause: lease.CauseConflict}
		}
		w.rev++
		w.fence = c.Fence
		return lease.Done{Call: c.Call}
	case lease.Renew:
		if _, alive := w.expires[c.LeaseID]; !alive {
			return lease.Failed{Call: c.Call, Cause: lease.CauseLeaseExpired}
		}
		w.expires[c.LeaseID] = w.now + ttl
		return lease.Done{Call: c.Call}
	case lease.Revoke:
		w.drop(c.LeaseID)
	}
	return nil
}

// perform runs the oldest command of a node. Fault 1 loses the answer, 2 lets
// the command take effect later, 3 refuses it, 4 delays the answer.
func (w *world) perform(n *node, fault int) {
	c := n.queue[0]
	n.queue = n.queue[1:]
	lost := lease.Failed{Call: c.Number(), Cause: lease.CauseUnknown}
	switch {
	case w.down || fault == 3:
		w.feed(n, lease.Failed{Call: c.Number(), Cause: lease.CauseUnavailable})
	case fault == 2:
		w.late = append(w.late, func() { w.apply(c) })
		w.feed(n, lost)
	default:
		answer := w.apply(c)
		if fault == 1 {
			answer = lost
		}
		if answer != nil && fault == 4 {
			n.slow = append(n.slow, answer)
		} else if answer != nil {
			w.feed(n, answer)
		}
	}
}

func (w *world) feed(n *node, ev lease.Event) {
	n.machine.Step(w.now, ev)
	n.queue = append(n.queue, n.machine.Ready()...)
}

// check is the invariant: at most one node may act at a time, the platform's
// lease of that node still runs, and numbers rise from holder to holder.
func (w *world) check() error {
	w.expire()
	holders := 0
	for i, n := range w.nodes {
		a := n.machine.Term()
		if !a.Valid(w.now) {
			continue
		}
		holders++
		if w.holder == nil || w.expires[w.under] < a.ValidUntil {
			return fmt.Errorf("node %d may act until %v, the platform's lease ends at %v", i, a.ValidUntil, w.expires[w.under])
		}
		if a.Fence < w.highest {
			return fmt.Errorf("node %d holds with %d after %d", i, a.Fence, w.highest)
		}
		if a.Fence > w.highest {
			w.highest = a.Fence
			w.terms++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d nodes may act", holders)
	}
	return nil
}

func (w *world) act(pick func(n int) int) error {
	w.steps++
	n := w.nodes[pick(len(w.nodes))]
	switch kind := pick(12); {
	case kind < 6 && len(n.queue) > 0:
		w.perform(n, 0)
	case kind == 6 && len(n.queue) > 0:
		w.perform(n, 1+pick(4))
	case kind <= 6 && len(n.slow) > 0:
		answer := n.slow[0]
		n.slow = n.slow[1:]
		w.feed(n, answer)
	case kind == 7 && len(w.late) > 0:
		i := pick(len(w.late))
		w.late[i]()
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	case kind == 8:
		w.now += time.Duration(pick(12)) * time.Second
	case kind == 9:
		w.down = !w.down && pick(3) == 0
	case kind >= 10:
		w.now += 300 * time.Millisecond
		for _, n := range w.nodes {
			w.feed(n, lease.Tick{})
		}
	}
	return w.check()
}

// TestOneHolder guards against two holders at once and against a fencing number
// that does not rise, whatever is lost, late, refused or paused between any two
// steps. A node that is not picked is paused.
func TestOneHolder(t *testing.T) {
	var steps, terms int64
	rapid.Check(t, func(t *rapid.T) {
		w := &world{expires: map[string]time.Duration{}}
		for i := range 3 {
			w.nodes = append(w.nodes, &node{machine: lease.New(lease.Config{
				Instance: fleet.InstanceID(fmt.Sprint("i", i)), Process: "p", TTL: ttl, Margin: margin, RetryInterval: time.Second, PollInterval: time.Second,
			})})
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			if err := w.act(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }); err != nil {
				t.Fatal(err)
			}
		}
		steps += w.steps
		terms += w.terms
	})
	t.Logf("%d steps, %d terms", steps, terms)
	if terms == 0 {
		t.Fatal("no node ever became the holder")
	}
}

// TestLeaseCountedFromBeforeTheRequest guards against counting a lease from
// the time of its answer, which would let a slow answer extend it.
func TestLeaseCountedFromBeforeTheRequest(t *testing.T) {
	m := lease.New(lease.Config{Instance: "a", Process: "p", TTL: ttl, Margin: margin, RetryInterval: time.Second})
	m.Step(0, lease.Tick{})
	m.Step(0, lease.HolderRead{Call: 1})
	m.Step(7*time.Second, lease.Granted{Call: 2, LeaseID: "l"})
	m.Step(7*time.Second, lease.Done{Call: 3})
	m.Step(7*time.Second, lease.FenceRead{Call: 4})
	m.Step(7*time.Second, lease.Done{Call: 5})
	a := m.Term()
	if a.Fence != 1 || a.ValidUntil != ttl-margin {
		t.Fatalf("authority %+v", a)
	}
	m.Step(a.ValidUntil, lease.Tick{})
	if m.Term().Fence != 0 {
		t.Fatal("the holder acts after its lease")
	}
}

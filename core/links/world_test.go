package links

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// cut is what the connections of the instance meet.
type cut uint8

const (
	cutNone cut = iota
	// cutSilent loses all bytes, cutReset ends all connections and refuses new ones, and
	// cutRefuse refuses new ones only.
	cutSilent
	cutReset
	cutRefuse
)

const (
	roundTrip     = 2 * time.Millisecond
	deadTime      = 1500 * time.Millisecond
	idleTime      = 2400 * time.Millisecond
	eventGap      = 74 * time.Millisecond
	plainServers  = 3
	engineAnswers = 12
)

// testServer is a server of the fake fleet.
type testServer struct {
	Server
	plain       bool
	down        bool
	silentUntil fleet.Instant
	// lost is the number of times that its connections were lost.
	lost int
	idle []fleet.Instant
}

// world is an instance that sends requests to a fleet at a fixed rate.
type world struct {
	*Detector
	rand    *rand.Rand
	now     fleet.Instant
	queue   events
	servers []*testServer
	cut     cut
	cuts    int
	probes  int
	// partitions is the number of partitions that were found, the first one at
	// partitionedAt. returnedAt is when the last one was over.
	partitions                int
	partitionedAt, returnedAt fleet.Instant
	// troubleAt is when an attempt first met the cut.
	cutAt, troubleAt fleet.Instant
}

type event struct {
	at fleet.Instant
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// newWorld returns an instance before servers of two services, in three data centres.
// Engines answer after firstByte.
func newWorld(seed uint64, servers int, perSecond float64, firstByte time.Duration) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), partitionedAt: never, returnedAt: never, troubleAt: never}
	w.Detector = New(w.rand.Float64, 0)
	var list []Server
	for i := range servers {
		s := &testServer{plain: i < plainServers}
		s.Server = Server{Address: fmt.Sprint("server-", i), Group: "engines", DataCentre: fleet.DataCentre(fmt.Sprint(i % 3))}
		if s.plain {
			s.Group = "plain"
		}
		w.servers = append(w.servers, s)
		list = append(list, s.Server)
	}
	w.SetServers(list)
	var step, request func()
	step = func() {
		w.step()
		w.after(StepInterval, step)
	}
	request = func() {
		w.send(w.rand.Float64() < 0.3, firstByte, 3)
		w.after(time.Duration(w.rand.ExpFloat64()/perSecond*float64(time.Second)), request)
	}
	w.after(0, step)
	w.after(0, request)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now + d, len(w.queue), do})
}

// run lets the time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// runUntil lets the time pass until the detector is in a state, for some seconds at most.
func (w *world) runUntil(s State) bool {
	for end := w.now + 10*time.Second; w.State() != s && w.now < end; {
		w.run(time.Millisecond)
	}
	return w.State() == s
}

// step runs the detector and its probes.
func (w *world) step() {
	for _, p := range w.Step(w.now) {
		w.probes++
		s := w.server(p.Address)
		result, took := ResultOpened, roundTrip
		switch {
		case w.cut == cutSilent:
			result, took = ResultTimeout, ProbeTimeout
		case w.cut != cutNone || s.down:
			result = ResultRefused
		}
		w.after(took, func() {
			w.Probed(p, result, w.now)
			w.step()
		})
	}
	for _, c := range w.Changes() {
		switch {
		case c.To == Partitioned:
			if w.partitions++; w.partitions == 1 {
				w.partitionedAt = w.now
			}
		case c.To == Connected && c.Reason == ReasonReturned:
			w.returnedAt = w.now
		}
	}
}

func (w *world) server(address string) *testServer {
	for _, s := range w.servers {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// send sends a request to a random server of a service, and to further ones if it
// fails.
func (w *world) send(plain bool, firstByte time.Duration, attempts int) {
	if attempts == 0 || w.rand.Float64() >= w.Share() {
		return
	}
	s := w.servers[w.rand.IntN(plainServers)]
	if !plain {
		s = w.servers[plainServers+w.rand.IntN(len(w.servers)-plainServers)]
	}
	retry := func() { w.send(plain, firstByte, attempts-1) }
	for len(s.idle) > 0 {
		since := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if w.now-since < idleTime {
			w.exchange(s, plain, firstByte, retry)
			return
		}
	}
	w.meet(w.now)
	switch {
	case w.cut == cutSilent:
		w.after(ProbeTimeout, func() { w.fail(s); retry() })
	case w.cut != cutNone || s.down:
		w.after(roundTrip, func() { w.fail(s); retry() })
	default:
		w.after(roundTrip, func() {
			w.Opened(s.Address, w.now)
			w.exchange(s, plain, firstByte, retry)
		})
	}
}

func (w *world) fail(s *testServer) { w.Failed(s.Address, w.now) }

// meet records that an attempt needs what the cut withholds.
func (w *world) meet(at fleet.Instant) {
	if w.troubleAt == never && w.cut != cutNone {
		w.troubleAt = max(at, w.cutAt)
	}
}

// exchange sends a request on an open connection. A connection that is lost or hangs
// fails, and the request goes on elsewhere.
func (w *world) exchange(s *testServer, plain bool, firstByte time.Duration, retry func()) {
	left, gap := engineAnswers, firstByte
	if plain {
		left, gap = 1, 20*time.Millisecond
	}
	lost, cuts := s.lost, w.cuts
	var read func(time.Duration, bool)
	read = func(d time.Duration, waiting bool) {
		if !waiting {
			w.Waiting(w.now)
		}
		w.after(d, func() {
			switch {
			case s.lost != lost, w.cut == cutReset, w.cut == cutSilent && cuts != w.cuts && d >= deadTime:
				w.meet(w.now)
				w.Waited()
				w.fail(s)
				retry()
			case w.cut == cutSilent:
				w.meet(w.now - d)
				cuts = -1
				read(deadTime, true)
			case w.now < s.silentUntil:
				read(s.silentUntil-w.now, true)
			default:
				w.Waited()
				w.Heard(s.Address, w.now)
				if left--; left == 0 {
					s.idle = append(s.idle, w.now)
					return
				}
				read(eventGap, false)
			}
		})
	}
	read(gap, false)
}

// begin starts or, with cutNone, ends a cut.
func (w *world) begin(c cut) {
	w.cut, w.cutAt = c, w.now
	w.cuts++
	if c == cutReset {
		for _, s := range w.servers {
			s.lost++
			s.idle = nil
		}
	}
}

// stop ends a server's process, and starts it again after a time.
func (w *world) stop(s *testServer, d time.Duration) {
	s.down, s.idle = true, nil
	s.lost++
	w.after(d, func() { s.down = false })
}

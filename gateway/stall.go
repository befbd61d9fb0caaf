package gateway

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// stallShare is the share of the remaining time that one engine may take
	// for prefill, or for the first event when the stream can be resumed
	// elsewhere. An engine that is partitioned is detected sooner, by its
	// connection.
	stallShare = 0.6
	// maxStallGap is the time between two events of a stream after which another
	// engine is considered. Callers wait at least two seconds for the next event.
	maxStallGap = 1500 * time.Millisecond
	// recheckTime is the time after which an attempt that has stalled and could
	// not be moved is considered again.
	recheckTime = 250 * time.Millisecond
	// stopTime is the time after which a server that was asked to stop a stream is
	// logged as working on it.
	stopTime = 400 * time.Millisecond
	// minMove is the least remaining time for a move to another server, and
	// maxMoveWait the longest wait expected there: a server that is busier would
	// rather refuse.
	minMove     = 300 * time.Millisecond
	maxMoveWait = 500 * time.Millisecond
	// dripTime is the time after the last event from which on received bytes show
	// that the answer goes on without making progress.
	dripTime = time.Second
)

// errStalled means that an attempt made no progress and was given up for another
// server.
var errStalled = errors.New("the server made no progress")

// stallWatch gives an attempt up that makes no progress, if another server is
// expected to take the request soon. A stream whose beginning the caller has is given
// up only once another engine keeps a slot for it, and goes on there only once its
// server has stopped: it has closed its side after this one has, it cannot be reached,
// or it sends what is no event.
type stallWatch struct {
	p      *proxyRequest
	choice placement.Choice
	// allowed says to which servers the attempt can be moved.
	allowed restriction
	cancel  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// firesAt is when the timer fires for the first time.
	firesAt time.Time
	// answer is the answer once events are read.
	answer *connpool.Answer
	// moved reports whether the attempt was given up, or its server was asked to
	// stop it. The retries for the whole way at other servers are reserved then, and
	// for a stream that has begun a slot, unless the engines keep none.
	moved, ended    bool
	reservedRetries int
	slot            *slot
	// reserving reports whether a slot is being reserved.
	reserving bool
	// lastEvent and lastByte are the Unix nanoseconds of the last event and of the
	// last bytes.
	lastEvent, lastByte atomic.Int64
}

// watchStall starts a watch of an attempt that gives it up after limit, if it may
// be given up at all. The caller must call end.
func (p *proxyRequest) watchStall(c placement.Choice, limit time.Duration, mayMove bool, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{p: p, choice: c, cancel: cancel}
	if !mayMove {
		return w
	}
	w.allowed = p.allowed()
	w.allowed.skip = append(append([]fleet.UpstreamID(nil), p.tried...), c.Server.ID)
	// The timer may fire before it is assigned.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firesAt = time.Now().Add(limit)
	w.timer = time.AfterFunc(limit, w.stalled)
	return w
}

// stalled decides about an attempt without progress.
func (w *stallWatch) stalled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.moved || w.reserving {
		return
	}
	m, ok := w.reserveRetries()
	switch {
	case !ok:
		w.timer.Reset(recheckTime)
	case w.answer == nil || w.lastEvent.Load() == 0:
		w.moved, w.reservedRetries = true, m.calls
		w.cancel()
	default:
		w.reserving = true
		go w.stop(m, w.lastEvent.Load())
	}
}

// reserveRetries spends the retries for the whole way at other servers, and reports
// whether it is expected that the attempt can be moved. The caller holds mu.
func (w *stallWatch) reserveRetries() (move, bool) {
	if w.p.remaining() < minMove {
		return move{}, false
	}
	allowed := w.allowed
	if w.lastEvent.Load() != 0 {
		allowed.software = &w.choice.Server.SoftwareVersion
	}
	m := move{calls: 1}
	// A stream that has begun is not asked to stop for a partition that is only suspected.
	if begun := w.lastEvent.Load() != 0; !w.p.relaysFailures() || (begun && !w.p.g.Links.Partitioned()) {
		m = w.p.g.State.moveOf(w.p, allowed)
	}
	return m, m.calls > 0 && w.p.g.State.spendRetries(w.p.group, m.calls)
}

// stop asks the server to stop a stream that has begun, once another engine keeps a
// slot for it: what is stopped cannot be taken back. The retries of m are spent;
// lastEvent is the time of the stream's last event.
func (w *stallWatch) stop(m move, lastEvent int64) {
	slot, ok := w.p.reserveSlot(m.engine)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserving = false
	goesOn := w.ended || w.lastEvent.Load() != lastEvent
	if !ok || goesOn {
		w.p.dropSlot(slot)
		w.p.g.State.refundRetries(w.p.group, m.calls)
		if !goesOn {
			w.timer.Reset(recheckTime)
		}
		return
	}
	w.moved, w.reservedRetries, w.slot = true, m.calls, slot
	if w.dripping() {
		w.cancel()
		return
	}
	w.log("server asked to stop a stream that has stalled")
	if err := w.answer.EndSending(); err != nil {
		w.p.g.Log.Debug("sending not ended", zap.String("request_id", string(w.p.req.ID)), logline.Error(err))
	}
	go w.checkReachable()
}

// dripping reports whether bytes have come for some time and no event.
func (w *stallWatch) dripping() bool {
	return time.Duration(w.lastByte.Load()-w.lastEvent.Load()) > dripTime
}

// checkReachable gives the attempt up if its server, which was asked to stop,
// cannot be reached. One that can be reached and does not stop may work on the
// stream.
func (w *stallWatch) checkReachable() {
	if dialServer(w.choice.Server.Address) != checkAlive {
		w.cancel()
		return
	}
	time.Sleep(stopTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.log("server works on a stream that has stalled")
	}
}

func (w *stallWatch) log(message string) {
	w.p.g.Log.Info(message, zap.String("request_id", string(w.p.req.ID)), zap.String("server", string(w.choice.Server.ID)),
		zap.Duration("silent_for", time.Duration(time.Now().UnixNano()-w.lastByte.Load())), zap.Duration("left", w.p.remaining()))
}

// reading makes the watch observe an answer, and returns the reader of its body.
func (w *stallWatch) reading(a *connpool.Answer) io.Reader {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = a
	w.lastByte.Store(time.Now().UnixNano())
	return readerFunc(func(p []byte) (int, error) {
		n, err := a.Read(p)
		if n > 0 {
			w.lastByte.Store(time.Now().UnixNano())
		}
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// progress records an event.
func (w *stallWatch) progress() {
	w.lastEvent.Store(time.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.moved {
		w.timer.Reset(maxStallGap)
	}
}

// end ends the watch. It returns errStalled if the attempt failed because it was
// given up, and err otherwise.
func (w *stallWatch) end(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if !w.moved {
		return err
	}
	w.p.reservedRetries += w.reservedRetries
	if w.slot != nil {
		w.p.dropSlot(w.p.slot)
		w.p.slot = w.slot
	}
	if err != nil && !w.p.callerGone() {
		return errors.Wrap(errStalled, err.Error())
	}
	return err
}

// move is the way of a request at other servers.
type move struct {
	// calls is the number of calls that it takes; 0 if no server is expected to take
	// the request soon.
	calls int
	// engine is the one that makes the answer; unset for a plain service.
	engine placement.Choice
}

// moveOf returns the way of a request at the servers that are allowed.
func (s *State) moveOf(p *proxyRequest, allowed restriction) move {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.restrict(allowed)()
	skip := allowed.skip
	now := s.now()
	soon := func(c placement.Choice, ok bool) bool {
		return ok && p.asSent(c).Wait <= maxMoveWait && s.fleet.Available(c.Server.ID)
	}
	if p.service == nil || p.service.Engine == nil || p.req.PromptTokens == 0 {
		s.large = false
		if soon(s.fleet.ChoosePlain(p.group, p.req.ID, now, skip)) {
			return move{calls: 1}
		}
		return move{}
	}
	s.large = s.limiter.IsLarge(p.group, p.req.PromptTokens)
	prefill, _, split := s.fleet.ChooseEngines(p.group, &p.req, now, skip)
	direct, ok := s.fleet.ChooseDirect(p.group, &p.req, now, skip)
	if !soon(direct, ok) && !(split && soon(prefill, true)) {
		return move{}
	}
	if !split {
		return move{calls: 1, engine: direct}
	}
	decode, ok := s.fleet.ChooseDecode(p.group, &p.req, prefill.Server, now, skip)
	if !ok {
		return move{}
	}
	return move{calls: 2, engine: decode}
}

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
// certain to take the request. A stream whose beginning the caller has goes on
// elsewhere only once the server has stopped: it has closed its side after this
// one has, it cannot be reached, or it sends what is no event.
type stallWatch struct {
	p      *proxyRequest
	choice placement.Choice
	// movable returns the number of calls with which other servers are certain to
	// take the request; 0 if they are not.
	movable func() int
	cancel  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	// answer is the answer once events are read.
	answer *connpool.Answer
	// moved reports whether the attempt was given up, or its server was asked to
	// stop it. The retries for the whole way at other servers are reserved then.
	moved, ended    bool
	reservedRetries int
	// lastEvent and lastByte are the Unix nanoseconds of the last event and of the
	// last bytes.
	lastEvent, lastByte atomic.Int64
}

// watchStall starts a watch of an attempt that gives it up after limit, if it may
// be given up at all. The caller must call end.
func (p *proxyRequest) watchStall(c placement.Choice, limit time.Duration, mayMove bool, cancel context.CancelFunc, movable func(skip []fleet.UpstreamID) int) *stallWatch {
	w := &stallWatch{p: p, choice: c, cancel: cancel}
	if !mayMove {
		return w
	}
	skip := append(append([]fleet.UpstreamID(nil), p.tried...), c.Server.ID)
	w.movable = func() int { return movable(skip) }
	w.timer = time.AfterFunc(limit, w.stalled)
	return w
}

// stalled decides about an attempt without progress.
func (w *stallWatch) stalled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended || w.moved:
	case !w.reserve():
		w.timer.Reset(recheckTime)
	case w.answer == nil || w.lastEvent.Load() == 0 || w.dripping():
		w.cancel()
	default:
		w.log("server asked to stop a stream that has stalled")
		if err := w.answer.EndSending(); err != nil {
			w.p.g.Log.Debug("sending not ended", zap.String("request_id", string(w.p.req.ID)), logline.Error(err))
		}
		go w.checkReachable()
	}
}

// reserve spends the retries for the move of the attempt, which cannot be taken
// back, and reports whether it is certain that it can be moved. The caller holds mu.
func (w *stallWatch) reserve() bool {
	if w.p.remaining() < minMove {
		return false
	}
	calls := w.movable()
	if calls == 0 || !w.p.g.State.spendRetries(w.p.group, calls) {
		return false
	}
	w.moved, w.reservedRetries = true, calls
	return true
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
	if err != nil && !w.p.callerGone() {
		return errors.Wrap(errStalled, err.Error())
	}
	return err
}

// couldServe returns the number of calls with which servers other than those in
// skip are expected to take a request soon; 0 if they are not.
func (s *State) couldServe(p *proxyRequest, skip []fleet.UpstreamID) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	certain := func(c placement.Choice, ok bool) bool {
		return ok && p.asSent(c).Wait <= maxMoveWait && s.fleet.Available(c.Server.ID)
	}
	if p.service == nil || p.service.Engine == nil || p.req.PromptTokens == 0 {
		s.large = false
		if certain(s.fleet.ChoosePlain(p.group, p.req.ID, now, skip)) {
			return 1
		}
		return 0
	}
	s.large = s.limiter.IsLarge(p.group, p.req.PromptTokens)
	prefill, _, split := s.fleet.ChooseEngines(p.group, &p.req, now, skip)
	if !certain(s.fleet.ChooseDirect(p.group, &p.req, now, skip)) && !(split && certain(prefill, true)) {
		return 0
	}
	if split {
		return 2
	}
	return 1
}

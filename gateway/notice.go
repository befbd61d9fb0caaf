package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// errNotWanted means that the chosen server has said meanwhile that it leaves or
// wants no requests for a time.
var errNotWanted = errors.New("the server takes no requests any more")

// hearServer acts on what a server says of itself in the head of an answer. An
// answer of another process at its address, or a success that is not signed, is
// not the server's.
func (p *proxyRequest) hearServer(s placement.Server, a *connpool.Answer, prefillOnly bool) {
	if a.Status == http.StatusMisdirectedRequest || (success(a.Status) && !a.Meta.Signed && !prefillOnly) {
		return
	}
	if a.Meta.Leaving && p.g.ServerLeaves != nil {
		p.g.ServerLeaves(s.Process())
	}
	if a.Meta.LeavingUnreadable != "" && p.g.State.firstOdd(s.Process()) {
		p.g.Log.Warn("unreadable announcement of a server ignored", zap.String("server", string(s.ID)), zap.Int64("born", s.StartTime),
			zap.String("leaving", a.Meta.LeavingUnreadable))
	}
	if l := a.Meta.Load; l != nil && l.Pressure > 0 {
		p.g.State.hearPressure(s.Process(), l.Pressure)
	}
	pause := a.Meta.Pause
	if pause == nil {
		return
	}
	p.turnedAway = true
	if p.g.State.pause(s.Process(), pause.For) || pause.Text != "" {
		p.g.Log.Info("server wants no requests for a time", zap.String("server", string(s.ID)), zap.Int64("born", s.StartTime),
			zap.Duration("for", pause.For), zap.String("unreadable_or_shortened", pause.Text), zap.String("request_id", string(p.req.ID)))
	}
}

// unavailableReason returns the reason for a refusal when no server was chosen,
// and its Retry-After: the time until the first server is expected to take
// requests again, spread so that the callers do not return together.
func unavailableReason(u placement.Unavailable) (fleet.Reason, time.Duration) {
	switch {
	case u.OtherVersions > 0 && u.OtherVersions == u.Others:
		return fleet.ReasonVersionGone, 0
	case u.Paused > 0:
		wait := max(u.PausedFor, busyWait)
		return fleet.ReasonServersPaused, wait + rand.N(wait/pauseSpread)
	case u.Leaving > 0 && u.Others == 0:
		return fleet.ReasonServersLeaving, busyWait
	default:
		return fleet.ReasonNoUpstream, busyWait
	}
}

// pauseSpread is the part of a pause over which the callers return.
const pauseSpread = 2

// pause keeps new requests from a server's process and reports whether it is
// kept longer than before.
func (s *State) pause(p fleet.Process, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Pause(p, s.now()+d)
}

// hearPressure records how long work takes on the machine of a server's process.
func (s *State) hearPressure(p fleet.Process, pressure float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.HearPressure(p, pressure, s.now())
}

// checkTakesRequests returns errNotWanted if a server that was chosen takes no
// requests any more.
func (s *State) checkTakesRequests(server placement.Server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleet.TakesRequests(server.Process(), s.now()) {
		return errNotWanted
	}
	return nil
}

// maxOdd bounds the processes whose odd announcements were logged.
const maxOdd = 256

// firstOdd reports whether no odd announcement of a process was seen before.
func (s *State) firstOdd(p fleet.Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.odd[p] {
		return false
	}
	if len(s.odd) >= maxOdd {
		clear(s.odd)
	}
	s.odd[p] = true
	return true
}

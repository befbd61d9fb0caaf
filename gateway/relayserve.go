package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/logline"
)

// RelayHandler returns the handler of requests that other instances relay. They are
// served like those of this instance's own callers, but never relayed again.
func (g *Gateway) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, err := parseHop(r.Header)
		if err != nil {
			g.Log.Warn("relayed request not readable", zap.String("from", r.RemoteAddr), logline.Error(err))
			if _, err := door.AnswerEarly(w, r, true); err != nil {
				g.Log.Debug("refusal waits for the body", logline.Error(err))
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.Relay.inFlight.Add(1)
		defer g.Relay.inFlight.Add(-1)
		g.serve(w, r, h)
	})
}

// refusedForPeer refuses a relayed request that can't be served here, before anything is
// done with it, and reports whether it did. The other instance asks the next one.
func (p *proxyRequest) refusedForPeer() bool {
	relay := p.g.Relay
	switch {
	case p.g.draining():
		p.refuseForPeer(RelayStopping)
	case p.g.Table() == nil || (relay.Synced != nil && !relay.Synced()):
		p.refuseForPeer(RelayStarting)
	case !p.g.Links.Direct():
		p.refuseForPeer(RelayPartitioned)
	case relay.MaxInFlight > 0 && relay.inFlight.Load() > int64(relay.MaxInFlight):
		p.refuseForPeer(RelayFull)
	default:
		return false
	}
	return true
}

// refuseForPeer tells the other instance that nothing was done with the request.
func (p *proxyRequest) refuseForPeer(outcome RelayOutcome) {
	p.hop.outcome = outcome
	if p.callerGone() {
		return
	}
	p.complete = true
	discard := p.answerEarly()
	p.w.Header().Set(relayHeader, (&hopAnswer{id: p.req.ID, refused: outcome}).encode())
	p.w.Header().Set("Content-Length", "0")
	p.w.WriteHeader(http.StatusServiceUnavailable)
	discard()
}

// refusesForPeer turns a refusal into one for the other instance where another instance
// may be able to serve the request, and reports whether it did. No server has got it.
func (p *proxyRequest) refusesForPeer(reason fleet.Reason) bool {
	if p.hop == nil || p.headWritten || p.sends > p.hop.sends || p.calls > 0 {
		return false
	}
	switch reason {
	case fleet.ReasonBuffersFull, fleet.ReasonSlowClient:
		p.refuseForPeer(RelayFull)
	case fleet.ReasonConfigUnknown, fleet.ReasonMembersOutdated:
		p.refuseForPeer(RelayStarting)
	case fleet.ReasonDraining:
		p.refuseForPeer(RelayStopping)
	case fleet.ReasonNoRoute, fleet.ReasonUnknownKey:
		if p.table.Version >= p.hop.version {
			return false
		}
		p.refuseForPeer(RelayBehind)
	case fleet.ReasonNoUpstream, fleet.ReasonUpstreamFailed:
		if p.g.Links.Trusted() {
			return false
		}
		p.refuseForPeer(RelayPartitioned)
	default:
		return false
	}
	return true
}

// blockBudget returns the budget that lends the blocks of answers.
func (p *proxyRequest) blockBudget() *door.Budget {
	if p.hop != nil && p.g.Relay.Budget != nil {
		return p.g.Relay.Budget
	}
	return p.g.budget
}

// acceptHop applies what the other instance tells about the request.
func (p *proxyRequest) acceptHop() {
	p.hop.sends = max(p.route.MaxAttempts-p.hop.attempts, 0)
	p.sends, p.mayHaveRun = p.hop.sends, p.hop.mayHaveRun
	p.demandCounted = p.hop.demandCounted
	p.usage.counted.Store(p.hop.usageCounted)
	if p.hop.software != nil {
		p.pin(*p.hop.software)
	}
}

// markAnswer sets what the other instance needs besides the answer; callers and servers
// neither get nor set it.
func (p *proxyRequest) markAnswer(stream bool) {
	h := p.w.Header()
	if p.hop == nil {
		h.Del(relayHeader)
		return
	}
	h.Set(relayHeader, (&hopAnswer{id: p.req.ID, stream: stream, software: p.software}).encode())
}

// finishHop counts and logs a relayed request at the instance that was asked.
func (p *proxyRequest) finishHop() {
	outcome := p.hop.outcome
	switch {
	case outcome != "":
	case p.complete:
		outcome = RelayAnswered
	case p.callerGone():
		outcome = RelayCallerLeft
	default:
		outcome = RelayBroken
	}
	p.g.Observer.RelayServed(outcome)
	p.g.Log.Info("relayed request", zap.String("request_id", string(p.req.ID)), zap.String("from", string(p.hop.from)), zap.String("outcome", string(outcome)),
		zap.Int("sends", p.sends-p.hop.sends), zap.Bool("may_have_run", p.mayHaveRun), zap.Int("events", p.events), zap.Duration("took", time.Since(p.start)))
}

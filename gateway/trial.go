package gateway

import (
	"context"
	"time"

	"github.com/bramleywick/bramleywick/core/quarantine"
)

// quarantineTrial is the state of a request's admission by the quarantine.
type quarantineTrial struct {
	admitted bool
	// part is the quarantined part that the request tries, or "", and release gives up
	// the claim of its trial; nil if there is none.
	part    string
	release func()
}

// startTrial decides whether the request tries its quarantined digest: it has the time to
// be answered, there is a server for it, and no other instance tries it. It returns the
// verdict otherwise.
func (p *proxyRequest) startTrial(digest string) *quarantine.Verdict {
	verdict := p.g.State.quarantineRefuses([]string{digest}, "")
	if verdict == nil {
		return nil
	}
	if p.remaining() < max(p.route.LatencyTarget, minTrialTime) || p.g.State.moveOf(p, p.allowed()).calls == 0 {
		return verdict
	}
	release, ok := p.g.State.mayClaimTrial(p.ctx, digest)
	if !ok {
		p.g.State.deferTrial(digest)
		return verdict
	}
	if verdict := p.g.State.startTrial(digest); verdict != nil {
		release()
		return verdict
	}
	p.trial.release = release
	return nil
}

// endTrial gives the trial of the request's digest back if no server has run it.
func (p *proxyRequest) endTrial() {
	if p.trial.release == nil || p.mayHaveRun {
		return
	}
	p.g.State.abortTrial(p.trial.part)
	p.trial.release()
}

// triesDigest reports whether the request is the trial of its quarantined digest. It goes to
// one server only then.
func (p *proxyRequest) triesDigest() bool { return quarantine.IsDigest(p.trial.part) }

const (
	// claimTimeout bounds the time in which a trial is claimed, and claimPause is the
	// time after which a claim that has failed is made again.
	claimTimeout = 300 * time.Millisecond
	claimPause   = time.Second
	// minTrialTime is the least time that a request must have left to try whether it
	// ends its server.
	minTrialTime = 100 * time.Millisecond
)

// ClaimTrial asks whether this instance may try a quarantined request. It returns the
// function that gives the claim up.
type ClaimTrial func(ctx context.Context, digest string) (release func(), ok bool)

// ClaimTrialsWith sets the function by which the instances agree on which of them tries
// a quarantined request.
func (s *State) ClaimTrialsWith(claim ClaimTrial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimTrial = claim
	s.quarantine.SetClaimedTrials(true)
}

func (s *State) mayClaimTrial(ctx context.Context, digest string) (release func(), ok bool) {
	s.mu.Lock()
	claim := s.claimTrial
	s.mu.Unlock()
	if claim == nil {
		return func() {}, true
	}
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	return claim(ctx, digest)
}

func (s *State) deferTrial(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.DeferTrial(digest, s.now()+claimPause)
}

func (s *State) abortTrial(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.AbortTrial(digest, s.now())
}

func (s *State) startTrial(digest string) *quarantine.Verdict {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.StartTrial(digest, s.now())
}

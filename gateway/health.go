package gateway

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// SetLinks sets what tells whether failures say something about servers. It must be
// called before the first request.
func (s *State) SetLinks(l Links) { s.links = l }

// suspectWindow is how long before a partition was found failures may have been caused
// by it.
const suspectWindow = 3 * time.Second

// LinksPartitioned takes back the failures of the time before a partition was found.
func (s *State) LinksPartitioned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ForgetFailures(s.now() - suspectWindow)
}

func (s *State) recordSuccess(id fleet.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordSuccess(id, s.now())
}

// recordFailure records a failed attempt, unless the links may have caused it.
func (s *State) recordFailure(id fleet.UpstreamID) {
	if !s.links.Trusted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordFailure(id, s.now())
}

// recordOverdue counts an attempt that has been without an answer for much longer
// than expected, unless the links may have delayed it.
func (s *State) recordOverdue(id fleet.UpstreamID) {
	if !s.links.Trusted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordOverdue(id, s.now())
}

// recordAnswer records a successful attempt at a plain service's server and the
// time that it took.
func (s *State) recordAnswer(id fleet.UpstreamID, took time.Duration) {
	trusted := s.links.Trusted()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordSuccess(id, s.now())
	if trusted {
		s.fleet.LearnLatency(id, took)
	}
}

func (s *State) learnPrefill(c placement.Choice, took time.Duration) {
	if !s.links.Trusted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.LearnPrefill(c, took)
}

// learnDecode updates an engine's token gap from one answer; span is the time
// from its first event to its last.
func (s *State) learnDecode(id fleet.UpstreamID, r *call.Request, events int, span time.Duration) {
	if !s.links.Trusted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.LearnDecode(id, r, events, span)
}

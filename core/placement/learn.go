package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// LearnLatency updates the average latency of a server of a plain service.
func (f *Fleet) LearnLatency(id fleet.UpstreamID, took time.Duration) {
	if s := f.servers[id]; s != nil {
		s.latency += (s.withoutPressure(took) - s.latency) / 8
	}
}

// LearnPrefill updates an engine's prefill speed from the time that a prompt
// took, queued tokens included. Prompts shorter than minLearnTokens are
// ignored.
func (f *Fleet) LearnPrefill(c Choice, took time.Duration) {
	s := f.servers[c.Server.ID]
	if s == nil || s.StartTime != c.Server.StartTime {
		return
	}
	tokens := c.TokensAhead + c.UncachedTokens
	if tokens < minLearnTokens {
		return
	}
	if !isPrefill(s) {
		tokens *= decodeSlowdown
	}
	took = s.withoutPressure(took)
	s.learnSpeed(tokens, took-f.learnOverhead(s, tokens, took))
}

// learnOverhead returns the part of a prefill call's duration at the service's
// engines that does not depend on the prompt's length. It tracks a low quantile
// of what short prompts take beyond their tokens, because most delays only add
// to it.
func (f *Fleet) learnOverhead(s *server, tokens float64, took time.Duration) time.Duration {
	overhead, ok := f.overheads[s.Group]
	if !ok {
		overhead = callOverhead
	}
	if tokens <= maxOverheadTokens {
		if took-prefillTime(tokens, s.speed) < overhead {
			overhead -= time.Duration((1 - overheadQuantile) * float64(overheadStep))
		} else {
			overhead += time.Duration(overheadQuantile * float64(overheadStep))
		}
		f.overheads[s.Group] = max(overhead, 0)
	}
	return overhead
}

const (
	// maxOverheadTokens is the length up to which a prompt counts as short.
	maxOverheadTokens = 2000
	// overheadQuantile is the tracked quantile, and overheadStep the distance
	// that one prompt moves it.
	overheadQuantile = 0.3
	overheadStep     = 2 * time.Millisecond
)

// LearnDecode updates the service's mean answer length and the engine's token
// gap from one answer to a request: its number of events and the time from the
// first to the last.
func (f *Fleet) LearnDecode(id fleet.UpstreamID, r *call.Request, events int, span time.Duration) {
	s := f.servers[id]
	if s == nil || events == 0 {
		return
	}
	length := f.answers[s.Group]
	if length == nil {
		length = &answerLength{}
		f.answers[s.Group] = length
	}
	length.add(events, outputWeight(r))
	if events > 1 {
		s.learnPace(s.withoutPressure(span) / time.Duration(events-1))
	}
}

// minLearnTokens is the least number of tokens from whose duration a speed is
// learned; shorter prefills are dominated by the fixed overhead.
const minLearnTokens = 400

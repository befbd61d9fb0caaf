package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// initialPace is the token gap, in milliseconds, assumed until an engine of
	// the list has produced an answer.
	initialPace = 40.0
	// maxPrefillDelay bounds how long prefill at a decoding engine delays the
	// next event of an answer: engines split prefill into pieces and run them
	// between events.
	maxPrefillDelay = 20 * time.Millisecond
	// handoverOverhead is the fixed part of the time to transfer KV cache
	// between stages.
	handoverOverhead = 8 * time.Millisecond
)

// ChooseDecode chooses an engine at the decode stage for a prompt whose prefill
// ran on from. Wait of the result is the time to the first event, and Queue the
// part of it until a slot is free. It returns false when there is no candidate.
func (f *Fleet) ChooseDecode(group fleet.GroupName, r *call.Request, from Server, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	list := f.usable(group, now, skip, isDecode)
	if len(list) > maxScored {
		list = sample(list, r.ID, func(*server) bool { return false })
	}
	nominal, _ := f.transferTime(group, float64(r.PromptTokens))
	fallbackPace := meanPace(list)
	events := f.meanEvents(group)
	var best Choice
	var bestScore time.Duration
	for _, s := range list {
		work := s.totalWork(now)
		queue, first := decodeTime(work.Runs, s.Slots, paceOr(s, fallbackPace), events)
		transfer := transferBetween(nominal, from.DataCentre, s.DataCentre)
		wait := queue + first + min(prefillTime(work.tokensAhead(r.Rank), s.speed/decodeSlowdown), maxPrefillDelay) + handoverOverhead + transfer
		score := wait + time.Duration(jitter(r.ID, s)*float64(3*time.Millisecond)) + s.failurePenalty(now)
		if s.DataCentre != from.DataCentre {
			score += crossCentrePenalty
		}
		if best.Candidates == 0 || score < bestScore {
			bestScore = score
			best = Choice{Server: s.Server, Reason: reasonFor(len(list), ReasonLeastWait), Wait: wait, Queue: queue, Transfer: transfer, Candidates: len(list)}
		}
	}
	return best, best.Candidates > 0
}

// decodeTime returns the estimated time that a new answer waits for a slot, and
// the time from there to its first event, on an engine with the given number of
// running requests and slots. pace is the token gap in milliseconds, events the
// mean number of events per answer. Concurrent answers slow each event down.
func decodeTime(running, slots int, pace, events float64) (queue, first time.Duration) {
	slots = max(slots, 1)
	utilisation := min(float64(running)/float64(slots), 1)
	if over := running - slots; over >= 0 {
		queue = time.Duration(float64(over+1) * pace * events / float64(slots) * float64(time.Millisecond))
	}
	return queue, time.Duration(pace * (1 + utilisation) * float64(time.Millisecond))
}

// paceOr returns the server's token gap in milliseconds, or fallback when it is
// unknown.
func paceOr(s *server, fallback float64) float64 {
	if s.pace > 0 {
		return s.pace
	}
	return fallback
}

// meanPace returns the mean of the known paces in milliseconds, or initialPace
// when none is known.
func meanPace(list []*server) float64 {
	var paces mean
	for _, s := range list {
		paces.add(s.pace)
	}
	return paces.valueOr(initialPace)
}

package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// initialPace is the time between two events, in milliseconds, that is
	// assumed of engines before one has made an answer.
	initialPace = 40.0
	// pieceWait bounds how long a prompt that is read beside answers delays the
	// next event of one of them: engines read it in pieces between the events.
	pieceWait = 20 * time.Millisecond
	// handOverCost is the fixed time of a transfer between stages.
	handOverCost = 8 * time.Millisecond
)

// ChooseDecode chooses an engine at the decode stage for a prompt that the engine
// from has read. Its wait is the time to the first event, and its queue the part
// of it until a slot is free.
func (f *Fleet) ChooseDecode(group fleet.GroupName, r *call.Request, from Server, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	list := f.usable(group, now, skip, isDecode)
	if len(list) > maxScored {
		list = scored(list, r.ID, func(*server) bool { return false })
	}
	nominal, _ := f.transferTime(group, float64(r.PromptTokens))
	usual := usualPace(list)
	events := f.usualEvents(group)
	var best Choice
	var bestScore time.Duration
	for _, s := range list {
		work := s.work(now)
		queue, first := answerTime(work.Runs, s.Slots, paceOf(s, usual), events)
		transfer := between(nominal, from.DataCentre, s.DataCentre)
		wait := queue + first + min(ms(work.ahead(r.Rank), s.speed/decodeReadFactor), pieceWait) + handOverCost + transfer
		score := wait + time.Duration(jitter(r.ID, s)*float64(3*time.Millisecond)) + s.risk(now)
		if s.DataCentre != from.DataCentre {
			score += crossPenalty
		}
		if best.Candidates == 0 || score < bestScore {
			bestScore = score
			best = Choice{Server: s.Server, Reason: reasonOf(len(list), ReasonLeastWait), Wait: wait, Queue: queue, Transfer: transfer, Candidates: len(list)}
		}
	}
	return best, best.Candidates > 0
}

// answerTime estimates how long a new answer waits for a slot and then takes to
// its first event, at an engine with so many requests. pace is in milliseconds.
// Each answer that runs beside it makes an event take longer.
func answerTime(runs, slots int, pace, events float64) (queue, first time.Duration) {
	slots = max(slots, 1)
	beside := min(float64(runs)/float64(slots), 1)
	if over := runs - slots; over >= 0 {
		queue = time.Duration(float64(over+1) * pace * events / float64(slots) * float64(time.Millisecond))
	}
	return queue, time.Duration(pace * (1 + beside) * float64(time.Millisecond))
}

func paceOf(s *server, usual float64) float64 {
	if s.pace > 0 {
		return s.pace
	}
	return usual
}

// usualPace is the mean of the learned paces.
func usualPace(list []*server) float64 {
	var paces mean
	for _, s := range list {
		paces.add(s.pace)
	}
	return paces.or(initialPace)
}

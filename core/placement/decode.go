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
	f.trace.begin(StepDecode)
	list := f.usable(group, now, skip, isDecode)
	if len(list) > maxScored {
		list = sample(list, r.ID, maxScored, func(*server) bool { return false })
	}
	if len(list) == 0 {
		return Choice{}, false
	}
	nominal, _ := f.transferTime(group, float64(r.PromptTokens))
	fallbackPace := meanPace(list)
	events := f.meanEvents(group)
	others := 0
	for _, s := range list {
		others += s.totalWork(now).Runs - s.own.Runs
	}
	duration := time.Duration((events+1)*fallbackPace*float64(time.Millisecond)) + nominal + handoverOverhead
	ended, unseen := f.unseenRequests(others, duration, now)
	f.options = f.options[:0]
	for _, s := range list {
		pace := paceOr(s, fallbackPace) * s.pressure.factor(now) * float64(time.Millisecond)
		o := option{server: s, runs: s.runsNow(ended, now), slots: s.slotsNow(now), first: time.Duration(pace)}
		o.next = time.Duration(pace * events / o.slots)
		transfer := transferBetween(nominal, from.DataCentre, s.DataCentre)
		prefillDelay := min(prefillTime(s.totalWork(now).tokensAhead(r.Rank), s.speed/decodeSlowdown), maxPrefillDelay)
		o.fixed = time.Duration(pace) + transfer + prefillDelay + handoverOverhead + time.Duration(jitter(r.ID, s)*float64(3*time.Millisecond)) + s.failurePenalty(now)
		if s.DataCentre != from.DataCentre {
			o.fixed += crossCentrePenalty
		}
		f.options = append(f.options, o)
	}
	i, runs := draw(f.options, unseen, r.ID)
	estimate := func(s *server, runs float64) Choice {
		work := s.totalWork(now)
		pace := paceOr(s, fallbackPace) * s.pressure.factor(now)
		queue, first := decodeTime(runs, work.runsBehind(r.Rank), s.Slots, pace, events)
		lateQueue, _ := decodeTime(runs, 0, s.Slots, pace, events)
		transfer := transferBetween(nominal, from.DataCentre, s.DataCentre)
		prefillDelay := min(prefillTime(work.tokensAhead(r.Rank), s.speed/decodeSlowdown), maxPrefillDelay)
		return Choice{
			Server: s.Server, Wait: queue + first + prefillDelay + handoverOverhead + transfer,
			Queue: queue, LateQueue: lateQueue, Backlog: backlog(runs, s.Slots), Pressure: s.pressure.factor(now), Transfer: transfer, Candidates: len(list), Unseen: unseen,
		}
	}
	c := estimate(f.options[i].server, runs)
	c.Reason, c.ViewAge = f.drawReason(i, len(list)), f.viewAge(now)
	if f.trace != nil {
		for j := range f.options {
			o := &f.options[j]
			f.trace.score(estimate(o.server, o.runs), o.score)
		}
		f.trace.score(c, f.options[i].score)
		f.trace.end(c.Server.ID)
	}
	return c, true
}

// AsLate returns the choice with the estimates for a request that is sent behind
// all others.
func (c Choice) AsLate() Choice {
	c.Wait += c.LateQueue - c.Queue
	c.Queue = c.LateQueue
	c.DecodeWait += c.DecodeLateQueue - c.DecodeQueue
	c.DecodeQueue = c.DecodeLateQueue
	return c
}

// queuePerSlot is the number of requests that an engine queues per slot; one that
// has as many rejects all others.
const queuePerSlot = 3

// backlog returns how full the queue of an engine is with the given number of
// requests: 0 up to its slots, 1 when it is full; 0 when its slots are unknown.
func backlog(requests float64, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return max(requests-float64(slots), 0) / float64(queuePerSlot*slots)
}

// decodeTime returns the estimated time that a new answer waits for a slot, and
// the time from there to its first event, on an engine with the given number of
// running requests and slots; behind is the number of those that are less
// urgent, which the engine starts later if they are queued. pace is the token gap in milliseconds, events the
// mean number of events per answer. Concurrent answers slow each event down.
func decodeTime(running, behind float64, slots int, pace, events float64) (queue, first time.Duration) {
	slots = max(slots, 1)
	utilisation := min(running/float64(slots), 1)
	if over := running - float64(slots); over >= 0 {
		queue = time.Duration((max(over-behind, 0) + 1) * pace * events / float64(slots) * float64(time.Millisecond))
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

package place

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/routes"
)

const (
	// decodeReadFactor is how much slower an engine at the decode stage reads.
	decodeReadFactor = 2.0
	// spreadCost is charged for a copy of a shared part away from its home, as
	// a share of the time to read it: the copy takes memory from other parts.
	spreadCost = 0.6
	// crowdWait is the mean wait at which a second copy of a shared part costs
	// twice the time to read it.
	crowdWait = 80 * time.Millisecond
	// peerReadTime is how long after another instance's word on a part the part
	// is taken to be read: the longest queue that admission allows at the usual
	// targets, and the part itself.
	peerReadTime = 900 * time.Millisecond
	// copyTime is the fixed time of a copy between engines, and copyShare what a
	// copy of a shared part costs as a share of the time to read it: it takes
	// memory from other parts.
	copyTime  = 5 * time.Millisecond
	copyShare = 0.3
	// acrossCentres is how much longer a transfer between data centres takes.
	acrossCentres = 2
	// initialPace is the time between two events, in milliseconds, that is
	// assumed of engines before one has made an answer.
	initialPace = 40.0
	// pieceWait bounds how long a prompt that is read beside answers delays the
	// next event of one of them: engines read it in pieces between the events.
	pieceWait = 20 * time.Millisecond
	// besideCost is what a read beside running answers costs these, whatever its
	// length, and besideShare the part of its time by which each is delayed: it
	// waits while a piece is read before each of its events.
	besideCost  = 30 * time.Millisecond
	besideShare = 0.3
	// handOverCost is the fixed time of a transfer between stages.
	handOverCost = 8 * time.Millisecond
)

func isPrefill(s *server) bool { return s.Stage == fleet.RolePrefill }
func isDecode(s *server) bool  { return s.Stage == fleet.RoleDecode }

// sharedPart returns the longest part that other requests have in common with
// this one, and the tokens up to its end; "" when there is none.
func sharedPart(r *call.Request) (id string, tokens float64) {
	longest := 0
	upTo := 0
	for i, p := range r.Parts {
		if i == len(r.Parts)-1 && i > 0 {
			break
		}
		upTo += p.Tokens
		if p.Tokens > longest {
			id, tokens, longest = p.ID, float64(upTo), p.Tokens
		}
	}
	return id, tokens
}

// speedStep is the ratio between two weights of engines as homes, so that
// instances with slightly different measurements agree.
const speedStep = 1.35

// home returns the engine that a part is assigned to, the same on every instance
// that knows the same engines and speeds. Each engine gets parts in proportion
// to its speed (weighted rendezvous hash).
func home(part string, list []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range list {
		weight := math.Pow(speedStep, math.Round(math.Log(s.speed)/math.Log(speedStep)))
		uniform := (float64(membership.Hash(part, string(s.ID))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / weight; score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func ms(tokens, speed float64) time.Duration {
	return time.Duration(tokens / speed * float64(time.Millisecond))
}

// Prefill chooses an engine at the prefill stage to read a prompt.
func (f *Fleet) Prefill(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	return f.read(group, r, now, skip, isPrefill, 1)
}

// Direct chooses an engine at the decode stage that reads the prompt itself.
func (f *Fleet) Direct(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	return f.read(group, r, now, skip, func(s *server) bool { return !isPrefill(s) }, decodeReadFactor)
}

// read scores the engines by the time until the prompt is read.
func (f *Fleet) read(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID, fits func(*server) bool, factor float64) (Choice, bool) {
	list := f.usable(group, now, skip, fits)
	part, shared := sharedPart(r)
	at := home(part, list)
	copyCost := f.copyCost(list, factor, now)
	sources := f.sources(group, r, now)
	var best Choice
	var bestScore time.Duration
	for _, s := range list {
		work := s.work(now)
		speed := s.speed / factor
		uncached := s.cache.uncached(r)
		ahead := work.ahead(r.Rank)
		c := Choice{Server: s.Server, Reason: ReasonLeastWait, Queue: ms(ahead, speed), Uncached: uncached, Ahead: ahead, Candidates: len(list)}
		c.Wait = c.Queue + ms(uncached, speed)
		cost := time.Duration(jitter(r.ID, s) * float64(2*time.Millisecond))
		holds := s.cache.holds(part)
		if source, took, ok := f.bestSource(group, sources, s, float64(r.PromptTokens)-uncached, speed); ok {
			c.Source, c.Copied = source.Server, source.tokens-(float64(r.PromptTokens)-uncached)
			c.Uncached -= c.Copied
			c.Wait = c.Queue + took + ms(c.Uncached, speed)
		}
		switch {
		case s == at:
			c.Reason = ReasonHome
		case holds:
			c.Reason = ReasonKept
		case c.Copied > 0:
			c.Reason = ReasonCopy
			cost += time.Duration(copyShare * float64(ms(shared, speed)))
		default:
			cost += time.Duration(float64(ms(shared, speed)) * copyCost)
		}
		if s.DataCentre != f.config.DataCentre {
			cost += crossPenalty
		}
		if best.Candidates == 0 || c.Wait+cost < bestScore {
			bestScore, best = c.Wait+cost, c
		}
	}
	best.Reason = reasonOf(len(list), best.Reason)
	return best, best.Candidates > 0
}

// source is an engine and the tokens of a prompt's beginning that it keeps.
type source struct {
	*server
	tokens float64
}

// sources returns the engines that keep most of a prompt's beginning.
func (f *Fleet) sources(group fleet.GroupName, r *call.Request, now fleet.Instant) []source {
	var out []source
	most := 0.0
	for _, s := range f.groups[group] {
		if s.Leaving || !s.available || isDecode(s) || f.isHeld(s.ID, now) {
			continue
		}
		tokens := s.cache.readable(r, now)
		if tokens < minCopyTokens || tokens < most {
			continue
		}
		if tokens > most {
			out, most = out[:0], tokens
		}
		out = append(out, source{s, tokens})
	}
	return out
}

// minCopyTokens is the least length worth a copy: a shorter one is read in less
// than the fixed time of a copy on a usual engine.
const minCopyTokens = 512

// bestSource returns the engine from which to copies what it lacks in the least
// time, when that is less than reading it takes. keeps is what it keeps itself.
func (f *Fleet) bestSource(group fleet.GroupName, list []source, to *server, keeps, speed float64) (best source, took time.Duration, ok bool) {
	for _, s := range list {
		lacks := s.tokens - keeps
		if s.server == to || lacks < minCopyTokens {
			continue
		}
		t, possible := f.transferTime(group, lacks)
		if !possible {
			return source{}, 0, false
		}
		t = between(t, s.DataCentre, to.DataCentre) + copyTime
		if t < ms(lacks, speed) && (!ok || t < took) {
			best, took, ok = s, t, true
		}
	}
	return best, took, ok
}

// copyCost is what reading a shared part away from its home costs besides the
// wait, as a share of the time to read it: more, the more waits at the engines.
// While nothing waits, a second copy only takes memory; at the peak it costs
// every request behind it. A first copy costs the same: instances that do not
// agree on its place read it several times.
func (f *Fleet) copyCost(list []*server, factor float64, now fleet.Instant) float64 {
	tokens, speed := 0.0, 0.0
	for _, s := range list {
		tokens += s.work(now).ahead(Ranks - 1)
		speed += s.speed / factor
	}
	if speed == 0 {
		return 0
	}
	return spreadCost + float64(ms(tokens, speed))/float64(crowdWait)
}

// Decode chooses an engine at the decode stage for a prompt that the engine
// from has read. Its wait is the time to the first event, and its queue the part
// of it until a slot is free.
func (f *Fleet) Decode(group fleet.GroupName, r *call.Request, from Server, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	list := f.usable(group, now, skip, isDecode)
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

// between is the time of a transfer between two data centres that takes nominal
// within one.
func between(nominal time.Duration, from, to fleet.DataCentre) time.Duration {
	if from != to {
		return acrossCentres * nominal
	}
	return nominal
}

// transferTime is the time to move KV cache of some tokens within a data centre;
// ok is false where the service does not declare what a transfer takes.
func (f *Fleet) transferTime(group fleet.GroupName, tokens float64) (took time.Duration, ok bool) {
	if f.table == nil {
		return 0, false
	}
	service := f.table.Service(group)
	if service == nil || service.Engine == nil || service.Engine.LinkBytesPerSecond <= 0 {
		return 0, false
	}
	bytes := tokens * service.Engine.KVBytesPerToken
	return time.Duration(bytes / service.Engine.LinkBytesPerSecond * float64(time.Second)), true
}

// Apart chooses an engine for each way to read a prompt: at the prefill stage,
// apart from the answer, or at the engine that makes the answer. split tells that
// the first way is taken: whenever it is open and the transfer takes no longer than
// the read beside running answers takes more, which delays these. ForAnswer of the
// first way counts the wait for the answer's first event, so that a request whose
// answer cannot be made in time is refused before it is read.
func (f *Fleet) Apart(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (apart, direct Choice, split bool) {
	apart, split = f.Prefill(group, r, now, skip)
	direct, _ = f.Direct(group, r, now, skip)
	if !split {
		return apart, direct, false
	}
	if answer, ok := f.Decode(group, r, apart.Server, now, skip); ok {
		apart.ForAnswer = answer.Wait
		apart.QueueForAnswer = answer.Queue
		apart.Transfer = answer.Transfer
	}
	return apart, direct, !f.dearer(apart, direct, now)
}

// dearer tells that handing a prompt over takes longer than reading it beside
// answers costs, and that its first event comes sooner that way.
func (f *Fleet) dearer(apart, direct Choice, now fleet.Instant) bool {
	s := f.servers[direct.Server.ID]
	if s == nil {
		return false
	}
	read := direct.Wait - direct.Queue
	extra := read - (apart.Wait - apart.Queue)
	beside := besideCost + time.Duration(besideShare*float64(s.work(now).Runs)*float64(read))
	return apart.Transfer > extra+beside && direct.Wait+beside < apart.Wait+apart.ForAnswer
}

// Engines returns the engines of a service, for the plan of the stages.
func (f *Fleet) Engines(service *routes.Service) []Server {
	var out []Server
	for _, s := range f.groups[service.Name] {
		out = append(out, s.Server)
	}
	return out
}

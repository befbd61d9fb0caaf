package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

const (
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
	// minCopyTokens is the least length worth a copy: a shorter one is read in less
	// than the fixed time of a copy on a usual engine.
	minCopyTokens = 512
)

// ChoosePrefill chooses an engine at the prefill stage to read a prompt.
func (f *Fleet) ChoosePrefill(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	return f.read(group, r, now, skip, isPrefill, 1)
}

// ChooseDirect chooses an engine at the decode stage that reads the prompt itself.
func (f *Fleet) ChooseDirect(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	return f.read(group, r, now, skip, func(s *server) bool { return !isPrefill(s) }, decodeReadFactor)
}

// read scores the engines by the time until the prompt is read.
func (f *Fleet) read(group fleet.GroupName, r *call.Request, now fleet.Instant, skip []fleet.UpstreamID, fits func(*server) bool, factor float64) (Choice, bool) {
	list := f.usable(group, now, skip, fits)
	part, shared := sharedPart(r)
	at := home(part, list)
	if len(list) > maxScored {
		list = scored(list, r.ID, func(s *server) bool { return s == at || s.cache.holds(part) })
	}
	copyCost := f.copyCost(list, factor, now)
	sources := f.sources(group, r, now)
	var best Choice
	var bestScore time.Duration
	for _, s := range list {
		work := s.work(now)
		speed := s.speed / factor
		uncached := s.cache.uncached(r)
		ahead := work.ahead(r.Rank)
		c := Choice{Server: s.Server, Reason: ReasonLeastWait, Queue: ms(ahead, speed), UncachedTokens: uncached, TokensAhead: ahead, Candidates: len(list)}
		c.Wait = c.Queue + ms(uncached, speed)
		cost := time.Duration(jitter(r.ID, s) * float64(2*time.Millisecond))
		holds := s.cache.holds(part)
		keeps := float64(r.PromptTokens) - uncached
		if from, took, ok := f.bestSource(group, sources, s, keeps, speed); ok {
			c.CopyFrom, c.CopiedTokens = from.Server, from.tokens-keeps
			c.UncachedTokens -= c.CopiedTokens
			c.Wait = c.Queue + took + ms(c.UncachedTokens, speed)
		}
		switch {
		case s == at:
			c.Reason = ReasonHome
		case holds:
			c.Reason = ReasonCached
		case c.CopiedTokens > 0:
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

// maxScored is how many engines are scored for one request: more make the choice
// dear and hardly better, while the home and those that keep the shared part are
// always among them.
const maxScored = 96

// scored returns a part of the list that differs by request, and besides all
// engines that keep is true for.
func scored(list []*server, id fleet.RequestID, keep func(*server) bool) []*server {
	out := make([]*server, 0, maxScored+8)
	begin := int(membership.Hash(string(id)) % uint64(len(list)))
	for i := range list {
		s := list[(begin+i)%len(list)]
		if i < maxScored || keep(s) {
			out = append(out, s)
		}
	}
	return out
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
		tokens += s.work(now).ahead(NumRanks - 1)
		speed += s.speed / factor
	}
	if speed == 0 {
		return 0
	}
	return spreadCost + float64(ms(tokens, speed))/float64(crowdWait)
}

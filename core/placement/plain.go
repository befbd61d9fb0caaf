package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// ChoosePlain chooses the server of a plain service with the fewest requests
// per slot, weighted by its latency and recent failures, and spreads the
// choices of instances with old views. It returns false when there is no
// candidate.
func (f *Fleet) ChoosePlain(group fleet.GroupName, id fleet.RequestID, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	f.trace.begin(StepPlain)
	list := f.usable(group, now, skip, anyStage)
	if len(list) == 0 {
		return Choice{}, false
	}
	others, latency := 0, time.Duration(0)
	for _, s := range list {
		others += s.totalWork(now).Runs - s.own.Runs
		latency += s.latency / time.Duration(len(list))
	}
	if latency == 0 {
		latency = initialLatency
	}
	ended, unseen := f.unseenRequests(others, latency, now)
	f.options = f.options[:0]
	for _, s := range list {
		slots := s.slotsNow(now)
		slowness := 1 + s.pressure.factor(now)*float64(s.latency)/float64(slowLatency)
		o := option{server: s, runs: s.runsNow(ended, now), slots: slots}
		o.first = time.Duration(slowness * float64(plainUnit))
		o.next = time.Duration(slowness * float64(plainUnit) / slots)
		handicap := 0.9 * jitter(id, s) / slots
		if s.DataCentre != f.config.DataCentre {
			handicap += 0.6 / slots
		}
		o.fixed = time.Duration((slowness*handicap + failureLoad*s.recentFailureRate(now)) * float64(plainUnit))
		f.options = append(f.options, o)
	}
	i, _ := draw(f.options, unseen, id)
	if f.trace != nil {
		for j := range f.options {
			o := &f.options[j]
			f.trace.score(Choice{Server: o.server.Server, Pressure: o.server.pressure.factor(now), Backlog: backlog(o.runs, o.server.Slots)}, o.score)
		}
		f.trace.end(f.options[i].server.ID)
	}
	return Choice{
		Server: f.options[i].server.Server, Reason: f.drawReason(i, len(list)), Candidates: len(list),
		Pressure: f.options[i].server.pressure.factor(now), ViewAge: f.viewAge(now), Unseen: unseen,
	}, true
}

const (
	// plainUnit is the score of a plain server whose slots are all in use.
	plainUnit = 100 * time.Millisecond
	// slowLatency is the mean latency that doubles a plain server's score.
	slowLatency = 100 * time.Millisecond
	// initialLatency is the latency of a plain service assumed before the first
	// answer.
	initialLatency = 50 * time.Millisecond
)

// drawReason returns the reason for the option drawn among the candidates.
func (f *Fleet) drawReason(drawn, candidates int) Reason {
	for i := range f.options {
		if f.options[i].score < f.options[drawn].score {
			return ReasonSpread
		}
	}
	return reasonFor(candidates, ReasonLeastWait)
}

package placement

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Demand is the rate of the work that callers ask of a service, refused
// requests included. Instances send their own to each other.
type Demand struct {
	// Requests is the number of requests per second.
	Requests float64
	// Uncached is the number of prompt tokens per second that engines have to
	// prefill, and Unshared the part of it that no other request can use.
	Uncached, Unshared float64
	// Output is the declared maximum number of output tokens per second; a
	// request that declares none counts as one.
	Output float64
	// PrefillWait and DecodeWait are the sums per second of the requests'
	// estimated queueing times at each stage, as shares of their latency
	// targets.
	PrefillWait, DecodeWait float64
	// RecentUncached and RecentOutput are Uncached and Output averaged over
	// recentTime, in which a rising peak shows before it has filled the queues.
	RecentUncached, RecentOutput float64
}

// ServiceLoad is the demand for a service at all instances.
type ServiceLoad struct {
	Demand
	// Events is the number of answer events per second, estimated from Output.
	Events float64
	// RecentEvents is Events averaged over recentTime.
	RecentEvents float64
	// MeasuredFor is how long any demand has been known; 0 before the first
	// request.
	MeasuredFor time.Duration
}

func (d Demand) plus(o Demand) Demand {
	return Demand{
		Requests: d.Requests + o.Requests, Uncached: d.Uncached + o.Uncached, Unshared: d.Unshared + o.Unshared, Output: d.Output + o.Output,
		PrefillWait: d.PrefillWait + o.PrefillWait, DecodeWait: d.DecodeWait + o.DecodeWait,
		RecentUncached: d.RecentUncached + o.RecentUncached, RecentOutput: d.RecentOutput + o.RecentOutput,
	}
}

func (d Demand) times(x float64) Demand {
	return Demand{
		Requests: d.Requests * x, Uncached: d.Uncached * x, Unshared: d.Unshared * x, Output: d.Output * x,
		PrefillWait: d.PrefillWait * x, DecodeWait: d.DecodeWait * x,
		RecentUncached: d.RecentUncached * x, RecentOutput: d.RecentOutput * x,
	}
}

// demandTime is the time over which a demand is averaged: longer than the mix
// takes to alternate within seconds, shorter than a lasting shift.
const demandTime = 20 * time.Second

// recentTime is the time over which the recent demand is averaged. At twenty
// requests a second an average over less varies by a fifth with a steady load.
const recentTime = 4 * time.Second

// demandMeter measures an instance's own demand for a service as an
// exponentially weighted average over demandTime, and over recentTime for the
// recent demand, without bias at the start.
type demandMeter struct {
	sum Demand
	// weight and recentWeight are the weights of the time since the first request
	// in sum, in seconds.
	weight, recentWeight float64
	at                   fleet.Instant
}

func (m *demandMeter) advance(now fleet.Instant) {
	dt := now - m.at
	if dt <= 0 {
		return
	}
	keep, keepRecent := math.Exp(-float64(dt)/float64(demandTime)), math.Exp(-float64(dt)/float64(recentTime))
	recentUncached, recentOutput := m.sum.RecentUncached*keepRecent, m.sum.RecentOutput*keepRecent
	m.sum = m.sum.times(keep)
	m.sum.RecentUncached, m.sum.RecentOutput = recentUncached, recentOutput
	m.weight = m.weight*keep + demandTime.Seconds()*(1-keep)
	m.recentWeight = m.recentWeight*keepRecent + recentTime.Seconds()*(1-keepRecent)
	m.at = now
}

func (m *demandMeter) rate(now fleet.Instant) Demand {
	m.advance(now)
	out := m.sum.times(1 / max(m.weight, minDemandWeight.Seconds()))
	recentWeight := max(m.recentWeight, minDemandWeight.Seconds())
	out.RecentUncached, out.RecentOutput = m.sum.RecentUncached/recentWeight, m.sum.RecentOutput/recentWeight
	return out
}

// minDemandWeight is the least time over which a demand is averaged, so that
// the first request does not count as a high rate.
const minDemandWeight = time.Second

// Arrival is a request for an engine with the estimates at its arrival.
type Arrival struct {
	Request *call.Request
	// Uncached is the number of prompt tokens that an engine has to prefill.
	Uncached float64
	// PrefillQueue and DecodeQueue are the estimated queueing times, and
	// LatencyTarget is the latency target; 0 for none.
	PrefillQueue, DecodeQueue, LatencyTarget time.Duration
	Admitted                                 bool
}

const (
	// refusedDemand is how much a refused request counts as demand: most
	// callers come back once, and then count again.
	refusedDemand = 0.5
	// usualTarget is the latency target assumed of requests without one.
	usualTarget = time.Second
)

// RecordDemand counts a request for a service.
func (f *Fleet) RecordDemand(group fleet.GroupName, a Arrival, now fleet.Instant) {
	m := f.meters[group]
	if m == nil {
		m = &demandMeter{at: now}
		f.meters[group] = m
		f.noteDemand(group, now)
	}
	m.advance(now)
	target := a.LatencyTarget
	if target <= 0 {
		target = usualTarget
	}
	weight := 1.0
	if !a.Admitted {
		weight = refusedDemand
	}
	m.sum = m.sum.plus(Demand{
		Requests: 1, Uncached: a.Uncached, Unshared: a.Request.UnsharedTokens(), Output: outputWeight(a.Request),
		PrefillWait: float64(a.PrefillQueue) / float64(target), DecodeWait: float64(a.DecodeQueue) / float64(target),
		RecentUncached: a.Uncached, RecentOutput: outputWeight(a.Request),
	}.times(weight))
}

// outputWeight returns the declared output tokens of a request, at least 1.
func outputWeight(r *call.Request) float64 { return float64(max(r.OutputTokens, 1)) }

// Load returns the demand for a service at all instances.
func (f *Fleet) Load(group fleet.GroupName, now fleet.Instant) ServiceLoad {
	out := ServiceLoad{Demand: f.othersDemand(group, now)}
	if m := f.meters[group]; m != nil {
		out.Demand = out.plus(m.rate(now))
	}
	if since, ok := f.demandSince[group]; ok {
		out.MeasuredFor = now - since
	}
	if perToken := f.answers[group].eventsPerToken(); perToken > 0 {
		out.Events, out.RecentEvents = perToken*out.Output, perToken*out.RecentOutput
	} else {
		out.Events = initialEvents * out.Requests
		out.RecentEvents = out.Events
	}
	return out
}

// answerLength is the average length of a service's answers.
type answerLength struct {
	// events and output are the averages of the events and of the declared
	// output tokens of count answers.
	events, output float64
	count          int
}

func (a *answerLength) add(events int, output float64) {
	a.count++
	weight := max(answerWeight, 1/float64(a.count))
	a.events += weight * (float64(events) - a.events)
	a.output += weight * (output - a.output)
}

// eventsPerToken returns the number of events per declared output token, or 0
// before the first answer. Long answers end late, so their number of events is
// estimated from that of the short ones and the declared tokens.
func (a *answerLength) eventsPerToken() float64 {
	if a == nil || a.output == 0 {
		return 0
	}
	return a.events / a.output
}

// meanEvents returns the mean number of events of the answers that this
// instance's callers ask for.
func (f *Fleet) meanEvents(group fleet.GroupName) float64 {
	perToken := f.answers[group].eventsPerToken()
	if perToken == 0 {
		return initialEvents
	}
	if m := f.meters[group]; m != nil && m.sum.Requests > 0 {
		return perToken * m.sum.Output / m.sum.Requests
	}
	return f.answers[group].events
}

const (
	// initialEvents is the number of events per answer assumed before the first
	// answer, and answerWeight the least weight of one answer in the average.
	initialEvents = 6.0
	answerWeight  = 0.02
)

// noteDemand stores when a demand for a service was first known.
func (f *Fleet) noteDemand(group fleet.GroupName, now fleet.Instant) {
	if _, ok := f.demandSince[group]; !ok {
		f.demandSince[group] = now
	}
}

// othersDemand returns the demand that the other instances have reported.
func (f *Fleet) othersDemand(group fleet.GroupName, now fleet.Instant) Demand {
	var out Demand
	for _, p := range f.peers {
		if now-p.receivedAt <= peerWorkTTL {
			out = out.plus(p.demand[group])
		}
	}
	return out
}

// addForeignPrompts counts the unshared prompt tokens that other instances have
// sent to the engines since the last call. They are not reported one by one,
// and each engine that prefills is assumed to get them in proportion to its
// speed.
func (f *Fleet) addForeignPrompts(now fleet.Instant) {
	since := now - f.foreignAt
	if since < foreignInterval {
		return
	}
	f.foreignAt = now
	seconds := min(since, peerWorkTTL).Seconds()
	for group, list := range f.groups {
		tokens := f.othersDemand(group, now).Unshared * seconds
		if tokens == 0 {
			continue
		}
		speed := 0.0
		for _, s := range list {
			if !isDecode(s) {
				speed += s.speed
			}
		}
		for _, s := range list {
			if !isDecode(s) {
				s.cache.added += tokens * s.speed / speed
			}
		}
	}
}

// foreignInterval is the time between two counts of other instances' prompts.
const foreignInterval = 100 * time.Millisecond

package placement

import (
	"math"
	"time"

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
	// Events is the number of answer events per second.
	Events float64
}

func (d Demand) plus(o Demand) Demand {
	return Demand{d.Requests + o.Requests, d.Uncached + o.Uncached, d.Unshared + o.Unshared, d.Events + o.Events}
}

func (d Demand) times(x float64) Demand {
	return Demand{d.Requests * x, d.Uncached * x, d.Unshared * x, d.Events * x}
}

// demandTime is the time over which a demand is averaged: longer than the mix
// takes to alternate within seconds, shorter than a lasting shift.
const demandTime = 8 * time.Second

// demandMeter measures an instance's own demand for a service as an
// exponentially weighted average over demandTime, without bias at the start.
type demandMeter struct {
	sum Demand
	// weight is the weight of the time since the first request in sum, in
	// seconds.
	weight float64
	at     fleet.Instant
	began  fleet.Instant
}

func (m *demandMeter) advance(now fleet.Instant) {
	dt := now - m.at
	if dt <= 0 {
		return
	}
	keep := math.Exp(-float64(dt) / float64(demandTime))
	m.sum = m.sum.times(keep)
	m.weight = m.weight*keep + demandTime.Seconds()*(1-keep)
	m.at = now
}

func (m *demandMeter) rate(now fleet.Instant) Demand {
	m.advance(now)
	return m.sum.times(1 / max(m.weight, minDemandWeight.Seconds()))
}

// minDemandWeight is the least time over which a demand is averaged, so that
// the first request does not count as a high rate.
const minDemandWeight = time.Second

// RecordDemand counts a request for a service: the prompt tokens that an engine
// has to prefill for it, and those of them that belong to this request alone.
func (f *Fleet) RecordDemand(group fleet.GroupName, uncached, unshared float64, now fleet.Instant) {
	m := f.meters[group]
	if m == nil {
		m = &demandMeter{at: now, began: now}
		f.meters[group] = m
	}
	m.advance(now)
	m.sum = m.sum.plus(Demand{Requests: 1, Uncached: uncached, Unshared: unshared, Events: f.meanEvents(group)})
}

// Demand returns the demand for a service at all instances, and how long this
// instance has measured its own part; 0 before the first request.
func (f *Fleet) Demand(group fleet.GroupName, now fleet.Instant) (total Demand, measuredFor time.Duration) {
	total = f.othersDemand(group, now)
	if m := f.meters[group]; m != nil {
		return total.plus(m.rate(now)), now - m.began
	}
	return total, 0
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

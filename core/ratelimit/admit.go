package ratelimit

import (
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// fairShare is the part of the rate that each rank gets in proportion to its
	// requests, whatever more urgent ranks ask for.
	fairShare = 0.35
	// leastPassing is the rate of requests that are admitted by their rank at
	// least, per second: an instance with a small part of the limits would find
	// no request for what it is granted otherwise. minAllowed avoids a division
	// by zero.
	leastPassing = 2.0
	minAllowed   = 1e-3
	// A refused request is told to come back after minRetryAfter, and later by
	// up to retrySpread the more of its rank is refused.
	minRetryAfter = 300 * time.Millisecond
	retrySpread   = 1200 * time.Millisecond
)

// Decision is the admission of a request where all servers are limited.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration
	// Allowed is this instance's part of the rate of the servers, and Asked the
	// rate of its callers, in requests per second. Chance is the part of the
	// requests of this rank that is admitted.
	Allowed, Asked, Chance float64
	// Share is this instance's share of the callers, and Age the time since one
	// of the servers has last named its limit, the longest of them.
	Share float64
	Age   time.Duration
}

// Admit decides at its arrival whether a request is admitted. Each element of
// stages holds the servers of one stage that the request passes through; a stage
// with a server without a limit limits nothing.
func (l *Limiter) Admit(group fleet.GroupName, rank int, id fleet.RequestID, stages [][]fleet.Process, now fleet.Instant) Decision {
	d := Decision{Admit: true, Allowed: math.Inf(1), Chance: 1}
	for _, servers := range stages {
		if allowed, age := l.allowed(servers, group, now); allowed < d.Allowed {
			d.Allowed, d.Age = allowed, age
		}
	}
	if math.IsInf(d.Allowed, 1) {
		return d
	}
	d.Share = l.share(group, now)
	var asked [NumRanks]float64
	if m := l.meters[group]; m != nil {
		for i := range m {
			asked[i] = m[i].rate(now)
			d.Asked += asked[i]
		}
	}
	d.Chance = min(chance(asked, d.Allowed, clampRank(rank))*max(leastPassing/max(d.Allowed, minAllowed), 1), 1)
	d.Admit = d.Chance >= 1 || lot(string(id)) < d.Chance
	d.RetryAfter = l.RetryAfter(d.Chance)
	return d
}

// RetryAfter returns when the caller of a refused request should come back.
func (l *Limiter) RetryAfter(chance float64) time.Duration {
	return minRetryAfter + time.Duration((1-min(chance, 1))*float64(retrySpread))
}

// allowed returns this instance's part of the servers' rates, infinite if one
// has no limit, and the time since one of them has named its limit.
func (l *Limiter) allowed(servers []fleet.Process, group fleet.GroupName, now fleet.Instant) (sum float64, age time.Duration) {
	if len(servers) == 0 {
		return math.Inf(1), 0
	}
	for _, p := range servers {
		k := l.get(p, now)
		if k == nil {
			return math.Inf(1), 0
		}
		sum += l.rate(k, group, now)
		age = max(age, now-k.at)
	}
	return sum, age
}

// chance returns the part of the requests of a rank that is admitted when
// requests are asked for at the given rates: each rank gets fairShare in
// proportion, and the more urgent ranks the rest first.
func chance(asked [NumRanks]float64, allowed float64, rank int) float64 {
	total := 0.0
	for _, a := range asked {
		total += a
	}
	if total <= allowed || asked[rank] == 0 {
		return 1
	}
	rest := allowed * (1 - fairShare)
	for i, a := range asked {
		fair := a / total * allowed * fairShare
		more := min(rest, a-fair)
		rest -= more
		if i == rank {
			return (fair + more) / a
		}
	}
	return 1
}

package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

const (
	// After the hold one instance after the other may try a quarantined part,
	// each between trialFrom and trialTo of a slot of trialSlot: the news of a
	// trial's end takes time, and instances differ in when the hold began.
	trialSlot = 3 * time.Second
	trialFrom = 500 * time.Millisecond
	trialTo   = 1500 * time.Millisecond
	// TrialTime is the time in which the result of a trial is awaited.
	TrialTime = 5 * time.Second
)

// Change is a change of belief: EngineCrashed, Quarantined, TrialStarted,
// TrialFailed or Released.
type Change any

type (
	// EngineCrashed is the end of an engine that broke requests.
	EngineCrashed struct {
		Process fleet.Process
		// Age is the time since the end, and Requests the number of requests
		// known to be affected.
		Age      time.Duration
		Requests int
	}
	// Quarantined is a new verdict, and Reported the same learned from another
	// instance.
	Quarantined struct {
		Verdict
		Reported bool
	}
	// TrialStarted is a request that is admitted to try a quarantined part.
	TrialStarted struct{ Verdict }
	// TrialFailed is a further crash after a hold.
	TrialFailed struct{ Verdict }
	// Released is the end of a quarantine: a request with the part was answered,
	// or none came for long.
	Released struct {
		Verdict
		Answered bool
	}
)

const (
	// evaluateInterval is the least time between two decisions on the verdicts,
	// and expiryInterval the time after which expired evidence is looked for.
	evaluateInterval = 50 * time.Millisecond
	expiryInterval   = time.Second
)

// evidenceChanged decides on the verdicts, now or with the next call of settle.
func (d *Detector) evidenceChanged(now fleet.Instant) {
	d.stale = true
	d.settle(now)
}

// settle decides on the verdicts if the evidence has changed or may have
// expired.
func (d *Detector) settle(now fleet.Instant) {
	wait := expiryInterval
	if d.stale {
		wait = evaluateInterval
	} else if len(d.crashes) > 0 {
		wait = momentGap
	}
	if now-d.evaluatedAt < wait {
		return
	}
	d.expirePending(now)
	if d.stale || len(d.crashes)+len(d.stamps)+len(d.verdicts) > 0 {
		d.evaluate(now)
	}
	d.evaluatedAt, d.stale = now, false
}

// evaluate drops what no longer counts and decides on the verdicts.
func (d *Detector) evaluate(now fleet.Instant) {
	d.prune(now)
	d.updateVerdicts(now)
	for {
		all := d.tallies()
		part := d.mostSuspect(all, now)
		if part == "" || len(d.verdicts) >= maxVerdicts {
			d.open = make(map[string][]fleet.Instant, len(all.parts))
			for p, t := range all.parts {
				if len(t.times) > 0 {
					d.open[p] = t.times
				}
			}
			d.updateHeads()
			return
		}
		t := all.parts[part]
		d.addVerdict(part, t, now)
		if !IsDigest(part) {
			continue
		}
		// Requests that were at the same crashes cannot be told apart. Each is tried.
		for other, u := range all.parts {
			if IsDigest(other) && other != part && len(u.times) == len(t.times) && all.sufficientDigest(other, u) {
				d.addVerdict(other, u, now)
			}
		}
	}
}

// addVerdict quarantines a part by its evidence.
func (d *Detector) addVerdict(part string, t *tally, now fleet.Instant) {
	if len(d.verdicts) >= maxVerdicts {
		return
	}
	at, hold := slices.Max(t.times), baseHold
	switch {
	case IsDigest(part):
		hold = holdAfter(part, 0)
	case countMoments(t.times, newMomentGap) == 1:
		hold = firstHold
	}
	v := &verdict{at: at, until: at + hold, crashes: len(t.times), requests: len(t.requests), version: d.bump()}
	d.verdicts[part] = v
	d.verdictN++
	d.changes.Add(Quarantined{Verdict: *d.describe(part, v, now)})
}

// holdAfter returns how long a part is held after a number of failed trials.
func holdAfter(part string, failedTrials int) time.Duration {
	if !IsDigest(part) {
		return min(baseHold<<min(failedTrials, 10), maxHold)
	}
	holds := [...]time.Duration{firstDigestHold, secondDigestHold, thirdDigestHold, lastDigestHold}
	return holds[min(max(failedTrials, 0), len(holds)-1)]
}

// prune drops expired evidence, victims whose parts have all been answered since
// and verdicts after which no request came.
func (d *Detector) prune(now fleet.Instant) {
	for p, c := range d.crashes {
		d.applyAnswers(c)
		c.victims = d.openVictims(c.at, c.victims)
		if len(c.victims) == 0 || now-c.at > evidenceTTL {
			delete(d.crashes, p)
		}
	}
	for part, s := range d.stamps {
		if now-s.at > evidenceTTL {
			delete(d.stamps, part)
		}
	}
	for part, v := range d.verdicts {
		s, answered := d.stamps[part]
		answered = answered && s.at > v.at+releaseMargin
		if answered || now-v.until > evidenceTTL {
			d.changes.Add(Released{Verdict: *d.describe(part, v, now), Answered: answered})
			delete(d.verdicts, part)
			if now >= v.until {
				d.forget(part)
			}
		}
	}
}

// applyAnswers records this instance's answers that followed a crash and came
// before its news.
func (d *Detector) applyAnswers(c *crash) {
	for _, v := range c.victims {
		for _, part := range v.Parts {
			if at, ok := d.lastAnswer(part); ok && at >= c.at {
				d.setStamp(part, at)
			}
		}
	}
}

// forget drops the crashes that a verdict has explained, unless another one
// explains them too. A verdict that is released during its hold was wrong, so its
// crashes remain evidence.
func (d *Detector) forget(part string) {
	for p, c := range d.crashes {
		if c.holds(part) && !d.explained(c, true) {
			delete(d.crashes, p)
		}
	}
}

// updateVerdicts applies crashes with quarantined parts: they extend the hold,
// and one after the hold is a failed trial.
func (d *Detector) updateVerdicts(now fleet.Instant) {
	for _, c := range d.crashes {
		for part, v := range d.verdicts {
			if c.at <= v.at || !c.holds(part) {
				continue
			}
			v.crashes++
			v.at = c.at
			if c.at > v.until {
				v.failedTrials++
				v.until = c.at + holdAfter(part, v.failedTrials)
				v.trialUntil = 0
				d.changes.Add(TrialFailed{Verdict: *d.describe(part, v, now)})
			}
			v.version = d.bump()
		}
	}
}

func (c *crash) holds(part string) bool {
	return slices.ContainsFunc(c.victims, func(v Victim) bool { return slices.Contains(v.Parts, part) })
}

// explained reports whether a quarantined part was present at a crash; digests counts
// quarantined digests too.
func (d *Detector) explained(c *crash, digests bool) bool {
	return slices.ContainsFunc(c.victims, func(v Victim) bool {
		return slices.ContainsFunc(v.Parts, func(part string) bool { return d.verdicts[part] != nil && (digests || !IsDigest(part)) })
	})
}

// mayTry reports whether a request with a quarantined part may be tried here:
// the hold is over and it is this instance's turn. The instances take turns by
// a hash, without communication.
func (d *Detector) mayTry(part string, v *verdict, now fleet.Instant) bool {
	if now < v.until || now < v.trialUntil {
		return false
	}
	if d.config.ClaimedTrials && IsDigest(part) {
		return true
	}
	if within := (now - v.until) % trialSlot; within < trialFrom || within >= trialTo {
		return false
	}
	slot := strconv.FormatInt(int64((now-v.until)/trialSlot), 10)
	own := turn(part, slot, d.config.Instance)
	for _, id := range d.instances {
		if id != d.config.Instance && turn(part, slot, id) > own {
			return false
		}
	}
	return true
}

func turn(part, slot string, id fleet.InstanceID) uint64 {
	return membership.Hash(part, slot, string(id))
}

// normalise returns at most maxParts ids of at most maxPartBytes. It keeps the
// first ones, and hashes long ids.
func normalise(parts []string) []string {
	long := func(id string) bool { return len(id) > maxPartBytes }
	if len(parts) <= maxParts && !slices.ContainsFunc(parts, long) {
		return parts
	}
	out := slices.Clone(parts[:min(len(parts), maxParts)])
	for i, id := range out {
		if long(id) {
			out[i] = hashedID(id)
		}
	}
	return out
}

func hashedID(id string) string { return "#" + strconv.FormatUint(membership.Hash(id), 16) }

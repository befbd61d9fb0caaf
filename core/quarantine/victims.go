package quarantine

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// openVictims returns the victims that hold a part which no answer has followed
// after the crash.
func (d *Detector) openVictims(at fleet.Instant, victims []Victim) []Victim {
	var out []Victim
	for _, v := range victims {
		if slices.ContainsFunc(v.Parts, func(part string) bool { return d.isOpen(part, at) }) {
			out = append(out, v)
		}
	}
	return out
}

// isOpen reports whether no answer with the part has begun after the crash.
func (d *Detector) isOpen(part string, at fleet.Instant) bool {
	s, ok := d.stamps[part]
	return !ok || s.at < at
}

// addVictims adds the unknown victims to a crash. The last answers of this
// instance with their parts are recorded with them.
func (d *Detector) addVictims(c *crash, victims []Victim, now fleet.Instant) {
	changed := false
	for _, v := range d.openVictims(c.at, victims) {
		if !d.insert(c, v) {
			continue
		}
		changed = true
		d.track(v)
		for _, part := range v.Parts {
			if at, ok := d.lastAnswer(part); ok {
				d.setStamp(part, at)
			}
		}
	}
	if changed {
		c.version = d.bump()
		d.evidenceChanged(now)
	}
}

// insert adds a victim to a crash and reports whether it did. A full record
// keeps the victims that are most likely to be the cause: those whose request was at
// other crashes, then those with a part that was never answered or longest ago, and
// then those with the fewest events.
func (d *Detector) insert(c *crash, v Victim) bool {
	if slices.ContainsFunc(c.victims, func(k Victim) bool { return k.Request == v.Request }) {
		return false
	}
	if len(c.victims) < maxVictims {
		c.victims = append(c.victims, v)
		return true
	}
	least := 0
	for i := range c.victims {
		if d.likelier(c.victims[least], c.victims[i]) {
			least = i
		}
	}
	if !d.likelier(v, c.victims[least]) {
		return false
	}
	c.victims[least] = v
	return true
}

// likelier reports whether victim a is more likely than b to be the cause of a
// crash.
func (d *Detector) likelier(a, b Victim) bool {
	if crashesA, crashesB := len(d.open[a.digest()]), len(d.open[b.digest()]); crashesA != crashesB {
		return crashesA > crashesB
	}
	answerA, answerB := d.oldestAnswer(a.Parts), d.oldestAnswer(b.Parts)
	if answerA != answerB {
		return answerA < answerB
	}
	return a.Events < b.Events
}

// neverAnswered is earlier than any answer.
const neverAnswered = fleet.Instant(-1 << 63)

// oldestAnswer returns the earliest of the parts' last answers.
func (d *Detector) oldestAnswer(parts []string) fleet.Instant {
	oldest := fleet.Instant(1<<63 - 1)
	for _, part := range parts {
		if IsDigest(part) {
			continue
		}
		last := neverAnswered
		if s, ok := d.stamps[part]; ok {
			last = s.at
		}
		if at, ok := d.lastAnswer(part); ok {
			last = max(last, at)
		}
		oldest = min(oldest, last)
	}
	return oldest
}

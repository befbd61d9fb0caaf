package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// tally is the evidence against one part.
type tally struct {
	times []fleet.Instant
	// requests are the contents of different requests: a request that is repeated is
	// evidence against itself, and not against what others share with it.
	requests map[string]bool
	// position is the part's least position in its prompts, and begun reports
	// whether an event of an answer with the part was received.
	position int
	begun    bool
	// services are the services of the servers that ended.
	services map[fleet.GroupName]bool
	// explained is the number of crashes with a digest that a verdict on another request
	// explains. The request may still end servers too.
	explained int
}

// threshold is the evidence for a verdict: engines that ended, different requests
// that were affected, and moments at which it happened. A request that is
// repeated crashes several engines, and one cause such as a lost rack ends many
// engines at one moment.
type threshold struct{ crashes, requests, moments int }

// Thresholds by what else is known of the part. A part that was never answered
// needs less, and a part needs more while most engines end for other reasons:
// then many requests meet several ends by chance.
var (
	neverAnsweredAlone = threshold{3, 3, 2}
	neverAnsweredMixed = threshold{5, 4, 3}
	answeredAlone      = threshold{5, 4, 3}
	answeredMixed      = threshold{7, 6, 3}
	oneMomentAlone     = threshold{3, 6, 1}
)

// Numbers of servers that ended under a whole request for a verdict on it. Other causes
// may have ended them under a sound one, so it is tried soon.
const (
	digestCrashesAlone = 3
	digestCrashesMixed = 4
	// digestCrashesShared is the number if other servers ended at the same moments
	// without the request, as in a lost rack.
	digestCrashesShared = 6
	// digestCrashesExplained is the number of all crashes if a verdict explains some.
	digestCrashesExplained = 4
	// digestCrashesSuspect is the number from which on a request is a likelier cause
	// of a crash than what has nothing to do with requests.
	digestCrashesSuspect = 2
)

// maxEndsPerMoment is the mean number of engines that end at one moment from
// which a common cause is likelier than several requests.
const maxEndsPerMoment = 3

// tallies is the evidence against each part, and the crashes that no verdict explains:
// the times of those with an open prompt part, and those with an open digest.
type tallies struct {
	parts              map[string]*tally
	unexplainedParts   []fleet.Instant
	unexplainedDigests []digestCrash
}

// digestCrash is a crash with the open digests of the requests that were at it.
type digestCrash struct {
	at      fleet.Instant
	service fleet.GroupName
	digests []string
}

// tallies returns the evidence from the crashes that no verdict explains. The verdict
// on a whole request says nothing about its parts: a single request is no evidence
// against them.
func (d *Detector) tallies() tallies {
	out := tallies{parts: map[string]*tally{}}
	for _, c := range d.crashes {
		if d.explained(c, false) {
			continue
		}
		digests := !d.explained(c, true)
		openPart, open := false, digestCrash{at: c.at}
		seen := map[string]bool{}
		for _, v := range c.victims {
			for position, part := range v.Parts {
				if !d.isOpen(part, c.at) {
					continue
				}
				digest := IsDigest(part)
				t := out.parts[part]
				if t == nil {
					t = &tally{requests: map[string]bool{}, position: position, services: map[fleet.GroupName]bool{}}
					out.parts[part] = t
				}
				if digest && !digests {
					if !seen[part] {
						seen[part] = true
						t.explained++
					}
					continue
				}
				t.requests[v.content()] = true
				t.services[v.Service] = true
				t.position = min(t.position, position)
				t.begun = t.begun || v.Events > 0
				if digest {
					open.service, open.digests = v.Service, append(open.digests, part)
				} else {
					openPart = true
				}
				if !seen[part] {
					seen[part] = true
					t.times = append(t.times, c.at)
				}
			}
		}
		if openPart {
			out.unexplainedParts = append(out.unexplainedParts, c.at)
		}
		if len(open.digests) > 0 {
			out.unexplainedDigests = append(out.unexplainedDigests, open)
		}
	}
	return out
}

// otherCauses returns the times of crashes at the services of a digest from the first
// crash with it on that have a likelier cause: neither it nor another digest that was at
// several crashes was at them.
func (all tallies) otherCauses(digest string, t *tally) (out []fleet.Instant) {
	first := slices.Min(t.times) - newMomentGap
	suspect := func(other string) bool { return other == digest || len(all.parts[other].times) >= digestCrashesSuspect }
	for _, c := range all.unexplainedDigests {
		if c.at >= first && t.services[c.service] && !slices.ContainsFunc(c.digests, suspect) {
			out = append(out, c.at)
		}
	}
	return out
}

// mostSuspect returns the part with the most crashes among those with enough
// evidence, or "". Of several it prefers the one that was answered longest ago
// or never, and then the one that fewer prompts share.
func (d *Detector) mostSuspect(all tallies, now fleet.Instant) string {
	best := ""
	for part, t := range all.parts {
		if len(t.times) == 0 || !d.isSufficient(part, t, all, now) {
			continue
		}
		if best == "" || d.compare(part, t, best, all.parts[best]) > 0 {
			best = part
		}
	}
	return best
}

// isSufficient reports whether the evidence against a part is enough for a verdict.
func (d *Detector) isSufficient(part string, t *tally, all tallies, now fleet.Instant) bool {
	if IsDigest(part) {
		return all.sufficientDigest(part, t)
	}
	_, answered := d.stamps[part]
	return t.sufficient(answered, all.unexplainedParts) || !answered && t.oneMoment(now)
}

// sufficientDigest is like sufficient for the digest of a whole request. All crashes may
// be at one moment: a request that is sent to the next server when one has ended under
// it ends all of them at once. A crash at a moment at which other servers ended without
// the request has a likelier cause.
func (all tallies) sufficientDigest(digest string, t *tally) bool {
	if len(t.times)+t.explained < digestCrashesAlone || len(t.times) == 0 {
		return false
	}
	others := all.otherCauses(digest, t)
	need := digestCrashesAlone
	if 4*len(t.times) < 3*(len(t.times)+len(others)) {
		need = digestCrashesMixed
	}
	alone := 0
	for _, at := range t.times {
		if countNear(others, at) == 0 {
			alone++
		}
	}
	return alone >= need || len(t.times) >= digestCrashesShared || alone > 0 && alone+t.explained >= digestCrashesExplained
}

// countNear returns the number of times at the moment of at.
func countNear(times []fleet.Instant, at fleet.Instant) int {
	n := 0
	for _, x := range times {
		if (x - at).Abs() < newMomentGap {
			n++
		}
	}
	return n
}

// mixed reports whether over a quarter of the crashes since the first with the part
// were without it.
func (t *tally) mixed(unexplained []fleet.Instant) bool {
	first, since := slices.Min(t.times), 0
	for _, at := range unexplained {
		if at >= first {
			since++
		}
	}
	return 4*len(t.times) < 3*since
}

// sufficient reports whether the evidence is enough for a verdict; answered
// reports whether the part was ever answered.
func (t *tally) sufficient(answered bool, unexplained []fleet.Instant) bool {
	mixed, gap := t.mixed(unexplained), newMomentGap
	if answered {
		gap = momentGap
	}
	moments := countMoments(t.times, gap)
	need := neverAnsweredAlone
	switch {
	case answered && mixed:
		need = answeredMixed
	case answered:
		need = answeredAlone
	case mixed:
		need = neverAnsweredMixed
	case len(t.times) > maxEndsPerMoment*moments:
		need.moments++
	}
	return len(t.times) >= need.crashes && len(t.requests) >= need.requests && moments >= need.moments
}

// oneMoment reports whether the evidence against a part that was never answered
// is enough although all engines ended at one moment: several requests with the
// part were affected at each, and none of them had got an event. The requests at
// engines that are lost together are at all stages of their answers. While all
// engines are down no second moment can come.
func (t *tally) oneMoment(now fleet.Instant) bool {
	return len(t.times) >= oneMomentAlone.crashes && len(t.requests) >= max(oneMomentAlone.requests, 2*len(t.times)) && !t.begun &&
		now-slices.Max(t.times) >= momentGap
}

// compare returns a positive number when part a is more suspect than part b.
func (d *Detector) compare(a string, ta *tally, b string, tb *tally) int {
	if diff := len(ta.times) - len(tb.times); diff != 0 {
		return diff
	}
	sa, answeredA := d.stamps[a]
	sb, answeredB := d.stamps[b]
	switch {
	case answeredA != answeredB && answeredB:
		return 1
	case answeredA != answeredB:
		return -1
	case answeredA && sa.at != sb.at:
		return cmp.Compare(sb.at, sa.at)
	case ta.position != tb.position:
		return ta.position - tb.position
	case a < b:
		return 1
	}
	return -1
}

// countMoments returns the number of moments, separated by gap, in the times of
// crashes.
func countMoments(times []fleet.Instant, gap time.Duration) int {
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	n := 0
	last := fleet.Instant(0)
	for _, at := range sorted {
		if n == 0 || at-last >= gap {
			n, last = n+1, at
		}
	}
	return n
}

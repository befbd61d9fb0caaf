package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
)

// Report is what one instance tells another: the limits that changed since the
// last report that the other has confirmed, and the callers' rates while limits
// are in force.
type Report struct {
	gossip.Header
	Limits []Record
	// Rates are the requests per second of the sender's callers by service, and
	// on a hub those of the instances that it reports for.
	Rates map[fleet.GroupName]float64
}

// Record is what is known of one server's limit.
type Record struct {
	Process   fleet.Process
	PerSecond float64
	// Age is the time since the server last named the limit, or since it was
	// found to name none.
	Age   time.Duration
	Ended bool
}

// Change is a change of belief: LimitNamed or LimitEnded.
type Change any

type (
	// LimitNamed is a limit that is new or has changed. Before is the rate that
	// was known before, 0 for none.
	LimitNamed struct {
		Process           fleet.Process
		PerSecond, Before float64
		// Age is the time since the server named it; Reported is set when another
		// instance has told it.
		Age      time.Duration
		Reported bool
	}
	// LimitEnded is a limit that the server no longer names.
	LimitEnded struct {
		Process   fleet.Process
		PerSecond float64
		LastNamed time.Duration
		Reported  bool
	}
)

const (
	// maxRecords bounds the limits in one report; the rest follows in the next.
	maxRecords = 128
	// transitTolerance is the difference up to which two times mean the same
	// answer: they grow by the transit at each hop.
	transitTolerance = 300 * time.Millisecond
	// expiryInterval is the time between two searches for expired limits.
	expiryInterval = time.Second
)

// ReportFor returns the report for an instance. The rates include those of the
// other instances for which include returns true.
func (l *Limiter) ReportFor(id fleet.InstanceID, include func(fleet.InstanceID) bool, now fleet.Instant) Report {
	l.expire(now)
	var out Report
	upTo := l.version
	if after := l.peers.Confirmed(id); after < l.version {
		out.Limits, upTo = l.since(after, now)
	}
	header, news := l.peers.Send(id, upTo)
	out.Header = header
	if !news {
		out.Limits = nil
	}
	if l.Active(now) {
		out.Rates = l.rates(include, now)
	}
	return out
}

// rates returns the callers' rates by service.
func (l *Limiter) rates(include func(fleet.InstanceID) bool, now fleet.Instant) map[fleet.GroupName]float64 {
	out := map[fleet.GroupName]float64{}
	for group := range l.meters {
		out[group] = l.ownRate(group, now)
	}
	for id, r := range l.byPeer {
		if now-r.receivedAt > peerTTL || !include(id) {
			continue
		}
		for group, rate := range r.rates {
			out[group] += rate
		}
	}
	return out
}

// since returns the limits that changed after a version, and the version up to
// which they are complete.
func (l *Limiter) since(after uint64, now fleet.Instant) ([]Record, uint64) {
	type change struct {
		version uint64
		record  Record
	}
	var changed []change
	for p, k := range l.limits {
		if k.version > after {
			changed = append(changed, change{k.version, Record{Process: p, PerSecond: k.perSecond, Age: now - k.at, Ended: k.ended}})
		}
	}
	slices.SortFunc(changed, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	upTo := l.version
	if len(changed) > maxRecords {
		changed = changed[:maxRecords]
		upTo = changed[maxRecords-1].version
	}
	out := make([]Record, 0, len(changed))
	for _, c := range changed {
		out = append(out, c.record)
	}
	return out, upTo
}

// Receive merges an instance's report.
func (l *Limiter) Receive(id fleet.InstanceID, r Report, now fleet.Instant) {
	if r.Rates != nil {
		l.byPeer[id] = peerRates{r.Rates, now}
	}
	if !l.peers.Receive(id, r.Header) {
		return
	}
	for _, record := range r.Limits {
		l.merge(record, now)
	}
}

// merge takes over a limit that is unknown or was named later.
func (l *Limiter) merge(r Record, now fleet.Instant) {
	at := now - max(r.Age, 0)
	if now-at > limitTTL || !(r.PerSecond >= 0) {
		return
	}
	k := l.limits[r.Process]
	if k == nil {
		if r.Ended || len(l.limits) >= maxLimits {
			return
		}
		k = &limit{ended: true, at: at - 1}
		l.limits[r.Process] = k
	}
	switch {
	case r.Ended && !k.ended && at > k.at:
		l.changes.Add(LimitEnded{Process: r.Process, PerSecond: k.perSecond, LastNamed: now - k.at, Reported: true})
	case !r.Ended && k.ended && at > k.at:
		l.start(r.Process, k, now)
		l.changes.Add(LimitNamed{Process: r.Process, PerSecond: r.PerSecond, Before: k.told, Age: now - at, Reported: true})
	case r.Ended == k.ended && at > k.at+transitTolerance && (r.PerSecond != k.perSecond || at > k.at+refreshInterval/2):
		if r.PerSecond != k.perSecond && !k.ended {
			l.changes.Add(LimitNamed{Process: r.Process, PerSecond: r.PerSecond, Before: k.perSecond, Age: now - at, Reported: true})
		}
	default:
		return
	}
	k.perSecond, k.at, k.ended, k.unnamed = r.PerSecond, at, r.Ended, 0
	l.tell(k, now)
}

// expire drops limits that no answer has confirmed for long.
func (l *Limiter) expire(now fleet.Instant) {
	if now-l.expiredAt < expiryInterval {
		return
	}
	l.expiredAt = now
	for p, k := range l.limits {
		if now-k.at > limitTTL {
			delete(l.limits, p)
		}
	}
}

// KeepRates forgets the rates that were reported by instances for which keep returns
// false.
func (l *Limiter) KeepRates(keep func(fleet.InstanceID) bool) {
	maps.DeleteFunc(l.byPeer, func(peer fleet.InstanceID, _ peerRates) bool { return !keep(peer) })
}

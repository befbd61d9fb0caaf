// Package ratelimit keeps all instances together within the rate of requests
// that a server names. Each instance takes the part of the rate that its share
// of the service's callers amounts to, by what the instances tell each other
// (report.go); nothing is agreed on per request. What exceeds the rate goes to
// other servers or, when all are limited, is refused by rank.
//
// It performs no input or output and reads no clock. Not safe for concurrent
// use.
package ratelimit

import (
	"math"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/outbox"
)

const (
	// limitMargin is the part of a named rate that is used: instances see each
	// other's callers late.
	limitMargin = 1.0
	// leastRate is the rate, in requests per second of all instances, at which a
	// server is sent requests whatever it names: only its answers show that the
	// limit has ended.
	leastRate = 0.4
	// burstTime is the time for which an unused rate is kept.
	burstTime = 1500 * time.Millisecond
	// leastShare is an instance's least share, as a part of an equal one: the
	// callers of one that has just started are not yet known.
	leastShare = 0.3
	// peerTTL is how long another instance's report of its callers counts: the
	// share of one that is cut off must not be taken over at once. While none is
	// heard within heardTTL, the last share is used for shareTTL.
	peerTTL  = 10 * time.Second
	heardTTL = 1500 * time.Millisecond
	shareTTL = 30 * time.Second
	// limitTTL is how long a limit holds that no answer confirms. Confirmations
	// are told every refreshInterval.
	limitTTL        = 60 * time.Second
	refreshInterval = 20 * time.Second
	// changeInterval is the least time between two changes of one limit that
	// others are told, and changeShare the least change.
	changeInterval = 200 * time.Millisecond
	changeShare    = 0.02
	// unnamedAnswers is the number of answers without a limit, to requests sent
	// after the last answer with one, that end it; one is enough when the request
	// was sent unnamedTime later.
	unnamedAnswers = 3
	unnamedTime    = 1500 * time.Millisecond
	// settleTime is the time without a new limit after which all are taken to be
	// known.
	settleTime = time.Second
	// meanWeight is the weight of one request in the mean length.
	meanWeight = 0.02
	// maxLimits bounds the memory.
	maxLimits = 4096
	// NumRanks is the number of distinct ranks; higher ranks count as the last.
	NumRanks = 4
)

// Config identifies the instance and its process.
type Config struct {
	Instance fleet.InstanceID
	// Epoch differs between the processes of an instance; it is not 0.
	Epoch uint64
}

// limit is what is known of one server's limit.
type limit struct {
	perSecond float64
	// at is when the server last named the limit, or was found to name none.
	at    fleet.Instant
	ended bool
	// unnamed counts the answers without a limit since.
	unnamed int
	// requests is the number of requests that are granted and unused, the last
	// one granted at grantedAt, and granted the number of all so far. due is the
	// part of a request that is missing to the next one as of refilledAt.
	requests, granted     int
	due                   float64
	grantedAt, refilledAt fleet.Instant
	// told is the rate that others were told at toldAt.
	told    float64
	toldAt  fleet.Instant
	version uint64
}

// peerRates are the callers' rates that another instance has reported.
type peerRates struct {
	rates      map[fleet.GroupName]float64
	receivedAt fleet.Instant
}

// knownShare is an instance's last share of a service's callers.
type knownShare struct {
	share float64
	at    fleet.Instant
}

// Limiter is one instance's part of all limits.
type Limiter struct {
	config    Config
	instances int
	limits    map[fleet.Process]*limit
	meters    map[fleet.GroupName]*[NumRanks]meter
	byPeer    map[fleet.InstanceID]peerRates
	shares    map[fleet.GroupName]knownShare
	// meanTokens is the mean length of the prompts of a service.
	meanTokens map[fleet.GroupName]float64
	peers      *gossip.Peers
	version    uint64
	expiredAt  fleet.Instant
	// startedAt is when a limit has last become known.
	startedAt fleet.Instant
	changes   outbox.Outbox[Change]
}

// New returns a Limiter that knows no limits.
func New(config Config) *Limiter {
	return &Limiter{
		config: config, instances: 1, limits: map[fleet.Process]*limit{}, meters: map[fleet.GroupName]*[NumRanks]meter{},
		byPeer: map[fleet.InstanceID]peerRates{}, shares: map[fleet.GroupName]knownShare{}, meanTokens: map[fleet.GroupName]float64{}, peers: gossip.NewPeers(config.Epoch),
	}
}

// SetInstances sets the listed instances.
func (l *Limiter) SetInstances(list []fleet.InstanceID) {
	l.instances = max(len(list), 1)
	l.peers.Keep(list)
}

// CountRequest counts a caller's request for a service, with the length of its
// prompt in tokens. It is called after the
// request is admitted or not, since the rate seen by an arrival that counts
// itself is too high.
func (l *Limiter) CountRequest(group fleet.GroupName, rank, tokens int, now fleet.Instant) {
	l.meanTokens[group] += meanWeight * (float64(tokens) - l.meanTokens[group])
	m := l.meters[group]
	if m == nil {
		m = &[NumRanks]meter{}
		for i := range m {
			m[i].at = now
		}
		l.meters[group] = m
	}
	m[clampRank(rank)].add(now)
}

func clampRank(rank int) int { return min(max(rank, 0), NumRanks-1) }

// Named records an answer in which a server names its limit in requests per
// second.
func (l *Limiter) Named(p fleet.Process, perSecond float64, now fleet.Instant) {
	k := l.limits[p]
	if k == nil {
		if len(l.limits) >= maxLimits {
			return
		}
		k = &limit{ended: true}
		l.limits[p] = k
	}
	began := k.ended
	if began {
		l.start(p, k, now)
	}
	k.perSecond, k.at, k.ended, k.unnamed = perSecond, now, false, 0
	switch {
	case began, math.Abs(perSecond-k.told) > changeShare*k.told && now-k.toldAt >= changeInterval, now-k.toldAt >= refreshInterval:
		if began || perSecond != k.told {
			l.changes.Add(LimitNamed{Process: p, PerSecond: perSecond, Before: k.told})
		}
		l.tell(k, now)
	}
}

// Unnamed records an answer without a limit to a request that was sent at the
// given time.
func (l *Limiter) Unnamed(p fleet.Process, sent, now fleet.Instant) {
	k := l.limits[p]
	if k == nil || k.ended || sent <= k.at {
		return
	}
	if k.unnamed++; k.unnamed < unnamedAnswers && sent-k.at < unnamedTime {
		return
	}
	l.changes.Add(LimitEnded{Process: p, PerSecond: k.perSecond, LastNamed: now - k.at})
	k.ended, k.at = true, now
	l.tell(k, now)
}

// tell marks a limit to be told to the other instances.
func (l *Limiter) tell(k *limit, now fleet.Instant) {
	l.version++
	k.version, k.told, k.toldAt = l.version, k.perSecond, now
}

// Active reports whether any limit is in force.
func (l *Limiter) Active(now fleet.Instant) bool {
	for _, k := range l.limits {
		if k.inForce(now) {
			return true
		}
	}
	return false
}

func (k *limit) inForce(now fleet.Instant) bool { return !k.ended && now-k.at <= limitTTL }

// get returns a server's limit that is in force, or nil.
func (l *Limiter) get(p fleet.Process, now fleet.Instant) *limit {
	if k := l.limits[p]; k != nil && k.inForce(now) {
		return k
	}
	return nil
}

// rate returns this instance's part of a limit, in requests per second.
func (l *Limiter) rate(k *limit, group fleet.GroupName, now fleet.Instant) float64 {
	return max(k.perSecond*limitMargin, leastRate) * l.share(group, now)
}

// refill grants the requests whose time has come, and drops those that were kept
// for too long. The times are drawn, so that the small parts of many instances
// don't come due together.
func (l *Limiter) refill(p fleet.Process, k *limit, group fleet.GroupName, now fleet.Instant) (most int) {
	rate := l.rate(k, group, now)
	most = max(int(rate*burstTime.Seconds()+0.5), 1)
	k.due -= rate * max(now-k.refilledAt, 0).Seconds()
	k.refilledAt = now
	for k.due <= 0 {
		k.granted++
		granted := now + time.Duration(k.due/rate*float64(time.Second))
		if now-granted <= burstTime {
			k.requests, k.grantedAt = min(k.requests+1, most), granted
		}
		k.due += 0.5 + lot(string(p.Server), string(l.config.Instance), strconv.Itoa(k.granted))
	}
	if now-k.grantedAt > burstTime {
		k.requests = 0
	}
	k.requests = min(k.requests, most)
	return most
}

// start begins a limit: the first request is granted within the time of one.
func (l *Limiter) start(p fleet.Process, k *limit, now fleet.Instant) {
	l.startedAt = now
	k.requests, k.refilledAt = 0, now
	k.due = lot(string(l.config.Instance), string(p.Server)) + minDue
}

// minDue keeps the first request of a limit from being granted at once.
const minDue = 1e-6

// Open reports whether a server may be sent a request: it names no limit, or a
// request of this instance's part is granted and unused. What is just granted is
// left to large requests, which a server without a limit would hardly take.
func (l *Limiter) Open(p fleet.Process, group fleet.GroupName, large bool, now fleet.Instant) bool {
	k := l.get(p, now)
	if k == nil {
		return true
	}
	most := l.refill(p, k, group, now)
	return k.requests > 0 && (large || k.requests > most/2+1 || now-k.grantedAt >= burstTime/2)
}

// Take takes a request of an open server's limit.
func (l *Limiter) Take(p fleet.Process, now fleet.Instant) {
	if k := l.get(p, now); k != nil {
		k.requests = max(k.requests-1, 0)
	}
}

// IsLarge reports whether a request is at least as large as the mean of its
// service.
func (l *Limiter) IsLarge(group fleet.GroupName, tokens int) bool {
	return float64(tokens) >= l.meanTokens[group]
}

// lot returns a number in [0, 1) that depends on the request only.
func lot(texts ...string) float64 {
	return float64(membership.Hash(texts...)%(1<<24)) / (1 << 24)
}

// share returns this instance's share of a service's callers.
func (l *Limiter) share(group fleet.GroupName, now fleet.Instant) float64 {
	equal := 1 / float64(l.instances)
	if l.instances == 1 {
		return 1
	}
	if known, ok := l.shares[group]; ok && now-known.at < shareInterval {
		return known.share
	}
	others, heard := 0.0, false
	for id, r := range l.byPeer {
		if now-r.receivedAt > peerTTL {
			delete(l.byPeer, id)
			continue
		}
		heard = heard || now-r.receivedAt <= heardTTL
		others += r.rates[group]
	}
	if !heard {
		if known, ok := l.shares[group]; ok && now-known.at <= shareTTL {
			return known.share
		}
		return equal
	}
	share := equal
	if own := l.ownRate(group, now); own+others > 0 {
		share = min(max(own/(own+others), leastShare*equal), 1)
	}
	l.shares[group] = knownShare{share, now}
	return share
}

// shareInterval is the time for which a share is not computed again.
const shareInterval = 50 * time.Millisecond

// ownRate returns the rate of this instance's callers of a service.
func (l *Limiter) ownRate(group fleet.GroupName, now fleet.Instant) float64 {
	sum := 0.0
	if m := l.meters[group]; m != nil {
		for i := range m {
			sum += m[i].rate(now)
		}
	}
	return sum
}

// Settled reports whether no new limit has become known for a while: servers in
// need are heard one after the other.
func (l *Limiter) Settled(now fleet.Instant) bool { return now-l.startedAt >= settleTime }

// Limit returns the rate that a server names, in requests per second of all
// instances, or false if it names none.
func (l *Limiter) Limit(p fleet.Process, now fleet.Instant) (perSecond float64, named bool) {
	if k := l.get(p, now); k != nil {
		return k.perSecond, true
	}
	return 0, false
}

// Counts returns the number of limits in force and the sum of their rates.
func (l *Limiter) Counts(now fleet.Instant) (limits int, perSecond float64) {
	for _, k := range l.limits {
		if k.inForce(now) {
			limits++
			perSecond += k.perSecond
		}
	}
	return limits, perSecond
}

// Changes returns the changes of belief since the last call, to be logged.
func (l *Limiter) Changes() []Change { return l.changes.Take() }

// meter measures a rate as an exponentially weighted average over meterTime,
// without bias at the start.
type meter struct {
	// sum is the weighted number of requests and weight the weighted time in
	// seconds.
	sum, weight float64
	at          fleet.Instant
}

const (
	meterTime = 5 * time.Second
	// leastMeterWeight is the least time over which a rate is averaged.
	leastMeterWeight = 500 * time.Millisecond
)

func (m *meter) advance(now fleet.Instant) {
	if now <= m.at {
		return
	}
	keep := math.Exp(-float64(now-m.at) / float64(meterTime))
	m.sum *= keep
	m.weight = m.weight*keep + meterTime.Seconds()*(1-keep)
	m.at = now
}

func (m *meter) add(now fleet.Instant) {
	m.advance(now)
	m.sum++
}

func (m *meter) rate(now fleet.Instant) float64 {
	m.advance(now)
	return m.sum / max(m.weight, leastMeterWeight.Seconds())
}

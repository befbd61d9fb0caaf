// Package placement chooses the server for each request from what an instance
// knows of the fleet: the listed servers, its own requests in flight, those
// that other instances report, the speeds it has learned and the prompt parts
// that each engine is assumed to have cached. It performs no input or output
// and reads no clock.
package placement

import (
	"maps"
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
)

// Server is one listed server.
type Server struct {
	ID         fleet.UpstreamID
	Group      fleet.GroupName
	Address    string
	DataCentre fleet.DataCentre
	// SoftwareVersion names the version of the server's software; "" if unknown.
	SoftwareVersion string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Stage is RolePrefill or RoleDecode for engines, RoleMixed for others.
	Stage fleet.Role
	// StartTime is the start of the process as the server reports it; it
	// distinguishes successive processes with one id.
	StartTime int64
	// Leaving servers are draining and get no new requests.
	Leaving bool
	// AcceptedOrders is the number of orders that the process has accepted.
	AcceptedOrders int64
	// Spot servers are cheaper and may be reclaimed by the platform. LeavesIn is
	// the time from the entry's writing until a reclaimed server ends, 0 for
	// others.
	Spot     bool
	LeavesIn time.Duration
}

// Process returns the identity of the server's process.
func (s Server) Process() fleet.Process {
	return fleet.Process{Server: s.ID, StartTime: s.StartTime}
}

// NumRanks is the number of distinct request ranks, 0 being the most urgent;
// higher ranks count as the last.
const NumRanks = 4

// LateRank is the rank under which requests count that are sent behind all
// others because they are expected to miss their latency target.
const LateRank = NumRanks - 1

func rankIndex(rank int) int { return min(max(rank, 0), NumRanks-1) }

// Work is an instance's work in flight at one server. Instances send it to each
// other.
type Work struct {
	// Reads is the number of prompt tokens sent and not yet prefilled, by rank:
	// engines prefill the prompts of more urgent requests first.
	Reads [NumRanks]float64
	// Runs is the number of requests that are running or queued.
	Runs int
	// Behind0, Behind1 and Behind2 are the numbers of runs that are less urgent
	// than rank 0, 1 and 2: engines start the more urgent of the queued ones
	// first. They are no array, of which gob would send the zeros too.
	Behind0, Behind1, Behind2 int
	// Speed is the server's prefill speed as learned by the instance, in prompt
	// tokens per millisecond at the prefill stage; 0 when unknown.
	Speed float64
	// Pace is the server's token gap as learned by the instance, in
	// milliseconds; 0 when unknown.
	Pace float64
}

// tokensAhead returns the number of tokens that are prefilled before those of a
// new request of the rank.
func (w Work) tokensAhead(rank int) float64 {
	sum := 0.0
	for i := 0; i <= rankIndex(rank); i++ {
		sum += w.Reads[i]
	}
	return sum
}

// runsBehind returns the number of runs that are less urgent than a new request
// of the rank.
func (w Work) runsBehind(rank int) float64 {
	return float64([NumRanks]int{w.Behind0, w.Behind1, w.Behind2, 0}[rankIndex(rank)])
}

// addRun adds n, 1 or -1, to the runs of a rank.
func (w *Work) addRun(rank, n int) {
	w.Runs = max(w.Runs+n, 0)
	for i, behind := range [...]*int{&w.Behind0, &w.Behind1, &w.Behind2} {
		if rankIndex(rank) > i {
			*behind = max(*behind+n, 0)
		}
	}
}

// merge adds the requests and tokens of other.
func (w *Work) merge(other Work) {
	for i := range w.Reads {
		w.Reads[i] += other.Reads[i]
	}
	w.Runs += other.Runs
	w.Behind0 += other.Behind0
	w.Behind1 += other.Behind1
	w.Behind2 += other.Behind2
}

func (w *Work) addTokens(rank int, tokens float64) {
	i := rankIndex(rank)
	w.Reads[i] = max(w.Reads[i]+tokens, 0)
}

const (
	// initialSpeed is the prefill speed assumed before the first measurement,
	// in prompt tokens per millisecond.
	initialSpeed = 40.0
	// fullWeightTokens is the length from which a prompt has the full weight in
	// the average speed.
	fullWeightTokens = 4000.0
	// minSpeed and maxSpeed bound a measured speed, so that one outlier has a
	// limited effect.
	minSpeed, maxSpeed = 2.0, 1000.0
	// speedWeight is the weight of a new measurement in the average speed.
	speedWeight = 0.15
	// minPace and maxPace bound a measured token gap, in milliseconds, and
	// paceWeight is the weight of one answer in the average.
	minPace, maxPace = 1.0, 2000.0
	paceWeight       = 0.1
	// callOverhead is the part of a prefill call's duration that does not
	// depend on the prompt's length, as assumed before it is learned: transfer
	// of the body, one batch step.
	callOverhead = 15 * time.Millisecond
	// peerWorkTTL is how long an instance's last report counts; an instance
	// that stops reporting has lost its callers or is partitioned.
	peerWorkTTL = 1500 * time.Millisecond
)

// peerWork is another instance's last report of its work in flight.
type peerWork struct {
	Work
	receivedAt fleet.Instant
}

// until returns when the report no longer counts.
func (w *peerWork) until() fleet.Instant { return w.receivedAt + peerWorkTTL + 1 }

// server is the instance's state of one server.
type server struct {
	Server
	own    Work
	byPeer map[fleet.InstanceID]peerWork
	// peerSum is the sum of byPeer. It is valid until peerSumUntil unless
	// peerSumStale is set.
	peerSum      Work
	peerSumUntil fleet.Instant
	peerSumStale bool
	// ownSpeed is this instance's average measured speed, in prompt tokens per
	// millisecond at the prefill stage; speed is the mean over all instances.
	// speedKnown reports whether speed comes from a measurement.
	ownSpeed   float64
	speed      float64
	speedKnown bool
	// weight is the server's weight in the rendezvous hash of shared parts.
	weight float64
	// pace is the mean token gap over all instances, in milliseconds; 0 when
	// unknown.
	pace float64
	// measured reports whether ownSpeed holds a measurement.
	measured bool
	cache    cache
	// available is false while the server is ejected for failures.
	available bool
	// failureRate is the weighted average share of failed attempts as of
	// failureRateAt.
	failureRate   float64
	failureRateAt fleet.Instant
	// latency is the average response time of a server of a plain service.
	latency time.Duration
	// pressure is how long work takes on the server's machine.
	pressure pressure
	// pausedUntil is when the server takes requests again after it has turned one
	// away; 0 if it takes them.
	pausedUntil fleet.Instant
}

func newServer(s Server) *server {
	return &server{
		Server: s, byPeer: map[fleet.InstanceID]peerWork{}, speed: initialSpeed, ownSpeed: initialSpeed,
		weight: homeWeight(initialSpeed), cache: newCache(), available: true,
	}
}

// totalWork returns the work in flight of all instances at the server.
func (s *server) totalWork(now fleet.Instant) Work {
	if s.peerSumStale || now >= s.peerSumUntil {
		s.updatePeerSum(now)
	}
	total := s.own
	total.merge(s.peerSum)
	return total
}

// runsNow returns the estimated number of runs: this instance's own, and those
// of the other instances of which the given share has ended since they were
// reported.
func (s *server) runsNow(ended float64, now fleet.Instant) float64 {
	return float64(s.own.Runs) + (1-ended)*float64(s.totalWork(now).Runs-s.own.Runs)
}

// updatePeerSum drops expired reports and recomputes peerSum and peerSumUntil.
func (s *server) updatePeerSum(now fleet.Instant) {
	var expired bool
	s.peerSum, s.peerSumUntil, expired = s.sumPeers(now)
	s.peerSumStale = false
	if expired {
		maps.DeleteFunc(s.byPeer, func(_ fleet.InstanceID, w peerWork) bool { return now >= w.until() })
	}
}

// sumPeers returns the sum of the reports that count and the time until which it
// is valid, and reports whether any report has expired.
func (s *server) sumPeers(now fleet.Instant) (sum Work, until fleet.Instant, expired bool) {
	until = maxInstant
	for _, w := range s.byPeer {
		if now >= w.until() {
			expired = true
			continue
		}
		sum.merge(w.Work)
		until = min(until, w.until())
	}
	return sum, until, expired
}

// maxInstant is later than any time.
const maxInstant = fleet.Instant(math.MaxInt64)

// learnSpeed updates the speed from the time that the server took for tokens,
// those queued ahead included, without the overhead of the call. Short prompts
// mostly wait for batch steps, so they count less.
func (s *server) learnSpeed(tokens float64, took time.Duration) {
	ms := float64(max(took, time.Millisecond)) / float64(time.Millisecond)
	measured := min(max(tokens/ms, minSpeed), maxSpeed)
	s.ownSpeed += speedWeight * min(tokens/fullWeightTokens, 1) * (measured - s.ownSpeed)
	s.measured = true
	s.own.Speed = s.ownSpeed
	s.updateMeans()
}

// learnPace updates the token gap from the mean gap of one answer.
func (s *server) learnPace(gap time.Duration) {
	ms := min(max(float64(gap)/float64(time.Millisecond), minPace), maxPace)
	if s.own.Pace == 0 {
		s.own.Pace = ms
	}
	s.own.Pace += paceWeight * (ms - s.own.Pace)
	s.updateMeans()
}

// updateMeans averages what all instances have learned: each sees only its own
// share of the requests, and all should agree on the homes of shared parts.
func (s *server) updateMeans() {
	var speeds, paces mean
	if s.measured {
		speeds.add(s.ownSpeed)
	}
	paces.add(s.own.Pace)
	for _, w := range s.byPeer {
		speeds.add(w.Speed)
		paces.add(w.Pace)
	}
	s.peerSumStale = true
	s.speedKnown = s.speedKnown || speeds.n > 0
	if speed := speeds.valueOr(s.speed); speed != s.speed {
		s.speed, s.weight = speed, homeWeight(speed)
	}
	s.pace = paces.valueOr(s.pace)
}

// mean accumulates the arithmetic mean of the positive values; 0 means unknown
// and is skipped.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	if v > 0 {
		m.sum, m.n = m.sum+v, m.n+1
	}
}

// valueOr returns the mean, or other when no value is known.
func (m *mean) valueOr(other float64) float64 {
	if m.n == 0 {
		return other
	}
	return m.sum / float64(m.n)
}

// EjectorConfig ejects a server after two consecutive failures, for half a second
// at first: at a few requests per second per server, a higher count would take
// seconds to reach. Up to four fifths of a group may be ejected, since a data
// centre that is partitioned cannot reach the servers of the other two.
var EjectorConfig = retry.EjectorConfig{
	ConsecutiveFailures: 2, BaseDuration: 500 * time.Millisecond, MaxDuration: 4 * time.Second, ReinstatedInFlight: 8, MaxEjectedShare: 0.8,
}

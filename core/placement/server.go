// Package place chooses the server of each request from what an instance knows
// of the fleet: the servers that are listed, its own requests in flight, what
// other instances say of theirs, the speeds it has learned and the prompt parts
// that it believes each engine keeps. It performs no input or output and reads
// no clock.
package placement

import (
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
	// Slots is how many requests it runs at once.
	Slots int
	// Stage is RolePrefill or RoleDecode for engines, RoleMixed for others.
	Stage fleet.Role
	// StartTime distinguishes successive processes under one id.
	StartTime int64
	// Leaving servers get no new requests.
	Leaving bool
	// AcceptedOrders is the number of orders that this process has accepted.
	AcceptedOrders int64
}

// NumRanks is the number of ranks of requests that are told apart; requests of
// lower urgency count as the last.
const NumRanks = 4

// Work is what an instance has under way at one server.
type Work struct {
	// Reads is the number of prompt tokens sent and not yet read, by rank: an
	// engine reads the prompts of more urgent requests first.
	Reads [NumRanks]float64
	// Runs is the number of requests that run or wait to run.
	Runs int
	// Speed is what the instance has learned of the server's reading, in
	// prompt tokens per millisecond at the prefill stage; 0 when nothing.
	Speed float64
	// Pace is what the instance has learned of the time between two events of
	// an answer that the server makes, in milliseconds; 0 when nothing.
	Pace float64
}

// ahead returns the tokens that are read before those of a new request.
func (w Work) ahead(rank int) float64 {
	sum := 0.0
	for i := 0; i <= min(max(rank, 0), NumRanks-1); i++ {
		sum += w.Reads[i]
	}
	return sum
}

// plus adds another instance's requests.
func (w *Work) plus(other Work) {
	for i := range w.Reads {
		w.Reads[i] += other.Reads[i]
	}
	w.Runs += other.Runs
}

func (w *Work) add(rank int, tokens float64) {
	i := min(max(rank, 0), NumRanks-1)
	w.Reads[i] = max(w.Reads[i]+tokens, 0)
}

const (
	// initialSpeed is assumed of an engine before the first prompt has been
	// read, in prompt tokens per millisecond.
	initialSpeed = 40.0
	// minSpeed and maxSpeed bound what a single odd measurement can teach.
	minSpeed, maxSpeed = 2.0, 1000.0
	// speedWeight is the part of a new measurement in the learned speed.
	speedWeight = 0.15
	// minPace and maxPace bound the same for the time between events, in
	// milliseconds, and paceWeight is the part of one answer in it.
	minPace, maxPace = 1.0, 2000.0
	paceWeight       = 0.1
	// callOverhead is the part of a read's duration that does not depend on
	// its length: transfer of the body, a step of the batch.
	callOverhead = 15 * time.Millisecond
	// peerWorkTTL is how long an instance's last word on its work counts; a
	// silent instance has lost its callers or is cut off.
	peerWorkTTL = 1500 * time.Millisecond
)

type peerWork struct {
	Work
	heard fleet.Instant
}

// server is what the instance believes of one server.
type server struct {
	Server
	own    Work
	others map[fleet.InstanceID]peerWork
	// peers is the sum of others, which holds until peersUntil unless it is stale.
	peers      Work
	peersUntil fleet.Instant
	stale      bool
	// learned is the own measurement of the speed, in prompt tokens per
	// millisecond at the prefill stage; speed is the mean over all instances.
	learned float64
	speed   float64
	// weight is the server's as a home of shared parts.
	weight float64
	// pace is the mean of the learned paces over all instances, in milliseconds
	// between two events; 0 when nothing was learned.
	pace float64
	// taught tells that learned holds a measurement.
	taught bool
	cache  cache
	// available is false while the server is ejected for failures.
	available bool
	// failing is the recent share of attempts that failed, as of failedAt.
	failing  float64
	failedAt fleet.Instant
	// latency is the mean time of answers of a plain service.
	latency time.Duration
}

func newServer(s Server) *server {
	return &server{
		Server: s, others: map[fleet.InstanceID]peerWork{}, speed: initialSpeed, learned: initialSpeed,
		weight: homeWeight(initialSpeed), cache: newCache(), available: true,
	}
}

// work returns the work of all instances at the server.
func (s *server) work(now fleet.Instant) Work {
	if s.stale || now >= s.peersUntil {
		s.sumPeers(now)
	}
	total := s.own
	total.plus(s.peers)
	return total
}

// sumPeers adds up what other instances have under way, and notes until when the
// sum holds.
func (s *server) sumPeers(now fleet.Instant) {
	s.peers, s.stale, s.peersUntil = Work{}, false, never
	for id, w := range s.others {
		until := w.heard + peerWorkTTL + 1
		if now >= until {
			delete(s.others, id)
			continue
		}
		s.peers.plus(w.Work)
		s.peersUntil = min(s.peersUntil, until)
	}
}

// never is later than any time.
const never = fleet.Instant(math.MaxInt64)

// learn takes the time in which the server read tokens, those ahead included.
func (s *server) learn(tokens float64, took time.Duration) {
	ms := float64(max(took-callOverhead, time.Millisecond)) / float64(time.Millisecond)
	measured := min(max(tokens/ms, minSpeed), maxSpeed)
	s.learned += speedWeight * (measured - s.learned)
	s.taught = true
	s.own.Speed = s.learned
	s.mix()
}

// learnPace takes the mean time between the events of one answer.
func (s *server) learnPace(gap time.Duration) {
	ms := min(max(float64(gap)/float64(time.Millisecond), minPace), maxPace)
	if s.own.Pace == 0 {
		s.own.Pace = ms
	}
	s.own.Pace += paceWeight * (ms - s.own.Pace)
	s.mix()
}

// mix takes the mean of what all instances have learned: each sees only its own
// part of the requests, and all should agree on the homes of shared parts.
func (s *server) mix() {
	var speeds, paces mean
	if s.taught {
		speeds.add(s.learned)
	}
	paces.add(s.own.Pace)
	for _, w := range s.others {
		speeds.add(w.Speed)
		paces.add(w.Pace)
	}
	s.stale = true
	if speed := speeds.or(s.speed); speed != s.speed {
		s.speed, s.weight = speed, homeWeight(speed)
	}
	s.pace = paces.or(s.pace)
}

// mean is the mean of the values that are known; 0 is not.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	if v > 0 {
		m.sum, m.n = m.sum+v, m.n+1
	}
}

// or returns the mean, or other when no value is known.
func (m *mean) or(other float64) float64 {
	if m.n == 0 {
		return other
	}
	return m.sum / float64(m.n)
}

// EjectConfig ejects a server after two failures in a row for half a second at
// first: at a few requests a second to each server, more would take seconds to
// notice. Four fifths of a group may be out, since a cut data centre loses
// sight of the other two.
var EjectConfig = retry.EjectorConfig{
	ConsecutiveFailures: 2, BaseDuration: 500 * time.Millisecond, MaxDuration: 4 * time.Second, ReinstatedInFlight: 8, MaxEjectedShare: 0.8,
}

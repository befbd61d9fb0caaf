// Package emulator models one language-model engine in virtual time: continuous
// batching with chunked prefill, a bounded prefix cache, priorities, roles and
// role changes. It performs no input or output and reads no clock.
package emulator

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Costs of an engine of speed 1. An engine of speed s takes 1/s of these times.
const (
	// IterationBase is the fixed time of an iteration.
	IterationBase = 18 * time.Millisecond
	// PrefillPerToken is the time to prefill one token: 50,000 tokens/s.
	PrefillPerToken = 20 * time.Microsecond
	// DecodePerSequence is the time that a sequence adds to an iteration.
	DecodePerSequence = 350 * time.Microsecond
	// DecodePerContextToken is the time to read one token of KV cache.
	DecodePerContextToken = 120 * time.Nanosecond
	// OffRoleEfficiency is the part of its speed that an engine keeps for work
	// outside its role.
	OffRoleEfficiency = 0.5
	// MixedEfficiency is the part of its speed that a mixed engine keeps, for
	// prefill and for decode.
	MixedEfficiency = 0.8
	// RoleChangeTime is how long an engine is unavailable for a role change.
	RoleChangeTime = 6 * time.Second
	// BlockTokens is the size of a prefix cache block in tokens.
	BlockTokens = 2000
)

// Limits of an engine of speed 1; memory grows with speed.
const (
	kvTokensPerSpeed = 600_000
	// cacheBlocksPerSpeed is two million tokens. It exceeds the KV cache because
	// host memory holds blocks that were evicted from the accelerators.
	cacheBlocksPerSpeed = 1000
	// maxSequences bounds the sequences that decode or prefill in one iteration.
	maxSequences = 1024
)

// chunkTokens is the most prompt tokens that one iteration prefills, by role. Small
// chunks keep the time between tokens of running sequences short.
var chunkTokens = [...]int{fleet.RoleMixed: 1024, fleet.RolePrefill: 8192, fleet.RoleDecode: 256}

// Mode is the part of a request that an engine runs.
type Mode uint8

// Modes of a job.
const (
	// ModeFull prefills and decodes.
	ModeFull Mode = iota
	// ModePrefill prefills and keeps the KV cache for export.
	ModePrefill
	// ModeDecode imports KV cache and decodes.
	ModeDecode
)

// Job is one request at an engine.
type Job struct {
	ID           fleet.RequestID
	Mode         Mode
	PromptTokens int      // tokens
	OutputTokens int      // tokens that will be generated
	Blocks       []uint64 // chained hashes of the prompt's blocks
	Priority     int      // a higher value goes first
}

// EventType is the kind of an event.
type EventType uint8

// Types of events.
const (
	// EventPrefilled is the end of a ModePrefill job.
	EventPrefilled EventType = iota
	// EventToken is one generated token.
	EventToken
	// EventFinished follows the last token.
	EventFinished
)

// Event is what happened to a job.
type Event struct {
	ID   fleet.RequestID
	Type EventType
	// Cached is the number of prompt tokens found in the prefix cache; it is
	// set on EventPrefilled and EventFinished.
	Cached int
}

// sequence is a job at the engine with its progress.
type sequence struct {
	Job
	arrival   int64
	cached    int // prompt tokens found in the prefix cache
	pending   int // prompt tokens that are not prefilled
	generated int // generated tokens
}

// context returns the length of the sequence in tokens, prompt and generated.
func (s *sequence) context() int { return s.PromptTokens + s.generated }

// Engine is an emulated engine. Not safe for concurrent use.
type Engine struct {
	ID    fleet.UpstreamID
	speed float64
	role  fleet.Role

	arrivals int64
	waiting  []*sequence // by priority, then arrival
	running  []*sequence // prefilled, decoding
	chunk    []chunkPart // prefill work of the current iteration
	kvUsed   int         // tokens

	busy             bool          // an iteration is running
	endsAt           fleet.Instant // end of the iteration
	unavailableUntil fleet.Instant
	withdrawn        bool // from Crash to Restore
	cache            blockCache

	// Prefilled and Generated count tokens since the start.
	Prefilled, Generated int64
	// Busy accumulates the time spent in iterations.
	Busy time.Duration
}

// chunkPart is the part of a prefill chunk that belongs to one sequence.
type chunkPart struct {
	seq    *sequence
	tokens int
}

// New returns an idle engine. Speed is relative to the slowest engine of a fleet.
func New(id fleet.UpstreamID, speed float64, role fleet.Role) *Engine {
	return &Engine{ID: id, speed: speed, role: role, cache: newBlockCache(int(cacheBlocksPerSpeed * speed))}
}

// Role returns the current role.
func (e *Engine) Role() fleet.Role { return e.role }

// Speed returns the engine's speed.
func (e *Engine) Speed() float64 { return e.speed }

// Available reports whether the engine accepts jobs.
func (e *Engine) Available(now fleet.Instant) bool { return !e.withdrawn && now >= e.unavailableUntil }

// Idle reports whether the engine has no job.
func (e *Engine) Idle() bool { return len(e.waiting) == 0 && len(e.running) == 0 }

// Submit enqueues a job. It returns false if the engine is not available.
func (e *Engine) Submit(now fleet.Instant, job Job) bool {
	if !e.Available(now) {
		return false
	}
	e.arrivals++
	s := &sequence{Job: job, arrival: e.arrivals}
	if job.Mode != ModeDecode {
		s.cached = e.cache.lookup(job.Blocks, job.PromptTokens)
		s.pending = job.PromptTokens - s.cached
	}
	e.enqueue(s)
	e.startIteration(now)
	return true
}

// enqueue inserts a sequence into the waiting list by priority, then arrival.
func (e *Engine) enqueue(s *sequence) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < s.Priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
}

// Cancel removes a job. The current iteration still takes its full time.
func (e *Engine) Cancel(id fleet.RequestID) {
	for i, s := range e.waiting {
		if s.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.freeKV(s)
			e.dropChunk(s)
			return
		}
	}
	for i, s := range e.running {
		if s.ID == id {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.kvUsed -= s.context()
			return
		}
	}
}

// dropChunk removes a sequence's part from the current prefill chunk.
func (e *Engine) dropChunk(s *sequence) {
	for i := range e.chunk {
		if e.chunk[i].seq == s {
			e.chunk = append(e.chunk[:i], e.chunk[i+1:]...)
			return
		}
	}
}

// freeKV frees the KV cache that the prefill of a waiting job has filled so far.
func (e *Engine) freeKV(s *sequence) {
	if s.Mode != ModeDecode {
		e.kvUsed -= s.PromptTokens - s.cached - s.pending
	}
}

// SetRole starts a role change and returns the ids of the jobs that are lost. A
// drained engine loses none.
func (e *Engine) SetRole(now fleet.Instant, role fleet.Role) []fleet.RequestID {
	lost := e.Crash()
	e.withdrawn = false
	e.role = role
	e.unavailableUntil = now + RoleChangeTime
	return lost
}

// Crash makes the engine unavailable until Restore and returns the ids of the jobs
// that are lost.
func (e *Engine) Crash() []fleet.RequestID {
	var lost []fleet.RequestID
	for _, s := range e.waiting {
		lost = append(lost, s.ID)
	}
	for _, s := range e.running {
		lost = append(lost, s.ID)
	}
	e.waiting, e.running, e.chunk = nil, nil, nil
	e.kvUsed, e.busy, e.withdrawn = 0, false, true
	e.cache = newBlockCache(int(cacheBlocksPerSpeed * e.speed))
	return lost
}

// Restore makes an engine available again after Crash.
func (e *Engine) Restore() { e.withdrawn = false }

// NextAt returns when the current iteration ends. ok is false if there is none.
func (e *Engine) NextAt() (at fleet.Instant, ok bool) { return e.endsAt, e.busy }

// Load is the load of an engine.
type Load struct {
	Role                           fleet.Role
	Running, Waiting               int
	WaitingPromptTokens            int
	KVUsedTokens, KVCapacityTokens int
	// PrefillWaiting and DecodeWaiting count the waiting jobs that need a
	// prefill and those that do not. ContextTokens is the length of all running
	// sequences in tokens.
	PrefillWaiting, DecodeWaiting, ContextTokens int
}

// Load returns the current load.
func (e *Engine) Load() Load {
	load := Load{Role: e.role, Running: len(e.running), Waiting: len(e.waiting), KVUsedTokens: e.kvUsed, KVCapacityTokens: e.kvCapacity()}
	for _, s := range e.waiting {
		load.WaitingPromptTokens += s.pending
		if s.Mode == ModeDecode {
			load.DecodeWaiting++
		} else {
			load.PrefillWaiting++
		}
	}
	for _, s := range e.running {
		load.ContextTokens += s.context()
	}
	return load
}

// TakeCacheEvents returns the blocks stored and evicted since the last call.
func (e *Engine) TakeCacheEvents() (stored, evicted []uint64) { return e.cache.takeEvents() }

// Package emulator models one language-model engine in virtual time: continuous
// batching with chunked prefill, a bounded prefix cache, priorities, roles and
// role changes. It performs no input or output and reads no clock.
package emulator

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Costs of an engine of speed 1. An engine of speed s needs 1/s of the time.
const (
	// IterationBase is the time of an iteration apart from its tokens.
	IterationBase = 18 * time.Millisecond
	// PrefillPerToken is the time to prefill one token: 50,000 tokens/s.
	PrefillPerToken = 20 * time.Microsecond
	// DecodePerSequence is the time that a sequence adds to an iteration.
	DecodePerSequence = 350 * time.Microsecond
	// DecodePerContextToken is the time to read one token of KV cache.
	DecodePerContextToken = 120 * time.Nanosecond
	// OffRoleEfficiency divides the speed of work outside the engine's role.
	OffRoleEfficiency = 0.5
	// MixedEfficiency applies to both sorts of work on a mixed engine.
	MixedEfficiency = 0.8
	// RoleChangeTime is how long a change of role takes an engine away.
	RoleChangeTime = 6 * time.Second
	// BlockTokens is the size of a prefix cache block.
	BlockTokens = 2000
)

// Limits of an engine of speed 1; memory grows with speed.
const (
	kvTokensPerSpeed = 600_000
	// cacheBlocksPerSpeed is two million tokens: host memory holds what has left
	// the accelerators.
	cacheBlocksPerSpeed = 1000
	maxSequences        = 1024
)

// chunkTokens is the prefill work that an iteration takes on at most. Small
// chunks keep the token gap of running sequences short.
var chunkTokens = [...]int{fleet.RoleMixed: 1024, fleet.RolePrefill: 8192, fleet.RoleDecode: 256}

// Mode selects which part of a request an engine runs.
type Mode uint8

// Modes of a job.
const (
	// ModeFull prefills and decodes.
	ModeFull Mode = iota
	// ModePrefill prefills and keeps the KV cache for export.
	ModePrefill
	// ModeDecode decodes from imported KV cache.
	ModeDecode
)

// Job is one request at an engine.
type Job struct {
	ID       fleet.RequestID
	Mode     Mode
	Prompt   int // tokens
	Output   int // tokens that will be generated
	Blocks   []uint64
	Priority int
}

// EventType tells what happened to a job.
type EventType uint8

// Types of events.
const (
	// EventPrefilled ends a ModePrefill job.
	EventPrefilled EventType = iota
	// EventToken is one generated token.
	EventToken
	// EventFinished follows the last token.
	EventFinished
)

// Event is an output of the engine.
type Event struct {
	ID   fleet.RequestID
	Type EventType
	// Cached is the number of prompt tokens found in the prefix cache; it is
	// set on EventPrefilled and EventFinished.
	Cached int
}

type sequence struct {
	Job
	order   int64
	cached  int
	pending int // prompt tokens that are not prefilled
	made    int // generated tokens
}

func (s *sequence) context() int { return s.Prompt + s.made }

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	ID    fleet.UpstreamID
	speed float64
	role  fleet.Role

	arrivals int64
	waiting  []*sequence // by priority, then arrival
	running  []*sequence // prefilled, decoding
	chunk    []chunkPart // prefill work of the present iteration
	kvUsed   int

	busy    bool
	endsAt  fleet.Instant
	awayTil fleet.Instant
	gone    bool
	cache   blockCache

	// Prefilled and Generated count tokens since the start.
	Prefilled, Generated int64
	// Busy accumulates the time spent in iterations.
	Busy time.Duration
}

type chunkPart struct {
	seq    *sequence
	tokens int
}

// New returns an idle engine. Speed 1 is the slowest machine of a fleet.
func New(id fleet.UpstreamID, speed float64, role fleet.Role) *Engine {
	return &Engine{ID: id, speed: speed, role: role, cache: newBlockCache(int(cacheBlocksPerSpeed * speed))}
}

// Role returns the role in force.
func (e *Engine) Role() fleet.Role { return e.role }

// Speed returns the engine's speed.
func (e *Engine) Speed() float64 { return e.speed }

// Available tells whether the engine takes work.
func (e *Engine) Available(now fleet.Instant) bool { return !e.gone && now >= e.awayTil }

// Idle tells whether no job is left.
func (e *Engine) Idle() bool { return len(e.waiting) == 0 && len(e.running) == 0 }

// Submit enters a job; false means that the engine takes no work.
func (e *Engine) Submit(now fleet.Instant, job Job) bool {
	if !e.Available(now) {
		return false
	}
	e.arrivals++
	s := &sequence{Job: job, order: e.arrivals}
	if job.Mode != ModeDecode {
		s.cached = e.cache.lookup(job.Blocks, job.Prompt)
		s.pending = job.Prompt - s.cached
	}
	e.insert(s)
	e.start(now)
	return true
}

// insert keeps the waiting list ordered by priority, then arrival.
func (e *Engine) insert(s *sequence) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < s.Priority {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
}

// Cancel removes a job; its present iteration still runs to its end.
func (e *Engine) Cancel(id fleet.RequestID) {
	for i, s := range e.waiting {
		if s.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.release(s)
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

func (e *Engine) dropChunk(s *sequence) {
	for i := range e.chunk {
		if e.chunk[i].seq == s {
			e.chunk = append(e.chunk[:i], e.chunk[i+1:]...)
			return
		}
	}
}

// release frees the KV cache that a waiting job has filled so far.
func (e *Engine) release(s *sequence) {
	if s.Mode != ModeDecode {
		e.kvUsed -= s.Prompt - s.cached - s.pending
	}
}

// SetRole starts a change of role. Jobs that are still present are lost and
// returned; a caller that drains first loses none.
func (e *Engine) SetRole(now fleet.Instant, role fleet.Role) []fleet.RequestID {
	lost := e.Crash()
	e.gone = false
	e.role = role
	e.awayTil = now + RoleChangeTime
	return lost
}

// Crash withdraws the engine and returns the jobs that are lost.
func (e *Engine) Crash() []fleet.RequestID {
	var lost []fleet.RequestID
	for _, s := range e.waiting {
		lost = append(lost, s.ID)
	}
	for _, s := range e.running {
		lost = append(lost, s.ID)
	}
	e.waiting, e.running, e.chunk = nil, nil, nil
	e.kvUsed, e.busy, e.gone = 0, false, true
	e.cache = newBlockCache(int(cacheBlocksPerSpeed * e.speed))
	return lost
}

// Restore brings a withdrawn engine back.
func (e *Engine) Restore() { e.gone = false }

// NextAt returns when the present iteration ends; ok is false when idle.
func (e *Engine) NextAt() (at fleet.Instant, ok bool) { return e.endsAt, e.busy }

// Advance ends the iteration that is due at now, appends its events to out and
// starts the next one.
func (e *Engine) Advance(now fleet.Instant, out []Event) []Event {
	if !e.busy || now < e.endsAt {
		return out
	}
	e.busy = false
	out = e.decodeTokens(out)
	out = e.finishChunk(out)
	e.start(now)
	return out
}

func (e *Engine) decodeTokens(out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		s.made++
		e.Generated++
		e.kvUsed++
		out = append(out, Event{ID: s.ID, Type: EventToken})
		if s.made < s.Output {
			kept = append(kept, s)
			continue
		}
		e.kvUsed -= s.context()
		e.cache.store(s.Blocks)
		out = append(out, Event{ID: s.ID, Type: EventFinished, Cached: s.cached})
	}
	e.running = kept
	return out
}

func (e *Engine) finishChunk(out []Event) []Event {
	for _, part := range e.chunk {
		s := part.seq
		s.pending -= part.tokens
		e.Prefilled += int64(part.tokens)
		e.kvUsed += part.tokens
		if s.pending > 0 {
			continue
		}
		e.remove(s)
		e.cache.store(s.Blocks)
		if s.Mode == ModePrefill {
			e.kvUsed -= s.Prompt - s.cached
			out = append(out, Event{ID: s.ID, Type: EventPrefilled, Cached: s.cached})
			continue
		}
		e.kvUsed += s.cached
		e.running = append(e.running, s)
	}
	e.chunk = e.chunk[:0]
	return out
}

func (e *Engine) remove(s *sequence) {
	for i := range e.waiting {
		if e.waiting[i] == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// start begins an iteration when there is work.
func (e *Engine) start(now fleet.Instant) {
	if e.busy || e.Idle() {
		return
	}
	e.admitDecodes()
	e.fillChunk()
	if len(e.running) == 0 && len(e.chunk) == 0 {
		return
	}
	d := e.iterationTime()
	e.busy = true
	e.endsAt = now + d
	e.Busy += d
}

// admitDecodes moves jobs with imported KV cache into the batch.
func (e *Engine) admitDecodes() {
	kept := e.waiting[:0]
	for _, s := range e.waiting {
		if s.Mode == ModeDecode && len(e.running) < maxSequences && e.kvUsed+s.Prompt <= e.kvCapacity() {
			e.kvUsed += s.Prompt
			e.running = append(e.running, s)
			continue
		}
		kept = append(kept, s)
	}
	e.waiting = kept
}

func (e *Engine) fillChunk() {
	left := chunkTokens[e.role]
	kv := e.kvUsed
	for _, s := range e.waiting {
		if left == 0 {
			return
		}
		if s.Mode == ModeDecode || kv+s.Prompt > e.kvCapacity() || len(e.running)+len(e.chunk) >= maxSequences {
			continue
		}
		n := min(left, s.pending)
		left -= n
		kv += s.Prompt
		e.chunk = append(e.chunk, chunkPart{seq: s, tokens: n})
	}
}

func (e *Engine) kvCapacity() int { return int(kvTokensPerSpeed * e.speed) }

func (e *Engine) iterationTime() time.Duration {
	prefill, decode := 0.0, 0.0
	for _, part := range e.chunk {
		prefill += float64(part.tokens) * float64(PrefillPerToken)
	}
	for _, s := range e.running {
		decode += float64(DecodePerSequence) + float64(s.context())*float64(DecodePerContextToken)
	}
	work := prefill/PrefillEfficiency(e.role) + decode/DecodeEfficiency(e.role)
	return time.Duration((float64(IterationBase) + work) / e.speed)
}

// PrefillEfficiency is the part of its speed that an engine keeps for prefill.
func PrefillEfficiency(role fleet.Role) float64 {
	return efficiency(role, fleet.RolePrefill)
}

// DecodeEfficiency is the part of its speed that an engine keeps for decode.
func DecodeEfficiency(role fleet.Role) float64 {
	return efficiency(role, fleet.RoleDecode)
}

func efficiency(role, work fleet.Role) float64 {
	switch role {
	case work:
		return 1
	case fleet.RoleMixed:
		return MixedEfficiency
	default:
		return OffRoleEfficiency
	}
}

// Load is what the engine reports about itself.
type Load struct {
	Role                                   fleet.Role
	Running, Waiting                       int
	WaitingPromptTokens                    int
	KVUsedTokens, KVCapacityTokens         int
	PrefillWaiting, DecodeWaiting, Context int
}

// Load returns the present state.
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
		load.Context += s.context()
	}
	return load
}

// TakeCacheEvents returns the blocks stored and evicted since the last call.
func (e *Engine) TakeCacheEvents() (stored, evicted []uint64) { return e.cache.takeEvents() }

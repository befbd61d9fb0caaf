package emulator

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Advance ends the current iteration if it is due at now, appends its events to out
// and starts the next one. It returns out.
func (e *Engine) Advance(now fleet.Instant, out []Event) []Event {
	if !e.busy || now < e.endsAt {
		return out
	}
	e.busy = false
	out = e.decodeTokens(out)
	out = e.finishChunk(out)
	e.startIteration(now)
	return out
}

// decodeTokens generates one token of each running sequence.
func (e *Engine) decodeTokens(out []Event) []Event {
	kept := e.running[:0]
	for _, s := range e.running {
		s.generated++
		e.Generated++
		e.kvUsed++
		out = append(out, Event{ID: s.ID, Type: EventToken})
		if s.generated < s.OutputTokens {
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

// finishChunk completes the prefill chunk of the iteration.
func (e *Engine) finishChunk(out []Event) []Event {
	for _, part := range e.chunk {
		s := part.seq
		s.pending -= part.tokens
		e.Prefilled += int64(part.tokens)
		e.kvUsed += part.tokens
		if s.pending > 0 {
			continue
		}
		e.dequeue(s)
		e.cache.store(s.Blocks)
		if s.Mode == ModePrefill {
			e.kvUsed -= s.PromptTokens - s.cached
			out = append(out, Event{ID: s.ID, Type: EventPrefilled, Cached: s.cached})
			continue
		}
		e.kvUsed += s.cached
		e.running = append(e.running, s)
	}
	e.chunk = e.chunk[:0]
	return out
}

// dequeue removes a sequence from the waiting list.
func (e *Engine) dequeue(s *sequence) {
	for i := range e.waiting {
		if e.waiting[i] == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// startIteration starts an iteration if none is running and there is work.
func (e *Engine) startIteration(now fleet.Instant) {
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

// admitDecodes moves waiting ModeDecode jobs into the batch while it has room.
func (e *Engine) admitDecodes() {
	kept := e.waiting[:0]
	for _, s := range e.waiting {
		if s.Mode == ModeDecode && len(e.running) < maxSequences && e.kvUsed+s.PromptTokens <= e.kvCapacity() {
			e.kvUsed += s.PromptTokens
			e.running = append(e.running, s)
			continue
		}
		kept = append(kept, s)
	}
	e.waiting = kept
}

// fillChunk assembles the prefill chunk of the iteration from the waiting jobs.
func (e *Engine) fillChunk() {
	left := chunkTokens[e.role]
	kv := e.kvUsed
	for _, s := range e.waiting {
		if left == 0 {
			return
		}
		if s.Mode == ModeDecode || kv+s.PromptTokens > e.kvCapacity() || len(e.running)+len(e.chunk) >= maxSequences {
			continue
		}
		n := min(left, s.pending)
		left -= n
		kv += s.PromptTokens
		e.chunk = append(e.chunk, chunkPart{seq: s, tokens: n})
	}
}

// kvCapacity returns the size of the KV cache in tokens.
func (e *Engine) kvCapacity() int { return int(kvTokensPerSpeed * e.speed) }

// iterationTime returns the duration of an iteration with the current chunk and batch.
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

// PrefillEfficiency returns the part of its speed that an engine of a role keeps for
// prefill.
func PrefillEfficiency(role fleet.Role) float64 {
	return efficiency(role, fleet.RolePrefill)
}

// DecodeEfficiency returns the part of its speed that an engine of a role keeps for
// decode.
func DecodeEfficiency(role fleet.Role) float64 {
	return efficiency(role, fleet.RoleDecode)
}

// efficiency returns the part of its speed that an engine of a role keeps for the work
// of the role work.
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

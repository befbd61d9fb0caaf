package stream

import (
	"fmt"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Fault is the reason why a chunk or a stream is rejected.
type Fault string

// Faults of a stream.
const (
	// FaultWrongRequest is a chunk that belongs to another request.
	FaultWrongRequest Fault = "wrong_request"
	// FaultBadChunk is a chunk whose sequence number or token count cannot be
	// right.
	FaultBadChunk Fault = "bad_chunk"
	// FaultGap is a missing chunk that did not arrive before the buffer limits
	// were reached.
	FaultGap Fault = "gap"
	// FaultTooLong is an answer that exceeds MaxAnswerBytes.
	FaultTooLong Fault = "too_long"
)

// Error describes a rejected chunk.
type Error struct {
	Fault Fault
	// Seq is the sequence number of the rejected chunk.
	Seq int64
	// Want is the sequence number of the first missing chunk.
	Want int64
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("stream: %s at chunk %d, first missing chunk is %d", e.Fault, e.Seq, e.Want)
}

// Limits bound the memory of one sequencer.
type Limits struct {
	// MaxAhead is how far the sequence number of a buffered chunk may exceed
	// that of the first missing one.
	MaxAhead int
	// MaxAheadBytes bounds the text of the buffered chunks, in bytes.
	MaxAheadBytes int
	// MaxAnswerBytes bounds the text of the whole answer, in bytes.
	MaxAnswerBytes int
}

// DefaultLimits suit an engine that sends over one TCP connection, where chunks
// are reordered only slightly.
var DefaultLimits = Limits{MaxAhead: 16, MaxAheadBytes: 64 << 10, MaxAnswerBytes: 1 << 20}

// Sequencer orders the chunks of one answer. Not safe for concurrent use.
//
// Invariants: Next returns every sequence number exactly once and in increasing
// order; no chunk follows the one with Finish set; buffered chunks have numbers
// in (next, next+MaxAhead].
type Sequencer struct {
	id            fleet.RequestID
	limits        Limits
	next          int64           // sequence number that Next returns next
	ahead         map[int64]Chunk // buffered chunks; allocated at the first one out of order
	aheadBytes    int             // bytes of text in ahead
	returnedBytes int             // bytes of text returned by Next
	current       Chunk           // chunk with number next, while ready is set
	ready         bool
	done          bool // whether the last chunk was returned by Next
}

// New returns a sequencer that expects chunk 1 of the request.
func New(id fleet.RequestID, limits Limits) *Sequencer {
	return &Sequencer{id: id, limits: limits, next: 1}
}

// Push adds a chunk; chunks may arrive in any order. The caller then calls Next
// until it returns false. After an error, which is an *Error, the sequencer is
// unchanged.
func (s *Sequencer) Push(c Chunk) error {
	switch {
	case c.RequestID != s.id:
		return s.fault(FaultWrongRequest, c.Seq)
	case c.Seq < 1 || c.Tokens < 0:
		return s.fault(FaultBadChunk, c.Seq)
	case s.done || c.Seq < s.next || s.ready && c.Seq == s.next:
		return nil // a duplicate
	case s.returnedBytes+s.aheadBytes+len(c.Text) > s.limits.MaxAnswerBytes:
		return s.fault(FaultTooLong, c.Seq)
	case c.Seq == s.next:
		s.current, s.ready = c, true
		return nil
	}
	return s.buffer(c)
}

// buffer buffers a chunk that is out of order; a duplicate is ignored. It
// returns an *Error with FaultGap when the chunk exceeds the limits.
func (s *Sequencer) buffer(c Chunk) error {
	if _, ok := s.ahead[c.Seq]; ok {
		return nil
	}
	// The comparison by subtraction cannot overflow: c.Seq exceeds s.next.
	if c.Seq-s.next > int64(s.limits.MaxAhead) || s.aheadBytes+len(c.Text) > s.limits.MaxAheadBytes {
		return s.fault(FaultGap, c.Seq)
	}
	if s.ahead == nil {
		s.ahead = map[int64]Chunk{}
	}
	s.ahead[c.Seq] = c
	s.aheadBytes += len(c.Text)
	return nil
}

func (s *Sequencer) fault(f Fault, seq int64) error {
	return &Error{Fault: f, Seq: seq, Want: s.ResumeFrom()}
}

// Next returns the next chunk in order, or false when it has not arrived.
func (s *Sequencer) Next() (Chunk, bool) {
	if !s.ready {
		return Chunk{}, false
	}
	c := s.current
	s.ready = false
	s.next++
	s.returnedBytes += len(c.Text)
	if c.Finish != "" {
		s.done = true
		s.Discard()
		return c, true
	}
	if early, ok := s.ahead[s.next]; ok {
		delete(s.ahead, s.next)
		s.aheadBytes -= len(early.Text)
		s.current, s.ready = early, true
	}
	return c, true
}

// ResumeFrom returns the sequence number of the first missing chunk.
func (s *Sequencer) ResumeFrom() int64 {
	if s.ready {
		return s.next + 1
	}
	return s.next
}

// Gap reports whether later chunks have arrived while an earlier one is
// missing.
func (s *Sequencer) Gap() bool { return len(s.ahead) > 0 && !s.ready }

// Done reports whether Next has returned the last chunk.
func (s *Sequencer) Done() bool { return s.done }

// Discard drops the buffered chunks. It is called before the answer is resumed
// at another engine, which may divide the text differently.
func (s *Sequencer) Discard() {
	clear(s.ahead)
	s.aheadBytes = 0
}

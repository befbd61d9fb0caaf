// Package door bounds what clients outside the operator's control can hold of an
// instance: connections, and the memory for headers, bodies and answers.
package door

import (
	"sync"
	"time"
)

// BlockBytes is the size of the blocks in which long bodies and answers are kept.
const BlockBytes = 32 << 10

// Memory is where memory is reserved before it is allocated: a Budget, or the
// connection for whose client it is.
type Memory interface {
	// Reserve reserves n bytes for a request. It returns false if there is no room.
	Reserve(n int64) bool
	// ReserveAnswer reserves n bytes for an answer, for which a part of the memory
	// is kept free of requests.
	ReserveAnswer(n int64) bool
	// Release gives n reserved bytes back.
	Release(n int64)
}

// Budget is the memory that clients may hold. Safe for concurrent use.
type Budget struct {
	limit, answers int64

	mu   sync.Mutex
	used int64
	// blocks are released blocks that are kept for the next answers. Left to the
	// garbage collector, they would count on top of the blocks that replace them
	// until it has run. Together with used they never exceed the limit.
	blocks [][]byte
	// released is closed and replaced when memory is given back while someone waits
	// for it.
	released chan struct{}
}

var _ Memory = (*Budget)(nil)

// NewBudget returns a budget of limit bytes, of which answers bytes are kept for
// answers.
func NewBudget(limit, answers int64) *Budget { return &Budget{limit: limit, answers: answers} }

// Reserve implements Memory.
func (b *Budget) Reserve(n int64) bool { return b.reserve(n, b.limit-b.answers) }

// ReserveAnswer implements Memory.
func (b *Budget) ReserveAnswer(n int64) bool { return b.reserve(n, b.limit) }

func (b *Budget) reserve(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && b.used+n > limit {
		return false
	}
	b.used += n
	b.trim()
	return true
}

// trim drops kept blocks that have no room any more. The caller holds the lock.
func (b *Budget) trim() {
	for len(b.blocks) > 0 && b.used+int64(len(b.blocks))*BlockBytes > b.limit {
		b.blocks[len(b.blocks)-1] = nil
		b.blocks = b.blocks[:len(b.blocks)-1]
	}
}

// Release implements Memory.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if n > 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// HasAnswerRoom reports whether there is room for the answer of another request. A
// request must not be sent to a server if its answer could not be kept.
func (b *Budget) HasAnswerRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit-b.used >= min(AnswerRoom, b.answers)
}

// AnswerRoom is the room that a request needs for its answer: most have a few blocks.
const AnswerRoom = 4 * BlockBytes

// Block returns an empty block for which memory has been reserved.
func (b *Budget) Block() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.blocks)
	if n == 0 {
		return make([]byte, 0, BlockBytes)
	}
	block := b.blocks[n-1]
	b.blocks[n-1] = nil
	b.blocks = b.blocks[:n-1]
	return block[:0]
}

// Keep keeps blocks that nobody uses any more, after their memory has been released.
func (b *Budget) Keep(blocks [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocks = append(b.blocks, blocks...)
	b.trim()
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// room returns how many bytes a request, or an answer, could reserve now.
func (b *Budget) room(answer bool) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answer {
		return b.limit - b.used
	}
	return b.limit - b.answers - b.used
}

// awaitRoom waits until a request, or an answer, could reserve n bytes, or memory has
// been given back, at most until end.
func (b *Budget) awaitRoom(n int64, answer bool, end time.Time) {
	b.mu.Lock()
	limit := b.limit
	if !answer {
		limit -= b.answers
	}
	if b.used+n <= limit {
		b.mu.Unlock()
		return
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	released := b.released
	b.mu.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

package gateway

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/connpool"
)

const (
	// defaultBufferBytes bounds the answers that are buffered at the same time
	// when Options.BufferBytes is not set.
	defaultBufferBytes = 24 << 20
	// blockBytes is the size of the blocks in which long answers are buffered,
	// and the size up to which an answer takes none of them: the number of
	// requests bounds these.
	blockBytes = 32 << 10
	// maxAnswerBytes bounds an answer that is buffered before it is passed on,
	// and maxPrefilledBytes the answer to a prefill call.
	maxAnswerBytes    = 16 << 20
	maxPrefilledBytes = 64 << 10
)

// Errors of answers that are too long.
var (
	errAnswerTooLong = errors.New("the answer exceeds the size limit")
	errBuffersFull   = errors.New("what is being buffered exceeds the memory for it")
)

// buffers holds the blocks in which answers are buffered. Servers in trouble may
// send bytes without end, several at once. Released blocks are used again, so
// that the blocks never take more than the limit, whatever the garbage collector
// has freed. Safe for concurrent use.
type buffers struct {
	limit int64

	mu sync.Mutex
	// inUse is the number of blocks in use, and free holds the released ones.
	inUse int64
	free  [][]byte
}

// acquire returns an empty block, or errBuffersFull.
func (b *buffers) acquire() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.inUse+1)*blockBytes > b.limit {
		return nil, errBuffersFull
	}
	b.inUse++
	if n := len(b.free); n > 0 {
		block := b.free[n-1]
		b.free = b.free[:n-1]
		return block[:0], nil
	}
	return make([]byte, 0, blockBytes), nil
}

// reserve counts a block that is kept elsewhere, or returns errBuffersFull.
func (b *buffers) reserve() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.inUse+1)*blockBytes > b.limit {
		return errBuffersFull
	}
	b.inUse++
	return nil
}

// unreserve takes back n reservations.
func (b *buffers) unreserve(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= n
}

// release takes blocks back. They are kept for the next long answers: left to
// the garbage collector, they would count on top of the blocks that replace them
// until it has run.
func (b *buffers) release(blocks [][]byte) {
	if len(blocks) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= int64(len(blocks))
	b.free = append(b.free, blocks...)
}

// body is the body of an answer in order: a first part and the blocks after it.
type body struct {
	first  []byte
	blocks [][]byte
	owner  *buffers
}

// len returns the number of bytes.
func (b *body) len() int {
	n := len(b.first)
	for _, block := range b.blocks {
		n += len(block)
	}
	return n
}

// joined returns the bytes in one piece.
func (b *body) joined() []byte {
	if len(b.blocks) == 0 {
		return b.first
	}
	return bytes.Join(append([][]byte{b.first}, b.blocks...), nil)
}

// WriteTo implements io.WriterTo.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(b.first)
	written := int64(n)
	for _, block := range b.blocks {
		if err != nil {
			break
		}
		n, err = w.Write(block)
		written += int64(n)
	}
	return written, err
}

// release gives the blocks back; the body must not be used any more.
func (b *body) release() {
	if b.owner != nil {
		b.owner.release(b.blocks)
		b.first, b.blocks, b.owner = nil, nil, nil
	}
}

// readAnswer reads an answer's body of up to limit bytes to its end. The caller
// must release the body unless there is an error.
func (b *buffers) readAnswer(a *connpool.Answer, limit int) (*body, error) {
	out := &body{first: make([]byte, 0, 1<<10), owner: b}
	current, total := &out.first, 0
	for {
		if len(*current) == cap(*current) {
			if total >= limit {
				out.release()
				return nil, errAnswerTooLong
			}
			next, err := b.grow(out)
			if err != nil {
				out.release()
				return nil, err
			}
			current = next
		}
		n, err := a.Read((*current)[len(*current):cap(*current)])
		*current = (*current)[:len(*current)+n]
		total += n
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			out.release()
			return nil, err
		}
	}
}

// grow makes room at the end of a body and returns the part that has it: the
// first part up to blockBytes, then another block.
func (b *buffers) grow(out *body) (*[]byte, error) {
	if size := 2 * cap(out.first); size <= blockBytes {
		out.first = append(make([]byte, 0, size), out.first...)
		return &out.first, nil
	}
	block, err := b.acquire()
	if err != nil {
		return nil, err
	}
	out.blocks = append(out.blocks, block)
	return &out.blocks[len(out.blocks)-1], nil
}

package gateway

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/door"
)

const (
	// defaultBufferBytes bounds the bodies, and the answers, that are buffered at the
	// same time when Options.BufferBytes is not set.
	defaultBufferBytes = 24 << 20
	// uncountedBytes is the size up to which a body or an answer is part of what its
	// connection costs.
	uncountedBytes = 4 << 10
	// maxAnswerBytes bounds an answer that is buffered before it is passed on,
	// and maxPrefilledBytes the answer to a prefill call.
	maxAnswerBytes    = 16 << 20
	maxPrefilledBytes = 64 << 10
)

// Errors of bodies that are too long.
var (
	errAnswerTooLong = errors.New("the answer exceeds the size limit")
	errBuffersFull   = errors.New("what is being buffered exceeds the memory for it")
)

// body is the body of a request or an answer in order: a first part and the blocks
// after it. Its memory is reserved before it is allocated.
type body struct {
	first  []byte
	blocks [][]byte
	memory door.Memory
	// size is the number of bytes that are allocated, and reserved how many of them
	// are reserved.
	size, reserved int64
	// budget lends the blocks of an answer; nil for a request, whose blocks are not
	// used again: a server that answers early may end the request while they are
	// still being sent.
	budget *door.Budget
}

// len returns the number of bytes.
func (b *body) len() int {
	n := len(b.first)
	for _, block := range b.blocks {
		n += len(block)
	}
	return n
}

// pieces returns the parts in order; nil for no body.
func (b *body) pieces() [][]byte {
	if b == nil || len(b.first) == 0 {
		return nil
	}
	return append([][]byte{b.first}, b.blocks...)
}

// joined returns the bytes in one piece.
func (b *body) joined() []byte {
	if len(b.blocks) == 0 {
		return b.first
	}
	return bytes.Join(b.pieces(), nil)
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

// release gives the memory back; the body must not be used any more.
func (b *body) release() {
	if b == nil || b.memory == nil {
		return
	}
	if b.reserved > 0 {
		b.memory.Release(b.reserved)
	}
	if len(b.blocks) > 0 && b.budget != nil {
		b.budget.Keep(b.blocks)
	}
	*b = body{}
}

// readAnswer reads an answer's body of up to limit bytes to its end. The caller
// must release the body unless there is an error.
func (p *proxyRequest) readAnswer(a io.Reader, limit int) (*body, error) {
	b := &body{memory: p.memory, budget: p.blockBudget(), first: make([]byte, 0, 1<<10), size: 1 << 10}
	return b.read(a, unknownSize, limit)
}

// readRequest reads a request's body to its end; size is its length, or unknownSize.
func (p *proxyRequest) readRequest(in io.Reader, size int64) (*body, error) {
	b := &body{memory: p.memory}
	first := int64(1 << 10)
	if size > 0 {
		first = min(size, door.BlockBytes)
	}
	if !b.reserve(first) {
		return nil, errBuffersFull
	}
	b.first = make([]byte, 0, first)
	return b.read(in, size, int(maxBodyBytes))
}

const (
	// unknownSize is the size of a body whose length is not known before its end.
	unknownSize = -1
	// maxBodyBytes is more than any request's body has; the configuration's limit is
	// checked apart.
	maxBodyBytes = 1 << 40
)

// read reads to the end and returns b, or releases it and returns an error.
func (b *body) read(in io.Reader, size int64, limit int) (*body, error) {
	current, total := &b.first, 0
	for {
		var n int
		var err error
		switch {
		case len(*current) < cap(*current):
			n, err = in.Read((*current)[len(*current):cap(*current)])
			*current = (*current)[:len(*current)+n]
			total += n
		case int64(total) == size:
			// Only the end of the body is missing.
			var rest [1]byte
			if n, err = in.Read(rest[:]); n > 0 {
				err = errors.New("the body is longer than its length says")
			}
		case total >= limit:
			err = errAnswerTooLong
		default:
			current, err = b.grow(size - int64(total))
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			b.release()
			return nil, err
		}
	}
}

// grow makes room at the end and returns the part that has it: the first part up to a
// block, then another block. left is the number of bytes that are still to come, if
// it is positive.
func (b *body) grow(left int64) (*[]byte, error) {
	if size := 2 * int64(cap(b.first)); len(b.blocks) == 0 && size <= door.BlockBytes && left <= 0 {
		if !b.reserve(size - int64(cap(b.first))) {
			return nil, errBuffersFull
		}
		b.first = append(make([]byte, 0, size), b.first...)
		return &b.first, nil
	}
	size := int64(door.BlockBytes)
	if b.budget == nil && left > 0 {
		size = min(size, left)
	}
	if !b.reserve(size) {
		return nil, errBuffersFull
	}
	var block []byte
	if b.budget != nil {
		block = b.budget.Block()
	} else {
		block = make([]byte, 0, size)
	}
	b.blocks = append(b.blocks, block)
	return &b.blocks[len(b.blocks)-1], nil
}

// reserve reserves memory for n more bytes; the first uncountedBytes need none.
func (b *body) reserve(n int64) bool {
	need := b.size + n - uncountedBytes - b.reserved
	if need > 0 {
		reserve := b.memory.Reserve
		if b.budget != nil {
			reserve = b.memory.ReserveAnswer
		}
		if !reserve(need) {
			return false
		}
		b.reserved += need
	}
	b.size += n
	return true
}

package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/connpool"
)

const (
	// defaultBufferBytes bounds the answers that are buffered at the same time
	// when Options.BufferBytes is not set.
	defaultBufferBytes = 24 << 20
	// freeBufferBytes is the size up to which an answer is buffered without a
	// reservation: the number of requests bounds these.
	freeBufferBytes = 32 << 10
	// maxAnswerBytes bounds an answer that is buffered before it is passed on,
	// and maxPrefilledBytes the answer to a prefill call.
	maxAnswerBytes    = 16 << 20
	maxPrefilledBytes = 64 << 10
)

// Errors of answers that are too long.
var (
	errAnswerTooLong = errors.New("the answer exceeds the size limit")
	errBuffersFull   = errors.New("the answers being buffered exceed the memory for them")
)

// buffers counts the bytes of the answers that are buffered. Servers in trouble
// may send bytes without end, several at once.
type buffers struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, or returns errBuffersFull.
func (b *buffers) reserve(n int64) error {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return errBuffersFull
	}
	return nil
}

// readAnswer reads an answer's body of up to limit bytes to its end. The bytes
// stay reserved until release is called, also after an error.
func (b *buffers) readAnswer(a *connpool.Answer, limit int) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { b.used.Add(-reserved) }
	body = make([]byte, 0, 1<<10)
	for {
		if len(body) == cap(body) {
			if len(body) >= limit {
				return nil, release, errAnswerTooLong
			}
			size := min(2*cap(body), limit)
			if size > freeBufferBytes {
				// The old buffer is in use until the new one is filled.
				if err := b.reserve(int64(size)); err != nil {
					return nil, release, err
				}
				reserved += int64(size)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}

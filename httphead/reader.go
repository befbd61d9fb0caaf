// Package httphead reads the heads of HTTP/1.1 answers. It refuses heads that net/http
// accepts although it ignores or changes a line of them: a line that is ignored may be
// the one that says where the answer ends.
package httphead

import (
	"bufio"
	"io"
	"math"
	"net/http"

	"github.com/pkg/errors"
)

// Errors of Reader.Next, besides those of the connection and of net/http.
var (
	// ErrMalformed means that a server's bytes are no answer, or one whose head cannot
	// be relied on.
	ErrMalformed = errors.New("malformed answer")
	// ErrTooLong means that a head exceeds its size limit.
	ErrTooLong = errors.New("the head of the answer exceeds the size limit")
	// ErrOnlyInterim means that a server sent only interim answers (1xx).
	ErrOnlyInterim = errors.New("received only interim answers")
)

// maxInterim bounds the number of interim answers to a request.
const maxInterim = 8

// Reader reads the answers that arrive on one connection. Not safe for concurrent use.
type Reader struct {
	source source
	in     *bufio.Reader
}

// NewReader returns a reader of a connection with a buffer of the given size.
func NewReader(conn io.Reader, bufferBytes int) *Reader {
	r := &Reader{source: source{conn: conn, left: math.MaxInt64}}
	r.in = bufio.NewReaderSize(&r.source, bufferBytes)
	return r
}

// Buffered returns the number of bytes that have been received and not read.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Next reads the head of the next final answer, of at most limit bytes, and skips interim
// ones. The body must be read to its end before the next call; its Close reads the rest.
// A body whose trailers are malformed ends with an error that wraps ErrMalformed.
func (r *Reader) Next(to *http.Request, limit int64) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := r.readHead(to, limit)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		resp.Body = &body{ReadCloser: resp.Body, answer: resp}
		return resp, nil
	}
	return nil, ErrOnlyInterim
}

// readHead reads the head of the next answer.
func (r *Reader) readHead(to *http.Request, limit int64) (*http.Response, error) {
	r.source.left, r.source.lines = limit, headLines{}
	defer func() { r.source.left, r.source.lines.done = math.MaxInt64, true }()
	buffered, err := r.in.Peek(r.in.Buffered())
	if err != nil {
		return nil, err
	}
	if err := r.source.lines.check(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r.in, to)
	switch {
	case r.source.failed != nil:
		return nil, r.source.failed
	case err != nil:
		return nil, err
	}
	return resp, check(resp)
}

// source is the connection under the buffer. It bounds and checks the bytes of a head.
type source struct {
	conn io.Reader
	// left is the number of bytes that may still be read.
	left  int64
	lines headLines
	// failed is the error of a head that is malformed or too long. It stays, because
	// the buffer returns the bytes before an error without it.
	failed error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.failed = ErrTooLong
	}
	if s.failed != nil {
		return 0, s.failed
	}
	n, err := s.conn.Read(p)
	s.left -= int64(n)
	if s.failed = s.lines.check(p[:n]); s.failed != nil {
		return 0, s.failed
	}
	return n, err
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkNames(b.answer.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

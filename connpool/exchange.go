package connpool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a server's answer.
	maxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of an answer to another request that is
	// skipped; more ends the connection.
	maxForeignBytes = 64 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 3
	// directBytes is the size up to which a request fits into the socket's
	// buffers, so that the write cannot wait for a server that answers early.
	directBytes = 8 << 10
	// writeGrace is how long the rest of a request may take to leave after the
	// server has answered it early.
	writeGrace = 500 * time.Millisecond
)

// Decoder reads what a server's answer says of itself.
type Decoder interface {
	Answer(status int, h http.Header) call.Answer
}

// Request is one request for one server.
type Request struct {
	Address string
	// MaxConns is how many connections this instance may hold to the server.
	MaxConns int
	ID       fleet.RequestID
	Method   string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a server's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Meta   call.Answer
	// Framed tells that the end of the body is known from the answer itself.
	Framed bool
	body   io.Reader
	conn   *conn
	pool   *Pool
	ended  bool
	keep   bool
	stop   func() bool
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	address string
	in      *bufio.Reader
	limit   *headLimit
	// usable is until when the connection may be used again.
	usable time.Time
	// written tells that the whole request has been written; wrote gets the
	// result of a write that runs beside the reading.
	written atomic.Bool
	wrote   chan error
}

// headLimit bounds the bytes that are read for an answer's head.
type headLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("the head of the answer is too large")
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

const unlimited = 1 << 62

func newConn(raw net.Conn, address string) *conn {
	limit := &headLimit{r: raw}
	return &conn{Conn: raw, address: address, limit: limit, in: bufio.NewReaderSize(limit, readBufferBytes)}
}

// quiet tells that an idle connection is open and has no bytes to read, which
// would belong to no request.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// Do sends a request once and returns the head of its answer. The context ends
// the exchange, the reading of the body included.
func (p *Pool) Do(ctx context.Context, r *Request, d Decoder) (*Answer, error) {
	c, err := p.take(ctx, r.Address, r.MaxConns)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := c.exchange(r, d)
	if err != nil {
		if !stop() {
			// The connection was closed because the context ended.
			err = errors.Wrap(context.Cause(ctx), err.Error())
		}
		p.discard(c)
		return nil, errors.Wrapf(err, "%s", r.Address)
	}
	answer.pool, answer.stop = p, stop
	return answer, nil
}

func (c *conn) exchange(r *Request, d Decoder) (*Answer, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	for range maxForeign + 1 {
		answer, err := c.head(r, d)
		if err != nil {
			return nil, errors.Wrap(err, "read answer's head")
		}
		if answer.Meta.RequestID == r.ID || r.ID == "" {
			return answer, nil
		}
		if answer.Meta.RequestID == "" {
			if answer.Status >= http.StatusMultipleChoices {
				return answer, nil
			}
			return nil, errors.New("the answer names no request")
		}
		// An answer that arrived late for an earlier request.
		n, err := io.Copy(io.Discard, io.LimitReader(answer.body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || !answer.Framed {
			return nil, errors.New("an answer to another request cannot be skipped")
		}
	}
	return nil, errors.New("answers to other requests only")
}

// send writes the request. Requests that do not fit into the socket's buffers
// are written beside the reading, because a server may answer early.
func (c *conn) send(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	c.written.Store(false)
	if b.Len() <= directBytes {
		_, err := c.Write(b.Bytes())
		c.written.Store(err == nil)
		return errors.Wrap(err, "send request")
	}
	c.wrote = make(chan error, 1)
	go func(wrote chan error) {
		_, err := c.Write(b.Bytes())
		c.written.Store(err == nil)
		wrote <- err
	}(c.wrote)
	return nil
}

func (c *conn) head(r *Request, d Decoder) (*Answer, error) {
	for {
		c.limit.left = maxHeadBytes
		resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
		c.limit.left = unlimited
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		chunked := len(resp.TransferEncoding) > 0
		framed := chunked || resp.ContentLength >= 0
		return &Answer{
			Status: resp.StatusCode, Header: resp.Header, Meta: d.Answer(resp.StatusCode, resp.Header),
			Framed: framed, body: resp.Body, conn: c, keep: framed && !resp.Close,
		}, nil
	}
}

// Read reads the body. io.EOF means that the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back when the body was read to its end, and ends
// it otherwise, which makes most servers drop the request.
func (a *Answer) Close() {
	uncancelled := a.stop()
	if a.ended && a.keep && uncancelled && a.conn.sent() && a.conn.in.Buffered() == 0 {
		a.pool.keep(a.conn, a.Meta.IdleTimeout)
		return
	}
	a.pool.discard(a.conn)
}

// sent tells that the whole request has left. Without the rest of an early
// answered request the next request would be read as that rest.
func (c *conn) sent() bool {
	if c.written.Load() {
		return true
	}
	select {
	case err := <-c.wrote:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

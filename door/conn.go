package door

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/connlimit"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// ConnBytes is what a connection costs: net/http's read and write buffers of 4
	// KiB each, the stacks of its goroutines, and a request with few short headers
	// and a short body.
	ConnBytes = 24 << 10
	// freeBytes is the size up to which headers, counted at their cost, and a body
	// are part of ConnBytes.
	freeBytes = 4 << 10
	// FieldBytes is the cost of a header field besides its bytes: its entries in the
	// maps of net/http and of the headers that are forwarded, and the old tables of
	// maps that have grown. TestFieldBytes measures it.
	FieldBytes = 320
	// ElementBytes is the cost of an element of a list in a header field, which the
	// gateway splits at commas into prompt parts.
	ElementBytes = 96
	// ordinaryBytes is the cost of headers that ordinary requests do not exceed. Room
	// for them is made as for a connection.
	ordinaryBytes = 16 << 10
	// readAhead is the size of net/http's read buffer, in which requests that are
	// sent ahead wait.
	readAhead = 4 << 10
	// writeChunk is the size of the pieces in which answers are written, so that the
	// progress of the client shows.
	writeChunk = 16 << 10
)

// ErrClosed is the error of reads and writes on a connection that was closed to make
// room.
var ErrClosed = errors.New("the connection was closed because connections or memory ran out")

// Conn is a client's connection, for use by net/http.
type Conn struct {
	net.Conn
	door   *Listener
	client string
	// index is the place in the listener's list, -1 after Close; the listener's lock
	// guards it.
	index int
	// held is the reserved memory in bytes; the listener's lock guards it.
	held int64
	// closing reports whether the connection was closed to make room. It is set under
	// mu.
	closing atomic.Bool

	// lingering reports whether only the end of an answer, and of the connection, is
	// left; the listener's lock guards it.
	lingering bool

	mu       sync.Mutex
	progress connlimit.Progress
	// inHead reports whether bytes that are read belong to a request's headers.
	inHead bool
	// headBytes is the cost of the request's headers, and aheadBytes that of headers
	// in the last read that belong to requests sent ahead; headHeld bytes are reserved
	// for both.
	headBytes, aheadBytes, headHeld int64
	// handled reports whether a handler has been called since the last answer.
	handled bool
}

var _ Memory = (*Conn)(nil)

// Reserve implements Memory. It closes other connections if that is needed.
func (c *Conn) Reserve(n int64) bool { return c.door.reserve(c, n, false) }

// ReserveAnswer implements Memory.
func (c *Conn) ReserveAnswer(n int64) bool { return c.door.reserve(c, n, true) }

// Release implements Memory.
func (c *Conn) Release(n int64) {
	if c.door.addHeld(c, -n) {
		c.door.Budget.Release(n)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.afterRead(p[:n]) {
		c.door.close(c, ReasonBuffersFull)
		n = 0
	}
	if c.closing.Load() && (n == 0 || err != nil) {
		return n, ErrClosed
	}
	return n, err
}

// afterRead records what the client has sent, and reserves the memory of headers
// before net/http decodes them. It returns false if there is no room.
func (c *Conn) afterRead(p []byte) bool {
	now := c.door.now()
	c.mu.Lock()
	if c.progress.Phase == connlimit.Idle {
		c.progress = connlimit.Enter(connlimit.Receiving, now)
	}
	if c.progress.Phase == connlimit.Receiving {
		c.progress = c.progress.Passed(len(p), now)
	}
	rest := p
	if c.inHead {
		var head []byte
		head, rest = cutHead(p)
		c.headBytes += headCost(head)
	}
	c.aheadBytes = 0
	if len(p) <= readAhead && bytes.Contains(rest, requestLine) {
		c.aheadBytes = headCost(rest)
	}
	need := c.headBytes + c.aheadBytes - freeBytes - c.headHeld
	c.mu.Unlock()
	if need <= 0 {
		return true
	}
	if !c.door.reserveFor(c, need, false, need <= ordinaryBytes) {
		return false
	}
	c.mu.Lock()
	c.headHeld += need
	c.mu.Unlock()
	return true
}

// cutHead cuts p, which begins in a request's headers, after their end.
func cutHead(p []byte) (head, rest []byte) {
	for _, end := range headEnds {
		if i := bytes.Index(p, end); i >= 0 {
			return p[:i+len(end)], p[i+len(end):]
		}
	}
	return p, nil
}

// headCost returns the cost of headers.
func headCost(head []byte) int64 {
	return int64(len(head)) + FieldBytes*int64(bytes.Count(head, newline)) + ElementBytes*int64(bytes.Count(head, comma))
}

var (
	newline, comma = []byte("\n"), []byte(",")
	headEnds       = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n")}
	// requestLine is in each request line. After a body, only what follows one can be
	// headers of the next request.
	requestLine = []byte("HTTP/1.")
)

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	now := c.door.now()
	before := c.enter(connlimit.Answering, now)
	written := 0
	for len(p) > 0 {
		n, err := c.Conn.Write(p[:min(len(p), writeChunk)])
		written += n
		if err != nil {
			if c.closing.Load() {
				err = ErrClosed
			}
			return written, err
		}
		now = c.door.now()
		if p = p[n:]; len(p) > 0 {
			c.mu.Lock()
			c.progress = c.progress.Passed(n, now)
			c.mu.Unlock()
		}
	}
	c.enter(before, now)
	return written, nil
}

// enter begins a phase and returns the one before.
func (c *Conn) enter(p connlimit.Phase, now fleet.Instant) connlimit.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.progress.Phase
	c.progress = connlimit.Enter(p, now)
	return before
}

// Received says that the whole request has arrived, so that the client waits for the
// answer from now on. It returns false if the connection has been closed, so that the
// request need not run.
func (c *Conn) Received() bool {
	now := c.door.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() {
		return false
	}
	c.progress = connlimit.Enter(connlimit.Running, now)
	return true
}

// headDone says that the headers of a request have been read.
func (c *Conn) headDone() {
	now := c.door.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = false
	c.progress = connlimit.Enter(connlimit.Receiving, now)
}

// begin says that a handler is called.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// answered says that the answer has been written. The cost of headers that were sent
// ahead stays reserved: net/http decodes them without reading again.
func (c *Conn) answered() {
	now := c.door.now()
	c.mu.Lock()
	c.inHead = true
	c.headBytes = c.aheadBytes
	held := max(c.headHeld-max(c.headBytes-freeBytes, 0), 0)
	c.headHeld -= held
	c.handled = false
	c.progress = connlimit.Enter(connlimit.Idle, now)
	c.mu.Unlock()
	if held > 0 {
		c.Release(held)
	}
}

// at returns the connection as it is for the choice of one to close.
func (c *Conn) at() connlimit.Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// Close implements net.Conn. net/http calls it after the request's handler has
// returned.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.door.remove(c)
	return err
}

// CloseWrite ends sending, so that the client can read the answer before the
// connection is closed. net/http calls it after its last answer and then waits for half
// a second. A connection that was closed to make room must not wait with its memory;
// the panic makes net/http end it at once, without a log line.
func (c *Conn) CloseWrite() error {
	if c.closing.Load() {
		panic(http.ErrAbortHandler)
	}
	c.mu.Lock()
	held := int64(0)
	if !c.handled {
		// net/http has dropped headers that it could not decode.
		held, c.headHeld = c.headHeld, 0
	}
	c.progress = connlimit.Enter(connlimit.Idle, c.door.now())
	c.mu.Unlock()
	if held > 0 {
		c.Release(held)
	}
	c.door.linger(c)
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection has no sending side of its own")
	}
	return tcp.CloseWrite()
}

// SetLinger sets how the connection ends, as for net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errors.New("the end of the connection cannot be chosen")
	}
	return tcp.SetLinger(sec)
}

type contextKey struct{}

// FromContext returns the connection of a request, or nil if it came in another way.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Serve sets up a server for connections of a Listener.
func Serve(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.begin()
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		c2, ok := c.(*Conn)
		switch {
		case !ok:
		case state == http.StateActive:
			c2.headDone()
		case state == http.StateIdle:
			c2.answered()
		}
	}
}

const (
	// unreadTime bounds the time in which the rest of a body that nobody needs is
	// read, so that the client can read the answer.
	unreadTime = 500 * time.Millisecond
	// unreadBytes is the size of a body up to which the connection is used again
	// after its request was answered without it: a new connection costs more than a
	// request that is served.
	unreadBytes = 64 << 10
)

// AnswerEarly prepares an answer before the body of the request has been read; begun
// reports whether reading it has begun. The answer does not wait for the body. The
// caller must call discard after it has written the answer: it reads the rest of a
// short body, so that the connection can be used again. After a longer one the
// connection is closed, since the rest must not be taken for another request; what
// comes of it is read for a short time only, so that the answer can arrive.
func AnswerEarly(w http.ResponseWriter, r *http.Request, begun bool) (discard func(), err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return func() {}, nil
	}
	out := http.NewResponseController(w)
	short := !begun && r.ContentLength >= 0 && r.ContentLength <= unreadBytes && r.Header.Get("Expect") == ""
	discard = func() {}
	if short && out.EnableFullDuplex() == nil {
		discard = func() { discardBody(out, r) }
	} else {
		w.Header().Set("Connection", "close")
	}
	return discard, errors.Wrap(out.SetReadDeadline(time.Now().Add(unreadTime)), "bound the rest of the body")
}

// discardBody reads the rest of a body, and ends the connection if it does not come.
func discardBody(out *http.ResponseController, r *http.Request) {
	if err := out.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if n, err := io.Copy(io.Discard, r.Body); err != nil || n < r.ContentLength {
		panic(http.ErrAbortHandler)
	}
}

// now returns the time on the listener's clock.
func (l *Listener) now() fleet.Instant { return time.Since(l.start) }

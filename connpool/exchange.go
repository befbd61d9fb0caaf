package connpool

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/httphead"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of a server's answer.
	maxHeadBytes = 64 << 10
	// maxStaleAnswerBytes bounds the body of a skipped answer to another
	// request; a longer one closes the connection.
	maxStaleAnswerBytes = 64 << 10
	// maxStaleAnswers bounds the number of skipped answers to other requests.
	maxStaleAnswers = 3
	// maxSyncWriteBytes is the size up to which a request fits into the
	// socket's buffers, so that the write cannot block on a server that answers
	// early.
	maxSyncWriteBytes = 8 << 10
	// writeGrace is how long the write of a request may continue after the
	// server has answered it early.
	writeGrace = 500 * time.Millisecond
)

// Decoder decodes the platform's headers of a server's answer.
type Decoder interface {
	ParseAnswer(status int, h http.Header) call.Answer
}

// Request is a request for one server.
type Request struct {
	Address string
	// MaxConns is the number of connections that this instance may hold to the
	// server.
	MaxConns int
	// ID is the request's id, which servers echo; "" for a call that has none.
	// Such a call gets a connection of its own, since only the id shows which
	// request an answer belongs to.
	ID fleet.RequestID
	// Fresh requests a connection that has carried no other call: a call with
	// the same id was sent to the server before, and a late copy of its answer
	// would be taken for the answer to this one.
	Fresh  bool
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the body in pieces. They must not be changed after the call either: a
	// server may answer while the request is still being written.
	Body net.Buffers
	// Check is called right before the request is written, unless it is nil. If
	// it returns an error the request is not sent: connecting may take long, and
	// the process may be frozen meanwhile.
	Check func() error
}

// Answer is a server's answer. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	Meta   call.Answer
	// Framed reports whether the end of the body is known without the
	// connection being closed, and sized whether its length is.
	Framed, sized bool
	body          io.Reader
	conn          *conn
	pool          *Pool
	// reusable reports whether the server keeps the connection open.
	reusable bool
	mu       sync.Mutex
	// bodyRead reports whether the body has been read to its end, and
	// sendingEnded whether this side had ended sending before.
	bodyRead, sendingEnded bool
	// stopCancel makes the end of the context no longer close the connection.
	// It returns false when the context has ended already.
	stopCancel func() bool
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	address  string
	in       *httphead.Reader
	observer Observer
	// usableUntil is the time after which the connection must not be reused.
	usableUntil time.Time
	// reused reports whether the connection has carried another request.
	reused bool
	// upload is the write of the last request.
	upload *upload
}

// upload is the write of a request, which runs concurrently with the read of its
// answer when the request is long.
type upload struct {
	// done is closed at the end of the write, and err is its error from then on.
	done chan struct{}
	err  error
}

// newUpload returns an upload that runs write.
func newUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// written is the upload of a request that is not written concurrently.
var written = func() *upload {
	u := &upload{done: make(chan struct{})}
	close(u.done)
	return u
}()

func newConn(raw net.Conn, address string, o Observer) *conn {
	c := &conn{Conn: raw, address: address, observer: o}
	c.in = httphead.NewReader(c, readBufferBytes)
	return c
}

// syscallConn returns the connection for system calls.
func (c *conn) syscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// usable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) usable() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.syscallConn()
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

// Do sends a request once and returns its answer with the body still unread.
// When the context ends, the connection is closed, also while the body is read.
// An error that doesn't wrap ErrNotSent means that the request may have run.
func (p *Pool) Do(ctx context.Context, r *Request, d Decoder) (*Answer, error) {
	c, err := p.acquire(ctx, r.Address, r.MaxConns, r.Fresh || r.ID == "")
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
	answer.pool, answer.stopCancel = p, stop
	return answer, nil
}

// exchange sends a request and reads the head of its answer. It skips late
// answers to earlier requests.
func (c *conn) exchange(r *Request, d Decoder) (*Answer, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	for range maxStaleAnswers + 1 {
		answer, err := c.readHead(r, d)
		if err != nil {
			return nil, errors.Wrap(err, "read answer's head")
		}
		if answer.Meta.RequestID == r.ID || r.ID == "" {
			return answer, nil
		}
		if answer.Meta.RequestID == "" {
			// On a connection that carried other requests, the answer may be a
			// second copy of theirs.
			if answer.Status >= http.StatusMultipleChoices && !c.reused {
				return answer, nil
			}
			return nil, errors.New("the answer has no request id")
		}
		// A late answer to an earlier request.
		n, err := io.Copy(io.Discard, io.LimitReader(answer.body, maxStaleAnswerBytes))
		if err != nil || n == maxStaleAnswerBytes || !answer.Framed {
			return nil, errors.New("an answer to another request cannot be skipped")
		}
	}
	return nil, errors.New("received only answers to other requests")
}

// send writes the request. A request that doesn't fit into the socket's buffers
// is written concurrently with the read, because a server may answer early.
func (c *conn) send(r *Request) error {
	var b bytes.Buffer
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	b.Grow(1024 + min(length, maxSyncWriteBytes))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	if r.Check != nil {
		if err := r.Check(); err != nil {
			return errors.Wrap(ErrNotSent, err.Error())
		}
	}
	if b.Len()+length <= maxSyncWriteBytes {
		for _, piece := range r.Body {
			b.Write(piece)
		}
		c.upload = written
		_, err := c.Write(b.Bytes())
		c.observe(err)
		return errors.Wrap(err, "send request")
	}
	// A copy of a long body would count on top of the body. The list is copied,
	// because writing it takes pieces off.
	pieces := append(net.Buffers{b.Bytes()}, r.Body...)
	c.upload = newUpload(func() error {
		_, err := pieces.WriteTo(c.Conn)
		c.observe(err)
		return err
	})
	return nil
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(r *Request, d Decoder) (*Answer, error) {
	resp, err := c.in.Next(&http.Request{Method: r.Method}, maxHeadBytes)
	if err != nil {
		return nil, err
	}
	chunked := len(resp.TransferEncoding) > 0
	framed := chunked || resp.ContentLength >= 0
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Meta: d.ParseAnswer(resp.StatusCode, resp.Header),
		Framed: framed, sized: resp.ContentLength >= 0, body: resp.Body, conn: c, reusable: framed && !resp.Close && r.ID != "",
	}, nil
}

// ErrStopped means that a body whose length is unknown ended after this side had
// ended sending. Its server may have stopped in the middle: most HTTP servers end a
// body in order when its handler returns.
var ErrStopped = errors.New("the answer ended after its server was asked to stop")

// Read reads the body. The error is io.EOF when the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := a.checkEnd(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// checkEnd returns an error if the end of the body does not show that it is complete.
func (a *Answer) checkEnd() error {
	if !a.Framed && !a.stopped() {
		if err := a.conn.checkEnd(); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sendingEnded && !a.sized {
		return ErrStopped
	}
	a.bodyRead = true
	return nil
}

// stopped reports whether this side has ended sending.
func (a *Answer) stopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sendingEnded
}

// EndSending closes the sending side of the connection, unless the body has been read
// to its end. A server that drops a request when its caller closes the connection ends
// the answer; one that goes on can still be read. It may be called while the body is
// read.
func (a *Answer) EndSending() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyRead {
		return nil
	}
	a.sendingEnded = true
	return errors.Wrap(a.conn.Conn.(*net.TCPConn).CloseWrite(), "end sending")
}

// Close returns the connection to the pool when the body was read to its end.
// Otherwise it closes the connection, which makes most servers cancel the
// request.
func (a *Answer) Close() {
	uncancelled := a.stopCancel()
	a.mu.Lock()
	whole := a.bodyRead && !a.sendingEnded
	a.mu.Unlock()
	if whole && a.reusable && uncancelled && a.conn.requestSent() && a.conn.in.Buffered() == 0 {
		a.pool.putIdle(a.conn, a.Meta.IdleTimeout)
		return
	}
	a.pool.discard(a.conn)
}

// requestSent reports whether the whole request has been written, waiting up to
// writeGrace. If part of it were missing, the server would read the next
// request as the rest of this one.
func (c *conn) requestSent() bool {
	select {
	case <-c.upload.done:
		return c.upload.err == nil
	case <-time.After(writeGrace):
		return false
	}
}

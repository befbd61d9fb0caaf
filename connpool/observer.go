package connpool

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Observer is told what the connections to servers show of the way there. Its methods
// must not block.
type Observer interface {
	// Opened is called when a connection was opened.
	Opened(address string)
	// Failed is called when one could not be opened, was reset or timed out, also while
	// it was in use.
	Failed(address string)
	// Waiting is called before bytes of an answer are read, and Received afterwards
	// with their number.
	Waiting(address string)
	Received(address string, n int)
}

// Observe sets the observer of the connections. It must be called before the first
// request.
func (p *Pool) Observe(o Observer) { p.observer = o }

// ignore is the Observer of a pool without one.
type ignore struct{}

func (ignore) Opened(string)        {}
func (ignore) Failed(string)        {}
func (ignore) Waiting(string)       {}
func (ignore) Received(string, int) {}

// pathFailed reports whether an error shows that the connection was refused, reset or
// timed out, rather than ended in order or by this process.
func pathFailed(err error) bool {
	for _, errno := range [...]syscall.Errno{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// dialFailed reports whether a dial failed because of the way to the server.
func dialFailed(ctx context.Context, err error) bool {
	var timeout net.Error
	return pathFailed(err) || ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

// Read reads bytes of answers.
func (c *conn) Read(p []byte) (int, error) {
	c.observer.Waiting(c.address)
	n, err := c.Conn.Read(p)
	c.observer.Received(c.address, n)
	c.observe(err)
	return n, err
}

// observe reports an error of the connection if it shows something of the way to the
// server. A deadline that this process has set does not.
func (c *conn) observe(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && pathFailed(err) {
		c.observer.Failed(c.address)
	}
}

// Package connpool keeps HTTP/1.1 connections to servers and sends each request
// on one of them exactly once. Unlike the library's transport it never resends,
// tells a request that certainly never left from one that may have run, checks
// a kept connection for bytes that belong to no request, and matches answers to
// requests by their id.
package connpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of an exchange. Any other error means that the request may have run.
var (
	// ErrNotSent means that the server certainly did not get the request.
	ErrNotSent = errors.New("request not sent")
	// ErrBusy means that all connections that this instance may hold to the
	// server are in use; nothing was sent.
	ErrBusy = errors.Wrap(ErrNotSent, "no free connection")
)

// Settings of connections to servers.
const (
	// dialTimeout bounds the opening of a connection. Data centres are a few
	// milliseconds apart; a lost opening packet is sent again after a second.
	dialTimeout = 250 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, which is
	// how a cut and a silent connection show.
	userTimeout = 900 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount end a connection that
	// waits for an answer from a server that is cut off: after 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdle is how long an idle connection is used when the server does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// useOfIdle is the part of the server's idle time after which a connection
	// is not used any more, so that the server's close does not meet a request.
	useOfIdle = 0.6
	// pruneInterval is the time between two searches for old connections.
	pruneInterval = 2 * time.Second
)

// Pool holds the connections to all servers. Safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	hosts  map[string]*host
	pruned time.Time
	opened int64
}

type host struct {
	idle []*conn
	open int
}

// New returns an empty pool.
func New() *Pool { return &Pool{hosts: map[string]*host{}} }

// Opened counts the connections that were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// take returns a kept connection or opens one, within limit open connections
// to the address.
func (p *Pool) take(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, reserved := p.reuse(address, limit)
		if c == nil && !reserved {
			return nil, ErrBusy
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
}

// reuse takes the connection that was used last, since it is least likely to
// have been closed. Without one it reserves a place for a new connection.
func (p *Pool) reuse(address string, limit int) (c *conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.prune(now)
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for len(h.idle) > 0 {
		last := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(last.usable) {
			return last, true
		}
		h.open--
		_ = last.Close()
	}
	if h.open >= max(limit, 1) {
		return nil, false
	}
	h.open++
	return nil, true
}

// prune closes connections that have been idle for too long.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.pruned) < pruneInterval {
		return
	}
	p.pruned = now
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.usable) {
				kept = append(kept, c)
				continue
			}
			h.open--
			_ = c.Close()
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", address, err)
	}
	tune(raw.(*net.TCPConn))
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw, address), nil
}

// tune sets the options that end silent connections. A failure leaves the
// defaults, with which the request's own deadline applies.
func tune(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.open--
	}
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

// keep returns a connection for the next request.
func (p *Pool) keep(c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	c.usable = time.Now().Add(time.Duration(float64(idle) * useOfIdle))
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[c.address]; h != nil {
		h.idle = append(h.idle, c)
	}
}

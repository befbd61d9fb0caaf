// Package connpool pools HTTP/1.1 connections to servers and sends each request
// exactly once. Unlike http.Transport it never resends a request, distinguishes
// requests that were certainly not sent from those that may have run, checks an
// idle connection for unexpected bytes before it is reused, and matches answers
// to requests by id.
package connpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of Pool.Do. Any other error means that the request may have run.
var (
	// ErrNotSent means that the server certainly did not receive the request.
	ErrNotSent = errors.New("request not sent")
	// ErrBusy means that all connections that this instance may hold to the
	// server are in use. It wraps ErrNotSent.
	ErrBusy = errors.Wrap(ErrNotSent, "no free connection")
)

// Settings of connections to servers.
const (
	// dialTimeout bounds the opening of a connection. Data centres are a few
	// milliseconds apart, and TCP resends a lost SYN only after a second.
	dialTimeout = 250 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection that waits
	// for an answer from an unreachable server. Linux knows whole seconds only. A server
	// may be silent for a second or so and go on.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
	// userTimeout closes a connection whose sent bytes are not acknowledged, or not
	// read. On Linux it also decides when keep-alive probes give up, whatever their
	// count.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// defaultIdle is the idle timeout assumed of servers that don't state
	// theirs.
	defaultIdle = 4 * time.Second
	// idleShare is the share of the server's idle timeout after which a
	// connection is not reused, so that a request doesn't cross with the
	// server's close.
	idleShare = 0.6
	// pruneInterval is the time between two searches for expired idle
	// connections.
	pruneInterval = 2 * time.Second
)

// Pool holds the connections to all servers. Safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	hosts    map[string]*host
	prunedAt time.Time
	opened   int64
	observer Observer
}

// host holds the connections to one address.
type host struct {
	idle []*conn
	// open is the number of connections that are idle, in use or being opened.
	open int
}

// New returns an empty pool.
func New() *Pool { return &Pool{hosts: map[string]*host{}, observer: ignore{}} }

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// acquire returns an idle connection or opens one; if fresh is set, it opens
// one in any case. It returns ErrBusy when limit connections to the address are
// in use.
func (p *Pool) acquire(ctx context.Context, address string, limit int, fresh bool) (*conn, error) {
	for {
		c, reserved := p.reuse(address, limit, fresh)
		if c == nil && !reserved {
			return nil, ErrBusy
		}
		if c == nil {
			return p.open(ctx, address)
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

// reuse takes the most recently used idle connection, which is least likely to
// have been closed. Without one it returns nil and reserves a new connection;
// reserved is then false when limit connections are open. If fresh is set, it
// closes an idle connection where that is needed to make room.
func (p *Pool) reuse(address string, limit int, fresh bool) (c *conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.prune(now)
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for len(h.idle) > 0 && !(fresh && h.open < max(limit, 1)) {
		last := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(last.usableUntil) && !fresh {
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

// prune closes expired idle connections, at most once per pruneInterval.
func (p *Pool) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.usableUntil) {
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

// open opens a connection that reuse has reserved. The error wraps ErrNotSent.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		if dialFailed(ctx, err) {
			p.observer.Failed(address)
		}
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %v", address, err)
	}
	setSocketOptions(raw.(*net.TCPConn))
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	p.observer.Opened(address)
	return newConn(raw, address, p.observer), nil
}

// setSocketOptions sets the options that close unresponsive connections. Errors
// are ignored: the request's own deadline applies then.
func setSocketOptions(c *net.TCPConn) {
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

// release makes room for a new connection to an address after one was closed or
// could not be opened.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.open--
	}
}

// discard closes a connection that is not idle in the pool.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

// putIdle returns a connection to the pool; idle is the server's idle timeout,
// 0 when unknown.
func (p *Pool) putIdle(c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	c.reused = true
	c.usableUntil = time.Now().Add(time.Duration(float64(idle) * idleShare))
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[c.address]; h != nil {
		h.idle = append(h.idle, c)
	}
}

package door

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/connlimit"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Reasons for which connections are closed besides those of connlimit.
const (
	ReasonTooManyConnections = connlimit.Reason(fleet.ReasonTooManyConnections)
	ReasonBuffersFull        = connlimit.Reason(fleet.ReasonBuffersFull)
)

// Reasons returns every reason for which a connection is closed.
func Reasons() []connlimit.Reason {
	return append(connlimit.Reasons(), ReasonTooManyConnections, ReasonBuffersFull)
}

// Options holds the bounds of a Listener.
type Options struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// MaxConns is the most connections that are open at the same time.
	MaxConns int
	// Budget is the memory that the clients may hold.
	Budget *Budget
	// Closed is called for each connection that is closed to make room.
	Closed func(listener string, reason connlimit.Reason)
	Log    *zap.Logger
}

// Listener accepts connections within the bounds. When connections or memory run out,
// it closes those that connlimit chooses. Safe for concurrent use.
type Listener struct {
	net.Listener
	Options
	start time.Time

	mu    sync.Mutex
	conns []*Conn
	// open is the number of connections that have a descriptor.
	open int
	// closingBytes is the memory of connections that will be free shortly: those that
	// were closed to make room and whose handlers have not returned yet, and those
	// that linger.
	closingBytes int64
	clients      map[string]*holding
}

// holding is what the connections of one client address hold.
type holding struct{ conns, bytes int64 }

// reclaimTime bounds the wait for the memory of a connection that was closed to make
// room: its goroutine has to run.
const reclaimTime = 500 * time.Millisecond

// New returns a Listener for the connections of l.
func New(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, Options: o, start: time.Now(), clients: map[string]*holding{}}
}

// Accept implements net.Listener. A connection for which there is no room is closed
// after the answer that its request is not run.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.report(ReasonTooManyConnections, clientOf(raw), 0, connlimit.Enter(connlimit.Receiving, l.now()))
		// The write cannot block on a new connection. An error means that the client
		// has gone.
		_, _ = raw.Write([]byte(fullAnswer))
		_ = raw.Close()
	}
}

const fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientOf returns the address of a connection's client without the port; an IPv6
// client counts by its network, since it can choose the rest.
func clientOf(c net.Conn) string {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	ip := address.Addr().Unmap()
	if ip.Is6() {
		if network, err := ip.Prefix(64); err == nil {
			return network.String()
		}
	}
	return ip.String()
}

// admit returns the connection, counted, or nil if there is no room for it.
func (l *Listener) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, door: l, client: clientOf(raw), index: -1, inHead: true, progress: connlimit.Enter(connlimit.Receiving, l.now())}
	if !l.take(c) {
		return nil
	}
	if !l.reserveFor(c, ConnBytes, false, true) {
		l.forget(c)
		return nil
	}
	return c
}

// take counts a connection, in place of another one if there are too many.
func (l *Listener) take(c *Conn) bool {
	for {
		l.mu.Lock()
		if l.open < l.MaxConns {
			l.open++
			c.index = len(l.conns)
			l.conns = append(l.conns, c)
			h := l.clients[c.client]
			if h == nil {
				h = &holding{}
				l.clients[c.client] = h
			}
			h.conns++
			l.mu.Unlock()
			return true
		}
		l.mu.Unlock()
		if !l.makeRoom(c, true, true) {
			return false
		}
	}
}

// reserve reserves memory for a connection, as Memory says.
func (l *Listener) reserve(c *Conn, n int64, answer bool) bool {
	return l.reserveFor(c, n, answer, false)
}

// reserveFor reserves n bytes for a connection. If there is no room, it closes other
// connections and waits for their memory.
func (l *Listener) reserveFor(c *Conn, n int64, answer, newConnection bool) bool {
	var end time.Time
	for {
		ok := false
		if answer {
			ok = l.Budget.ReserveAnswer(n)
		} else {
			ok = l.Budget.Reserve(n)
		}
		if ok {
			if !l.addHeld(c, n) {
				l.Budget.Release(n)
				return false
			}
			return true
		}
		if end.IsZero() {
			end = time.Now().Add(reclaimTime)
		}
		if c.closing.Load() || !time.Now().Before(end) {
			return false
		}
		for l.Budget.room(answer)+l.closingMemory() < n {
			if !l.makeRoom(c, false, newConnection) {
				return false
			}
		}
		l.Budget.awaitRoom(n, answer, end)
	}
}

// makeRoom closes the connection that connlimit chooses for what c needs: its place or
// its memory. It returns false if there is none.
func (l *Listener) makeRoom(c *Conn, place, newConnection bool) bool {
	now := l.now()
	l.mu.Lock()
	share := func(client string) int64 {
		h := l.clients[client]
		switch {
		case h == nil:
			return 0
		case place:
			return h.conns
		default:
			return h.bytes
		}
	}
	need := connlimit.Need{Client: c.client, Share: share(c.client), NewConnection: newConnection}
	if place {
		need.Share++
	}
	index, reason, ok := connlimit.Choose(len(l.conns), func(i int) (connlimit.Conn, bool) {
		other := l.conns[i]
		if other == c || other.closing.Load() || !place && other.lingering {
			return connlimit.Conn{}, false
		}
		out := connlimit.Conn{Progress: other.at(), Client: other.client}
		if out.Phase == connlimit.Receiving {
			out.Share = share(other.client)
		}
		return out, true
	}, need, now)
	var victim *Conn
	if ok {
		victim = l.conns[index]
	}
	l.mu.Unlock()
	if ok {
		l.close(victim, reason)
	}
	return ok
}

// close closes a connection to make room, unless its request has become complete since
// it was chosen. Its memory is free when its handler has returned.
func (l *Listener) close(c *Conn, reason connlimit.Reason) {
	l.mu.Lock()
	c.mu.Lock()
	p := c.progress
	if c.index < 0 || c.closing.Load() || p.Phase == connlimit.Running {
		c.mu.Unlock()
		l.mu.Unlock()
		return
	}
	c.closing.Store(true)
	c.mu.Unlock()
	held := c.held
	l.open--
	if !c.lingering {
		l.closingBytes += held
	}
	l.mu.Unlock()
	if p.Phase == connlimit.Answering {
		// An end in order would complete an answer that only its connection ends.
		if err := c.SetLinger(0); err != nil {
			l.Log.Warn("connection ends without a reset", zap.String("client", c.client), zap.Error(err))
		}
	}
	// The error says that the connection has been closed already.
	_ = c.Conn.Close()
	l.report(reason, c.client, held, p)
}

// report counts and logs a connection that is closed to make room.
func (l *Listener) report(reason connlimit.Reason, client string, held int64, p connlimit.Progress) {
	l.Closed(l.Name, reason)
	l.Log.Warn("connection closed to make room", zap.String("listener", l.Name), zap.String("reason", string(reason)),
		zap.String("client", client), zap.Int64("held_bytes", held), zap.Duration("last_progress", l.now()-p.Last))
}

// addHeld counts memory that a connection has reserved or gives back. It returns false
// if the connection has been removed, and its memory with it.
func (l *Listener) addHeld(c *Conn, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.index < 0 {
		return false
	}
	c.held += n
	l.clients[c.client].bytes += n
	if c.closing.Load() || c.lingering {
		l.closingBytes += n
	}
	return true
}

// linger says that a connection ends by itself.
func (l *Listener) linger(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.index >= 0 && !c.lingering {
		c.lingering = true
		if !c.closing.Load() {
			l.closingBytes += c.held
		}
	}
}

func (l *Listener) closingMemory() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closingBytes
}

// remove takes back what a connection holds. Its handler has returned.
func (l *Listener) remove(c *Conn) {
	if held := l.forget(c); held > 0 {
		l.Budget.Release(held)
	}
}

// forget removes a connection from the list, unless that has been done, and returns the
// memory that it held.
func (l *Listener) forget(c *Conn) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.index < 0 {
		return 0
	}
	last := l.conns[len(l.conns)-1]
	l.conns[c.index], last.index = last, c.index
	l.conns[len(l.conns)-1] = nil
	l.conns = l.conns[:len(l.conns)-1]
	c.index = -1
	if c.closing.Load() || c.lingering {
		l.closingBytes -= c.held
	}
	if !c.closing.Load() {
		l.open--
	}
	h := l.clients[c.client]
	h.conns--
	h.bytes -= c.held
	if h.conns == 0 {
		delete(l.clients, c.client)
	}
	return c.held
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout limits the time to open a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// pushTimeout limits one push. It leaves time for a second attempt within
	// the 3 s in which peers must learn of a leaving upstream.
	pushTimeout = time.Second
	// configTimeout limits one fetch of a configuration. It suffices for 1 MB.
	configTimeout = 5 * time.Second
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// clients holds one connection per address. It is safe for concurrent use.
type clients struct {
	dial      Dialer
	mu        sync.Mutex
	byAddress map[string]*client
}

// client is the connection to one address. The first call opens it.
type client struct {
	mu  sync.Mutex
	rpc *rpc.Client
}

func newClients(dial Dialer) *clients {
	if dial == nil {
		dial = dialTCP
	}
	return &clients{dial: dial, byAddress: map[string]*client{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// call sends one request and decodes the reply into out. If a reused connection
// turns out to be closed, the request is retried once on a new one; every call
// between instances is idempotent.
func (c *clients) call(address, method string, in, out any, timeout time.Duration) error {
	for attempt := 0; ; attempt++ {
		entry := c.clientFor(address)
		conn, fresh, err := entry.connect(c.dial, address)
		if err != nil {
			return errors.Wrapf(err, "connect to peer %s", address)
		}
		err = callWithTimeout(conn, method, in, out, timeout)
		if err == nil {
			return nil
		}
		if _, answered := err.(rpc.ServerError); answered {
			return errors.Wrapf(err, "%s at peer %s", method, address)
		}
		entry.discard(conn)
		if fresh || attempt > 0 || !errors.Is(err, rpc.ErrShutdown) {
			return errors.Wrapf(err, "%s at peer %s", method, address)
		}
	}
}

// callWithTimeout sends one request over an open connection and closes the
// connection if there is no reply within timeout.
func callWithTimeout(conn *rpc.Client, method string, in, out any, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := conn.Go(method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		// Closing the connection ends the call, so that nothing writes to out
		// after this function returns.
		_ = conn.Close()
		<-call.Done
		return errors.Errorf("no answer within %v", timeout)
	}
}

// clientFor returns the client of an address and creates it if necessary.
func (c *clients) clientFor(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.byAddress[address]
	if entry == nil {
		entry = &client{}
		c.byAddress[address] = entry
	}
	return entry
}

// connect returns the open connection, or opens one and reports it as fresh.
func (c *client) connect(dial Dialer, address string) (conn *rpc.Client, fresh bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		return c.rpc, false, nil
	}
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, true, err
	}
	c.rpc = rpc.NewClientWithCodec(clientCodec{newGobConn(raw, 0)})
	return c.rpc, true, nil
}

// discard closes a connection and forgets it if it is the current one.
func (c *client) discard(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc == conn {
		_ = conn.Close()
		c.rpc = nil
	}
}

// closeOthers closes the connections to all addresses but the given ones.
func (c *clients) closeOthers(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, entry := range c.byAddress {
		if !addresses[address] {
			delete(c.byAddress, address)
			go entry.close()
		}
	}
}

// close closes the connection if it is open.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

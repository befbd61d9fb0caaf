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
	dialTimeout = 500 * time.Millisecond
	// pushTimeout leaves time for a second attempt within the 3 s in which a
	// departure must be known.
	pushTimeout = time.Second
	// configTimeout covers a configuration of 1 MB.
	configTimeout = 5 * time.Second
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// clients keeps one connection per address. Safe for concurrent use.
type clients struct {
	dial Dialer
	mu   sync.Mutex
	open map[string]*client
}

// client is the connection to one address, opened by the first call.
type client struct {
	mu  sync.Mutex
	rpc *rpc.Client
}

func newClients(dial Dialer) *clients {
	if dial == nil {
		dial = dialTCP
	}
	return &clients{dial: dial, open: map[string]*client{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// call sends one request. A reused connection that turns out to be closed is
// replaced once; every call of the exchange may be repeated.
func (c *clients) call(address, method string, in, out any, timeout time.Duration) error {
	for attempt := 0; ; attempt++ {
		held := c.at(address)
		conn, fresh, err := held.connect(c.dial, address)
		if err != nil {
			return errors.Wrapf(err, "connect to peer %s", address)
		}
		err = await(conn, method, in, out, timeout)
		if err == nil {
			return nil
		}
		if _, answered := err.(rpc.ServerError); answered {
			return errors.Wrapf(err, "%s at peer %s", method, address)
		}
		held.drop(conn)
		if fresh || attempt > 0 || !errors.Is(err, rpc.ErrShutdown) {
			return errors.Wrapf(err, "%s at peer %s", method, address)
		}
	}
}

func await(conn *rpc.Client, method string, in, out any, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := conn.Go(method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		// Closing the connection ends the call, so that nothing writes to
		// out after the return.
		_ = conn.Close()
		<-call.Done
		return errors.Errorf("no answer within %v", timeout)
	}
}

func (c *clients) at(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.open[address]
	if held == nil {
		held = &client{}
		c.open[address] = held
	}
	return held
}

// connect returns the open connection or a fresh one.
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

func (c *client) drop(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc == conn {
		_ = conn.Close()
		c.rpc = nil
	}
}

// keep closes the connections to all other addresses.
func (c *clients) keep(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, held := range c.open {
		if !addresses[address] {
			delete(c.open, address)
			go held.close()
		}
	}
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}

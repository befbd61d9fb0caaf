package loadshare

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// holderPeer is the connection to one instance and what waits for it.
type holderPeer struct {
	address string
	mu      sync.Mutex
	queue   []queuedStream
	sending bool
	// connMu guards client, and is held while the connection is opened.
	connMu sync.Mutex
	client *rpc.Client
}

// call makes one call to the instance. The connection may have been closed because it was
// idle; the call is made again over a new one then, since it may be repeated.
func (p *holderPeer) call(ctx context.Context, method string, in, out any) error {
	reused, err := p.callOnce(ctx, method, in, out)
	if err != nil && reused && ctx.Err() == nil {
		_, err = p.callOnce(ctx, method, in, out)
	}
	return errors.Wrapf(err, "call %s", p.address)
}

// callOnce makes a call, and reports whether the connection had been open before.
func (p *holderPeer) callOnce(ctx context.Context, method string, in, out any) (reused bool, err error) {
	client, reused, err := p.connect(ctx)
	if err != nil {
		return false, err
	}
	call := client.Go(method, in, out, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	var refused rpc.ServerError
	if errors.As(err, &refused) {
		return false, err
	}
	// A call that is no longer needed says nothing of the connection.
	if err != nil && !errors.Is(err, context.Canceled) {
		p.disconnect(client)
	}
	return reused, err
}

func (p *holderPeer) connect(ctx context.Context) (client *rpc.Client, reused bool, err error) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	if p.client != nil {
		return p.client, true, nil
	}
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, false, err
	}
	p.client = rpc.NewClient(&progressConn{Conn: conn, idle: idleTimeout, stall: callTimeout})
	return p.client, false, nil
}

func (p *holderPeer) disconnect(client *rpc.Client) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	if p.client == client {
		_ = client.Close()
		p.client = nil
	}
}

func (p *holderPeer) close() {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}

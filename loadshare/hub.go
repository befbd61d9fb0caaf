package loadshare

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/store"
)

// HubClient requests changes of the store from the hub of this instance's data
// centre, over a separate connection.
type HubClient struct {
	exchange *Exchange
	mu       sync.Mutex
	address  string
	client   *rpc.Client
	conn     net.Conn
}

// HubClient returns a client for the hub.
func (e *Exchange) HubClient() *HubClient { return &HubClient{exchange: e} }

// After returns the changes after a revision as followed by the hub. It waits up
// to wait for a change. The error store.ErrUnavailable means that the caller has
// to ask the store itself.
func (h *HubClient) After(ctx context.Context, revision int64, wait time.Duration) (store.Batch, error) {
	client, conn, err := h.connect(ctx)
	if err != nil {
		return store.Batch{}, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait + callTimeout)); err != nil {
		return store.Batch{}, h.disconnect(err)
	}
	var out ChangesReply
	if err := client.Call(serviceName+".Changes", ChangesRequest{Revision: revision, Wait: wait}, &out); err != nil {
		return store.Batch{}, h.disconnect(err)
	}
	switch {
	case out.Compacted:
		return store.Batch{}, store.ErrCompacted
	case out.Fault != "":
		return store.Batch{}, errors.Wrap(store.ErrUnavailable, "hub: "+out.Fault)
	}
	return store.Batch{Changes: out.Changes, Revision: out.Revision, Age: out.Age}, nil
}

// connect returns the connection to the current hub, dialling it if necessary.
func (h *HubClient) connect(ctx context.Context) (*rpc.Client, net.Conn, error) {
	h.exchange.mu.Lock()
	hub := h.exchange.topology.Hub
	address := h.exchange.peerAddress[hub]
	h.exchange.mu.Unlock()
	if hub == "" || address == "" {
		return nil, nil, errors.Wrap(store.ErrUnavailable, "no hub")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.client != nil && h.address == address {
		return h.client, h.conn, nil
	}
	if h.client != nil {
		_ = h.client.Close()
		h.client = nil
	}
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(store.ErrUnavailable, "hub %s: %v", hub, err)
	}
	h.client, h.conn, h.address = rpc.NewClient(&progressConn{Conn: conn, stall: callTimeout}), conn, address
	return h.client, h.conn, nil
}

// disconnect closes a failed connection and returns err as
// store.ErrUnavailable.
func (h *HubClient) disconnect(err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.client != nil {
		_ = h.client.Close()
		h.client = nil
	}
	return errors.Wrapf(store.ErrUnavailable, "hub: %v", err)
}

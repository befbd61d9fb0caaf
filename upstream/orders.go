package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/httphead"
)

// OrderRequest is the body of POST /v1/orders at an engine.
type OrderRequest struct {
	ID string `json:"id"`
	// FencingNumber is the fencing number of the order lease. An engine that
	// checks it refuses a number lower than the highest it has seen.
	FencingNumber int64 `json:"fencing_number"`
	// Incarnation is the engine process that the order is meant for.
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Action is ActionLoad or ActionChangeRole.
	Action  string          `json:"action"`
	Model   fleet.ModelName `json:"model,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Role    string          `json:"role"`
}

// Actions of an order.
const (
	ActionLoad       = "load"
	ActionChangeRole = "change_role"
)

// OrderRefusal is the body of the answer to a refused order.
type OrderRefusal struct {
	Error string `json:"error"`
}

// Values of OrderRefusal.Error, sent with status 409.
const (
	OrderStale = "stale_fencing_number"
	OrderBusy  = "busy"
)

// EngineState is the body of the answer to GET /v1/state at an engine.
type EngineState struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Model       fleet.ModelName   `json:"model,omitempty"`
	Adapter     string            `json:"adapter,omitempty"`
	Version     string            `json:"version,omitempty"`
	Role        string            `json:"role"`
	// OrderInProgress is the id of the order being executed, or empty.
	OrderInProgress string `json:"order_in_progress,omitempty"`
	// LastSettledOrder is the id of the order that was completed last. An order
	// with this id or that of the order in progress is not executed again.
	LastSettledOrder string `json:"last_settled_order,omitempty"`
}

// Errors of an order that the engine has not accepted.
var (
	ErrOrderStale   = errors.New("the engine has seen a higher fencing number")
	ErrOrderBusy    = errors.New("the engine executes another order")
	ErrOrderRefused = errors.New("the engine will not execute the order")
	ErrOrderNotSent = errors.New("the order was not sent")
)

// orderIdleTimeout is how long an unused connection stays open. It exceeds the 10 s
// between two reads of an engine's state.
const orderIdleTimeout = time.Minute

// maxStateBytes bounds the body of an engine's answer on an order connection.
const maxStateBytes = 64 << 10

// OrderConn is one TCP connection to one engine process. It never reconnects, so
// that an order for this process cannot reach its successor after a restart.
type OrderConn struct {
	address string
	conn    net.Conn
	http    *http.Client
}

// DialOrders connects to the engine at address (host:port) and returns the connection,
// which the caller must close.
func DialOrders(ctx context.Context, address string) (*OrderConn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to engine %s", address)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Closing the connection discards unsent bytes, also when the process
		// is killed, so that the kernel delivers no order after the sender has
		// ended.
		_ = tcp.SetLinger(0)
	}
	var used atomic.Bool
	transport := &http.Transport{
		IdleConnTimeout: orderIdleTimeout,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrOrderNotSent}
			}
			return conn, nil
		},
	}
	return &OrderConn{address: address, conn: conn, http: &http.Client{Transport: httphead.Transport{Base: transport}}}, nil
}

// Close closes the connection.
func (c *OrderConn) Close() {
	c.http.CloseIdleConnections()
	_ = c.conn.Close()
}

// State returns the engine's state. It returns an error unless the engine answers with
// status 200.
func (c *OrderConn) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/state", nil)
	if err != nil {
		return state, errors.Wrapf(err, "read state of engine %s", c.address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return state, errors.Wrapf(err, "read state of engine %s", c.address)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return state, errors.Errorf("read state of engine %s: status %d, %v", c.address, resp.StatusCode, err)
	}
	return state, errors.Wrapf(json.Unmarshal(raw, &state), "decode state of engine %s", c.address)
}

// Send sends an order in one attempt. No byte is written after writeDeadline. Any
// error other than the ErrOrder values means that the engine may have received
// the order.
func (c *OrderConn) Send(ctx context.Context, in OrderRequest, writeDeadline time.Time) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(ErrOrderNotSent, err.Error())
	}
	url := "http://" + c.address + "/v1/orders"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return errors.Wrap(ErrOrderNotSent, err.Error())
	}
	if err := c.conn.SetWriteDeadline(writeDeadline); err != nil {
		return errors.Wrap(ErrOrderNotSent, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil && neverSent(err) {
		return errors.Wrapf(ErrOrderNotSent, "order %s to engine %s: %v", in.ID, c.address, err)
	}
	if err != nil {
		return errors.Wrapf(err, "order %s to engine %s", in.ID, c.address)
	}
	defer func() { _ = resp.Body.Close() }()
	var refusal OrderRefusal
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&refusal)
	switch {
	case resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusOK:
		return nil
	case refusal.Error == OrderStale:
		return errors.Wrapf(ErrOrderStale, "order %s to engine %s", in.ID, c.address)
	case refusal.Error == OrderBusy:
		return errors.Wrapf(ErrOrderBusy, "order %s to engine %s", in.ID, c.address)
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return errors.Wrapf(ErrOrderRefused, "order %s to engine %s: status %d", in.ID, c.address, resp.StatusCode)
	}
	return errors.Errorf("order %s to engine %s: status %d", in.ID, c.address, resp.StatusCode)
}

// Load returns the load report of the engine at address (host:port).
func (c *EngineClient) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, errors.Wrapf(err, "read load of engine %s", address)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return load, errors.Wrapf(err, "read load of engine %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return load, errors.Errorf("read load of engine %s: status %d", address, resp.StatusCode)
	}
	return load, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&load), "decode load of engine %s", address)
}

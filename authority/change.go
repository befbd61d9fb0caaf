package authority

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/upstream"
)

func (a *Authority) markEngine(ctx context.Context, e *engine, c order.Mark) order.Event {
	if a.expired(c.StartBefore) {
		return order.Failed{Call: c.Call}
	}
	e.fence = c.Fence
	if err := a.Drains.Mark(ctx, Mark{Upstream: e.id, Fence: c.Fence, On: c.On}); err != nil {
		return order.Failed{Call: c.Call}
	}
	return order.Marked{Call: c.Call}
}

// checkDrain fetches the load report only after the acknowledgements, so that
// it counts requests sent before them.
func (a *Authority) checkDrain(ctx context.Context, e *engine, c order.CheckDrain) order.Event {
	acknowledged := a.Drains.Acknowledged(ctx, Mark{Upstream: e.id, Fence: e.fence, On: true})
	load, err := a.Engines.Load(ctx, e.address)
	if err != nil {
		return order.Failed{Call: c.Call}
	}
	return order.DrainChecked{
		Call: c.Call, Acknowledged: acknowledged,
		Running: load.Running + load.Waiting, Incarnation: load.Incarnation,
	}
}

func (e *engine) closeOrderConn() {
	if e.orderConn != nil {
		e.orderConn.Close()
		e.orderConn = nil
	}
}

// closeAll closes the connection for orders and the one for reads.
func (e *engine) closeAll() {
	e.closeOrderConn()
	if e.stateConn != nil {
		e.stateConn.Close()
		e.stateConn = nil
	}
}

// readState reads on the kept connection if possible, otherwise on a new one.
// It closes an earlier connection for orders.
func (a *Authority) readState(ctx context.Context, e *engine, c order.ReadState) order.Event {
	e.closeOrderConn()
	state, err := e.readKept(ctx, c)
	if err != nil {
		state, err = e.readFresh(ctx, c)
	}
	role, ok := fleet.ParseRole(state.Role)
	if err != nil || !ok {
		return order.Failed{Call: c.Call}
	}
	return order.StateRead{Call: c.Call, State: order.State{
		Incarnation: state.Incarnation, InProgress: state.OrderInProgress, Settled: state.LastSettledOrder,
		Current: order.Desired{Model: state.Model, Adapter: state.Adapter, Version: state.Version, Role: role},
	}}
}

// errNewConnNeeded means that a read needs a new connection.
var errNewConnNeeded = errors.New("this read needs a new connection")

// readKept reads on the kept connection. It fails if the engine has closed the
// connection, and for a read whose connection an order will use.
func (e *engine) readKept(ctx context.Context, c order.ReadState) (state upstream.EngineState, err error) {
	if e.stateConn == nil {
		return state, errNewConnNeeded
	}
	if !c.Connect {
		state, err = e.stateConn.State(ctx)
	}
	if c.Connect || err != nil {
		e.stateConn.Close()
		e.stateConn = nil
		err = errNewConnNeeded
	}
	return state, err
}

func (e *engine) readFresh(ctx context.Context, c order.ReadState) (upstream.EngineState, error) {
	conn, err := upstream.DialOrders(ctx, e.address)
	if err != nil {
		return upstream.EngineState{}, err
	}
	state, err := conn.State(ctx)
	switch {
	case err != nil:
		conn.Close()
	case c.Connect:
		e.orderConn = conn
	default:
		e.stateConn = conn
	}
	return state, err
}

func (a *Authority) send(ctx context.Context, e *engine, c order.Send) order.Event {
	defer e.closeOrderConn()
	left := c.StartBefore - a.clock.now()
	if left <= 0 || e.orderConn == nil {
		return order.Answered{Call: c.Call, Answer: order.AnswerNotSent}
	}
	err := e.orderConn.Send(ctx, wireOrder(c), time.Now().Add(left))
	if err != nil {
		a.Log.Warn("order not taken", zap.String("upstream", string(e.id)), zap.Error(err))
	}
	return order.Answered{Call: c.Call, Answer: answerOf(err)}
}

func wireOrder(c order.Send) upstream.OrderRequest {
	d := c.Order.Desired
	action := upstream.ActionChangeRole
	if c.Order.From.LoadsWeights(d) {
		action = upstream.ActionLoad
	}
	return upstream.OrderRequest{
		ID: c.Order.ID, FencingNumber: c.FencingNumber, Incarnation: c.Order.Incarnation, Action: action,
		Model: d.Model, Adapter: d.Adapter, Version: d.Version, Role: d.Role.String(),
	}
}

func answerOf(err error) order.Answer {
	switch {
	case err == nil:
		return order.AnswerAccepted
	case errors.Is(err, upstream.ErrOrderStale):
		return order.AnswerStale
	case errors.Is(err, upstream.ErrOrderBusy):
		return order.AnswerBusy
	case errors.Is(err, upstream.ErrOrderRefused):
		return order.AnswerRefused
	case errors.Is(err, upstream.ErrOrderNotSent):
		return order.AnswerNotSent
	}
	return order.AnswerLost
}

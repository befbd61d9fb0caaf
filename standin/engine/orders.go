package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

// Orders is the configuration of an engine that accepts orders. An engine without it
// has no HTTP interface for orders.
type Orders struct {
	Model   fleet.ModelName
	Adapter string
	Version string
	// IgnoresFencing makes the engine accept any fencing number.
	IgnoresFencing bool
	// ChangeTime is how long a change takes the engine out of service.
	ChangeTime time.Duration
}

// orderState is the part of an engine's state that orders change.
type orderState struct {
	mu              sync.Mutex
	config          *Orders
	state           upstream.EngineState
	highestFence    int64
	restarts        int
	inProgress      *upstream.OrderRequest
	started         []string
	runningAtChange int
	// loseAnswers breaks the connection instead of answering an accepted order.
	loseAnswers bool
}

// newOrderState returns the state of a new engine.
func newOrderState(c Config) *orderState {
	o := &orderState{config: c.Orders}
	o.state = upstream.EngineState{Incarnation: c.Incarnation, Role: c.Role.String()}
	if c.Orders != nil {
		o.state.Model, o.state.Adapter, o.state.Version = c.Orders.Model, c.Orders.Adapter, c.Orders.Version
	}
	return o
}

// State returns the state that GET /v1/state reports.
func (s *Server) State() upstream.EngineState {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return s.orders.state
}

// StartedOrders returns the ids of the orders that were started, oldest first.
func (s *Server) StartedOrders() []string {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]string(nil), s.orders.started...)
}

// RunningAtChange returns how many requests were running when orders were started,
// summed over all orders. A drained engine has none.
func (s *Server) RunningAtChange() int {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return s.orders.runningAtChange
}

// SetLoseAnswers sets whether the engine breaks the connection instead of answering
// an order that it has accepted.
func (s *Server) SetLoseAnswers(on bool) {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.loseAnswers = on
}

// Crash restarts the engine as a new incarnation that knows no order and no fencing
// number. applied sets whether a change in progress takes effect first.
func (s *Server) Crash(applied bool) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inProgress != nil && applied {
		o.apply(*o.inProgress)
	}
	o.restarts++
	o.reset(s.config.Incarnation + fleet.Incarnation("-r"+strconv.Itoa(o.restarts)))
}

// reset starts a new incarnation, which knows no order and no fencing number. The
// caller holds the lock.
func (o *orderState) reset(next fleet.Incarnation) {
	o.state.Incarnation = next
	o.inProgress, o.highestFence = nil, 0
	o.state.OrderInProgress, o.state.LastSettledOrder = "", ""
}

// restart is reset under the lock.
func (o *orderState) restart(next fleet.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reset(next)
}

// apply puts the model and the role of an order in force. The caller holds the lock.
func (o *orderState) apply(in upstream.OrderRequest) {
	o.state.Model, o.state.Adapter, o.state.Version, o.state.Role = in.Model, in.Adapter, in.Version, in.Role
}

// connKey is the context key of the incarnation that a connection was made to.
type connKey struct{}

// ConnContext binds a connection to the current incarnation. It is meant for
// http.Server.ConnContext, so that a crash breaks the connections.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, s.State().Incarnation)
}

// rejectOldConnections returns a handler that breaks connections made to an earlier
// incarnation.
func (s *Server) rejectOldConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		incarnation, ok := r.Context().Value(connKey{}).(fleet.Incarnation)
		if ok && incarnation != s.State().Incarnation {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) addOrders(mux *http.ServeMux) {
	if s.config.Orders == nil {
		return
	}
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.State())
	})
}

// handleOrder handles POST /v1/orders.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var in upstream.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	refusal, lose := s.startOrder(in)
	if lose {
		panic(http.ErrAbortHandler)
	}
	if refusal != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(upstream.OrderRefusal{Error: refusal})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// startOrder starts an order unless it is a repetition. It returns the reason of a
// refusal, or "", and whether the answer must be lost.
func (s *Server) startOrder(in upstream.OrderRequest) (refusal string, lose bool) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.config.IgnoresFencing && in.FencingNumber < o.highestFence {
		return upstream.OrderStale, false
	}
	o.highestFence = max(o.highestFence, in.FencingNumber)
	if in.ID == o.state.OrderInProgress || in.ID == o.state.LastSettledOrder {
		return "", s.orders.loseAnswers
	}
	if o.inProgress != nil {
		return upstream.OrderBusy, false
	}
	o.inProgress = &in
	o.state.OrderInProgress = in.ID
	o.started = append(o.started, in.ID)
	o.runningAtChange += int(s.running.Load())
	incarnation := o.state.Incarnation
	time.AfterFunc(o.config.ChangeTime, func() { s.completeOrder(in, incarnation) })
	return "", s.orders.loseAnswers
}

// completeOrder applies an order after its change time, unless the engine has
// restarted.
func (s *Server) completeOrder(in upstream.OrderRequest, incarnation fleet.Incarnation) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Incarnation != incarnation || o.inProgress == nil {
		return
	}
	o.apply(in)
	o.inProgress = nil
	o.state.OrderInProgress, o.state.LastSettledOrder = "", in.ID
}

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

// Orders sets how an engine treats orders; an engine without it has none of
// the interfaces for orders.
type Orders struct {
	Model   fleet.ModelName
	Adapter string
	Version string
	// IgnoresFencing lets the engine accept any fencing number.
	IgnoresFencing bool
	// ChangeTime is how long a change takes the engine out of service.
	ChangeTime time.Duration
}

// orderState is the part of an engine that orders change.
type orderState struct {
	mu       sync.Mutex
	config   *Orders
	state    upstream.EngineState
	highest  int64
	restarts int
	progress *upstream.OrderRequest
	log      []string
	cut      int
	// loseAnswers breaks the connection instead of answering a taken order.
	loseAnswers bool
}

func newOrderState(c Config) *orderState {
	o := &orderState{config: c.Orders}
	o.state = upstream.EngineState{Incarnation: c.Incarnation, Role: c.Role.String()}
	if c.Orders != nil {
		o.state.Model, o.state.Adapter, o.state.Version = c.Orders.Model, c.Orders.Adapter, c.Orders.Version
	}
	return o
}

// State returns what GET /v1/state reports.
func (s *Server) State() upstream.EngineState {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return s.orders.state
}

// StartedOrders returns the ids of the orders that were started, in order.
func (s *Server) StartedOrders() []string {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return append([]string(nil), s.orders.log...)
}

// RunningAtChange returns how many requests were running when a change began.
func (s *Server) RunningAtChange() int {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return s.orders.cut
}

// SetLoseAnswers makes the engine break the connection instead of answering
// an order that it has taken.
func (s *Server) SetLoseAnswers(on bool) {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	s.orders.loseAnswers = on
}

// Crash restarts the engine as a new incarnation that has forgotten every order
// and number. applied tells whether a change under way had taken effect.
func (s *Server) Crash(applied bool) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.progress != nil && applied {
		o.apply(*o.progress)
	}
	o.restarts++
	o.forget(s.config.Incarnation + fleet.Incarnation("-r"+strconv.Itoa(o.restarts)))
}

// forget starts a new incarnation, which knows no order and no number.
func (o *orderState) forget(next fleet.Incarnation) {
	o.state.Incarnation = next
	o.progress, o.highest = nil, 0
	o.state.OrderInProgress, o.state.LastSettledOrder = "", ""
}

func (o *orderState) replace(next fleet.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(next)
}

func (o *orderState) apply(in upstream.OrderRequest) {
	o.state.Model, o.state.Adapter, o.state.Version, o.state.Role = in.Model, in.Adapter, in.Version, in.Role
}

type connKey struct{}

// ConnContext ties a connection to the present incarnation; use it as the
// ConnContext of the http.Server, so that a crash breaks connections.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, s.State().Incarnation)
}

// alive ends a request on a connection to an earlier incarnation.
func (s *Server) alive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tied, ok := r.Context().Value(connKey{}).(fleet.Incarnation)
		if ok && tied != s.State().Incarnation {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) addOrders(mux *http.ServeMux) {
	if s.config.Orders == nil {
		return
	}
	mux.HandleFunc("POST /v1/orders", s.order)
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.State())
	})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var in upstream.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	refusal, lose := s.take(in)
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

// take starts an order or returns why it is refused.
func (s *Server) take(in upstream.OrderRequest) (refusal string, lose bool) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.config.IgnoresFencing && in.FencingNumber < o.highest {
		return upstream.OrderStale, false
	}
	o.highest = max(o.highest, in.FencingNumber)
	if in.ID == o.state.OrderInProgress || in.ID == o.state.LastSettledOrder {
		return "", s.orders.loseAnswers
	}
	if o.progress != nil {
		return upstream.OrderBusy, false
	}
	o.progress = &in
	o.state.OrderInProgress = in.ID
	o.log = append(o.log, in.ID)
	o.cut += int(s.running.Load())
	incarnation := o.state.Incarnation
	time.AfterFunc(o.config.ChangeTime, func() { s.settle(in, incarnation) })
	return "", s.orders.loseAnswers
}

func (s *Server) settle(in upstream.OrderRequest, incarnation fleet.Incarnation) {
	o := s.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Incarnation != incarnation || o.progress == nil {
		return
	}
	o.apply(in)
	o.progress = nil
	o.state.OrderInProgress, o.state.LastSettledOrder = "", in.ID
}

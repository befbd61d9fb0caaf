// Package operator serves the operators' calls that operator.proto describes.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/store"
)

// Drainer marks an upstream as leaving at every instance. The membership of
// the deployment implements it.
type Drainer interface {
	// Drain returns the incarnation to which the mark is tied, or an empty
	// one when it is not known yet.
	Drain(ctx context.Context, id fleet.UpstreamID) (fleet.Incarnation, error)
}

// Order is one order to an engine, as recorded in the platform.
type Order struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
	ID          string
	// Action is what the order asks for, such as "role decode".
	Action        string
	Sender        fleet.InstanceID
	FencingNumber int64
	// State is "sent", "settled" or "failed".
	State string
	Age   time.Duration
}

// OrderLister lists the orders recorded in the platform.
type OrderLister interface {
	Orders(ctx context.Context) ([]Order, error)
}

// Scheduler is the part of the dispatcher that the status needs.
type Scheduler interface {
	Status() sched.Status
	Now() fleet.Instant
}

// Counters are the metrics' counters that the status shows.
type Counters interface {
	Refusals() []metrics.Count
	Retries() []metrics.Count
}

// Options are the parts that a server works with.
type Options struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// KeyHashes are the hex SHA-256 digests of the keys that are let in.
	KeyHashes []string
	Keeper    *config.Keeper
	Scheduler Scheduler
	Counters  Counters
	// InForce lists the versions in force at the live instances.
	InForce config.VersionLister
	// Drainer and Orders may be nil; their calls then answer "unimplemented".
	Drainer Drainer
	Orders  OrderLister
	Log     *zap.Logger
}

// Server implements the operators' service.
type Server struct {
	Options
	start time.Time
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// maxMessageBytes bounds a call: a declaration of the platform's largest value
// with room for its encoding.
const maxMessageBytes = 2 * store.MaxValueBytes

// NewHandler returns the HTTP handler of the operators' listener.
func NewHandler(o Options) http.Handler {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(
		&Server{Options: o, start: time.Now()}, connect.WithReadMaxBytes(maxMessageBytes),
	))
	return authenticate(o.KeyHashes, mux)
}

// authenticate lets in the operators' keys only. Every digest is compared, so
// that the time does not tell which one matched.
func authenticate(keyHashes []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := declare.HashKey(key)
		known := 0
		for _, h := range keyHashes {
			known |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
		}
		if !ok || key == "" || known == 0 {
			http.Error(w, "operator key not known", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

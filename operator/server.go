// Package operator implements the service for operators that operator.proto
// defines.
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

// Drainer marks an upstream as leaving at every instance. The deployment's
// membership implements it.
type Drainer interface {
	// Drain returns the incarnation that was marked, or "" if it is not known
	// yet.
	Drain(ctx context.Context, id fleet.UpstreamID) (fleet.Incarnation, error)
}

// Order is one order to an engine, as recorded in the platform.
type Order struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
	ID          string
	// Action is the requested action, such as "role decode".
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

// Scheduler is the part of the dispatcher that Status needs.
type Scheduler interface {
	Status() sched.Status
	Now() fleet.Instant
}

// Counters are the metrics that Status returns.
type Counters interface {
	Refusals() []metrics.Count
	Retries() []metrics.Count
}

// Options configure a server.
type Options struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// KeyHashes are the hex SHA-256 digests of the accepted keys.
	KeyHashes []string
	Keeper    *config.Keeper
	Scheduler Scheduler
	Counters  Counters
	// Versions lists the versions in force at the live instances.
	Versions config.VersionLister
	// Drainer and OrderLister may be nil. Their calls then fail with
	// CodeUnimplemented.
	Drainer     Drainer
	OrderLister OrderLister
	Log         *zap.Logger
}

// Server implements operatorv1connect.OperatorServiceHandler. Its errors carry
// the codes that operator.proto documents.
type Server struct {
	Options
	start time.Time
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// maxMessageBytes limits a request. It has room for a declaration of
// store.MaxValueBytes and its encoding.
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

// authenticate accepts requests with an operator's key only and answers others
// with status 401. Every digest is compared, so that the time taken does not
// reveal which one matched.
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

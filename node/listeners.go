package node

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/connlimit"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/gateway"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/settings"
)

const (
	// clientShare is the share of the process's memory that clients may hold:
	// connections, headers, bodies and answers. answerShare of it is kept for
	// answers, so that requests cannot take the memory of answers to those that have
	// run. Together with partShare this stays below memoryShare.
	clientShare = 0.3
	answerShare = 0.1
	// defaultMemory is the memory that is assumed without a setting.
	defaultMemory = 144 << 20
	// reservedDescriptors are kept for files, as the platform asks.
	reservedDescriptors = 200
	// defaultDescriptors is the number that is assumed without a setting.
	defaultDescriptors = 1024
	// callerDescriptors is the share of the other descriptors that callers'
	// connections may take. Each request that runs has a connection to a server;
	// the connections of idle callers need none.
	callerDescriptors = 0.6
	// relayDescriptors is the share that requests of other instances may take, and
	// relayShare their share of the memory, at least minRelayBytes: the largest body and
	// some answers.
	relayDescriptors = 0.08
	relayShare       = 0.06
	minRelayBytes    = 11 << 20
	relayAnswerBytes = 2 << 20
	// readyConns and metricsConns bound the connections of the other listeners. The
	// platform's probe and a scraper need one or two.
	readyConns   = 64
	metricsConns = 32
	// readyBytes and metricsBytes are the memory of their clients: the connections,
	// some with headers of smallHeaderBytes, and scrapes of some hundred kilobytes.
	readyBytes   = 3 << 20
	metricsBytes = 4 << 20
	// smallHeaderBytes bounds the headers of probes and scrapes, and smallTimeout
	// the time to send a request and to read its answer.
	smallHeaderBytes = 4 << 10
	smallTimeout     = 5 * time.Second
)

// Names of listeners in logs and metrics.
const (
	callersListener = "callers"
	readyListener   = "readiness"
	metricsListener = "metrics"
	relayListener   = "relay"
)

// processMemory returns the memory of the process.
func processMemory(s *settings.Gateway) float64 {
	if s.MemoryBytes <= 0 {
		return defaultMemory
	}
	return float64(s.MemoryBytes)
}

// clientBudget returns the memory that callers may hold. What the other listeners may
// hold is taken off.
func clientBudget(s *settings.Gateway) *door.Budget {
	memory := processMemory(s)
	others := int64(readyBytes + metricsBytes)
	if s.RelayListen != "" {
		others += relayBytes(s)
	}
	return door.NewBudget(max(int64(clientShare*memory)-others, int64(answerShare*memory)*2), int64(answerShare*memory))
}

// relayBytes returns the memory that requests of other instances may hold.
func relayBytes(s *settings.Gateway) int64 {
	return max(int64(relayShare*processMemory(s)), minRelayBytes)
}

// conns returns a share of the descriptors that connections may take.
func conns(s *settings.Gateway, share float64) int {
	all := s.Descriptors
	if all <= 0 {
		all = defaultDescriptors
	}
	return max(int(share*float64(all-reservedDescriptors-readyConns-metricsConns)), 1)
}

type listeners struct {
	callers, ready, metrics *door.Listener
	// relay is nil if the instance takes no requests of others.
	relay *door.Listener
	peers net.Listener
}

// listen opens all listeners of the instance.
func (n *Node) listen() (listeners, error) {
	var out listeners
	type opened struct {
		address string
		set     func(net.Listener)
	}
	list := []opened{
		{n.settings.CallerListen, func(l net.Listener) {
			out.callers = n.bounded(l, callersListener, conns(n.settings, callerDescriptors), n.budget)
		}},
		{n.settings.ReadyListen, func(l net.Listener) {
			out.ready = n.bounded(l, readyListener, readyConns, door.NewBudget(readyBytes, 0))
		}},
		{n.settings.MetricsListen, func(l net.Listener) {
			out.metrics = n.bounded(l, metricsListener, metricsConns, door.NewBudget(metricsBytes, 0))
		}},
		{n.settings.PeerListen, func(l net.Listener) { out.peers = l }},
	}
	if n.settings.RelayListen != "" {
		list = append(list, opened{n.settings.RelayListen, func(l net.Listener) {
			out.relay = n.bounded(l, relayListener, conns(n.settings, relayDescriptors), n.relay.Budget)
		}})
	}
	for _, l := range list {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return out, errors.Wrapf(err, "listen on %s", l.address)
		}
		l.set(listener)
	}
	return out, nil
}

// bounded returns a listener for clients outside the operator's control.
func (n *Node) bounded(l net.Listener, name string, conns int, budget *door.Budget) *door.Listener {
	n.metrics.AddListener(name, door.Reasons())
	return door.New(l, door.Options{Name: name, MaxConns: conns, Budget: budget, Closed: n.connectionClosed, Log: n.log})
}

// connectionClosed counts a client's connection that was closed to make room. One that
// was not accepted counts as a refused request, too.
func (n *Node) connectionClosed(listener string, reason connlimit.Reason) {
	n.metrics.ConnectionClosed(listener, reason)
	if reason == door.ReasonTooManyConnections {
		n.metrics.Refused(fleet.ReasonTooManyConnections)
	}
}

// serve serves a listener until it is closed and logs its failure.
func (n *Node) serve(s *http.Server, l *door.Listener) {
	door.Serve(s)
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("listener failed", zap.String("address", l.Addr().String()), logline.Error(err))
	}
}

// newRelay returns the Relay of the instance.
func (n *Node) newRelay() *gateway.Relay {
	return gateway.NewRelay(gateway.RelayConfig{
		Instance: n.settings.Instance, DataCentre: n.settings.DataCentre, Synced: n.directory.Synced,
		Budget: door.NewBudget(relayBytes(n.settings), relayAnswerBytes), MaxInFlight: conns(n.settings, relayDescriptors),
	})
}

// callerServer returns the server of the callers' listener, or of the one for other
// instances, which add a header of their own.
func (n *Node) callerServer(handler http.Handler, headerBytes int) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// smallServer returns a server for probes or scrapes, which have no body and few
// headers. A request with a body is refused without reading it. Answers are made before
// they are sent, so that a client that does not read holds nothing but its answer.
func (n *Node) smallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				if _, err := door.AnswerEarly(w, r, true); err != nil {
					n.log.Debug("answer waits for the body", zap.String("path", r.URL.Path), logline.Error(err))
				}
				w.WriteHeader(http.StatusRequestEntityTooLarge)
				return
			}
			answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
			handler.ServeHTTP(answer, r)
			if conn := door.FromContext(r.Context()); conn != nil {
				size := int64(answer.Cap())
				if !conn.Received() || !conn.Reserve(size) {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				defer conn.Release(size)
			}
			w.WriteHeader(answer.status)
			// A write error means that the client has disconnected.
			_, _ = w.Write(answer.Bytes())
		}),
		ReadHeaderTimeout: smallTimeout, ReadTimeout: smallTimeout, WriteTimeout: smallTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: smallHeaderBytes,
		ErrorLog: zap.NewStdLog(n.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// bufferedAnswer is an answer that has not been sent yet.
type bufferedAnswer struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// readiness returns the handler of the platform's readiness probe.
func (n *Node) readiness() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(n.platform.ReadyPath, func(c echo.Context) error {
		if n.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

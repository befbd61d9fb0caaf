package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/relaypick"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/logline"
)

// RelayOutcome is what became of a relayed request at one instance; its text is the value
// of the metric label.
type RelayOutcome string

// Outcomes of relayed requests. The instance that answers the caller and the one that it
// asks count each for itself.
const (
	// RelayAnswered means that a server's answer was passed on, and RelayRejected that
	// the other instance has rejected the request as it does its own callers' requests.
	RelayAnswered RelayOutcome = "answered"
	RelayRejected RelayOutcome = "rejected"
	// RelayPartitioned, RelayStarting, RelayStopping and RelayFull mean that the other
	// instance has done nothing with the request: it can't reach the servers either,
	// doesn't know them yet, is about to stop or has no room.
	RelayPartitioned RelayOutcome = "partitioned"
	RelayStarting    RelayOutcome = "starting"
	RelayStopping    RelayOutcome = "stopping"
	RelayFull        RelayOutcome = "full"
	// RelayBehind means the same: the other instance knows no such route, or key, by a
	// configuration that is older than that of the instance that has accepted the request.
	RelayBehind RelayOutcome = "behind"
	// RelayNotSent means that the request did not reach the other instance.
	RelayNotSent RelayOutcome = "not_sent"
	// RelayBroken means that the answer was not whole, or that there was none.
	RelayBroken RelayOutcome = "broken"
	// RelayCallerLeft means that the caller has left.
	RelayCallerLeft RelayOutcome = "caller_left"
	// RelayNoPeer means that there was no other instance to ask.
	RelayNoPeer RelayOutcome = "no_peer"
)

// RelayOutcomes returns every outcome, so that counters can be registered at zero.
func RelayOutcomes() []RelayOutcome {
	return []RelayOutcome{
		RelayAnswered, RelayRejected, RelayPartitioned, RelayStarting, RelayStopping, RelayFull, RelayBehind, RelayNotSent, RelayBroken, RelayCallerLeft, RelayNoPeer,
	}
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Budget is the memory for requests of other instances, and MaxInFlight bounds
	// their number.
	Budget      *door.Budget
	MaxInFlight int
	// Synced reports whether the servers are known.
	Synced func() bool
}

// Relay passes requests to other instances while this one cannot reach the servers, and
// bounds those that others pass to it. Safe for concurrent use.
type Relay struct {
	RelayConfig
	pool     *connpool.Pool
	start    time.Time
	inFlight atomic.Int64

	mu     sync.Mutex
	picker *relaypick.Picker
}

// NewRelay returns a Relay that knows no other instances.
func NewRelay(c RelayConfig) *Relay {
	return &Relay{RelayConfig: c, pool: connpool.New(), start: time.Now(), picker: relaypick.New(c.Instance, c.DataCentre, rand.IntN)}
}

// InstancesChanged sets the list of instances.
func (r *Relay) InstancesChanged(list []directory.Instance) {
	peers := make([]relaypick.Peer, 0, len(list))
	for _, i := range list {
		peers = append(peers, relaypick.Peer{ID: i.ID, DataCentre: i.DataCentre, Address: i.Relay, Cores: i.Cores})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.SetPeers(peers)
}

// InFlight returns the number of requests in flight that other instances have relayed to
// this one.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// PeerCounts returns the number of instances that can be asked, and how many of them are
// left out for a time.
func (r *Relay) PeerCounts() (peers, excluded int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.picker.Counts(time.Since(r.start))
}

// pick chooses an instance and counts a request there until end is called.
func (r *Relay) pick(asked []fleet.InstanceID) (peer relaypick.Peer, end func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, ok = r.picker.Pick(asked, time.Since(r.start))
	if !ok {
		return peer, nil, false
	}
	done := r.picker.Begin(peer.ID)
	return peer, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		done()
	}, true
}

func (r *Relay) taken(id fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Taken(id, time.Since(r.start))
}

func (r *Relay) failed(id fleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Failed(id, time.Since(r.start))
}

const (
	// maxRelayTries bounds the instances that are asked for one request.
	maxRelayTries = 3
	// maxRelayConns bounds the connections to one other instance.
	maxRelayConns = 256
	// relayMargin is left of the deadline for the way of the answer back.
	relayMargin = 30 * time.Millisecond
)

// Causes of a relay, in logs.
const (
	causeNoLinks     = "no_links"
	causeAfterFailed = "attempt_failed"
)

// mayRelay reports whether the request may go on by way of another instance: it must not
// come from one.
func (p *proxyRequest) mayRelay() bool { return p.g.Relay != nil && p.hop == nil }

// relaysFailures reports whether an attempt that fails now goes on by way of another
// instance: failures say nothing about servers.
func (p *proxyRequest) relaysFailures() bool { return p.mayRelay() && !p.g.Links.Trusted() }

// linksFailed reports whether the last attempt failed by its connection, or any attempt
// would.
func (p *proxyRequest) linksFailed() bool { return p.connFailed || p.g.Links.Partitioned() }

// movesToPeer relays a request whose attempts failed here while failures say nothing
// about servers, and reports whether it was answered. What may have run goes on only if it
// may be repeated, with a retry that is paid here.
func (p *proxyRequest) movesToPeer() bool {
	if !p.relaysFailures() || p.callerGone() || p.sends >= p.route.MaxAttempts || (p.mayHaveRun && !p.route.Repeatable()) || !p.spendRetry() {
		return false
	}
	return p.relay(causeAfterFailed)
}

// relay serves the request by way of another instance, and reports whether it was
// answered. Those that do nothing with it are followed by the next. Without one the
// request is refused at once if no server can be reached from here, or if another may have
// passed it on; it is left to this instance otherwise.
func (p *proxyRequest) relay(cause string) (answered bool) {
	var asked []fleet.InstanceID
	broken := false
	for len(asked) < maxRelayTries && p.remaining() > minAttempt && p.keyValid() {
		peer, end, ok := p.g.Relay.pick(asked)
		if !ok {
			break
		}
		asked = append(asked, peer.ID)
		switch p.relayTo(peer, cause, end) {
		case RelayAnswered, RelayRejected, RelayCallerLeft:
			return true
		case RelayBroken:
			broken = true
			if !p.mayRetry(retry.ReasonConnectionLost) {
				p.fail(fleet.ReasonUpstreamFailed, busyWait)
				return true
			}
		}
	}
	if p.callerGone() || p.refusedForKey() {
		return true
	}
	p.g.Observer.Relayed(RelayNoPeer)
	peers, excluded := p.g.Relay.PeerCounts()
	p.logFields = append(p.logFields, zap.String("relay_cause", cause), zap.Any("instances_asked", asked), zap.Int("instances", peers), zap.Int("instances_excluded", excluded))
	if !broken && !p.g.Links.Partitioned() && p.remaining() > minAttempt {
		p.g.Log.Info("request not relayed", zap.String("request_id", string(p.req.ID)), zap.String("cause", cause), zap.String("outcome", string(RelayNoPeer)),
			zap.Int("asked", len(asked)), zap.Int("instances", peers), zap.Int("instances_excluded", excluded))
		return false
	}
	p.fail(fleet.ReasonNoRelay, busyWait)
	return true
}

// attemptsForPeer returns the number of servers to which another instance may send the
// request. One is kept for a second instance where there are enough: once a connection to
// the first has broken, all that it was allowed count as used.
func (p *proxyRequest) attemptsForPeer() int {
	left := max(p.route.MaxAttempts-p.sends, 1)
	if left > 2 {
		return left - 1
	}
	return left
}

// relayTo passes the request to another instance and its answer to the caller. It calls
// end in any case.
func (p *proxyRequest) relayTo(peer relaypick.Peer, cause string, end func()) RelayOutcome {
	defer end()
	began := time.Now()
	p.events = 0
	h := hop{
		from: p.g.Relay.Instance, attempts: p.attemptsForPeer(), version: p.table.Version, mayHaveRun: p.mayHaveRun, demandCounted: p.demandCounted,
		usageCounted: p.usage.counted.Load(), software: p.software,
	}
	header := p.g.Wire.RelayedHeaders(p.r.Header, max(p.remaining()-relayMargin, time.Millisecond), p.lastEvent)
	header[relayHeader] = []string{h.encode()}
	answer, err := p.g.Relay.pool.Do(p.ctx, &connpool.Request{
		Address: peer.Address, MaxConns: maxRelayConns, ID: p.req.ID, Method: p.r.Method, URI: p.r.RequestURI, Host: p.r.Host,
		Header: header, Body: p.body.pieces(), Check: func() error {
			if !p.keyValid() {
				return errKeyRejected
			}
			return nil
		},
	}, hopDecoder{})
	outcome, status := RelayBroken, 0
	switch {
	case errors.Is(err, connpool.ErrNotSent):
		outcome = RelayNotSent
	case err == nil:
		status = answer.Status
		outcome, err = p.passOn(answer)
		answer.Close()
	}
	if (outcome == RelayBroken || outcome == RelayNotSent) && p.callerGone() {
		outcome = RelayCallerLeft
	}
	p.recordRelay(peer, outcome, err, h.attempts)
	p.g.Observer.Relayed(outcome)
	fields := []zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("instance", string(peer.ID)), zap.String("data_centre", string(peer.DataCentre)),
		zap.String("cause", cause), zap.String("outcome", string(outcome)), zap.Int("status", status), zap.Int("attempts", h.attempts), zap.Int("events", p.events),
		zap.Bool("may_have_run", p.mayHaveRun), zap.Duration("took", time.Since(began)), zap.Duration("left", p.remaining()),
	}
	if outcome == RelayAnswered || outcome == RelayRejected {
		p.g.Log.Info("request relayed", fields...)
	} else {
		p.g.Log.Warn("request not relayed", append(fields, logline.Error(err))...)
	}
	if outcome == RelayRejected && !p.complete {
		// What the other instance has not run may have run before.
		p.fail(fleet.ReasonUpstreamFailed, busyWait)
	}
	return outcome
}

// recordRelay records what an outcome says about the other instance and the request.
func (p *proxyRequest) recordRelay(peer relaypick.Peer, outcome RelayOutcome, err error, attempts int) {
	switch outcome {
	case RelayAnswered, RelayRejected:
		p.g.Relay.taken(peer.ID)
		p.countCall()
	case RelayBroken, RelayCallerLeft:
		if errors.Is(err, connpool.ErrNotSent) {
			return
		}
		p.mayHaveRun = true
		p.sends += attempts
		p.countCall()
		if outcome == RelayBroken {
			p.g.Relay.failed(peer.ID)
		}
	case RelayNotSent:
		if !errors.Is(err, connpool.ErrBusy) && p.keyRejected == "" {
			p.g.Relay.failed(peer.ID)
		}
	case RelayBehind:
		// It gets the configuration in a moment.
	default:
		p.g.Relay.failed(peer.ID)
	}
}

// errUnmarked means that an answer does not come from an instance that has read the
// request.
var errUnmarked = errors.New("the answer is not that of another instance to a relayed request")

// passOn passes the answer of another instance to the caller. One that has done nothing
// with the request is not passed on.
func (p *proxyRequest) passOn(a *connpool.Answer) (RelayOutcome, error) {
	told := parseHopAnswer(a.Header)
	switch {
	case !told.marked && a.Status == http.StatusServiceUnavailable:
		// The listener has refused the connection.
		return RelayFull, nil
	case !told.marked:
		return RelayBroken, errUnmarked
	case told.refused != "":
		return told.refused, nil
	case told.stream:
		if told.software != nil {
			p.pin(*told.software)
		}
		return p.passStream(a)
	}
	if !promisesNotRun(a.Status) {
		p.countedByPeer()
	}
	body, err := p.readAnswer(a, maxAnswerBytes)
	if err != nil {
		return RelayBroken, err
	}
	p.bodies = append(p.bodies, body)
	outcome := RelayAnswered
	if promisesNotRun(a.Status) {
		outcome = RelayRejected
	}
	if p.headWritten || (outcome == RelayRejected && p.mayHaveRun) {
		return RelayRejected, nil
	}
	p.deliver(&bufferedAnswer{a.Status, a.Header, body})
	return outcome, nil
}

// countedByPeer records that another instance has counted the request, as demand and for
// the usage reports, so that nobody else does if it is sent again.
func (p *proxyRequest) countedByPeer() {
	p.demandCounted = true
	p.usage.counted.Store(true)
}

// passStream passes the events of a stream on as they arrive.
func (p *proxyRequest) passStream(a *connpool.Answer) (RelayOutcome, error) {
	in := &eventReader{in: a, memory: p.memory}
	defer in.release()
	for {
		data, id, err := in.next()
		if err == io.EOF {
			p.writeHead(a)
			p.complete = true
			return RelayAnswered, nil
		}
		if err != nil {
			return RelayBroken, errors.Wrap(err, "read stream")
		}
		if !p.headWritten {
			p.g.Observer.Answered(p.route.Name, time.Since(p.start))
		}
		p.events++
		p.lastEventAt = time.Now()
		if hasEvent(data) {
			p.countedByPeer()
		}
		p.writeHead(a)
		if _, err := p.w.Write(data); err != nil {
			return RelayCallerLeft, errors.Wrap(err, "write to caller")
		}
		if err := http.NewResponseController(p.w).Flush(); err != nil {
			return RelayCallerLeft, errors.Wrap(err, "write to caller")
		}
		if id != "" {
			p.lastEvent = id
		}
	}
}

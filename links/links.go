// Package links watches the connections to the servers and runs the probes by which an
// instance finds out that it is partitioned from all of them. core/links decides.
package links

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/links"
	"github.com/bramleywick/bramleywick/core/placement"
)

// Observer counts probes and changes of the state.
type Observer interface {
	LinksChanged(from, to links.State, reason links.Reason)
	LinksProbed(links.Result)
}

// Options holds the dependencies of a Monitor.
type Options struct {
	Observer Observer
	// OnPartition is called when a partition is found, before Direct and Trusted
	// return.
	OnPartition func()
	// Dial opens the connections of probes; nil for those of the net package.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *zap.Logger
}

// Monitor knows whether the instance reaches the servers. Safe for concurrent use.
type Monitor struct {
	Options
	start time.Time
	// wake is sent to when the result of a probe may ask for others.
	wake chan struct{}

	mu       sync.Mutex
	detector *links.Detector
}

// New returns a Monitor without servers.
func New(o Options) *Monitor {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Monitor{Options: o, start: time.Now(), wake: make(chan struct{}, 1), detector: links.New(rand.Float64, 0)}
}

// Run runs the probes until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(links.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
		var probes []links.Probe
		m.update(func(now fleet.Instant) { probes = m.detector.Step(now) })
		for _, p := range probes {
			go m.probe(ctx, p)
		}
	}
}

// update applies an observation and reports the changes that follow from it.
func (m *Monitor) update(apply func(now fleet.Instant)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	apply(time.Since(m.start))
	for _, c := range m.detector.Changes() {
		m.changed(c)
	}
}

// changed logs and counts a change of the state. The caller holds the lock, so that
// nobody acts on the state before.
func (m *Monitor) changed(c links.Change) {
	level := zap.InfoLevel
	if c.To == links.Partitioned {
		level = zap.WarnLevel
		m.OnPartition()
	}
	m.Observer.LinksChanged(c.From, c.To, c.Reason)
	m.Log.Log(level, "links to servers", zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.String("reason", string(c.Reason)), zap.String("suspicion", string(c.Suspicion)),
		zap.Int("probed", c.Probed), zap.Int("failed", c.Failed), zap.Int("listed", c.Listed),
		zap.Duration("since_opened", c.SinceOpened), zap.Duration("since_heard", c.SinceHeard), zap.Duration("lasted", c.Lasted))
}

// probe opens a connection to a server and closes it.
func (m *Monitor) probe(running context.Context, p links.Probe) (opened bool) {
	ctx, stop := context.WithTimeout(running, links.ProbeTimeout)
	defer stop()
	result := links.ResultOpened
	conn, err := m.Dial(ctx, "tcp", p.Address)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		result = links.ResultTimeout
	case running.Err() != nil:
		return false
	default:
		result = links.ResultRefused
		m.Log.Debug("probe failed", zap.String("address", p.Address), zap.Error(err))
	}
	m.Observer.LinksProbed(result)
	m.update(func(now fleet.Instant) { m.detector.Probed(p, result, now) })
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return result == links.ResultOpened
}

// controlProbes is the number of servers of which one must be reached to prove that the
// links are sound.
const controlProbes = 3

// Prove reports whether the links are sound: a connection to a server was opened since
// the given time, or can be opened now to one besides the given address.
func (m *Monitor) Prove(since time.Time, besides string) bool {
	m.mu.Lock()
	opened, controls := m.detector.OpenedAt(), m.detector.Controls(besides, controlProbes)
	m.mu.Unlock()
	if opened >= since.Sub(m.start) {
		return true
	}
	for _, address := range controls {
		if m.probe(context.Background(), links.Probe{Address: address}) {
			return true
		}
	}
	return len(controls) == 0
}

// SetServers replaces the list of servers.
func (m *Monitor) SetServers(list []placement.Server) {
	servers := make([]links.Server, 0, len(list))
	for _, s := range list {
		servers = append(servers, links.Server{Address: s.Address, Group: s.Group, DataCentre: s.DataCentre})
	}
	m.update(func(fleet.Instant) { m.detector.SetServers(servers) })
}

// State returns the present state.
func (m *Monitor) State() links.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.State()
}

// Direct implements gateway.Links.
func (m *Monitor) Direct() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := m.detector.Share()
	return share >= 1 || rand.Float64() < share
}

// Partitioned implements gateway.Links.
func (m *Monitor) Partitioned() bool { return m.State() == links.Partitioned }

// Trusted implements gateway.Links.
func (m *Monitor) Trusted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Trusted(time.Since(m.start))
}

// Opened implements connpool.Observer.
func (m *Monitor) Opened(address string) {
	m.update(func(now fleet.Instant) { m.detector.Opened(address, now) })
}

// Failed implements connpool.Observer.
func (m *Monitor) Failed(address string) {
	m.update(func(now fleet.Instant) { m.detector.Failed(address, now) })
}

// Waiting implements connpool.Observer.
func (m *Monitor) Waiting(string) {
	m.update(func(now fleet.Instant) { m.detector.Waiting(now) })
}

// Received implements connpool.Observer.
func (m *Monitor) Received(address string, n int) {
	m.update(func(now fleet.Instant) {
		m.detector.Waited()
		if n > 0 {
			m.detector.Heard(address, now)
		}
	})
}

// Package loadshare tells the instances of a deployment what each of them has
// under way at the servers, several times a second over net/rpc. In a large
// deployment the hub of a data centre passes on what it hears, and what it
// follows in the store. Placement
// needs it because a server's own report of its load is late and a caller's
// share of the traffic is uneven. Nothing depends on it for correctness: an
// instance that hears nothing decides by its own requests.
package loadshare

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/topology"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// interval is the time between two exchanges of a pair of instances, about
	// the time that an engine takes for one prompt.
	interval = 100 * time.Millisecond
	// callTimeout ends an exchange and its connection.
	callTimeout = 600 * time.Millisecond
	// redialPause keeps a lost instance from being called without pause.
	redialPause = 500 * time.Millisecond
	// maxNotes bounds the parts that wait to be told to an instance.
	maxNotes = 256
	// name is the name of the service in net/rpc.
	name = "Load"
)

// Note is a prompt part that an engine has read.
type Note struct {
	Server fleet.UpstreamID
	Part   string
	Tokens int
	// Hops is how often the note was passed on: once from an instance to its
	// hub, once between hubs and once from a hub to its instances.
	Hops int
}

// maxHops ends the way of a note.
const maxHops = 3

// Report is what an instance tells another.
type Report struct {
	From fleet.InstanceID
	Work map[fleet.UpstreamID]placement.Work
	// Held are engines that an order is about to take out of service, and for
	// how long.
	Held map[fleet.UpstreamID]time.Duration
	// Notes are the parts read since the report before.
	Notes []Note
}

// View is the instance's own state.
type View interface {
	// Work returns what the instance has under way, and what those of others
	// have that include names.
	Work(include func(fleet.InstanceID) bool) map[fleet.UpstreamID]placement.Work
	// Held returns the engines that this instance has ordered out of service,
	// and for how long from now.
	Held() map[fleet.UpstreamID]time.Duration
	// ApplyReport takes another instance's report.
	ApplyReport(Report)
}

// Exchange runs the exchange of one instance.
type Exchange struct {
	self fleet.InstanceID
	view View
	log  *zap.Logger

	mu sync.Mutex
	// notes are numbered from first on.
	notes   []Note
	first   int64
	cursors map[fleet.InstanceID]int64
	peers   map[fleet.InstanceID]context.CancelFunc
	address map[fleet.InstanceID]string
	place   topology.Topology
	changes Changes
}

// Changes is the followed state of the store, which a hub passes on.
type Changes interface {
	// After returns the changes after a revision, as directory.After does.
	After(ctx context.Context, revision int64, wait time.Duration) ([]store.Change, int64, error)
}

// New returns an exchange without peers.
func New(self fleet.InstanceID, view View, changes Changes, log *zap.Logger) *Exchange {
	return &Exchange{
		self: self, view: view, changes: changes, log: log, cursors: map[fleet.InstanceID]int64{},
		peers: map[fleet.InstanceID]context.CancelFunc{}, address: map[fleet.InstanceID]string{},
	}
}

// AddNote queues a note for all instances.
func (e *Exchange) AddNote(n Note) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes = append(e.notes, n)
	if over := len(e.notes) - maxNotes; over > 0 {
		e.notes = e.notes[over:]
		e.first += int64(over)
	}
}

// report returns the report for one instance. A hub adds to its own work that of
// its data centre for other hubs, and everything for its own instances.
func (e *Exchange) report(to fleet.InstanceID) Report {
	e.mu.Lock()
	place := e.place
	from := max(e.cursors[to], e.first)
	var notes []Note
	for _, n := range e.notes[from-e.first:] {
		if place.Hubs[to] && n.Hops > 1 {
			continue // heard from a hub, which tells the others itself
		}
		notes = append(notes, n)
	}
	e.cursors[to] = e.first + int64(len(e.notes))
	e.mu.Unlock()
	include := func(id fleet.InstanceID) bool {
		return place.IsHub && id != to && !(place.Hubs[to] && place.Hubs[id])
	}
	return Report{From: e.self, Work: e.view.Work(include), Held: e.view.Held(), Notes: notes}
}

// hear takes a report and passes its notes on where this instance is a hub.
func (e *Exchange) hear(r Report) {
	e.view.ApplyReport(r)
	e.mu.Lock()
	hub := e.place.IsHub
	e.mu.Unlock()
	if !hub {
		return
	}
	for _, n := range r.Notes {
		if n.Hops++; n.Hops < maxHops {
			e.AddNote(n)
		}
	}
}

// service is what net/rpc serves.
type service struct{ e *Exchange }

// Exchange takes a report and answers with this instance's.
func (s service) Exchange(in Report, out *Report) error {
	s.e.hear(in)
	*out = s.e.report(in.From)
	return nil
}

// Ask asks a hub for the changes of the store after a revision.
type Ask struct {
	Revision int64
	Wait     time.Duration
}

// Told answers Ask.
type Told struct {
	Changes  []store.Change
	Revision int64
	// Compacted tells that the hub does not have the changes any more.
	Compacted bool
	// Fault is why the hub does not know; "" when it does.
	Fault string
}

// Changes answers an instance that follows the store through its hub.
func (s service) Changes(in Ask, out *Told) error {
	changes, revision, err := s.e.changes.After(context.Background(), in.Revision, min(in.Wait, maxWait))
	out.Changes, out.Revision = changes, revision
	switch {
	case errors.Is(err, store.ErrCompacted):
		out.Compacted = true
	case err != nil:
		out.Fault = err.Error()
	}
	return nil
}

// maxWait bounds how long a hub lets an instance wait for a change.
const maxWait = 2 * time.Second

// Serve answers other instances until the listener is closed.
func (e *Exchange) Serve(l net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, service{e}); err != nil {
		e.log.Error("the exchange with other instances cannot be served", logline.Error(err))
		return
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(&deadlineConn{Conn: conn})
	}
}

// idleTimeout ends a connection on which nothing arrives.
const idleTimeout = 5 * time.Second

// deadlineConn ends a connection that has gone silent.
type deadlineConn struct{ net.Conn }

// Read implements net.Conn.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// SetPeers starts the exchange with the instances that this one calls, and ends
// it with those that it calls no more.
func (e *Exchange) SetPeers(ctx context.Context, list []directory.Instance) {
	all := make([]topology.Instance, 0, len(list))
	for _, i := range list {
		all = append(all, topology.Instance{ID: i.ID, DataCentre: i.DataCentre, Cores: i.Cores})
	}
	place := topology.Of(e.self, all)
	e.mu.Lock()
	defer e.mu.Unlock()
	if place.Hub != e.place.Hub || place.IsHub != e.place.IsHub {
		e.log.Info("place among instances", zap.String("hub", string(place.Hub)), zap.Bool("is_hub", place.IsHub), zap.Int("instances", len(list)))
	}
	e.place = place
	seen := map[fleet.InstanceID]bool{}
	for _, i := range list {
		if !slices.Contains(place.DialPeers, i.ID) {
			continue
		}
		seen[i.ID] = true
		if e.address[i.ID] == i.Address {
			continue
		}
		if stop := e.peers[i.ID]; stop != nil {
			stop()
		}
		peer, stop := context.WithCancel(ctx)
		e.peers[i.ID], e.address[i.ID] = stop, i.Address
		go e.follow(peer, i)
	}
	for id, stop := range e.peers {
		if !seen[id] {
			stop()
			delete(e.peers, id)
			delete(e.address, id)
			delete(e.cursors, id)
		}
	}
}

// follow exchanges reports with one instance until the context ends.
func (e *Exchange) follow(ctx context.Context, i directory.Instance) {
	lost := false
	for ctx.Err() == nil {
		err := e.session(ctx, i)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			e.log.Info("exchange with an instance lost", zap.String("instance", string(i.ID)), logline.Error(err))
			lost = true
		}
		if pause(ctx, redialPause) != nil {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// session exchanges reports over one connection until it fails.
func (e *Exchange) session(ctx context.Context, i directory.Instance) error {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return errors.Wrapf(err, "dial %s", i.ID)
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	for {
		if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
			return errors.Wrapf(err, "exchange with %s", i.ID)
		}
		var answer Report
		if err := client.Call(name+".Exchange", e.report(i.ID), &answer); err != nil {
			return errors.Wrapf(err, "exchange with %s", i.ID)
		}
		e.hear(answer)
		if err := pause(ctx, interval); err != nil {
			return err
		}
	}
}

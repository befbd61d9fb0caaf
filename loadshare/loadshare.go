// Package loadshare exchanges the instances' work in flight at the servers
// several times per second over net/rpc. In a large deployment the hub of a
// data centre forwards the reports that it receives, and the changes of the
// store that it follows. Placement needs the exchange because a server's own
// load report is delayed and callers spread their requests unevenly over the
// instances. Correctness doesn't depend on it: an instance without reports
// decides by its own requests.
package loadshare

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/core/ratelimit"
	"github.com/bramleywick/bramleywick/core/topology"
	"github.com/bramleywick/bramleywick/core/usage"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// interval is the wait between two exchanges of a pair of instances, about
	// the time of one prefill.
	interval = 100 * time.Millisecond
	// callTimeout bounds the time without progress of an exchange; after it the
	// connection is closed.
	callTimeout = 600 * time.Millisecond
	// redialPause is the time between two attempts to connect to an instance.
	redialPause = 500 * time.Millisecond
	// departureReportTime is how long a departure is reported: in that time it
	// has passed the hubs, even if a report is lost. An instance that asks for
	// what others agree on gets those of the last departureMemory.
	departureReportTime = 3 * time.Second
	departureMemory     = 10 * time.Minute
	// maxDepartures bounds the departures that are read of a report.
	maxDepartures = 64
	// maxNotes bounds the notes queued for the other instances.
	maxNotes = 256
	// serviceName is the name of the net/rpc service.
	serviceName = "Load"
)

// Note says that a prompt part was sent to an engine, which will have it
// cached.
type Note struct {
	Server fleet.UpstreamID
	Part   string
	Tokens int
	// Hops is the number of transmissions of the note so far: one from an
	// instance to its hub, one between hubs and one from a hub to its
	// instances.
	Hops int
}

// maxHops is the number of hops after which a note is not forwarded.
const maxHops = 3

// Report is the message that one instance sends to another.
type Report struct {
	From fleet.InstanceID
	// Hub reports whether the sender takes itself for a hub, so that Work and Demand
	// include those of others.
	Hub bool
	// Work, Age and Demand are the sender's placement.Snapshot, which on a hub
	// includes the instances that it reports for.
	Work   map[fleet.UpstreamID]placement.Work
	Age    time.Duration
	Demand map[fleet.GroupName]placement.Demand
	// Held maps engines that an order is about to take out of service to the
	// remaining time of the hold.
	Held map[fleet.UpstreamID]time.Duration
	// Notes are the notes added since the previous report.
	Notes []Note
	// Quarantine is the evidence about prompt parts that crash engines.
	Quarantine quarantine.Report
	// Limits are the limits that servers name.
	Limits ratelimit.Report
	// Shares are the rates of members' requests; nil in most reports, since they are
	// sent once in sharesInterval.
	Shares fairshare.Report
	// Departures are the processes of servers that leave, as far as they were
	// learned lately and not from the store.
	Departures []listing.Departure
	// Configuration is what the sender states of its configuration; nil for
	// nothing.
	Configuration *freshness.Report
	// Usage are the counts of the members' requests, and the clocks, or nil.
	Usage *usage.Report
	// AgreementOnly reports whether only Quarantine, Limits, Departures and Usage
	// are set.
	AgreementOnly bool
}

// Snapshot returns the reported work and demand.
func (r Report) Snapshot() placement.Snapshot {
	return placement.Snapshot{Work: r.Work, Age: r.Age, Demand: r.Demand}
}

// View gives access to the instance's own state.
type View interface {
	// Snapshot returns the work and the demand of the instance plus those of
	// the other instances for which include returns true.
	Snapshot(include func(fleet.InstanceID) bool) placement.Snapshot
	// Held returns the held engines and the remaining time of each hold.
	Held() map[fleet.UpstreamID]time.Duration
	// Quarantine returns the evidence that an instance has not confirmed.
	Quarantine(to fleet.InstanceID) quarantine.Report
	// Limits returns the limits that an instance has not confirmed, and the
	// callers' rates of this instance plus those of the instances for which
	// include returns true.
	Limits(to fleet.InstanceID, include func(fleet.InstanceID) bool) ratelimit.Report
	// Shares returns the rates of members' requests at this instance plus those of
	// the instances for which include returns true.
	Shares(include func(fleet.InstanceID) bool) fairshare.Report
	// ApplyReport applies another instance's report.
	ApplyReport(Report)
	// KeepLoads forgets the loads that were reported by instances for which keep
	// returns false.
	KeepLoads(keep func(fleet.InstanceID) bool)
}

// Exchange runs the exchange of one instance with the others.
type Exchange struct {
	self fleet.InstanceID
	view View
	log  *zap.Logger

	mu sync.Mutex
	// notes are the queued notes; the first has the number firstNote, and
	// nextNote holds the next number for each instance.
	notes     []Note
	firstNote int64
	nextNote  map[fleet.InstanceID]int64
	// sharesSent is when each instance was last sent Report.Shares.
	sharesSent map[fleet.InstanceID]fleet.Instant
	// cancelPeer ends the exchange with each instance that this one dials, and
	// peerAddress is the address that it dials.
	cancelPeer  map[fleet.InstanceID]context.CancelFunc
	peerAddress map[fleet.InstanceID]string
	topology    topology.Topology
	// caughtUp reports whether the instance has asked others for what they agree
	// on, or knows of none.
	caughtUp bool
	// otherHubs are the hubs of the other data centres.
	otherHubs []directory.Instance
	// leftOut is the set of instances whose reported load was last found not to
	// count, so that each is logged once.
	leftOut map[fleet.InstanceID]bool
	// sources are the instances that are asked for the configuration when the
	// store and the hub are lost, from the one with number nextSource on.
	sources    []directory.Instance
	nextSource int
	changes    ChangeSource
	usage      UsageCounts    // nil if members' requests are not reported
	streams    *streamHolders // nil if the versions of streams are not told
}

// ChangeSource provides the changes of the store that a hub forwards.
type ChangeSource interface {
	// After returns the changes after a revision, like
	// directory.Directory.After.
	After(ctx context.Context, revision int64, wait time.Duration) (store.Batch, error)
	// Departures returns processes of servers that leave, as far as it was
	// learned within a time and not from the store. LearnDepartures records those
	// that another instance reports.
	Departures(within time.Duration) []listing.Departure
	LearnDepartures([]listing.Departure)
	// ConfigurationReport returns the statement of the configuration for others,
	// NewerConfiguration the same with the configuration, and HubReport applies
	// the hub's statement.
	ConfigurationReport() (freshness.Report, bool)
	NewerConfiguration(known int64) (directory.PeerConfiguration, error)
	HubReport(r freshness.Report, asked fleet.Instant)
}

// New returns an Exchange without peers.
func New(self fleet.InstanceID, view View, changes ChangeSource, log *zap.Logger) *Exchange {
	return &Exchange{
		self: self, view: view, changes: changes, log: log, nextNote: map[fleet.InstanceID]int64{}, leftOut: map[fleet.InstanceID]bool{}, sharesSent: map[fleet.InstanceID]fleet.Instant{},
		cancelPeer: map[fleet.InstanceID]context.CancelFunc{}, peerAddress: map[fleet.InstanceID]string{},
	}
}

// AddNote queues a note for all instances; the oldest is dropped beyond
// maxNotes.
func (e *Exchange) AddNote(n Note) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes = append(e.notes, n)
	if over := len(e.notes) - maxNotes; over > 0 {
		e.notes = e.notes[over:]
		e.firstNote += int64(over)
	}
}

// report returns the report for one instance.
func (e *Exchange) report(to fleet.InstanceID) Report {
	e.mu.Lock()
	topo := e.topology
	from := max(e.nextNote[to], e.firstNote)
	var notes []Note
	for _, n := range e.notes[from-e.firstNote:] {
		if topo.Hubs[to] && n.Hops > 1 {
			continue // received from a hub, which sends it to the other hubs itself
		}
		notes = append(notes, n)
	}
	e.nextNote[to] = e.firstNote + int64(len(e.notes))
	e.mu.Unlock()
	include := includes(topo, to)
	own := e.view.Snapshot(include)
	return Report{
		From: e.self, Hub: topo.IsHub, Work: own.Work, Age: own.Age, Demand: own.Demand, Held: e.view.Held(), Notes: notes,
		Quarantine: e.view.Quarantine(to), Limits: e.view.Limits(to, include), Departures: e.changes.Departures(departureReportTime),
		Configuration: e.configurationReport(), Usage: e.usageReport(to, topo),
		Shares: e.sharesReport(to, include),
	}
}

// receive applies a report and, on a hub, forwards its notes.
func (e *Exchange) receive(r Report) {
	e.apply(r)
	e.mu.Lock()
	hub := e.topology.IsHub
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

// apply applies a report to the instance's state. A report that no instance sends
// is ignored and logged.
func (e *Exchange) apply(r Report) {
	if err := r.check(); err != nil {
		e.log.Warn("report of an instance ignored", zap.String("instance", fmt.Sprintf("%.64s", r.From)), logline.Error(err))
		return
	}
	if len(r.Departures) > 0 {
		e.changes.LearnDepartures(r.Departures[:min(len(r.Departures), maxDepartures)])
	}
	e.applyUsage(r)
	e.leaveOutLoad(&r)
	e.view.ApplyReport(r)
}

// service holds the methods served by net/rpc.
type service struct{ e *Exchange }

// Exchange receives a report and answers with this instance's report.
func (s service) Exchange(in Report, out *Report) error {
	s.e.receive(in)
	*out = s.e.report(in.From)
	return nil
}

// ChangesRequest requests the changes of the store after a revision.
type ChangesRequest struct {
	Revision int64
	Wait     time.Duration
}

// ChangesReply answers ChangesRequest.
type ChangesReply struct {
	Changes  []store.Change
	Revision int64
	// Age is how long ago the changes were last known to be complete.
	Age time.Duration
	// Compacted reports whether the hub no longer has the changes.
	Compacted bool
	// Fault is the error for which the hub cannot answer; "" for none.
	Fault string
}

// Changes serves an instance that follows the store through its hub.
func (s service) Changes(in ChangesRequest, out *ChangesReply) error {
	batch, err := s.e.changes.After(context.Background(), in.Revision, min(in.Wait, maxWait))
	out.Changes, out.Revision, out.Age = batch.Changes, batch.Revision, batch.Age
	switch {
	case errors.Is(err, store.ErrCompacted):
		out.Compacted = true
	case err != nil:
		out.Fault = err.Error()
	}
	return nil
}

// maxWait bounds how long a hub holds a request for changes.
const maxWait = 2 * time.Second

// Serve serves other instances until the listener is closed.
func (e *Exchange) Serve(l net.Listener) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, service{e}); err != nil {
		e.log.Error("the exchange with other instances cannot be served", logline.Error(err))
		return
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(&progressConn{Conn: conn, idle: idleTimeout, stall: callTimeout})
	}
}

// idleTimeout is the time without received bytes after which a connection is
// closed.
const idleTimeout = 5 * time.Second

// runPeer exchanges reports with one instance, reconnecting after failures,
// until the context ends.
func (e *Exchange) runPeer(ctx context.Context, i directory.Instance) {
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
		if backup, ok := e.backupHub(i.ID); ok {
			e.agreeWith(ctx, backup)
		}
		if sleep(ctx, redialPause) != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// session dials an instance and exchanges reports until the connection fails or
// the context ends.
func (e *Exchange) session(ctx context.Context, i directory.Instance) error {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return errors.Wrapf(err, "dial %s", i.ID)
	}
	client := rpc.NewClient(&progressConn{Conn: conn, stall: callTimeout})
	defer func() { _ = client.Close() }()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
			return errors.Wrapf(err, "exchange with %s", i.ID)
		}
		var answer Report
		asked := boottime.Now()
		if err := client.Call(serviceName+".Exchange", e.report(i.ID), &answer); err != nil {
			return errors.Wrapf(err, "exchange with %s", i.ID)
		}
		e.receive(answer)
		e.hearConfiguration(i.ID, answer.Configuration, asked)
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
}

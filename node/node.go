// Package node runs an instance on the users' platform: it sets up the gateway,
// the directory, the exchange with other instances and the orders to engines,
// serves the readiness endpoint, and shuts down gracefully.
package node

import (
	"context"
	"runtime"
	"runtime/debug"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/budget"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/listing"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/gateway"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/links"
	"github.com/bramleywick/bramleywick/loadshare"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/stages"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/takeup"
	"github.com/bramleywick/bramleywick/usage"
	"github.com/bramleywick/bramleywick/verdicts"
)

// Store is the client of the platform's store that an instance needs.
type Store interface {
	store.PrefixReader
	directory.Registry
	leaseholder.Store
}

// Platform is the adapter to the users' platform.
type Platform struct {
	Wire interface {
		gateway.Wire
		stages.Wire
	}
	Documents interface {
		directory.Decoder
		stages.Documents
	}
	// NewStore returns a client of the store; observe is called with the result
	// of each call.
	NewStore func(address string, observe func(call string, result store.Result)) Store
	// NewCloud returns a client of the platform's API for duties, which makes a part
	// of the calls per second of all instances together.
	NewCloud func(address string, callsPerSecond float64) Cloud
	// ReadyPath is the path of the readiness endpoint.
	ReadyPath string
	// LoadSettings reads the current settings.
	LoadSettings func() (*settings.Gateway, error)
}

const (
	// memoryShare is the share of the process's memory that is set as the Go
	// runtime's soft limit; sockets and stacks need the rest.
	memoryShare = 0.6
	// partShare is the share for the prompt parts that engines are assumed to have
	// cached.
	partShare = 0.15
	// suspectShare is directory.Options.SuspectTime as a share of the drain
	// bound, the time within which a leaving server must stop getting requests.
	suspectShare = 0.75
	// readinessDelay is how long the platform takes to notice that an instance
	// is not ready: two consecutive probes at one per second, and one in
	// flight.
	readinessDelay = 3200 * time.Millisecond
	// killMargin is how long before the platform's kill the process exits by
	// itself.
	killMargin = 400 * time.Millisecond
	// headerTimeout bounds the time in which a caller sends a request's
	// headers, and idleTimeout the time that a caller's connection may be idle.
	// Both are above the operators' limits, which callers must observe.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// relayHeaderBytes is the room for what instances add to relayed requests.
	relayHeaderBytes = 4 << 10
)

// Node is one instance.
type Node struct {
	settings  *settings.Gateway
	platform  Platform
	log       *zap.Logger
	state     *gateway.State
	directory *directory.Directory
	gateway   *gateway.Gateway
	relay     *gateway.Relay
	exchange  *loadshare.Exchange
	store     Store
	metrics   *metrics.Gateway
	draining  atomic.Bool
	// budget is the memory that callers may hold, and callers their listener, nil
	// before it is open.
	budget  *door.Budget
	callers atomic.Pointer[door.Listener]

	mu sync.Mutex
	// ctx bounds the exchanges with other instances.
	ctx       context.Context
	instances []directory.Instance
	// process distinguishes successive processes of the instance.
	process string
	// ordersTurn is the instance's turn to compete for the lease for orders.
	ordersTurn turn
	// usage counts the members' requests and usageHolder holds the lease for their
	// reports; nil if they are not reported.
	usage       *usage.Reporter
	usageHolder *duty.Holder
	// verdicts keeps those of the quarantine in the store, and versions which software
	// versions may have begun streams.
	verdicts *verdicts.Keeper
	versions *takeup.Keeper
	// links watches the connections to the servers.
	links *links.Monitor
}

// New returns an instance that has not been started.
func New(s *settings.Gateway, p Platform, log *zap.Logger, counts *logline.Counts) *Node {
	start := time.Now()
	n := &Node{settings: s, platform: p, log: log, budget: clientBudget(s), process: strconv.FormatInt(start.UnixNano(), 36)}
	n.ordersTurn = turn{key: stages.HolderKey}
	pool := connpool.New()
	gauges := map[string]func() float64{
		"bramleywick_connections_opened": func() float64 { return float64(pool.Opened()) },
		"bramleywick_log_lines_sampled":  func() float64 { return float64(counts.Sampled()) },
		"bramleywick_log_lines_dropped":  func() float64 { return float64(counts.Dropped()) },
		"bramleywick_links_state":        func() float64 { return float64(n.links.State()) },
		"bramleywick_quarantined_parts": func() float64 {
			quarantined, _, _ := n.state.QuarantineCounts()
			return float64(quarantined)
		},
		"bramleywick_quarantine_crashes_known": func() float64 {
			_, crashes, _ := n.state.QuarantineCounts()
			return float64(crashes)
		},
		"bramleywick_quarantine_verdicts": func() float64 {
			_, _, verdicts := n.state.QuarantineCounts()
			return float64(verdicts)
		},
		"bramleywick_streams_remembered": func() float64 {
			streams, _ := n.state.StreamCounts()
			return float64(streams)
		},
		"bramleywick_services_of_several_versions": func() float64 {
			_, several := n.state.StreamCounts()
			return float64(several)
		},
		"bramleywick_server_limits": func() float64 {
			limits, _ := n.state.LimitCounts()
			return float64(limits)
		},
		"bramleywick_server_limits_per_second": func() float64 {
			_, perSecond := n.state.LimitCounts()
			return perSecond
		},
		"bramleywick_shares_enforced": func() float64 {
			if n.state.SharesEnforced() {
				return 1
			}
			return 0
		},
		"bramleywick_store_era": func() float64 { return float64(n.directory.Era()) },
		"bramleywick_history_changes": func() float64 {
			changes, _ := n.directory.HistorySize()
			return float64(changes)
		},
		"bramleywick_history_bytes": func() float64 {
			_, bytes := n.directory.HistorySize()
			return float64(bytes)
		},
		"bramleywick_configuration_confirmed_age_seconds": func() float64 {
			return (boottime.Now() - n.directory.ConfirmedAt()).Seconds()
		},
		"bramleywick_members": func() float64 {
			if t := n.directory.Table(); t != nil && t.Members() != nil {
				return float64(t.Members().Len())
			}
			return 0
		},
		"bramleywick_relay_requests_open": func() float64 { return float64(n.relay.InFlight()) },
		"bramleywick_relay_instances_excluded": func() float64 {
			_, excluded := n.relay.PeerCounts()
			return float64(excluded)
		},
		"bramleywick_requests_open":       func() float64 { return float64(n.gateway.InFlight()) },
		"bramleywick_client_memory_bytes": func() float64 { return float64(n.budget.Used()) },
		"bramleywick_client_connections": func() float64 {
			if l := n.callers.Load(); l != nil {
				return float64(l.Open())
			}
			return 0
		},
		"bramleywick_configuration_in_force": func() float64 {
			if t := n.directory.Table(); t != nil {
				return float64(t.Version)
			}
			return 0
		},
	}
	n.addUsageGauges(gauges)
	n.metrics = metrics.NewGateway(gauges)
	n.store = p.NewStore(s.Store, n.metrics.StoreCall)
	n.state = gateway.NewState(
		placement.Config{Instance: s.Instance, DataCentre: s.DataCentre, PartMemory: int64(partShare * float64(s.MemoryBytes))},
		budget.Config{Window: s.BudgetWindow, Ratio: s.BudgetRatio, Slack: s.BudgetSlack},
	)
	n.links = links.New(links.Options{Observer: n.metrics, Log: log, OnPartition: func() {
		n.state.LinksPartitioned()
		n.gateway.LinksPartitioned()
	}})
	pool.Observe(n.links)
	n.keepInStore()
	n.directory = directory.New(directory.Options{
		Store: n.store, Decoder: p.Documents, Observer: n, Log: log,
		SuspectTime: time.Duration(suspectShare * float64(s.DrainBound)),
		OnDeparture: func(_ fleet.Process, source listing.Source) { n.metrics.ServerLeaves(source.String()) },
		Freshness: freshness.Config{
			Strict: s.StrictRevocation, Bound: s.RevocationBound, Margin: freshness.DefaultMargin, Deadline: s.ConfigDeadline,
		},
		OnEntry: n.entryChanged, OnConfirmation: n.metrics.Confirmation, OnRestore: n.metrics.StoreRestored,
	})
	n.exchange = loadshare.New(s.Instance, n.state, n.directory, log)
	n.exchange.HoldStreams(n.state, n.versions.Confirm)
	n.state.HoldStreamsAt(n.exchange)
	n.directory.HubChanges, n.directory.AskPeer = n.exchange.HubClient().After, n.exchange.AskConfiguration
	n.state.OnNote(n.exchange.AddNote)
	n.setUpUsage(uint64(start.UnixNano()))
	n.relay = n.newRelay()
	n.gateway = gateway.New(gateway.Options{
		Wire: p.Wire, Table: n.directory.Table, Freshness: n.directory.Freshness, Pool: pool, State: n.state, Links: n.links, ProveLinks: n.links.Prove, Observer: n.metrics, ServerLeaves: n.directory.ServerLeaves,
		ConfirmVersions: n.versions.Confirm, AskStreamVersion: n.exchange.AskStreamVersion, Budget: n.budget, Usage: n.usageCounter(), Relay: n.relay, Log: log,
	})
	return n
}

// Ready reports whether the instance may get callers' requests.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.directory.Table() != nil && n.directory.Synced()
}

// Run serves until the context ends, and then drains: requests in flight are
// finished within the grace time. It returns an error when a listener cannot be
// opened.
func (n *Node) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(1)
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.ctx = background
	var running sync.WaitGroup
	start := func(f func(context.Context)) {
		running.Add(1)
		go func() {
			defer running.Done()
			f(background)
		}()
	}
	start(n.directory.Run)
	start(n.links.Run)
	start(func(ctx context.Context) {
		directory.Register(ctx, n.store, n.self(), n.log)
	})
	start(n.orders().Run)
	start(n.versions.Run)
	if n.usage != nil {
		start(n.usage.Run)
		start(n.usageHolder.Run)
	}
	n.startScaling(start)
	go n.exchange.Serve(listeners.peers)
	callers, relayed := n.callerServer(n.gateway, maxHeaderBytes), n.callerServer(n.gateway.RelayHandler(), maxHeaderBytes+relayHeaderBytes)
	n.callers.Store(listeners.callers)
	go n.serve(callers, listeners.callers)
	if listeners.relay != nil {
		go n.serve(relayed, listeners.relay)
	}
	go n.serve(n.smallServer(n.readiness()), listeners.ready)
	go n.serve(n.smallServer(n.metricsHandler()), listeners.metrics)
	n.log.Info("started", zap.String("instance", string(n.settings.Instance)), zap.String("data_centre", string(n.settings.DataCentre)),
		zap.String("callers", n.settings.CallerListen), zap.String("store", n.settings.Store))
	<-ctx.Done()
	n.drain(callers, relayed)
	stop()
	running.Wait()
	n.log.Info("stopped")
	return nil
}

// self returns the entry under which this instance is listed.
func (n *Node) self() directory.Instance {
	return directory.Instance{ID: n.settings.Instance, DataCentre: n.settings.DataCentre, Address: n.settings.PeerListen, Cores: n.settings.Cores, Relay: n.settings.RelayListen}
}

// Reload reads the settings again and logs the result. Addresses and names
// cannot change within a process; an invalid file changes nothing.
func (n *Node) Reload() {
	s, err := n.platform.LoadSettings()
	if err != nil {
		n.log.Error("settings not reloaded", logline.Error(err))
		return
	}
	n.log.Info("settings reloaded", zap.Duration("grace", s.Grace), zap.Duration("drain_bound", s.DrainBound))
}

// orders returns the Reconciler of the instance, with a connection pool of its
// own.
func (n *Node) orders() *stages.Reconciler {
	return stages.New(stages.Options{
		Instance: n.settings.Instance, Process: n.process, Store: n.store,
		Wire: n.platform.Wire, Documents: n.platform.Documents, Pool: connpool.New(), Engines: n.state, ServerLeaves: n.directory.ServerLeaves,
		Table: n.directory.Table, MayCompete: n.mayCompeteForOrders, LeaseTTL: n.leaseTTL(),
		Log: n.log,
	})
}

var _ directory.Observer = (*Node)(nil)

// InstancesChanged implements directory.Observer.
func (n *Node) InstancesChanged(list []directory.Instance) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	n.mu.Lock()
	n.instances = list
	n.mu.Unlock()
	n.state.InstancesChanged(list)
	n.exchange.SetPeers(n.ctx, list)
	n.relay.InstancesChanged(list)
	names := make([]fleet.InstanceID, 0, len(list))
	for _, i := range list {
		names = append(names, i.ID)
	}
	n.log.Info("instances", zap.Any("listed", names))
}

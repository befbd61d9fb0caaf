// Package routes holds the operators' configuration of routes and services and
// finds the route of a request. A Table is immutable; each configuration
// version has its own.
package routes

import (
	"sort"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/members"
	"github.com/bramleywick/bramleywick/core/membership"
)

// Kind says whether requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe requests are not idempotent and run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent and may run more than once.
	KindSafe
	// KindStream requests are answered by a stream of events; they run at most
	// once unless the route is resumable.
	KindStream
)

// Share is a service's weighted share of a route's requests.
type Share struct {
	Service fleet.GroupName
	// Weight is relative to the sum of the weights of the route's shares.
	Weight int
}

// Route is a declared route.
type Route struct {
	Name string
	// Host is the host name without a port; its case is ignored.
	Host string
	// Prefix is the beginning of the paths that the route matches.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request is answered; 0 for none.
	Timeout time.Duration
	// LatencyTarget is the target for the time until the answer, or until the
	// first event of a stream; 0 for none.
	LatencyTarget time.Duration
	// TokenGapTarget is the target for the time between two events of a stream.
	TokenGapTarget time.Duration
	// Priority is the rank of the route's requests, 0 being the most urgent.
	Priority int
	// MaxAttempts bounds the number of servers to which one request is sent.
	MaxAttempts int
	// Resumable reports whether a broken stream may be resumed at another
	// server.
	Resumable bool
	// Public reports whether requests of the route need no key.
	Public bool
	Shares []Share
}

// Repeatable reports whether a request of the route may be sent again although
// it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Service returns the service for a request, or "" without weights. The choice
// depends only on the route and the request id, so that retries stay within the
// service.
func (r *Route) Service(id fleet.RequestID) fleet.GroupName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(membership.Hash(r.Name, string(id)) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}

// Engine is the declared configuration of the engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// KVBytesPerToken and LinkBytesPerSecond determine the time of a KV cache
	// transfer.
	KVBytesPerToken    float64
	LinkBytesPerSecond float64
	// HandleTTL is how long an engine keeps KV cache under a handle.
	HandleTTL time.Duration
	// SwitchTime is how long an engine takes to change its stage.
	SwitchTime time.Duration
	// ReservationTime is the longest time for which an engine keeps a slot free for a
	// request; 0 if engines reserve none.
	ReservationTime time.Duration
}

// Service is a declared service.
type Service struct {
	Name fleet.GroupName
	// MaxConnections is the number of connections that each server accepts from
	// all instances together; 0 when not declared.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil for a service whose number of servers is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of servers of a service and gives their prices.
type Scaling struct {
	// Min and Max bound the regular and spot servers of a data centre together.
	Min, Max int
	// BootTime is the time from the order of a server until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot server as a fraction of a regular one's.
	SpotPrice float64
	// Prices holds the price per second of a regular server by data centre.
	Prices map[fleet.DataCentre]float64
}

// Price returns the price per second of a server; 1 for a regular server in a
// data centre without a declared price.
func (s *Scaling) Price(dc fleet.DataCentre, spot bool) float64 {
	price, ok := s.Prices[dc]
	if !ok {
		price = 1
	}
	if spot {
		price *= s.SpotPrice
	}
	return price
}

// Limits bound the size of callers' requests and the time to send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is a version of the operators' configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// NeedsKeys reports whether requests of routes that are not public need the
	// key of one of Members.
	NeedsKeys bool
	Members   []members.Member
}

// Table indexes the routes and services of one configuration.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route
	services map[fleet.GroupName]*Service
	// streamTimeouts is the mean timeout of the stream routes to a service.
	streamTimeouts map[fleet.GroupName]time.Duration
	// maxStreamTimeout is the longest timeout of the streams that can be resumed.
	maxStreamTimeout time.Duration
	numRoutes        int
	members          *members.Index
}

// HasRoute returns a function that reports whether a route with a given name
// exists.
func (t *Table) HasRoute() func(name string) bool {
	names := make(map[string]bool, t.numRoutes)
	for _, list := range t.hosts {
		for _, r := range list {
			names[r.Name] = true
		}
	}
	return func(name string) bool { return names[name] }
}

// Members returns the index of the members' keys; nil if no request needs a key.
func (t *Table) Members() *members.Index { return t.members }

// Compile returns the Table of a configuration. With invalid members no key is known.
func Compile(c Configuration) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits,
		hosts: map[string][]*Route{}, services: map[fleet.GroupName]*Service{}, numRoutes: len(c.Routes),
	}
	if c.NeedsKeys {
		index, err := members.NewIndex(c.Members)
		if err != nil {
			index = &members.Index{}
		}
		t.members = index
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	t.streamTimeouts = meanStreamTimeouts(c.Routes)
	for _, r := range c.Routes {
		if r.Kind == KindStream && r.Resumable {
			t.maxStreamTimeout = max(t.maxStreamTimeout, r.Timeout)
		}
	}
	for _, list := range t.hosts {
		// Sorted by descending prefix length, so that the first match is the
		// longest.
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Lookup returns the route of the host with the longest matching path prefix,
// or nil. A port in host is ignored.
func (t *Table) Lookup(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a declared service, or nil when there is none of the name.
func (t *Table) Service(name fleet.GroupName) *Service { return t.services[name] }

// EachService calls f for each declared service, in no particular order.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// meanStreamTimeouts returns the mean timeout of the stream routes to each
// service; routes without a timeout don't count.
func meanStreamTimeouts(list []Route) map[fleet.GroupName]time.Duration {
	sums, counts := map[fleet.GroupName]time.Duration{}, map[fleet.GroupName]time.Duration{}
	for _, r := range list {
		if r.Kind != KindStream || r.Timeout <= 0 {
			continue
		}
		for _, s := range r.Shares {
			sums[s.Service] += r.Timeout
			counts[s.Service]++
		}
	}
	for name, n := range counts {
		sums[name] /= n
	}
	return sums
}

// StreamTimeout returns the mean timeout of the stream routes to a service, or
// 0 when none declares one.
func (t *Table) StreamTimeout(name fleet.GroupName) time.Duration { return t.streamTimeouts[name] }

// MaxStreamTimeout returns the longest timeout of the stream routes whose streams can be
// resumed, or 0 when none declares one.
func (t *Table) MaxStreamTimeout() time.Duration { return t.maxStreamTimeout }

// Len returns the number of routes.
func (t *Table) Len() int { return t.numRoutes }

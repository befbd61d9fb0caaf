// Package routes holds the operators' configuration of the request path and
// finds the route of a request. A Table is immutable; a new version is a new
// Table.
package routes

import (
	"sort"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of a route.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream answers are series of events; they run at most once unless
	// the route is resumable.
	KindStream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service fleet.GroupName
	Weight  int
}

// Route is one declared route.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting; 0 for none.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a
	// stream, is on time.
	LatencyTarget time.Duration
	// TokenGapTarget is the longest pause between two events of a stream that is on
	// time.
	TokenGapTarget time.Duration
	// Priority is the operators' rank, 0 is the highest.
	Priority int
	// MaxAttempts is the number of servers to which one request may be sent.
	MaxAttempts int
	// Resumable tells that a stream may go on at another server.
	Resumable bool
	Shares    []Share
}

// Repeatable tells that a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Service returns the service for a request. The choice depends on the id
// alone, so that an attempt at another server stays within the service.
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

// Engine is what the operators declare about the engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVTokens is the memory for KV cache in tokens.
	KVTokens int
	// KVBytesPerToken and LinkBytesPerSecond give the time of a transfer.
	KVBytesPerToken    float64
	LinkBytesPerSecond float64
	// HandleTTL is how long KV cache under a handle is kept.
	HandleTTL time.Duration
	// SwitchTime is how long a change of stage takes.
	SwitchTime time.Duration
}

// Service is one declared service.
type Service struct {
	Name fleet.GroupName
	// MaxConnections is what each server accepts from all instances together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds routes and services of one configuration.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route
	services map[fleet.GroupName]*Service
	routes   int
}

// Compile indexes a configuration.
func Compile(c Configuration) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits,
		hosts: map[string][]*Route{}, services: map[fleet.GroupName]*Service{}, routes: len(c.Routes),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, list := range t.hosts {
		// The longest prefix comes first, so that the first match wins.
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Lookup returns the route with the longest prefix that begins the path, or
// nil. The host may carry a port.
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

// Service returns a declared service, or nil.
func (t *Table) Service(name fleet.GroupName) *Service { return t.services[name] }

// EachService calls f for each declared service.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

package sched

import "github.com/bramleywick/bramleywick/core/fleet"

// Command is an output of the scheduler: Dispatch, Refuse or CancelAt.
type Command interface{ isCommand() }

// Path says which upstreams handle the stages of a request.
type Path uint8

// Paths of a request.
const (
	// PathLocal runs prefill and decode on the same engine.
	PathLocal Path = iota
	// PathSplit runs prefill on one engine and decode on another.
	PathSplit
	// PathService sends the request to a plain service.
	PathService
)

// Choice holds the upstreams selected for a request and the rule that decided.
type Choice struct {
	Path Path
	// Target is the engine that decodes, or the plain service.
	Target fleet.UpstreamID
	// PrefillTarget is the engine that prefills; empty unless Path is PathSplit.
	PrefillTarget fleet.UpstreamID
	// Priority is passed to the engine; higher is served first.
	Priority int
	// Reason names the rule that decided, for logs and counters.
	Reason string
}

type (
	// Dispatch sends a request to an upstream.
	Dispatch struct {
		ID     fleet.RequestID
		Choice Choice
	}
	// Refuse answers a request with a refusal.
	Refuse struct {
		ID      fleet.RequestID
		Refusal *fleet.Refusal
	}
	// CancelAt stops the work of a request at an upstream.
	CancelAt struct {
		ID       fleet.RequestID
		Upstream fleet.UpstreamID
	}
)

func (Dispatch) isCommand() {}
func (Refuse) isCommand()   {}
func (CancelAt) isCommand() {}

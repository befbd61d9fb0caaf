// Package sched implements the scheduler of one instance as a state machine:
// admission, weighted fair queueing, routing and accounting of requests in
// flight. Events go in through Step, commands come out of Ready.
package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Request holds what the scheduler knows of a caller's request.
type Request struct {
	ID     fleet.RequestID
	Member fleet.MemberID
	Kind   fleet.KindName
	// PromptTokens is the estimated length of the prompt; the scheduler
	// corrects it by the usage that engines report.
	PromptTokens int
	// MaxOutputTokens bounds the length of the answer.
	MaxOutputTokens int
	// Blocks are the chained hashes of the prompt's full blocks.
	Blocks []uint64
}

// Event is an input of the scheduler.
type Event interface{ isEvent() }

type (
	// Configure puts a declaration in force.
	Configure struct {
		Version     int64
		Declaration *declare.Declaration
	}
	// Submit adds a new request.
	Submit struct{ Request Request }
	// Cancel reports that the caller has left.
	Cancel struct{ ID fleet.RequestID }
	// FirstToken reports that the first token of the answer arrived.
	FirstToken struct{ ID fleet.RequestID }
	// Tokens reports that N more tokens of the answer arrived.
	Tokens struct {
		ID fleet.RequestID
		N  int
		// LongestGap is the longest time before one of them; zero when not
		// known.
		LongestGap time.Duration
	}
	// Finished ends a request whose answer is complete.
	Finished struct {
		ID    fleet.RequestID
		Usage fleet.Usage
	}
	// Failed ends an attempt that got no complete answer.
	Failed struct {
		ID       fleet.RequestID
		Upstream fleet.UpstreamID
		// Retry asks for another dispatch. The caller of Step has checked that
		// the request may be repeated.
		Retry bool
	}
	// Report delivers the load of an upstream as of an earlier time.
	Report struct{ Load LoadReport }
	// PeerService is the service that a member received at another instance.
	PeerService struct {
		Member fleet.MemberID
		// Group is the group that served the member; Cost is the cost since the
		// last event, in the group's cost units.
		Group fleet.GroupName
		Cost  float64
	}
	// PeerQueueState is the state of a peer's fair queue of a group, sent with
	// every exchange. An instance whose start tag is ahead of a peer's leaves
	// the engines to that peer; otherwise a member that queues at many
	// instances would get free engines before the others.
	PeerQueueState struct {
		Instance fleet.InstanceID
		Group    fleet.GroupName
		// StartTag is the start tag of the member that is served next, in cost
		// units per unit of share. Backlogged is false for an empty queue.
		StartTag   float64
		Backlogged bool
		// SaturatesEngines reports whether the queue alone keeps the engines of
		// the group busy until the next exchange.
		SaturatesEngines bool
		// PrefillCost and TokenCost are the engine-seconds per uncached prompt
		// token and per output token that the peer has learned. Every instance
		// charges the mean over all instances, so that cost units agree.
		PrefillCost, TokenCost float64
	}
	// PeerDispatch is work that another instance dispatched to an upstream.
	PeerDispatch struct {
		Upstream     fleet.UpstreamID
		At           fleet.Instant
		PromptTokens int
		OutputTokens int
	}
	// UpstreamState reports that the availability of an upstream changed.
	UpstreamState struct {
		Upstream    fleet.UpstreamID
		Incarnation fleet.Incarnation
		Available   bool
		// Leaving reports whether the upstream has announced that it will stop.
		// Only a new incarnation clears it.
		Leaving bool
		Role    fleet.Role
	}
	// Hold stops or resumes the dispatch of new work to an upstream while an
	// order is carried out. Unlike Leaving it can be undone.
	Hold struct {
		Upstream fleet.UpstreamID
		On       bool
	}
	// CacheUpdate is a batch of an engine's prefix cache events.
	CacheUpdate struct {
		Upstream fleet.UpstreamID
		// Sequence is the number of the batch; a jump means lost events.
		Sequence int64
		Stored   []uint64
		Evicted  []uint64
	}
	// Drain stops the admission of new requests before a planned stop of the
	// instance.
	Drain struct{}
	// Tick advances the time, so that queued requests can expire.
	Tick struct{}
)

// LoadReport is the load that an upstream reported.
type LoadReport struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
	// At is when the report was made, on the scheduler's clock.
	At      fleet.Instant
	Role    fleet.Role
	Running int
	Waiting int
	// WaitingPromptTokens counts the prompt tokens that are not prefilled yet.
	WaitingPromptTokens int
	// KVUsedTokens and KVCapacityTokens are the fill and the size of the KV
	// cache.
	KVUsedTokens     int
	KVCapacityTokens int
	// PrefilledTotal and GeneratedTotal count the prompt and output tokens
	// processed by this incarnation; zero when the upstream does not report
	// them.
	PrefilledTotal, GeneratedTotal int64
	// Leaving reports whether the upstream has announced that it will stop.
	Leaving bool
}

func (Configure) isEvent()      {}
func (Submit) isEvent()         {}
func (Cancel) isEvent()         {}
func (FirstToken) isEvent()     {}
func (Tokens) isEvent()         {}
func (Finished) isEvent()       {}
func (Failed) isEvent()         {}
func (Report) isEvent()         {}
func (PeerService) isEvent()    {}
func (PeerQueueState) isEvent() {}
func (PeerDispatch) isEvent()   {}
func (UpstreamState) isEvent()  {}
func (Hold) isEvent()           {}
func (CacheUpdate) isEvent()    {}
func (Drain) isEvent()          {}
func (Tick) isEvent()           {}

// Package sched is the request-path state machine of one entry instance:
// admission, fair queueing, routing and in-flight accounting. Events go in
// through Step, commands come out of Ready.
package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Request is one caller's request as the scheduler sees it.
type Request struct {
	ID     fleet.RequestID
	Member fleet.MemberID
	Kind   fleet.KindName
	// PromptTokens is the caller side's estimate of the prompt's length.
	PromptTokens int
	// MaxOutputTokens bounds the answer's length.
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
	// Submit enters a new request.
	Submit struct{ Request Request }
	// Cancel tells that the caller has left.
	Cancel struct{ ID fleet.RequestID }
	// FirstToken tells that the first token of the answer arrived.
	FirstToken struct{ ID fleet.RequestID }
	// Tokens tells that N more tokens of the answer arrived.
	Tokens struct {
		ID fleet.RequestID
		N  int
		// LongestGap is the longest gap before one of them, zero when not known.
		LongestGap time.Duration
	}
	// Finished ends a request that was answered.
	Finished struct {
		ID    fleet.RequestID
		Usage fleet.Usage
	}
	// Failed ends one attempt of a request without an answer.
	Failed struct {
		ID       fleet.RequestID
		Upstream fleet.UpstreamID
		// Retry asks for another dispatch; the caller of Step has decided
		// that the attempt may be repeated.
		Retry bool
	}
	// Report is the state of one upstream at a past instant.
	Report struct{ Load LoadReport }
	// PeerService is service that a member received at other instances.
	PeerService struct {
		Member fleet.MemberID
		// Cost is in the group's cost units since the last event.
		Group fleet.GroupName
		Cost  float64
	}
	// PeerQueueState is the turn of a peer's fair queue of a group, sent with every
	// exchange. An instance that is ahead of the fleet leaves room at the
	// engines to instances that are behind; otherwise a member that queues at
	// many instances would win the race for free engines.
	PeerQueueState struct {
		Instance fleet.InstanceID
		Group    fleet.GroupName
		// StartTag is the start tag of the member whose turn it is, in cost units
		// per unit of share; Backlogged is false for an empty queue.
		StartTag   float64
		Backlogged bool
		// SaturatesEngines tells that the queue alone keeps the group's engines busy until
		// the next exchange.
		SaturatesEngines bool
		// PrefillCost and TokenCost are the engine-seconds per token that the
		// peer has learned. Every instance charges the mean over the instances,
		// so that cost means the same everywhere.
		PrefillCost, TokenCost float64
	}
	// PeerDispatch is work that another instance sent to an upstream.
	PeerDispatch struct {
		Upstream     fleet.UpstreamID
		At           fleet.Instant
		PromptTokens int
		OutputTokens int
	}
	// UpstreamState tells that an upstream's availability changed.
	UpstreamState struct {
		Upstream    fleet.UpstreamID
		Incarnation fleet.Incarnation
		Available   bool
		// Leaving marks a departure, which only a new incarnation clears.
		Leaving bool
		Role    fleet.Role
	}
	// Hold stops or resumes new work at an upstream while an order is carried
	// out. Unlike a departure it can be undone.
	Hold struct {
		Upstream fleet.UpstreamID
		On       bool
	}
	// CacheUpdate is a batch of an engine's prefix cache events.
	CacheUpdate struct {
		Upstream fleet.UpstreamID
		// Sequence numbers the batch; a jump means that events were lost.
		Sequence int64
		Stored   []uint64
		Evicted  []uint64
	}
	// Drain stops admission for a planned stop of the instance.
	Drain struct{}
	// Tick advances time so that queued requests can expire.
	Tick struct{}
)

// LoadReport is what an upstream told about itself.
type LoadReport struct {
	Upstream    fleet.UpstreamID
	Incarnation fleet.Incarnation
	// At is when the report was made, in the scheduler's time.
	At      fleet.Instant
	Role    fleet.Role
	Running int
	Waiting int
	// WaitingPromptTokens is the prompt work that has not been prefilled.
	WaitingPromptTokens int
	// KVUsedTokens and KVCapacityTokens describe the KV cache.
	KVUsedTokens     int
	KVCapacityTokens int
	// PrefilledTotal and GeneratedTotal count the prompt and output tokens
	// processed by this incarnation; zero when the upstream does not tell.
	PrefilledTotal, GeneratedTotal int64
	// Leaving tells that the upstream has announced its departure.
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

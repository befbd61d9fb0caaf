// Package role plans which engines of a group prefill, decode or do both. It
// changes a role only if the gain over the expected duration of the present mix
// exceeds the cost of taking the engine out of service.
package role

import (
	"time"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// Event is an input of the planner.
type Event interface{ isEvent() }

type (
	// Group declares a group of engines or changes its parameters.
	Group struct {
		Name fleet.GroupName
		// ChangeWeight multiplies the cost of a change. Zero means 1.
		ChangeWeight float64
		// TokenGapTarget is the target that bounds the size of decode batches.
		TokenGapTarget time.Duration
	}
	// EngineState is the state of one engine. An engine whose last report is
	// older than staleAfter still counts as capacity but its role is not
	// changed.
	EngineState struct {
		Group    fleet.GroupName
		Upstream fleet.UpstreamID
		Role     fleet.Role
		// Available is false while the engine is withdrawn, leaving,
		// unreachable or changing.
		Available bool
		// Speed is the engine's learned speed for work in its role: prefill as
		// a prefill engine, decode as a decode engine.
		Speed cost.Speed
		// Load is the engine's utilisation, 0 to 1.
		Load float64
		// At is the time of the load report on which this state is based.
		At fleet.Instant
	}
	// Demand is the work that arrived for the whole group since the previous
	// Demand event: at this instance, at its peers and in other data centres.
	// It includes refused requests, because other roles might have served them.
	Demand struct {
		Group fleet.GroupName
		// PromptTokens excludes cached tokens.
		PromptTokens, OutputTokens float64
		// ContextTokens is the number of KV cache tokens that the output tokens
		// read: for each output token, the number of tokens before it.
		ContextTokens float64
	}
	// ChangeEnded ends the pending change of a group. Without it, the change ends
	// when the engine is available in its new role.
	ChangeEnded struct {
		Group    fleet.GroupName
		Upstream fleet.UpstreamID
	}
	// Tick only advances the time.
	Tick struct{}
)

func (Group) isEvent()       {}
func (EngineState) isEvent() {}
func (Demand) isEvent()      {}
func (ChangeEnded) isEvent() {}
func (Tick) isEvent()        {}

// Change requests that one engine take another role.
type Change struct {
	Group    fleet.GroupName
	Upstream fleet.UpstreamID
	To       fleet.Role
	// Reason states the mix and the expected gain for operators.
	Reason string
}

// Package role plans which engines of a group prefill, decode or do both. It
// changes a role only when the gain over the expected dwell time of the mix
// exceeds the declared price of the seconds out of service.
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
		// ChangeWeight multiplies the price of a change; zero means 1.
		ChangeWeight float64
		// TokenGapTarget is the token gap that bounds decode batches.
		TokenGapTarget time.Duration
	}
	// EngineState is what is known about one engine. Engines that are not
	// reported for staleAfter keep their capacity but are not changed.
	EngineState struct {
		Group    fleet.GroupName
		Upstream fleet.UpstreamID
		Role     fleet.Role
		// Available is false while the engine is withdrawn, leaving,
		// unreachable or in a change.
		Available bool
		// Speed is the engine's learned speed for work in its role: prefill
		// as a prefill engine, decode as a decode engine.
		Speed cost.Speed
		// Load is the engine's utilisation, 0 to 1.
		Load float64
		// At is the time of the report behind this state.
		At fleet.Instant
	}
	// Demand is the work that arrived for the whole group since the previous
	// event: at this instance, at its peers and in other data centres. Refused
	// requests count, because a better division might have carried them.
	Demand struct {
		Group fleet.GroupName
		// PromptTokens excludes cached tokens.
		PromptTokens, OutputTokens float64
		// ContextTokens is the KV cache that the output tokens read: the sum
		// over them of the tokens before each.
		ContextTokens float64
	}
	// Settled ends the change in progress of a group. Without it a change
	// ends when the engine is available in its new role.
	Settled struct {
		Group    fleet.GroupName
		Upstream fleet.UpstreamID
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Group) isEvent()       {}
func (EngineState) isEvent() {}
func (Demand) isEvent()      {}
func (Settled) isEvent()     {}
func (Tick) isEvent()        {}

// Change asks for one engine to take another role.
type Change struct {
	Group    fleet.GroupName
	Upstream fleet.UpstreamID
	To       fleet.Role
	// Reason states the mix and the expected gain for operators.
	Reason string
}

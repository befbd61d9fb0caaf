// Package fleet defines the types that all other packages share: identifiers,
// roles, outcomes, refusals and the time type of the core.
package fleet

import "time"

// Instant is a time on a monotonic clock, as the duration since a start that is
// arbitrary but fixed for the life of a process.
type Instant = time.Duration

type (
	// MemberID identifies a member (team) of a deployment.
	MemberID string
	// KindName names a kind of request; members are granted kinds.
	KindName string
	// GroupName names a group of interchangeable upstreams.
	GroupName string
	// UpstreamID identifies an engine or a plain service.
	UpstreamID string
	// InstanceID identifies an instance.
	InstanceID string
	// DataCentre names a data centre.
	DataCentre string
	// ModelName names a language model that an engine can load.
	ModelName string
	// RequestID identifies one caller's request across all its attempts.
	RequestID string
	// Incarnation distinguishes successive processes at one address. An
	// upstream reports a different value after a restart.
	Incarnation string
)

// Process identifies one process of a server among those with one id.
type Process struct {
	Server UpstreamID
	// StartTime is the start of the process as the server reports it.
	StartTime int64
}

// Role is the stage of inference that an engine is configured for.
type Role uint8

// Roles of an engine.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

var roleNames = [...]string{RoleMixed: "mixed", RolePrefill: "prefill", RoleDecode: "decode"}

// String returns the name of the role in declarations and reports.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "invalid"
}

// ParseRole returns the role with the given name; ok is false if there is none.
func ParseRole(name string) (role Role, ok bool) {
	for i, n := range roleNames {
		if n == name {
			return Role(i), true
		}
	}
	return RoleMixed, false
}

// Usage holds the token counts of one answer as reported by the engine.
type Usage struct {
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// OutputTokens is the number of generated tokens.
	OutputTokens int `json:"completion_tokens"`
}

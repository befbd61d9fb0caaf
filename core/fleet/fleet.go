// Package fleet holds the vocabulary that every other package shares:
// identifiers, roles, outcomes, refusals and the time type of the core.
package fleet

import "time"

// Instant is a point on a monotonic clock, measured from an arbitrary start
// that is fixed for the life of a process.
type Instant = time.Duration

type (
	// MemberID names a member of a deployment.
	MemberID string
	// KindName names a kind of request that members may be granted.
	KindName string
	// GroupName names a group of interchangeable upstreams.
	GroupName string
	// UpstreamID names an engine or a plain service.
	UpstreamID string
	// InstanceID names an entry instance.
	InstanceID string
	// DataCentre names a data centre.
	DataCentre string
	// ModelName names a language model that an engine can load.
	ModelName string
	// RequestID identifies one caller's request across all its attempts.
	RequestID string
	// Incarnation distinguishes successive processes behind one address.
	// A restarted upstream reports a different value.
	Incarnation string
)

// Role is the part of inference that an engine is configured for.
type Role uint8

// Roles of an engine.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

var roleNames = [...]string{RoleMixed: "mixed", RolePrefill: "prefill", RoleDecode: "decode"}

// String returns the role's name as written in declarations and reports.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "invalid"
}

// ParseRole converts a role's name; ok is false for an unknown name.
func ParseRole(name string) (role Role, ok bool) {
	for i, n := range roleNames {
		if n == name {
			return Role(i), true
		}
	}
	return RoleMixed, false
}

// Usage counts the tokens of one answer as reported by the engine.
type Usage struct {
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
	// OutputTokens is the number of generated tokens.
	OutputTokens int `json:"completion_tokens"`
}

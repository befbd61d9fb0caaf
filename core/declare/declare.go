// Package declare defines the declaration: the members, kinds, groups,
// upstreams and routes that operators configure. It is validated and versioned
// as a whole.
package declare

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Declaration is a complete configuration of the fleet.
type Declaration struct {
	// DataCentres assigns data centres to regions. If empty, all data centres
	// form one region.
	DataCentres []DataCentre
	Members     []Member
	Kinds       []Kind
	Groups      []Group
	Upstreams   []Upstream
	Routes      []Route
}

// Region is the name of a set of data centres that are about 1 ms apart and
// share the engines of a group.
type Region string

// DataCentre assigns one data centre to a region.
type DataCentre struct {
	Name   fleet.DataCentre
	Region Region
	Pos    Position
}

// Member is a customer with a share of the fleet.
type Member struct {
	ID fleet.MemberID
	// Share is the member's weight relative to the other members' weights.
	Share float64
	// KeyHashes are the hex SHA-256 digests of the member's keys.
	KeyHashes []string
	// Kinds are the kinds of request that the member may send. The first one
	// that matches the path is the default.
	Kinds []fleet.KindName
	Pos   Position
}

// Kind defines how one kind of request is served.
type Kind struct {
	Name  fleet.KindName
	Group fleet.GroupName
	// FirstTokenTarget is the latency target for the first token,
	// TokenGapTarget that for the time between tokens.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// Deadline is the maximum time from a request's arrival to the end of the
	// answer.
	Deadline time.Duration
	// Urgency orders the requests of one member; higher is dispatched first.
	Urgency         int
	MaxPromptTokens int
	MaxOutputTokens int
	// Repeatable reports whether running a request twice is harmless, so that
	// it may be retried.
	Repeatable bool
	Pos        Position
}

// GroupType distinguishes groups of engines from groups of plain services.
type GroupType string

// Types of upstream groups.
const (
	GroupEngine  GroupType = "engine"
	GroupService GroupType = "service"
)

// Group is a set of interchangeable upstreams.
type Group struct {
	Name fleet.GroupName
	Type GroupType
	// ChecksFencing reports whether the group's engines reject an order with an
	// outdated fencing number.
	ChecksFencing bool
	Model         fleet.ModelName
	Adapter       string
	ModelVersion  string
	// RoleChangeWeight multiplies the cost of a role change; a larger value
	// makes role changes rarer.
	RoleChangeWeight float64
	// FixedRoles keeps every engine in its declared role; otherwise the role
	// planner may change roles.
	FixedRoles bool
	// CacheBlockTokens is the size of a block of the engines' prefix caches, in
	// tokens.
	CacheBlockTokens int
	// ConcurrentWeightLoads is the maximum number of the group's engines that
	// load from the weight store at the same time.
	ConcurrentWeightLoads int
	Pos                   Position
}

// Defaults of a group.
const (
	DefaultRoleChangeWeight = 1
	// DefaultCacheBlockTokens is the block size of the engines in both
	// deployments.
	DefaultCacheBlockTokens = 2000
	// DefaultConcurrentWeightLoads lets one engine at a time load from the
	// weight store.
	DefaultConcurrentWeightLoads = 1
)

// DefaultSpeed is the relative speed of a machine for which none is declared.
const DefaultSpeed = 1

// Upstream is one engine or plain service.
type Upstream struct {
	ID         fleet.UpstreamID
	Group      fleet.GroupName
	Address    string // host:port
	DataCentre fleet.DataCentre
	// Speed is the machine's speed relative to the others of its group,
	// DefaultSpeed if not declared. It is used until the real speed has been
	// observed: an engine that has never prefilled is expected to do so as fast
	// as machines of the same Speed.
	Speed float64
	// Role is the desired role at the start. The role planner may change it.
	Role fleet.Role
	Pos  Position
}

// Route maps a path prefix on the callers' listener to a kind that plain
// services serve.
type Route struct {
	Path string
	Kind fleet.KindName
	Pos  Position
}

// Position is the file and line of an item, for error messages.
type Position struct {
	File string
	Line int
}

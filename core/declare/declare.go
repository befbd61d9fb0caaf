// Package declare holds the declaration: everything that operators state about
// members, kinds, groups, upstreams and routes, checked and versioned as a whole.
package declare

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Declaration is one whole configuration of the fleet.
type Declaration struct {
	// DataCentres assigns data centres to regions. Without any, all data
	// centres form one region.
	DataCentres []DataCentre
	Members     []Member
	Kinds       []Kind
	Groups      []Group
	Upstreams   []Upstream
	Routes      []Route
}

// Region names a set of data centres that are about 1 ms apart and share the
// engines of a group.
type Region string

// DataCentre places one data centre in a region.
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
	// Kinds are the kinds of request that the member may send; the first one
	// that fits the path is the default.
	Kinds []fleet.KindName
	Pos   Position
}

// Kind declares how one kind of request is served.
type Kind struct {
	Name  fleet.KindName
	Group fleet.GroupName
	// FirstTokenTarget and TargetTokenGap are the times within which the first
	// token and each following token are due.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// Deadline bounds the time from arrival to the end of the answer.
	Deadline time.Duration
	// Urgency orders requests within one member's turn; higher goes first.
	Urgency         int
	MaxPromptTokens int
	MaxOutputTokens int
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool
	Pos        Position
}

// GroupType tells engines from plain services.
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
	// ChecksFencing tells that the group's engines refuse an order with an
	// old fencing number.
	ChecksFencing bool
	Model         fleet.ModelName
	Adapter       string
	ModelVersion  string
	// RoleChangeWeight multiplies the price of a role change; a larger value
	// makes role changes rarer.
	RoleChangeWeight float64
	// FixedRoles keeps every engine in its declared role; otherwise the role
	// planner may change roles.
	FixedRoles bool
	// CacheBlockTokens is the size of the engines' prefix cache blocks.
	CacheBlockTokens int
	// WeightLoads is how many of the group's engines may load from the weight
	// store at once.
	WeightLoads int
	Pos         Position
}

// Defaults of a group.
const (
	DefaultRoleChangeWeight = 1
	// DefaultCacheBlockTokens is the block size of the engines of both
	// deployments.
	DefaultCacheBlockTokens = 2000
	// DefaultWeightLoads lets one engine at a time load from the weight store.
	DefaultWeightLoads = 1
)

// DefaultSpeed is the relative speed of a machine that states none.
const DefaultSpeed = 1

// Upstream is one engine or plain service.
type Upstream struct {
	ID         fleet.UpstreamID
	Group      fleet.GroupName
	Address    string // host:port
	DataCentre fleet.DataCentre
	// Speed is the machine's speed relative to the others of its group, 1 by
	// default. It stands for what has not been observed yet: an engine that
	// never prefilled is expected to be as fast at it as machines of its speed.
	Speed float64
	// Role is the wished role at the start; the role planner may change it.
	Role fleet.Role
	Pos  Position
}

// Route maps a path prefix on the callers' listener to a kind that is served
// by plain services.
type Route struct {
	Path string
	Kind fleet.KindName
	Pos  Position
}

// Position is where an item is declared, for error messages.
type Position struct {
	File string
	Line int
}

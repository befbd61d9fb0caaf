package declare

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Index is an immutable view of one declaration for fast lookups.
type Index struct {
	Version       int64
	Declaration   *Declaration
	members       map[fleet.MemberID]*Member
	membersByHash map[string]*Member
	kinds         map[fleet.KindName]*Kind
	groups        map[fleet.GroupName]*Group
	upstreams     map[fleet.UpstreamID]*Upstream
	regions       map[fleet.DataCentre]Region
}

// NewIndex builds the index of a valid declaration. A digest in rejectedHashes
// is not accepted as a member's key; operators' keys are excluded in this way.
func NewIndex(version int64, d *Declaration, rejectedHashes ...string) *Index {
	x := &Index{
		Version:       version,
		Declaration:   d,
		members:       map[fleet.MemberID]*Member{},
		membersByHash: map[string]*Member{},
		kinds:         map[fleet.KindName]*Kind{},
		groups:        map[fleet.GroupName]*Group{},
		upstreams:     map[fleet.UpstreamID]*Upstream{},
		regions:       map[fleet.DataCentre]Region{},
	}
	for _, dc := range d.DataCentres {
		x.regions[dc.Name] = dc.Region
	}
	for i := range d.Members {
		m := &d.Members[i]
		x.members[m.ID] = m
		for _, h := range m.KeyHashes {
			x.membersByHash[h] = m
		}
	}
	for _, h := range rejectedHashes {
		delete(x.membersByHash, h)
	}
	for i := range d.Kinds {
		x.kinds[d.Kinds[i].Name] = &d.Kinds[i]
	}
	for i := range d.Groups {
		x.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for i := range d.Upstreams {
		x.upstreams[d.Upstreams[i].ID] = &d.Upstreams[i]
	}
	return x
}

// HashKey returns the hex SHA-256 digest under which a key is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MemberByKey returns the member that owns a key, or nil. The digest is
// compared in constant time after the lookup.
func (x *Index) MemberByKey(key string) *Member {
	hash := HashKey(key)
	m := x.membersByHash[hash]
	if m == nil {
		return nil
	}
	for _, h := range m.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return m
		}
	}
	return nil
}

// Member returns the member with an ID, or nil.
func (x *Index) Member(id fleet.MemberID) *Member { return x.members[id] }

// Kind returns the kind with a name, or nil.
func (x *Index) Kind(name fleet.KindName) *Kind { return x.kinds[name] }

// Group returns the group with a name, or nil.
func (x *Index) Group(name fleet.GroupName) *Group { return x.groups[name] }

// Upstream returns the upstream with an ID, or nil.
func (x *Index) Upstream(id fleet.UpstreamID) *Upstream { return x.upstreams[id] }

// Region returns the region of a data centre, or "" if none is declared.
func (x *Index) Region(dc fleet.DataCentre) Region { return x.regions[dc] }

// Route returns the route with the longest prefix of path, or nil.
func (x *Index) Route(path string) *Route {
	var best *Route
	for i := range x.Declaration.Routes {
		r := &x.Declaration.Routes[i]
		if strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

// MaySend reports whether the member may send requests of a kind.
func (m *Member) MaySend(kind fleet.KindName) bool {
	for _, k := range m.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

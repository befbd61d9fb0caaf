package declare

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Limits of a declaration. The design size is 1,300 members and 780 upstreams.
const (
	maxNameBytes        = 128
	maxDeadline         = time.Hour
	maxUrgency          = 1000
	maxRoleChangeWeight = 1000
	maxTokens           = 10_000_000
	maxWeightLoads      = 1000
	maxSpeed            = 100
	minCacheBlockTokens = 16
	maxCacheBlockTokens = 65536
	// maxShareRatio is the maximum ratio of the largest share to the smallest.
	// Beyond it the smallest member would be served later than any deadline
	// allows.
	maxShareRatio = 1e6
)

var (
	// Names appear in platform keys, headers and metric labels.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	// Model names may carry a registry path, a tag or a digest.
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]*$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
)

// Problem is one error in a declaration, or one remark on it.
type Problem struct {
	Section Section
	Name    string
	// Key is the key concerned, or empty for the whole item.
	Key      string
	Pos      Position
	Message  string
	Expected string
}

// Validate checks a declaration as a whole and returns every error found. A
// declaration with an error must not be put in force.
func Validate(d *Declaration) []Problem {
	v := newValidator(d)
	for _, dc := range d.DataCentres {
		v.dataCentre(dc)
	}
	v.members()
	for _, k := range d.Kinds {
		v.kind(k)
	}
	for _, g := range d.Groups {
		v.group(g)
	}
	v.upstreams()
	for _, r := range d.Routes {
		v.route(r)
	}
	return v.problems
}

// validator collects the problems of one declaration.
type validator struct {
	d           *Declaration
	kinds       map[fleet.KindName]*Kind
	groups      map[fleet.GroupName]*Group
	dataCentres map[fleet.DataCentre]bool
	item        Item
	problems    []Problem
}

// newValidator returns a validator that already holds the problems of duplicate
// items.
func newValidator(d *Declaration) *validator {
	v := &validator{
		d: d, kinds: map[fleet.KindName]*Kind{}, groups: map[fleet.GroupName]*Group{},
		dataCentres: map[fleet.DataCentre]bool{},
	}
	for i := range d.Kinds {
		v.kinds[d.Kinds[i].Name] = &d.Kinds[i]
	}
	for i := range d.Groups {
		v.groups[d.Groups[i].Name] = &d.Groups[i]
	}
	for _, dc := range d.DataCentres {
		v.dataCentres[dc.Name] = true
	}
	v.duplicates()
	return v
}

// duplicates reports items that are declared twice. A file cannot repeat a
// section, but a declaration may also be built by other means.
func (v *validator) duplicates() {
	seen := map[itemKey]Position{}
	for _, item := range v.d.Items() {
		key := itemKey{item.Section, item.Name}
		if first, ok := seen[key]; ok {
			v.setItem(item)
			v.add("", "", "%s %s is already declared on line %d", item.Section, item.Name, first.Line)
		}
		seen[key] = item.Pos
	}
}

// setItem sets the item to which the next problems belong.
func (v *validator) setItem(item Item) { v.item = item }

// add records a problem of the current item.
func (v *validator) add(key, expected, format string, args ...any) {
	v.problems = append(v.problems, Problem{
		Section: v.item.Section, Name: v.item.Name, Key: key, Pos: v.item.Pos,
		Message: fmt.Sprintf(format, args...), Expected: expected,
	})
}

// setNamedItem sets the current item and checks its name.
func (v *validator) setNamedItem(section Section, name string, pos Position) {
	v.setItem(Item{Section: section, Name: name, Pos: pos})
	if !namePattern.MatchString(name) || len(name) > maxNameBytes {
		v.add("", "letters, digits, '.', '_' and '-', at most 128 bytes", "%q is not a valid name", name)
	}
}

func (v *validator) dataCentre(dc DataCentre) {
	v.setNamedItem(SectionDataCentre, string(dc.Name), dc.Pos)
	if !namePattern.MatchString(string(dc.Region)) {
		v.add("region", "a region's name", "region %q is not a valid name", dc.Region)
	}
}

func (v *validator) members() {
	owners := map[string]fleet.MemberID{}
	smallest := math.Inf(1)
	for _, m := range v.d.Members {
		if m.Share > 0 {
			smallest = min(smallest, m.Share)
		}
	}
	for _, m := range v.d.Members {
		v.setNamedItem(SectionMember, string(m.ID), m.Pos)
		switch {
		case !(m.Share > 0) || math.IsInf(m.Share, 0):
			v.add("share", "a number above 0", "share %v is not positive", m.Share)
		case m.Share/smallest > maxShareRatio:
			v.add("share", "shares within a factor of 1,000,000", "share %v is too large relative to the smallest share %v", m.Share, smallest)
		}
		for _, h := range m.KeyHashes {
			v.keyHash(h, m.ID, owners)
		}
		v.memberKinds(m.Kinds)
	}
}

// keyHash checks one key digest of a member and that no other member has it.
func (v *validator) keyHash(hash string, member fleet.MemberID, owners map[string]fleet.MemberID) {
	if !hashPattern.MatchString(hash) {
		v.add("key_sha256", "64 lower-case hex digits, as printed by sha256sum", "%q is not a SHA-256 digest", truncateHash(hash))
		return
	}
	if owner, ok := owners[hash]; ok {
		v.add("key_sha256", "a key of one member, stated once", "key %s already belongs to member %s", truncateHash(hash), owner)
	}
	owners[hash] = member
}

// truncateHash shortens a digest, or a key pasted in its place, for use in
// messages.
func truncateHash(hash string) string {
	const shown = 6
	if len(hash) <= shown {
		return hash
	}
	return hash[:shown] + "..."
}

// memberKinds checks the kinds that a member may send.
func (v *validator) memberKinds(kinds []fleet.KindName) {
	seen := map[fleet.KindName]bool{}
	for _, k := range kinds {
		if v.kinds[k] == nil {
			v.add("kinds", "declared kinds", "kind %q is not declared", k)
		}
		if seen[k] {
			v.add("kinds", "each kind once", "kind %q is listed twice", k)
		}
		seen[k] = true
	}
}

func (v *validator) kind(k Kind) {
	v.setNamedItem(SectionKind, string(k.Name), k.Pos)
	if k.Deadline <= 0 || k.Deadline > maxDeadline {
		v.add("deadline", "a duration above 0, at most 1h", "deadline %v is out of range", k.Deadline)
	}
	if k.Urgency < 0 || k.Urgency > maxUrgency {
		v.add("urgency", "0 to 1000", "urgency %d is out of range", k.Urgency)
	}
	group := v.groups[k.Group]
	switch {
	case group == nil:
		v.add("group", "a declared group", "group %q is not declared", k.Group)
	case group.Type == GroupEngine:
		v.engineKind(k)
	case group.Type == GroupService:
		v.serviceKind(k)
	}
}

func (v *validator) engineKind(k Kind) {
	positive := "a duration above 0, because engines serve the kind"
	if k.FirstTokenTarget <= 0 {
		v.add("first_token", positive, "first_token %v is not positive", k.FirstTokenTarget)
	}
	if k.TokenGapTarget <= 0 {
		v.add("token_gap", positive, "token_gap %v is not positive", k.TokenGapTarget)
	}
	if k.Deadline > 0 && k.Deadline < k.FirstTokenTarget+k.TokenGapTarget {
		v.add("deadline", "at least first_token plus token_gap", "deadline %v ends before the second token is due", k.Deadline)
	}
	v.tokenLimit("max_prompt_tokens", k.MaxPromptTokens)
	v.tokenLimit("max_output_tokens", k.MaxOutputTokens)
}

func (v *validator) tokenLimit(key string, limit int) {
	if limit <= 0 || limit > maxTokens {
		v.add(key, "1 to 10000000", "%s %d is out of range", key, limit)
	}
}

func (v *validator) serviceKind(k Kind) {
	set := []struct {
		key string
		set bool
	}{
		{"first_token", k.FirstTokenTarget != 0}, {"token_gap", k.TokenGapTarget != 0},
		{"max_prompt_tokens", k.MaxPromptTokens != 0}, {"max_output_tokens", k.MaxOutputTokens != 0},
	}
	for _, s := range set {
		if s.set {
			v.add(s.key, "no such key, because plain services serve the kind", "%s applies to engines only", s.key)
		}
	}
}

func (v *validator) group(g Group) {
	v.setNamedItem(SectionGroup, string(g.Name), g.Pos)
	switch g.Type {
	case GroupEngine:
		v.engineGroup(g)
	case GroupService:
		v.serviceGroup(g)
	default:
		v.add("type", "engine or service", "type %q is not known", g.Type)
	}
}

func (v *validator) engineGroup(g Group) {
	v.modelName("model", string(g.Model), true)
	v.modelName("adapter", g.Adapter, false)
	v.modelName("model_version", g.ModelVersion, false)
	if !(g.RoleChangeWeight > 0) || g.RoleChangeWeight > maxRoleChangeWeight {
		v.add("role_change_weight", "a number above 0, at most 1000", "role_change_weight %v is out of range", g.RoleChangeWeight)
	}
	if g.CacheBlockTokens < minCacheBlockTokens || g.CacheBlockTokens > maxCacheBlockTokens {
		v.add("cache_block_tokens", "16 to 65536", "cache_block_tokens %d is out of range", g.CacheBlockTokens)
	}
	if g.ConcurrentWeightLoads < 0 || g.ConcurrentWeightLoads > maxWeightLoads {
		v.add("weight_loads", "1 to 1000", "weight_loads %d is out of range", g.ConcurrentWeightLoads)
	}
}

func (v *validator) modelName(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	if !modelPattern.MatchString(value) || len(value) > maxNameBytes {
		v.add(key, "letters, digits and '._:/@+-', at most 128 bytes", "%s %q is not valid", key, value)
	}
}

func (v *validator) serviceGroup(g Group) {
	set := []struct {
		key string
		set bool
	}{
		{"model", g.Model != ""}, {"adapter", g.Adapter != ""}, {"model_version", g.ModelVersion != ""},
		{"checks_fencing", g.ChecksFencing}, {"roles", g.FixedRoles},
	}
	for _, s := range set {
		if s.set {
			v.add(s.key, "no such key in a group of plain services", "%s applies to engines only", s.key)
		}
	}
}

func (v *validator) upstreams() {
	addresses := map[string]fleet.UpstreamID{}
	for _, u := range v.d.Upstreams {
		v.setNamedItem(SectionUpstream, string(u.ID), u.Pos)
		if owner, ok := addresses[u.Address]; ok && u.Address != "" {
			v.add("address", "one upstream per address", "address %s already belongs to upstream %s", u.Address, owner)
		}
		addresses[u.Address] = u.ID
		if host, port, ok := splitHostPort(u.Address); !ok || host == "" || port == "0" {
			v.add("address", "an IP address with a port, such as 10.0.0.7:9000", "address %q is not valid", u.Address)
		}
		v.upstreamPlacement(u)
	}
}

// splitHostPort splits an address at its last colon into host and port and
// reports whether it has a port. Package declfile has already parsed the
// address; the core uses no network types.
func splitHostPort(address string) (host, port string, ok bool) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return "", "", false
	}
	return address[:i], address[i+1:], address[i+1:] != ""
}

// upstreamPlacement checks an upstream's speed, group, role and data centre.
func (v *validator) upstreamPlacement(u Upstream) {
	if u.Speed < 0 || u.Speed > maxSpeed {
		v.add("speed", "a number above 0, at most 100", "speed %v is out of range", u.Speed)
	}
	group := v.groups[u.Group]
	if group == nil {
		v.add("group", "a declared group", "group %q is not declared", u.Group)
	} else if group.Type == GroupService && u.Role != fleet.RoleMixed {
		v.add("role", "no role, because the group is of plain services", "role %s applies to engines only", u.Role)
	}
	switch {
	case !namePattern.MatchString(string(u.DataCentre)):
		v.add("data_centre", "a data centre's name", "data_centre %q is not a valid name", u.DataCentre)
	case len(v.dataCentres) > 0 && !v.dataCentres[u.DataCentre]:
		v.add("data_centre", "a data centre declared by [data_centre NAME]", "data centre %q is not declared", u.DataCentre)
	}
}

func (v *validator) route(r Route) {
	v.setItem(Item{Section: SectionRoute, Name: r.Path, Pos: r.Pos})
	if !cleanPath(r.Path) {
		v.add("", "a path that starts with '/' and has no '//', '/./' or '/../'", "%q is not a valid path", r.Path)
	}
	if strings.HasPrefix(r.Path, "/v1/") || r.Path == "/" || r.Path == "/v1" {
		v.add("", "a path outside /v1/", "path %q covers the completions interface", r.Path)
	}
	kind := v.kinds[r.Kind]
	if kind == nil {
		v.add("kind", "a declared kind", "kind %q is not declared", r.Kind)
		return
	}
	if group := v.groups[kind.Group]; group != nil && group.Type != GroupService {
		v.add("kind", "a kind served by plain services", "kind %q is served by engines", r.Kind)
	}
}

// cleanPath reports whether a path has only allowed characters, no "//" and no
// "." or ".." segment.
func cleanPath(path string) bool {
	if !pathPattern.MatchString(path) || strings.Contains(path, "//") {
		return false
	}
	for _, part := range strings.Split(path, "/") {
		if part == "." || part == ".." {
			return false
		}
	}
	return true
}

package declare

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Section is the first word of an item's header in a declaration file.
type Section string

// Sections of a declaration, in canonical order.
const (
	SectionDataCentre Section = "data_centre"
	SectionMember     Section = "member"
	SectionKind       Section = "kind"
	SectionGroup      Section = "group"
	SectionUpstream   Section = "upstream"
	SectionRoute      Section = "route"
)

// Field is one key of an item in its canonical text form.
type Field struct {
	Key   string
	Value string
}

// Item is one section of a declaration in its canonical text form.
type Item struct {
	Section Section
	Name    string
	Pos     Position
	// Fields hold the keys that differ from their defaults, in a fixed order.
	Fields []Field
}

// Items returns the declaration's items in canonical order: by section, then by
// name. The order of a member's kinds is kept because the first one is the
// default.
func (d *Declaration) Items() []Item {
	var items []Item
	add := func(section Section, count int, item func(int) Item) {
		start := len(items)
		for i := 0; i < count; i++ {
			it := item(i)
			it.Section = section
			items = append(items, it)
		}
		part := items[start:]
		sort.SliceStable(part, func(i, j int) bool { return part[i].Name < part[j].Name })
	}
	add(SectionDataCentre, len(d.DataCentres), func(i int) Item { return d.DataCentres[i].item() })
	add(SectionMember, len(d.Members), func(i int) Item { return d.Members[i].item() })
	add(SectionKind, len(d.Kinds), func(i int) Item { return d.Kinds[i].item() })
	add(SectionGroup, len(d.Groups), func(i int) Item { return d.Groups[i].item() })
	add(SectionUpstream, len(d.Upstreams), func(i int) Item { return d.Upstreams[i].item() })
	add(SectionRoute, len(d.Routes), func(i int) Item { return d.Routes[i].item() })
	return items
}

// fieldList collects the fields of one item and omits those with their default.
type fieldList []Field

func (l *fieldList) text(key, value, def string) {
	if value != def {
		*l = append(*l, Field{Key: key, Value: value})
	}
}

func (l *fieldList) number(key string, value, def int) {
	l.text(key, strconv.Itoa(value), strconv.Itoa(def))
}

func (l *fieldList) decimal(key string, value, def float64) {
	l.text(key, formatFloat(value), formatFloat(def))
}

func (l *fieldList) duration(key string, value time.Duration) {
	l.text(key, value.String(), time.Duration(0).String())
}

func (l *fieldList) flag(key string, value bool) {
	l.text(key, strconv.FormatBool(value), "false")
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (dc *DataCentre) item() Item {
	var l fieldList
	l.text("region", string(dc.Region), "")
	return Item{Name: string(dc.Name), Pos: dc.Pos, Fields: l}
}

func (m *Member) item() Item {
	var l fieldList
	l.decimal("share", m.Share, 0)
	l.text("key_sha256", strings.Join(m.KeyHashes, ", "), "")
	l.text("kinds", joinKinds(m.Kinds), "")
	return Item{Name: string(m.ID), Pos: m.Pos, Fields: l}
}

func joinKinds(kinds []fleet.KindName) string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}

func (k *Kind) item() Item {
	var l fieldList
	l.text("group", string(k.Group), "")
	l.duration("first_token", k.FirstTokenTarget)
	l.duration("token_gap", k.TokenGapTarget)
	l.duration("deadline", k.Deadline)
	l.number("urgency", k.Urgency, 0)
	l.number("max_prompt_tokens", k.MaxPromptTokens, 0)
	l.number("max_output_tokens", k.MaxOutputTokens, 0)
	l.text("repeatable", strconv.FormatBool(k.Repeatable), "")
	return Item{Name: string(k.Name), Pos: k.Pos, Fields: l}
}

func (g *Group) item() Item {
	var l fieldList
	l.text("type", string(g.Type), "")
	l.flag("checks_fencing", g.ChecksFencing)
	l.text("model", string(g.Model), "")
	l.text("adapter", g.Adapter, "")
	l.text("model_version", g.ModelVersion, "")
	l.text("roles", rolesName(g.FixedRoles), rolesName(false))
	l.decimal("role_change_weight", g.RoleChangeWeight, DefaultRoleChangeWeight)
	l.number("cache_block_tokens", g.CacheBlockTokens, DefaultCacheBlockTokens)
	l.number("weight_loads", g.ConcurrentWeightLoads, DefaultConcurrentWeightLoads)
	return Item{Name: string(g.Name), Pos: g.Pos, Fields: l}
}

func rolesName(fixed bool) string {
	if fixed {
		return "fixed"
	}
	return "automatic"
}

func (u *Upstream) item() Item {
	var l fieldList
	l.text("group", string(u.Group), "")
	l.text("address", u.Address, "")
	l.text("data_centre", string(u.DataCentre), "")
	l.text("role", u.Role.String(), fleet.RoleMixed.String())
	l.decimal("speed", u.Speed, DefaultSpeed)
	return Item{Name: string(u.ID), Pos: u.Pos, Fields: l}
}

func (r *Route) item() Item {
	var l fieldList
	l.text("kind", string(r.Kind), "")
	return Item{Name: r.Path, Pos: r.Pos, Fields: l}
}

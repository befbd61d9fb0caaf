// Package declfile converts declarations to INI text and back.
package declfile

import (
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/inifile"
)

// Parse decodes and validates a declaration. It returns all faults, with file
// and line, as inifile.Faults.
func Parse(name string, text []byte) (*declare.Declaration, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	var faults inifile.Faults
	d := &declare.Declaration{}
	for _, s := range file.Sections {
		decode(d, name, s, &faults)
	}
	faults = merge(faults, locate(file, declare.Validate(d)))
	return d, faults.Err()
}

// merge adds the faults of validation to those of decoding, sorted by line. A
// value that could not be decoded keeps its default, which validation would
// report a second time on the same line.
func merge(decoding, validation inifile.Faults) inifile.Faults {
	reported := map[int]bool{}
	for _, f := range decoding {
		reported[f.Line] = true
	}
	for _, f := range validation {
		if !reported[f.Line] {
			decoding = append(decoding, f)
		}
	}
	sort.SliceStable(decoding, func(i, j int) bool { return decoding[i].Line < decoding[j].Line })
	return decoding
}

// Load reads, decodes and validates a file and returns the declaration with
// remarks on it. The error of an invalid file is that of Parse.
func Load(path string) (*declare.Declaration, inifile.Faults, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read declaration")
	}
	d, err := Parse(path, text)
	if err != nil {
		return nil, nil, err
	}
	return d, Lint(path, text, d), nil
}

// Lint returns remarks on a valid declaration, with file and line. It returns
// none if text cannot be parsed.
func Lint(name string, text []byte, d *declare.Declaration) inifile.Faults {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil
	}
	return locate(file, declare.Lint(d))
}

// locate converts problems to faults with the line of their key.
func locate(file *inifile.File, problems []declare.Problem) inifile.Faults {
	byLine := map[int]inifile.Section{}
	for _, s := range file.Sections {
		byLine[s.Line] = s
	}
	var faults inifile.Faults
	for _, p := range problems {
		line := p.Pos.Line
		if s, ok := byLine[line]; ok && p.Key != "" {
			line = s.KeyLine(p.Key)
		}
		faults = append(faults, inifile.Fault{
			File: file.Name, Line: line, Expected: p.Expected,
			Message: strings.TrimSpace(string(p.Section)+" "+p.Name) + ": " + p.Message,
		})
	}
	return faults
}

// Format returns the canonical text of a declaration: sections and names in a
// fixed order, without defaults and comments.
func Format(d *declare.Declaration) []byte {
	var text strings.Builder
	for i, item := range d.Items() {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString("[" + string(item.Section) + " " + item.Name + "]\n")
		for _, f := range item.Fields {
			text.WriteString(f.Key + " = " + f.Value + "\n")
		}
	}
	return []byte(text.String())
}

// decode adds the item of a section to the declaration and records the faults
// of the section.
func decode(d *declare.Declaration, name string, s inifile.Section, faults *inifile.Faults) {
	dec := inifile.NewDecoder(name, s, faults)
	pos := declare.Position{File: name, Line: s.Line}
	switch declare.Section(s.Kind) {
	case declare.SectionDataCentre:
		d.DataCentres = append(d.DataCentres, declare.DataCentre{
			Name: fleet.DataCentre(s.Name), Region: declare.Region(dec.Required("region", "a region's name")), Pos: pos,
		})
	case declare.SectionMember:
		d.Members = append(d.Members, decodeMember(dec, s.Name, pos))
	case declare.SectionKind:
		d.Kinds = append(d.Kinds, decodeKind(dec, s.Name, pos))
	case declare.SectionGroup:
		d.Groups = append(d.Groups, decodeGroup(dec, s.Name, pos))
	case declare.SectionUpstream:
		d.Upstreams = append(d.Upstreams, decodeUpstream(dec, s.Name, pos))
	case declare.SectionRoute:
		d.Routes = append(d.Routes, declare.Route{
			Path: s.Name, Kind: fleet.KindName(dec.Required("kind", "a kind's name")), Pos: pos,
		})
	default:
		*faults = append(*faults, inifile.Fault{
			File: name, Line: s.Line, Message: "unknown section [" + strings.TrimSpace(s.Kind+" "+s.Name) + "]",
			Expected: "[data_centre NAME], [member NAME], [kind NAME], [group NAME], [upstream NAME] or [route PATH]",
		})
		return
	}
	dec.ReportUnknownKeys()
}

func decodeMember(dec *inifile.Decoder, name string, pos declare.Position) declare.Member {
	m := declare.Member{ID: fleet.MemberID(name), Pos: pos}
	m.Share = dec.Float("share", 1)
	m.KeyHashes = dec.Strings("key_sha256")
	for _, k := range dec.Strings("kinds") {
		m.Kinds = append(m.Kinds, fleet.KindName(k))
	}
	return m
}

func decodeKind(dec *inifile.Decoder, name string, pos declare.Position) declare.Kind {
	k := declare.Kind{
		Name:             fleet.KindName(name),
		Group:            fleet.GroupName(dec.Required("group", "a group's name")),
		FirstTokenTarget: dec.Duration("first_token", 0),
		TokenGapTarget:   dec.Duration("token_gap", 0),
		Deadline:         dec.Duration("deadline", 0),
		Urgency:          dec.Int("urgency", 0),
		MaxPromptTokens:  dec.Int("max_prompt_tokens", 0),
		MaxOutputTokens:  dec.Int("max_output_tokens", 0),
		Repeatable:       dec.Bool("repeatable", false),
		Pos:              pos,
	}
	// There is no default, because either value would be a guess about a call
	// that may move money.
	if !dec.Has("repeatable") {
		dec.ReportInvalid("repeatable", "repeatable = true or false: whether running a call twice does no harm")
	}
	return k
}

func decodeGroup(dec *inifile.Decoder, name string, pos declare.Position) declare.Group {
	g := declare.Group{
		Name:                  fleet.GroupName(name),
		Type:                  declare.GroupType(dec.Required("type", "engine or service")),
		ChecksFencing:         dec.Bool("checks_fencing", false),
		Model:                 fleet.ModelName(dec.String("model", "")),
		Adapter:               dec.String("adapter", ""),
		ModelVersion:          dec.String("model_version", ""),
		RoleChangeWeight:      dec.Float("role_change_weight", declare.DefaultRoleChangeWeight),
		CacheBlockTokens:      dec.Int("cache_block_tokens", declare.DefaultCacheBlockTokens),
		ConcurrentWeightLoads: dec.Int("weight_loads", declare.DefaultConcurrentWeightLoads),
		Pos:                   pos,
	}
	switch dec.String("roles", "automatic") {
	case "fixed":
		g.FixedRoles = true
	case "automatic":
	default:
		dec.ReportInvalid("roles", "fixed or automatic")
	}
	return g
}

func decodeUpstream(dec *inifile.Decoder, name string, pos declare.Position) declare.Upstream {
	role, ok := fleet.ParseRole(dec.String("role", "mixed"))
	if !ok {
		dec.ReportInvalid("role", "mixed, prefill or decode")
	}
	return declare.Upstream{
		ID:         fleet.UpstreamID(name),
		Group:      fleet.GroupName(dec.Required("group", "a group's name")),
		Address:    dec.Address("address", ""),
		DataCentre: fleet.DataCentre(dec.Required("data_centre", "a data centre's name")),
		Role:       role,
		Speed:      dec.Float("speed", declare.DefaultSpeed),
		Pos:        pos,
	}
}

// Package declfile decodes declarations from INI text.
package declfile

import (
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/inifile"
)

// Parse decodes a declaration and returns every fault found, with file and line.
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
	return d, faults.Err()
}

func decode(d *declare.Declaration, name string, s inifile.Section, faults *inifile.Faults) {
	dec := inifile.NewDecoder(name, s, faults)
	pos := declare.Position{File: name, Line: s.Line}
	switch s.Kind {
	case "member":
		d.Members = append(d.Members, decodeMember(dec, s.Name, pos))
	case "kind":
		d.Kinds = append(d.Kinds, decodeKind(dec, s.Name, pos))
	case "group":
		d.Groups = append(d.Groups, decodeGroup(dec, s.Name, pos))
	case "upstream":
		d.Upstreams = append(d.Upstreams, decodeUpstream(dec, s.Name, pos))
	case "route":
		d.Routes = append(d.Routes, declare.Route{
			Path: s.Name, Kind: fleet.KindName(dec.Required("kind", "a kind's name")), Pos: pos,
		})
	default:
		*faults = append(*faults, inifile.Fault{
			File: name, Line: s.Line, Message: "unknown section [" + s.Kind + " " + s.Name + "]",
			Expected: "[member NAME], [kind NAME], [group NAME], [upstream NAME] or [route PATH]",
		})
		return
	}
	dec.Done()
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
	return declare.Kind{
		Name:             fleet.KindName(name),
		Group:            fleet.GroupName(dec.Required("group", "a group's name")),
		TargetFirstToken: dec.Duration("first_token", 0),
		TargetTokenGap:   dec.Duration("token_gap", 0),
		Deadline:         dec.Duration("deadline", 0),
		Urgency:          dec.Int("urgency", 0),
		MaxPromptTokens:  dec.Int("max_prompt_tokens", 0),
		MaxOutputTokens:  dec.Int("max_output_tokens", 0),
		Repeatable:       dec.Bool("repeatable", false),
		Pos:              pos,
	}
}

func decodeGroup(dec *inifile.Decoder, name string, pos declare.Position) declare.Group {
	return declare.Group{
		Name:             fleet.GroupName(name),
		Type:             declare.GroupType(dec.Required("type", "engine or service")),
		ChecksFencing:    dec.Bool("checks_fencing", false),
		Model:            fleet.ModelName(dec.String("model", "")),
		Adapter:          dec.String("adapter", ""),
		ModelVersion:     dec.String("model_version", ""),
		RoleChangeWeight: dec.Float("role_change_weight", 1),
		WeightLoads:      dec.Int("weight_loads", 1),
		Pos:              pos,
	}
}

func decodeUpstream(dec *inifile.Decoder, name string, pos declare.Position) declare.Upstream {
	role, ok := fleet.ParseRole(dec.String("role", "mixed"))
	if !ok {
		dec.Fault("role", "mixed, prefill or decode")
	}
	return declare.Upstream{
		ID:         fleet.UpstreamID(name),
		Group:      fleet.GroupName(dec.Required("group", "a group's name")),
		Address:    dec.Address("address", ""),
		DataCentre: fleet.DataCentre(dec.Required("data_centre", "a data centre's name")),
		Role:       role,
		Pos:        pos,
	}
}

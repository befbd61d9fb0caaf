package settings

import (
	"flag"
	"sort"
	"strings"

	"github.com/bramleywick/bramleywick/inifile"
)

// EnvPrefix is the prefix of the environment variables that override settings:
// the key id of section [instance] is BRAMLEYWICK_INSTANCE_ID.
const EnvPrefix = "BRAMLEYWICK"

// overridable holds the help texts of the settings that a flag or the
// environment may override. Secrets and lists can only be set in the file.
var overridable = map[string]string{
	"instance.id":             "the instance's name",
	"instance.data_centre":    "the instance's data centre",
	"instance.balancer_delay": "how long the balancer takes to notice that the instance is not ready",
	"instance.drain_limit":    "longest wait for running answers at a planned stop",
	"listen.callers":          "IP address and port for callers",
	"listen.operators":        "IP address and port for operators",
	"listen.peers":            "IP address and port for other instances",
	"listen.admin":            "IP address and port for metrics and health",
	"platform.url":            "base URL of the platform's service",
}

// Overrides holds values from flags or the environment by "section.key".
type Overrides map[string]*string

// RegisterFlags adds a flag for each overridable setting. The values are filled
// in when the flags are parsed. An empty value overrides nothing.
func RegisterFlags(flags *flag.FlagSet) Overrides {
	o := Overrides{}
	for name, help := range overridable {
		o[name] = flags.String(name, "", help+" (overrides the file)")
	}
	return o
}

// apply replaces values of a file by the overrides.
func (o Overrides) apply(file *inifile.File) {
	names := make([]string, 0, len(o))
	for name := range o {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if *o[name] != "" {
			kind, key, _ := strings.Cut(name, ".")
			override(file, kind, inifile.Key{
				Name: key, Value: *o[name], Source: "flag -" + name + " or " + envName(name),
			})
		}
	}
}

// envName returns the environment variable that overrides a setting.
func envName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}

// override sets a key of a section, which it adds if the file does not have it.
func override(file *inifile.File, kind string, key inifile.Key) {
	for i := range file.Sections {
		s := &file.Sections[i]
		if s.Kind != kind || s.Name != "" {
			continue
		}
		for j := range s.Keys {
			if s.Keys[j].Name == key.Name {
				s.Keys[j] = key
				return
			}
		}
		s.Keys = append(s.Keys, key)
		return
	}
	file.Sections = append(file.Sections, inifile.Section{Kind: kind, Line: 1, Keys: []inifile.Key{key}})
}

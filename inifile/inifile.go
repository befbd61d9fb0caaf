// Package inifile parses INI text and keeps the line of each section and key,
// so that faults can be reported with file and line.
//
// The accepted dialect is stricter than that of the INI library: a section
// header and a key each occupy one line, sections and keys are unique, and a
// comment starts a line or follows a space. There are no includes.
package inifile

import (
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// File is one parsed INI text.
type File struct {
	Name     string
	Sections []Section
}

// Section is one [kind name] block.
type Section struct {
	// Kind is the first word of the section header, Name the rest.
	Kind string
	Name string
	Line int
	Keys []Key
}

// Key is one assignment in a section.
type Key struct {
	Name  string
	Value string
	Line  int
	// Source replaces the file's name in messages if the value comes from a
	// flag or the environment.
	Source string
}

// Parse parses INI text. name is used in messages. Syntax errors are all
// returned together as Faults; any other error comes from the INI library.
func Parse(name string, text []byte) (*File, error) {
	sections, faults := scan(name, text)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: parse INI", name)
	}
	file := &File{Name: name}
	for _, s := range sections {
		values, err := parsed.GetSection(s.header)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d: parse INI", name, s.Line)
		}
		for i, k := range s.Keys {
			s.Keys[i].Value = values.Key(k.Name).Value()
		}
		file.Sections = append(file.Sections, s.Section)
	}
	return file, nil
}

// KeyLine returns the line of a key, or the section's line if the key is not
// set.
func (s Section) KeyLine(name string) int {
	for _, k := range s.Keys {
		if k.Name == name && k.Line > 0 {
			return k.Line
		}
	}
	return s.Line
}

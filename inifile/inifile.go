// Package inifile reads INI text and remembers on which line each section and
// key stands, so that faults can be reported with file and line.
package inifile

import (
	"bufio"
	"bytes"
	"strings"

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
}

// Parse reads INI text; name is used in messages.
func Parse(name string, text []byte) (*File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true,
		IgnoreInlineComment:    false,
		KeyValueDelimiters:     "=",
	}, text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: parse INI", name)
	}
	lines := scanLines(text)
	file := &File{Name: name}
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		file.Sections = append(file.Sections, lines.section(s))
	}
	return file, nil
}

// lineIndex lists headers and keys in file order. The INI library does not
// report line numbers.
type lineIndex struct {
	headers []located
	next    int
}

type located struct {
	text string
	line int
	keys []located
}

func scanLines(text []byte) *lineIndex {
	index := &lineIndex{headers: []located{{text: ini.DefaultSection, line: 1}}}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, len(text)+1)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			name := strings.TrimSpace(line[1 : len(line)-1])
			index.headers = append(index.headers, located{text: name, line: number})
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#") {
			last := &index.headers[len(index.headers)-1]
			last.keys = append(last.keys, located{text: strings.TrimSpace(key), line: number})
		}
	}
	return index
}

func (x *lineIndex) section(s *ini.Section) Section {
	for x.next < len(x.headers) && x.headers[x.next].text != s.Name() {
		x.next++
	}
	var header located
	if x.next < len(x.headers) {
		header = x.headers[x.next]
		x.next++
	}
	kind, name, _ := strings.Cut(s.Name(), " ")
	out := Section{Kind: kind, Name: strings.TrimSpace(name), Line: header.line}
	for _, k := range s.Keys() {
		out.Keys = append(out.Keys, Key{Name: k.Name(), Value: k.Value(), Line: header.keyLine(k.Name())})
	}
	return out
}

func (l located) keyLine(name string) int {
	for _, k := range l.keys {
		if k.text == name {
			return k.line
		}
	}
	return l.line
}

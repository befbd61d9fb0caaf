package inifile

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"
)

// scannedSection is a section whose keys have no values yet.
type scannedSection struct {
	Section
	// header is the text between the brackets, as the INI library keeps it.
	header string
}

var (
	headerPattern = regexp.MustCompile(`^\[([^\[\]]+)\]$`)
	keyPattern    = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]*$`)
)

// scanner checks the syntax line by line. The INI library reports neither line
// numbers nor repeated keys, and stops at the first fault.
type scanner struct {
	name     string
	sections []scannedSection
	faults   Faults
	// headerLines holds the line on which each section was first seen, keyLines
	// that of each key of the current section.
	headerLines map[string]int
	keyLines    map[string]int
}

// scan checks the syntax and returns the sections with their keys, without
// values, and all faults.
func scan(name string, text []byte) ([]scannedSection, Faults) {
	s := &scanner{name: name, headerLines: map[string]int{}}
	for i, raw := range bytes.Split(text, []byte("\n")) {
		s.line(i+1, string(raw))
	}
	return s.sections, s.faults
}

func (s *scanner) fault(line int, expected, format string, args ...any) {
	s.faults = append(s.faults, Fault{
		File: s.name, Line: line, Message: fmt.Sprintf(format, args...), Expected: expected,
	})
}

func (s *scanner) line(number int, raw string) {
	line := strings.TrimSpace(raw)
	switch {
	case !printable(raw):
		s.fault(number, "printable UTF-8 text", "the line has bytes that are not text")
	case line == "" || line[0] == ';' || line[0] == '#':
	case line[0] == '[':
		s.header(number, line)
	default:
		s.key(number, line)
	}
}

// printable reports whether a line is UTF-8 without control characters other
// than tabs and the carriage return of a DOS line end.
func printable(raw string) bool {
	if !utf8.ValidString(raw) {
		return false
	}
	for _, r := range strings.TrimSuffix(raw, "\r") {
		if r < ' ' && r != '\t' || r >= 0x7f && r < 0xa0 || r == '\ufeff' || r == '\u2028' {
			return false
		}
	}
	return true
}

func (s *scanner) header(number int, line string) {
	match := headerPattern.FindStringSubmatch(line)
	if match == nil || strings.TrimSpace(match[1]) == "" {
		s.fault(number, "[KIND] or [KIND NAME] alone on the line", "%q is not a section header", line)
		return
	}
	fields := strings.Fields(match[1])
	full := strings.Join(fields, " ")
	if first, ok := s.headerLines[full]; ok {
		s.fault(number, "", "section [%s] is already declared on line %d", full, first)
	} else {
		s.headerLines[full] = number
	}
	s.keyLines = map[string]int{}
	s.sections = append(s.sections, scannedSection{
		Section: Section{Kind: fields[0], Name: strings.Join(fields[1:], " "), Line: number},
		header:  match[1],
	})
}

func (s *scanner) key(number int, line string) {
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok:
		s.fault(number, "key = value", "%q is not an assignment", line)
		return
	case !keyPattern.MatchString(name):
		s.fault(number, "a name of letters, digits, '_', '.' and '-'", "%q is not a key's name", name)
		return
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.fault(number, "a value on one line", "%s has a quoted value that may span lines", name)
		return
	case len(s.sections) == 0:
		s.fault(number, "a section header first", "%s stands before any section", name)
		return
	}
	if first, ok := s.keyLines[name]; ok {
		s.fault(number, "", "key %q is already set on line %d", name, first)
		return
	}
	s.keyLines[name] = number
	last := &s.sections[len(s.sections)-1]
	last.Keys = append(last.Keys, Key{Name: name, Line: number})
}

package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Fault is one problem in a file. Line is 0 if the value does not come from the
// file.
type Fault struct {
	File     string
	Line     int
	Message  string
	Expected string
}

// Error implements error.
func (f Fault) Error() string {
	text := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	if f.Line == 0 {
		text = fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	if f.Expected != "" {
		text += "; expected " + f.Expected
	}
	return text
}

// Faults collects all faults found by a check, so that they are reported
// together.
type Faults []Fault

// Error implements error with one fault per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Decoder reads the typed keys of one section and records faults. Its methods
// that take a default def return it for a missing key, and for a value that is
// not valid, which they record as a fault.
type Decoder struct {
	file      string
	section   Section
	requested map[string]bool
	faults    *Faults
}

// NewDecoder returns a decoder that appends to faults.
func NewDecoder(file string, section Section, faults *Faults) *Decoder {
	return &Decoder{file: file, section: section, requested: map[string]bool{}, faults: faults}
}

func (d *Decoder) fault(line int, expected, format string, args ...any) {
	*d.faults = append(*d.faults, Fault{
		File: d.file, Line: line, Message: fmt.Sprintf(format, args...), Expected: expected,
	})
}

// keyFault records a fault of one key at the place where its value was set.
func (d *Decoder) keyFault(key Key, expected, format string, args ...any) {
	d.fault(key.Line, expected, format, args...)
	if key.Source != "" {
		last := &(*d.faults)[len(*d.faults)-1]
		last.File, last.Line = key.Source, 0
	}
}

// header returns the section's header for messages.
func (d *Decoder) header() string {
	return strings.TrimSpace(d.section.Kind + " " + d.section.Name)
}

// find returns a key and whether the section sets it, and remembers that it was
// requested.
func (d *Decoder) find(name string) (Key, bool) {
	d.requested[name] = true
	for _, k := range d.section.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// parseKey returns the parsed value of a key, or def if the key is missing or
// its value is not valid. It records a fault for an invalid value.
func parseKey[T any](d *Decoder, name string, def T, expected string, parse func(string) (T, error)) T {
	key, ok := d.find(name)
	if !ok {
		return def
	}
	v, err := parse(key.Value)
	if err != nil {
		d.keyFault(key, expected, "%s = %q is not valid", name, key.Value)
		return def
	}
	return v
}

// String returns a text value or def.
func (d *Decoder) String(name, def string) string {
	return parseKey(d, name, def, "text", func(s string) (string, error) { return s, nil })
}

// Required returns a text value and records a fault if it is missing or empty.
func (d *Decoder) Required(name, expected string) string {
	key, ok := d.find(name)
	if !ok || key.Value == "" {
		d.fault(d.section.KeyLine(name), expected, "[%s] lacks %s", d.header(), name)
	}
	return key.Value
}

// Duration returns a duration such as "250ms" or def.
func (d *Decoder) Duration(name string, def time.Duration) time.Duration {
	return parseKey(d, name, def, "a duration with a unit, such as 250ms or 10s", time.ParseDuration)
}

// Int returns a whole number or def.
func (d *Decoder) Int(name string, def int) int {
	return parseKey(d, name, def, "a whole number", strconv.Atoi)
}

// Float returns a finite number or def.
func (d *Decoder) Float(name string, def float64) float64 {
	return parseKey(d, name, def, "a number", parseFloat)
}

// parseFloat accepts finite numbers only, because range checks do not catch
// "NaN" and "Inf".
func parseFloat(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		return 0, strconv.ErrRange
	}
	return v, err
}

// Bool returns the value of a key that is true or false, or def.
func (d *Decoder) Bool(name string, def bool) bool {
	return parseKey(d, name, def, "true or false", func(s string) (bool, error) {
		if s != "true" && s != "false" {
			return false, strconv.ErrSyntax
		}
		return s == "true", nil
	})
}

// Address returns an IP address with a port or def.
func (d *Decoder) Address(name, def string) string {
	return parseKey(d, name, def, "an IP address with a port, such as 127.0.0.1:8080", func(s string) (string, error) {
		_, err := netip.ParseAddrPort(s)
		return s, err
	})
}

// Strings returns the items of a list separated by commas, without empty ones,
// or nil if the key is missing.
func (d *Decoder) Strings(name string) []string {
	return parseKey(d, name, nil, "names separated by commas", func(s string) ([]string, error) {
		var list []string
		for _, item := range strings.Split(s, ",") {
			if item = strings.TrimSpace(item); item != "" {
				list = append(list, item)
			}
		}
		return list, nil
	})
}

// ReportUnknownKeys records a fault for every key that was not read.
func (d *Decoder) ReportUnknownKeys() {
	for _, k := range d.section.Keys {
		if !d.requested[k.Name] {
			d.keyFault(k, "one of "+strings.Join(d.requestedKeys(), ", "), "unknown key %q in [%s]", k.Name, d.header())
		}
	}
}

// requestedKeys returns the sorted names of the keys that were read.
func (d *Decoder) requestedKeys() []string {
	names := make([]string, 0, len(d.requested))
	for name := range d.requested {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ReportInvalid records that a key's value is not valid, or that the key is
// missing.
func (d *Decoder) ReportInvalid(name, expected string) {
	key, ok := d.find(name)
	if !ok {
		d.fault(d.section.Line, expected, "[%s] has no valid %s", d.header(), name)
		return
	}
	d.keyFault(key, expected, "%s = %q is not valid", name, key.Value)
}

// Has reports whether the section sets a key.
func (d *Decoder) Has(name string) bool {
	_, ok := d.find(name)
	return ok
}

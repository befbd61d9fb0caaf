package inifile

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File     string
	Line     int
	Message  string
	Expected string
}

// Error implements error.
func (f Fault) Error() string {
	text := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	if f.Expected != "" {
		text += "; expected " + f.Expected
	}
	return text
}

// Faults collects every fault of a check, so that all are reported at once.
type Faults []Fault

// Error implements error with one fault per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there is no fault.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Decoder reads the typed keys of one section and records faults.
type Decoder struct {
	file    string
	section Section
	used    map[string]bool
	faults  *Faults
}

// NewDecoder returns a decoder that appends to faults.
func NewDecoder(file string, section Section, faults *Faults) *Decoder {
	return &Decoder{file: file, section: section, used: map[string]bool{}, faults: faults}
}

func (d *Decoder) fault(line int, expected, format string, args ...any) {
	*d.faults = append(*d.faults, Fault{
		File: d.file, Line: line, Message: fmt.Sprintf(format, args...), Expected: expected,
	})
}

func (d *Decoder) find(name string) (Key, bool) {
	d.used[name] = true
	for _, k := range d.section.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// value parses one key; a missing key gives the default.
func value[T any](d *Decoder, name string, def T, expected string, parse func(string) (T, error)) T {
	key, ok := d.find(name)
	if !ok {
		return def
	}
	v, err := parse(key.Value)
	if err != nil {
		d.fault(key.Line, expected, "%s = %q is not valid", name, key.Value)
		return def
	}
	return v
}

// String returns a text value or def.
func (d *Decoder) String(name, def string) string {
	return value(d, name, def, "text", func(s string) (string, error) { return s, nil })
}

// Required returns a text value and records a fault when it is missing.
func (d *Decoder) Required(name, expected string) string {
	key, ok := d.find(name)
	if !ok || key.Value == "" {
		d.fault(d.section.Line, expected, "[%s %s] lacks %s", d.section.Kind, d.section.Name, name)
	}
	return key.Value
}

// Duration returns a duration such as "250ms" or def.
func (d *Decoder) Duration(name string, def time.Duration) time.Duration {
	return value(d, name, def, "a duration with a unit, such as 250ms or 10s", time.ParseDuration)
}

// Int returns a whole number or def.
func (d *Decoder) Int(name string, def int) int {
	return value(d, name, def, "a whole number", strconv.Atoi)
}

// Float returns a number or def.
func (d *Decoder) Float(name string, def float64) float64 {
	return value(d, name, def, "a number", func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

// Bool returns true or false or def.
func (d *Decoder) Bool(name string, def bool) bool {
	return value(d, name, def, "true or false", strconv.ParseBool)
}

// Address returns an IP address with a port or def.
func (d *Decoder) Address(name, def string) string {
	return value(d, name, def, "an IP address with a port, such as 127.0.0.1:8080", func(s string) (string, error) {
		_, err := netip.ParseAddrPort(s)
		return s, err
	})
}

// Strings returns a list separated by commas.
func (d *Decoder) Strings(name string) []string {
	return value(d, name, nil, "names separated by commas", func(s string) ([]string, error) {
		var list []string
		for _, item := range strings.Split(s, ",") {
			if item = strings.TrimSpace(item); item != "" {
				list = append(list, item)
			}
		}
		return list, nil
	})
}

// Done records a fault for every key that was not read.
func (d *Decoder) Done() {
	for _, k := range d.section.Keys {
		if !d.used[k.Name] {
			d.fault(k.Line, "", "unknown key %q in [%s %s]", k.Name, d.section.Kind, d.section.Name)
		}
	}
}

// Fault records that a key's value is not valid.
func (d *Decoder) Fault(name, expected string) {
	key, _ := d.find(name)
	d.fault(key.Line, expected, "%s = %q is not valid", name, key.Value)
}

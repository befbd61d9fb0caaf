package declare

import (
	"fmt"
	"strings"
)

// Op is the type of a change between two declarations.
type Op string

// Operations of a change.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// FieldChange is one key whose value differs. An empty value means that the key
// has its default.
type FieldChange struct {
	Key string
	Old string
	New string
}

// Change is one item that differs between two declarations.
type Change struct {
	Op      Op
	Section Section
	Name    string
	Fields  []FieldChange
}

// String formats the change on one line, such as
// `~ kind ledger: deadline 1m0s -> 30s`.
func (c Change) String() string {
	sign := map[Op]string{OpAdded: "+", OpRemoved: "-", OpChanged: "~"}[c.Op]
	var parts []string
	for _, f := range c.Fields {
		switch c.Op {
		case OpAdded:
			parts = append(parts, f.Key+" "+f.New)
		case OpRemoved:
			parts = append(parts, f.Key+" "+f.Old)
		default:
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Key, orDefault(f.Old), orDefault(f.New)))
		}
	}
	text := fmt.Sprintf("%s %s %s", sign, c.Section, c.Name)
	if len(parts) > 0 {
		text += ": " + strings.Join(parts, "; ")
	}
	return text
}

func orDefault(value string) string {
	if value == "" {
		return "(default)"
	}
	return value
}

// Diff returns the items that differ, in canonical order with removed items
// last. A nil declaration counts as empty. Positions are ignored.
func Diff(old, next *Declaration) []Change {
	before := itemsByKey(old)
	var changes []Change
	if next != nil {
		for _, item := range next.Items() {
			key := itemKey{item.Section, item.Name}
			previous, existed := before[key]
			delete(before, key)
			op := OpChanged
			if !existed {
				op = OpAdded
			}
			fields := diffFields(previous.Fields, item.Fields)
			if !existed || len(fields) > 0 {
				changes = append(changes, Change{Op: op, Section: item.Section, Name: item.Name, Fields: fields})
			}
		}
	}
	if old != nil {
		for _, item := range old.Items() {
			if _, removed := before[itemKey{item.Section, item.Name}]; removed {
				changes = append(changes, Change{
					Op: OpRemoved, Section: item.Section, Name: item.Name, Fields: diffFields(item.Fields, nil),
				})
			}
		}
	}
	return changes
}

// itemKey identifies an item within a declaration.
type itemKey struct {
	section Section
	name    string
}

func itemsByKey(d *Declaration) map[itemKey]Item {
	items := map[itemKey]Item{}
	if d != nil {
		for _, item := range d.Items() {
			items[itemKey{item.Section, item.Name}] = item
		}
	}
	return items
}

// diffFields compares two lists that use the same fixed order of keys.
func diffFields(old, next []Field) []FieldChange {
	var changes []FieldChange
	for _, f := range next {
		if before := valueOf(old, f.Key); before != f.Value {
			changes = append(changes, FieldChange{Key: f.Key, Old: before, New: f.Value})
		}
	}
	for _, f := range old {
		if valueOf(next, f.Key) == "" {
			changes = append(changes, FieldChange{Key: f.Key, Old: f.Value})
		}
	}
	return changes
}

// valueOf returns the value of a key, or "" if the key has its default.
func valueOf(fields []Field, key string) string {
	for _, f := range fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

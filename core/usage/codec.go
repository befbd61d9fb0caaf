package usage

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Batch holds counts by process.
type Batch []ProcessCounts

// ProcessCounts are counts of one process.
type ProcessCounts struct {
	Process Process
	// Started is the first window that began after the process started, and
	// Closed the last one whose counts are complete; 0 when unknown.
	Started, Closed int64
	Windows         []WindowCounts
}

// WindowCounts are the counts of one window.
type WindowCounts struct {
	Window int64
	Counts []MemberCount
}

// MemberCount is the number of a member's requests.
type MemberCount struct {
	Member fleet.MemberID
	Count  int64
}

const (
	codecVersion = 1
	// maxNameBytes bounds the name of an instance or a member.
	maxNameBytes = 256
)

// errBatch means that a batch cannot be read.
var errBatch = errors.New("usage: malformed counts")

// Encode encodes a batch. Names of members are written once, in order, each
// without the part that it shares with the one before.
func (b Batch) Encode() []byte {
	var names []fleet.MemberID
	for _, p := range b {
		for _, w := range p.Windows {
			for _, c := range w.Counts {
				names = append(names, c.Member)
			}
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	index := make(map[fleet.MemberID]uint64, len(names))
	out := []byte{codecVersion}
	out = binary.AppendUvarint(out, uint64(len(names)))
	last := fleet.MemberID("")
	for i, name := range names {
		index[name] = uint64(i)
		shared := 0
		for shared < min(len(last), len(name)) && last[shared] == name[shared] {
			shared++
		}
		out = binary.AppendUvarint(out, uint64(shared))
		out = appendText(out, string(name[shared:]))
		last = name
	}
	out = binary.AppendUvarint(out, uint64(len(b)))
	base := b.base()
	out = binary.AppendVarint(out, base)
	for _, p := range b {
		out = appendText(out, string(p.Process.Instance))
		out = binary.LittleEndian.AppendUint64(out, p.Process.Epoch)
		out = appendWindow(out, p.Started, base)
		out = appendWindow(out, p.Closed, base)
		out = binary.AppendUvarint(out, uint64(len(p.Windows)))
		for _, w := range p.Windows {
			out = binary.AppendVarint(out, w.Window-base)
			out = binary.AppendUvarint(out, uint64(len(w.Counts)))
			next := uint64(0)
			for _, c := range w.Counts {
				// The counts are in order of the names as a rule; the difference
				// wraps around otherwise.
				out = binary.AppendVarint(out, int64(index[c.Member]-next))
				out = binary.AppendUvarint(out, uint64(c.Count))
				next = index[c.Member] + 1
			}
		}
	}
	return out
}

// base returns the window relative to which the others are encoded.
func (b Batch) base() int64 {
	for _, p := range b {
		if len(p.Windows) > 0 {
			return p.Windows[0].Window
		}
	}
	return 0
}

// appendWindow appends a window that is 0 when unknown: the difference to base,
// moved by one away from 0.
func appendWindow(out []byte, window, base int64) []byte {
	switch d := window - base; {
	case window == 0:
		return binary.AppendVarint(out, 0)
	case d >= 0:
		return binary.AppendVarint(out, d+1)
	default:
		return binary.AppendVarint(out, d)
	}
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// decoder reads the parts of an encoded batch. After the first fault it returns
// zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int, ok bool) {
	if !ok || n <= 0 || n > len(d.rest) {
		d.failed, d.rest = true, nil
		return
	}
	d.rest = d.rest[n:]
}

func (d *decoder) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.take(n, v <= limit); d.failed {
		return 0
	}
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	if d.take(n, true); d.failed {
		return 0
	}
	return v
}

// window reads what appendWindow has written.
func (d *decoder) window(base int64) int64 {
	switch v := d.varint(); {
	case v == 0:
		return 0
	case v > 0:
		return base + v - 1
	default:
		return base + v
	}
}

// length reads a number of parts, each of which takes at least one byte.
func (d *decoder) length() int { return int(d.uvarint(uint64(len(d.rest)))) }

func (d *decoder) text() string {
	n := int(d.uvarint(maxNameBytes))
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return ""
	}
	out := string(d.rest[:n])
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) epoch() uint64 {
	if len(d.rest) < 8 {
		d.failed, d.rest = true, nil
		return 0
	}
	out := binary.LittleEndian.Uint64(d.rest)
	d.rest = d.rest[8:]
	return out
}

// DecodeBatch decodes an encoded batch. No bytes are an empty batch.
func DecodeBatch(raw []byte) (Batch, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	if raw[0] != codecVersion {
		return nil, errBatch
	}
	d := &decoder{rest: raw[1:]}
	names := make([]fleet.MemberID, 0, d.length())
	last := fleet.MemberID("")
	for range cap(names) {
		shared := int(d.uvarint(uint64(len(last))))
		last = last[:shared] + fleet.MemberID(d.text())
		if d.failed || len(last) > maxNameBytes || last == "" {
			return nil, errBatch
		}
		names = append(names, last)
	}
	var out Batch
	processes := d.length()
	base := d.varint()
	for range processes {
		p := ProcessCounts{Process: Process{fleet.InstanceID(d.text()), d.epoch()}, Started: d.window(base), Closed: d.window(base)}
		for range d.length() {
			w := WindowCounts{Window: base + d.varint()}
			next := uint64(0)
			for range d.length() {
				i := next + uint64(d.varint())
				count := d.uvarint(maxCount)
				if d.failed || i >= uint64(len(names)) {
					return nil, errBatch
				}
				w.Counts = append(w.Counts, MemberCount{names[i], int64(count)})
				next = i + 1
			}
			p.Windows = append(p.Windows, w)
		}
		if d.failed || p.Process.Instance == "" {
			return nil, errBatch
		}
		out = append(out, p)
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errBatch
	}
	return out, nil
}

package exchange

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// errMalformed is the only way in which decoding fails.
var errMalformed = errors.New("malformed exchange message")

// maxText bounds one name on the wire.
const maxText = 512

// writer appends values to a message.
type writer struct {
	out   []byte
	names *Dictionary
	// spell writes every name in full, for a peer with other numbers.
	spell bool
}

func (w *writer) uint(v uint64) { w.out = binary.AppendUvarint(w.out, v) }

func (w *writer) count(v int) { w.uint(uint64(max(v, 0))) }

func (w *writer) text(s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	w.uint(uint64(len(s)))
	w.out = append(w.out, s...)
}

// number returns a name's number, or 0 if it is spelt out.
func (w *writer) number(t table, s string) uint64 {
	if w.spell {
		return 0
	}
	return t.number[s]
}

// next writes a name as the difference of its number from that of the name
// before, which must not be larger, and returns the number.
func (w *writer) next(last, number uint64, s string) uint64 {
	if number == 0 {
		w.uint(0)
		w.text(s)
		return last
	}
	w.uint(number - last + 1)
	return number
}

// cost writes a cost in three bytes, rounded to 16 significant bits: its
// relative error of 1e-5 is small against a share error of 5%.
func (w *writer) cost(v float64) {
	bits := math.Float32bits(float32(v)) + 1<<7
	w.out = append(w.out, byte(bits>>8), byte(bits>>16), byte(bits>>24))
}

// precise writes a number that grows for the life of a process in four bytes.
func (w *writer) precise(v float64) {
	w.out = binary.LittleEndian.AppendUint32(w.out, math.Float32bits(float32(v)))
}

// estimateSteps per factor of two give estimates a relative error of 2.2%, below
// that of any estimate of tokens, in one byte up to a million tokens.
const (
	estimateSteps = 16
	estimateScale = 16.0
)

func (w *writer) estimate(v int) {
	steps := math.Round(estimateSteps * math.Log2(1+float64(max(v, 0))/estimateScale))
	w.out = append(w.out, byte(min(steps, math.MaxUint8)))
}

func (r *reader) estimate() int {
	raw := r.bytes(1)
	if raw == nil {
		return 0
	}
	return int(math.Round(estimateScale * (math.Exp2(float64(raw[0])/estimateSteps) - 1)))
}

// ageUnit lets ages up to 1.27 s fit in one byte. Reports are older than that
// by the time they are used.
const ageUnit = 10 * time.Millisecond

func (w *writer) age(d time.Duration) { w.uint(uint64(max(d, 0) / ageUnit)) }

// coarse writes a number rounded to a unit.
func (w *writer) coarse(v, unit int) { w.count((v + unit/2) / unit) }

// handleBytes make a handle given out by an earlier process valid by accident
// once in a million million.
const handleBytes = 5

func (w *writer) handle(h uint64) {
	for i := range handleBytes {
		w.out = append(w.out, byte(h>>(8*i)))
	}
}

// group writes an item's group and class in one number: the group's number
// times the number of classes, plus the class.
func (w *writer) group(t table, i item) {
	number := t.number[string(i.group)]
	if w.spell {
		number = 0
	}
	w.uint(number*uint64(classes) + uint64(i.class))
	if number == 0 {
		w.text(string(i.group))
	}
}

func (w *writer) flags(bits ...bool) {
	var b byte
	for i, set := range bits {
		if set {
			b |= 1 << i
		}
	}
	w.out = append(w.out, b)
}

// reader takes values from a message. The first fault sticks and makes every
// later value zero.
type reader struct {
	in    []byte
	names *Dictionary
	err   error
}

func (r *reader) fail() { r.in, r.err = nil, errMalformed }

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.in)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.in = r.in[n:]
	return v
}

// maxCount bounds counts of tokens and requests, so that sums cannot overflow.
const maxCount = 1 << 31

func (r *reader) count() int { return int(min(r.uint(), maxCount)) }

// length reads the number of items that follow, each of at least one byte.
func (r *reader) length() int {
	n := r.uint()
	if n > uint64(len(r.in)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.in)) {
		r.fail()
		return nil
	}
	out := r.in[:n]
	r.in = r.in[n:]
	return out
}

func (r *reader) text() string {
	n := r.uint()
	if n > maxText {
		r.fail()
		return ""
	}
	return string(r.bytes(n))
}

// next reads a name and its number, given that of the name before.
func (r *reader) next(last uint64, t table) (string, uint64) {
	difference := r.uint()
	if difference == 0 {
		return r.text(), last
	}
	number := last + difference - 1
	s, ok := t.name(number)
	if !ok {
		r.fail()
	}
	return s, number
}

func (r *reader) cost() float64 {
	raw := r.bytes(3)
	if raw == nil {
		return 0
	}
	return r.finite(uint32(raw[0])<<8 | uint32(raw[1])<<16 | uint32(raw[2])<<24)
}

func (r *reader) precise() float64 {
	raw := r.bytes(4)
	if raw == nil {
		return 0
	}
	return r.finite(binary.LittleEndian.Uint32(raw))
}

func (r *reader) finite(bits uint32) float64 {
	v := float64(math.Float32frombits(bits))
	// Costs may be negative: a correction can exceed what was served meanwhile.
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail()
		return 0
	}
	return v
}

// maxAge bounds ages; an older report has no use.
const maxAge = time.Hour

func (r *reader) age() time.Duration {
	return time.Duration(min(r.uint(), uint64(maxAge/ageUnit))) * ageUnit
}

func (r *reader) handle() (h uint64) {
	for i, b := range r.bytes(handleBytes) {
		h |= uint64(b) << (8 * i)
	}
	return h
}

func (r *reader) group(t table) (fleet.GroupName, class) {
	v := r.uint()
	number, kind := v/uint64(classes), class(v%uint64(classes))
	if number == 0 {
		return fleet.GroupName(r.text()), kind
	}
	name, ok := t.name(number)
	if !ok {
		r.fail()
	}
	return fleet.GroupName(name), kind
}

func (r *reader) flags() (bits [8]bool) {
	raw := r.bytes(1)
	if raw == nil {
		return bits
	}
	for i := range bits {
		bits[i] = raw[0]&(1<<i) != 0
	}
	return bits
}

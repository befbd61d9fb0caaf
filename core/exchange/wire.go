package exchange

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// errMalformed is the only error of decoding.
var errMalformed = errors.New("malformed exchange message")

// maxText is the maximum length of a name on the wire, in bytes. Longer names
// are cut.
const maxText = 512

// writer encodes values and appends them to a message.
type writer struct {
	out        []byte
	dictionary *Dictionary
	// spellOut writes every name in full, for a peer that uses another
	// dictionary.
	spellOut bool
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

// number returns a name's number, or 0 if the name is to be spelled out.
func (w *writer) number(t nameTable, s string) uint64 {
	if w.spellOut {
		return 0
	}
	return t.numbers[s]
}

// nameDelta writes a name as the difference between its number and last, the
// number of the preceding name, which must not be larger. It returns the name's
// number.
func (w *writer) nameDelta(last, number uint64, s string) uint64 {
	if number == 0 {
		w.uint(0)
		w.text(s)
		return last
	}
	w.uint(number - last + 1)
	return number
}

// cost writes a cost in three bytes, rounded to 16 significant bits. The
// relative error of 1e-5 is small against the tolerated share error of 5%.
func (w *writer) cost(v float64) {
	bits := math.Float32bits(float32(v)) + 1<<7
	w.out = append(w.out, byte(bits>>8), byte(bits>>16), byte(bits>>24))
}

// float writes a number that grows for the life of a process, as a 32-bit
// float.
func (w *writer) float(v float64) {
	w.out = binary.LittleEndian.AppendUint32(w.out, math.Float32bits(float32(v)))
}

// An estimate is encoded on a logarithmic scale in one byte. estimateSteps per
// factor of two give a relative error of 2.2%, below that of any token
// estimate, up to a million tokens.
const (
	estimateSteps = 16
	estimateScale = 16.0
)

// estimate writes a token estimate on the logarithmic scale.
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

// ageUnit is the resolution of ages. Ages up to 1.27 s fit into one byte;
// reports are older than that by the time they are used.
const ageUnit = 10 * time.Millisecond

// age writes a duration in multiples of ageUnit.
func (w *writer) age(d time.Duration) { w.uint(uint64(max(d, 0) / ageUnit)) }

// rounded writes v in multiples of unit, rounded to the nearest.
func (w *writer) rounded(v, unit int) { w.count((v + unit/2) / unit) }

// handleBytes is the size of a handle. At five bytes, a handle issued by an
// earlier process is valid by accident with a probability of about 1e-12.
const handleBytes = 5

func (w *writer) handle(h uint64) {
	for i := range handleBytes {
		w.out = append(w.out, byte(h>>(8*i)))
	}
}

// group writes an item's group and class in one number: the group's number
// times classCount, plus the class.
func (w *writer) group(t nameTable, item serviceItem) {
	number := t.numbers[string(item.group)]
	if w.spellOut {
		number = 0
	}
	w.uint(number*uint64(classCount) + uint64(item.class))
	if number == 0 {
		w.text(string(item.group))
	}
}

// flags writes up to eight booleans in one byte.
func (w *writer) flags(bits ...bool) {
	var b byte
	for i, set := range bits {
		if set {
			b |= 1 << i
		}
	}
	w.out = append(w.out, b)
}

// reader decodes values from a message. After the first error every further
// value is zero and err stays set.
type reader struct {
	in         []byte
	dictionary *Dictionary
	err        error
}

// fail records errMalformed and drops the rest of the message.
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

// maxCount limits decoded counts of tokens and requests, so that sums cannot
// overflow.
const maxCount = 1 << 31

func (r *reader) count() int { return int(min(r.uint(), maxCount)) }

// length reads the number of items that follow. It fails if the remaining
// message is too short for one byte per item.
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

// nameDelta reads a name and its number, which is encoded relative to last.
func (r *reader) nameDelta(last uint64, t nameTable) (string, uint64) {
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
	return r.finiteFloat(uint32(raw[0])<<8 | uint32(raw[1])<<16 | uint32(raw[2])<<24)
}

func (r *reader) float() float64 {
	raw := r.bytes(4)
	if raw == nil {
		return 0
	}
	return r.finiteFloat(binary.LittleEndian.Uint32(raw))
}

// finiteFloat decodes a 32-bit float and fails on NaN and infinities.
func (r *reader) finiteFloat(bits uint32) float64 {
	v := float64(math.Float32frombits(bits))
	// Costs may be negative: a correction can exceed the service since the last
	// push.
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail()
		return 0
	}
	return v
}

// maxAge limits decoded ages. An older report is useless.
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

func (r *reader) group(t nameTable) (fleet.GroupName, class) {
	v := r.uint()
	number, cls := v/uint64(classCount), class(v%uint64(classCount))
	if number == 0 {
		return fleet.GroupName(r.text()), cls
	}
	name, ok := t.name(number)
	if !ok {
		r.fail()
	}
	return fleet.GroupName(name), cls
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

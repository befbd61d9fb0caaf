package exchange

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// errMalformed is the only way in which decoding fails.
var errMalformed = errors.New("malformed exchange message")

// maxText bounds one name on the wire.
const maxText = 512

// writer appends values to a message.
type writer struct {
	out   []byte
	names *Names
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

func (w *writer) name(t table, s string) {
	if number := t.number[s]; number != 0 && !w.spell {
		w.uint(number)
		return
	}
	w.uint(0)
	w.text(s)
}

// cost writes a cost in four bytes; the relative error is below 1e-7.
func (w *writer) cost(v float64) {
	w.out = binary.LittleEndian.AppendUint32(w.out, math.Float32bits(float32(v)))
}

func (w *writer) age(d time.Duration) { w.uint(uint64(max(d, 0) / time.Millisecond)) }

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
	names *Names
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
const maxCount = 1 << 40

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

func (r *reader) name(t table) string {
	number := r.uint()
	if number == 0 {
		return r.text()
	}
	s, ok := t.name(number)
	if !ok {
		r.fail()
	}
	return s
}

func (r *reader) cost() float64 {
	raw := r.bytes(4)
	if raw == nil {
		return 0
	}
	v := float64(math.Float32frombits(binary.LittleEndian.Uint32(raw)))
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		r.fail()
		return 0
	}
	return v
}

// maxAge bounds ages; an older report has no use.
const maxAge = time.Hour

func (r *reader) age() time.Duration {
	return time.Duration(min(r.uint(), uint64(maxAge/time.Millisecond))) * time.Millisecond
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

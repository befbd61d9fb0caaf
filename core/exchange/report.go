package exchange

import (
	"encoding/binary"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// report writes a report whose upstream's number is encoded relative to last.
// It returns the upstream's number.
func (w *writer) report(now fleet.Instant, last uint64, r wireReport) uint64 {
	l := r.Load
	last = w.nameDelta(last, w.number(w.dictionary.upstreams, string(l.Upstream)), string(l.Upstream))
	counted := l.PrefilledTotal+l.GeneratedTotal > 0
	w.flags(r.Unreachable, l.Leaving, r.full, l.Role&1 != 0, l.Role&2 != 0, counted)
	w.uint(r.Generation)
	w.age(now - l.At)
	if r.full {
		w.text(string(l.Incarnation))
		w.count(l.KVCapacityTokens)
	}
	if r.Unreachable {
		return last
	}
	w.count(l.Running)
	w.count(l.Waiting)
	w.estimate(l.WaitingPromptTokens)
	w.rounded(l.KVUsedTokens, kvUnit)
	if counted {
		for _, v := range countersOf(l) {
			w.counter(v, r.full)
		}
	}
	return last
}

// counters are an engine's prefilled and generated token totals, in
// prefilledUnit and generatedUnit.
type counters [2]uint64

// countersOf returns the token totals of a load report as counters.
func countersOf(l sched.LoadReport) counters {
	return counters{uint64(max(l.PrefilledTotal, 0)) / prefilledUnit, uint64(max(l.GeneratedTotal, 0)) / generatedUnit}
}

// applyTo sets the token totals of a load report.
func (c counters) applyTo(l *sched.LoadReport) {
	l.PrefilledTotal, l.GeneratedTotal = int64(c[0]*prefilledUnit), int64(c[1]*generatedUnit)
}

// counterSpan is the number of values that the two low bytes of a counter
// distinguish. A whole counter takes four to five bytes, which every report
// would carry to 34 peers.
const counterSpan = 1 << 16

// maxCounter keeps token totals within int64.
const maxCounter = 1 << 56

// counter writes a whole counter, or its low two bytes for a receiver that
// knows a value less than counterSpan below it.
func (w *writer) counter(v uint64, full bool) {
	if full {
		w.uint(v)
		return
	}
	w.out = binary.LittleEndian.AppendUint16(w.out, uint16(v))
}

// counter reads a whole counter, or its low two bytes.
func (r *reader) counter(full bool) uint64 {
	if full {
		return min(r.uint(), maxCounter)
	}
	raw := r.bytes(2)
	if raw == nil {
		return 0
	}
	return uint64(binary.LittleEndian.Uint16(raw))
}

// extend restores counters of which only the low two bytes were received: each
// becomes the least value with those low bytes that is not below the known one.
func (c counters) extend(known counters) counters {
	for i := range c {
		c[i] = min(known[i]+uint64(uint16(c[i])-uint16(known[i])), maxCounter)
	}
	return c
}

// fitLowBytes reports whether the low two bytes suffice for a receiver that
// knows a value between low and high.
func (c counters) fitLowBytes(low, high counters) bool {
	for i := range c {
		if c[i] < high[i] || c[i]-low[i] >= counterSpan {
			return false
		}
	}
	return true
}

// report reads a report whose upstream's number is encoded relative to last. It
// also returns the upstream's number.
func (r *reader) report(now fleet.Instant, last uint64) (wireReport, uint64) {
	var out wireReport
	l := &out.Load
	name, last := r.nameDelta(last, r.dictionary.upstreams)
	l.Upstream = fleet.UpstreamID(name)
	bits := r.flags()
	out.Unreachable, l.Leaving, out.full = bits[0], bits[1], bits[2]
	l.Role = roleFromBits(bits[3], bits[4])
	out.Generation = r.uint()
	l.At = now - r.age()
	if out.full {
		l.Incarnation = fleet.Incarnation(r.text())
		l.KVCapacityTokens = r.count()
	}
	if out.Unreachable {
		return out, last
	}
	l.Running = r.count()
	l.Waiting = r.count()
	l.WaitingPromptTokens = r.estimate()
	l.KVUsedTokens = r.count() * kvUnit
	if out.hasCounters = bits[5]; out.hasCounters {
		for i := range out.counters {
			out.counters[i] = r.counter(out.full)
		}
	}
	return out, last
}

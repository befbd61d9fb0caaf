package exchange

import (
	"encoding/binary"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// report writes a report after that of the upstream with the number last, and
// returns its own upstream's number.
func (w *writer) report(now fleet.Instant, last uint64, r wireReport) uint64 {
	l := r.Load
	last = w.next(last, w.number(w.names.upstreams, string(l.Upstream)), string(l.Upstream))
	counted := l.PrefilledTotal+l.GeneratedTotal > 0
	w.flags(r.Unreachable, l.Leaving, r.named, l.Role&1 != 0, l.Role&2 != 0, counted)
	w.uint(r.Generation)
	w.age(now - l.At)
	if r.named {
		w.text(string(l.Incarnation))
		w.count(l.KVCapacityTokens)
	}
	if r.Unreachable {
		return last
	}
	w.count(l.Running)
	w.count(l.Waiting)
	w.estimate(l.WaitingPromptTokens)
	w.coarse(l.KVUsedTokens, kvUnit)
	if counted {
		for _, v := range countersOf(l) {
			w.counter(v, r.named)
		}
	}
	return last
}

// counters are an engine's totals in their units.
type counters [2]uint64

func countersOf(l sched.LoadReport) counters {
	return counters{uint64(max(l.PrefilledTotal, 0)) / prefilledUnit, uint64(max(l.GeneratedTotal, 0)) / generatedUnit}
}

func (c counters) fill(l *sched.LoadReport) {
	l.PrefilledTotal, l.GeneratedTotal = int64(c[0]*prefilledUnit), int64(c[1]*generatedUnit)
}

// counterSpan is what the two bytes of a counter can tell apart. A whole one
// takes four to five bytes, which every report would carry to 34 peers.
const counterSpan = 1 << 16

// maxCounter keeps totals within int64.
const maxCounter = 1 << 56

// counter writes a whole counter, or its low two bytes for a receiver that
// knows a value less than counterSpan below it.
func (w *writer) counter(v uint64, whole bool) {
	if whole {
		w.uint(v)
		return
	}
	w.out = binary.LittleEndian.AppendUint16(w.out, uint16(v))
}

func (r *reader) counter(whole bool) uint64 {
	if whole {
		return min(r.uint(), maxCounter)
	}
	raw := r.bytes(2)
	if raw == nil {
		return 0
	}
	return uint64(binary.LittleEndian.Uint16(raw))
}

// extend completes counters of which the low two bytes arrived: each is the
// least value with these that is not below the known one.
func (c counters) extend(known counters) counters {
	for i := range c {
		c[i] = min(known[i]+uint64(uint16(c[i])-uint16(known[i])), maxCounter)
	}
	return c
}

// follows tells whether two bytes are enough for a receiver that knows a value
// from low to high.
func (c counters) follows(low, high counters) bool {
	for i := range c {
		if c[i] < high[i] || c[i]-low[i] >= counterSpan {
			return false
		}
	}
	return true
}

func (r *reader) report(now fleet.Instant, last uint64) (wireReport, uint64) {
	var out wireReport
	l := &out.Load
	name, last := r.next(last, r.names.upstreams)
	l.Upstream = fleet.UpstreamID(name)
	bits := r.flags()
	out.Unreachable, l.Leaving, out.named = bits[0], bits[1], bits[2]
	l.Role = roleOf(bits[3], bits[4])
	out.Generation = r.uint()
	l.At = now - r.age()
	if out.named {
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
	if out.counted = bits[5]; out.counted {
		for i := range out.counters {
			out.counters[i] = r.counter(out.named)
		}
	}
	return out, last
}

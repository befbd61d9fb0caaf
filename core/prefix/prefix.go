// Package prefix indexes which engines hold which prompt blocks in their
// prefix cache. The index is bounded, tolerates late and lost cache events,
// and gives a confidence in its entries of each engine.
package prefix

const (
	// slotsPerEntry is the number of engines per entry; a block held by more
	// engines takes several entries.
	slotsPerEntry = 4
	// noEngine marks a free slot.
	noEngine = 0xffff
	// EntryBytes is the size of one entry in memory.
	EntryBytes = 16
	// maxLoadEighths is the load of the current table, in eighths, at which the
	// previous generation is dropped.
	maxLoadEighths = 6
	// lostBatchFactor multiplies the confidence in an engine's entries when
	// batches were lost.
	lostBatchFactor = 0.6
	// minConfidence bounds the confidence from below, so that entries of an
	// engine whose events get lost remain a weak hint.
	minConfidence = 0.2
	// batchGain and usageGain are the weights in the confidence of a batch
	// received in sequence and of a reported usage.
	batchGain = 0.02
	usageGain = 0.1
)

// entry lists engines that hold the block with the given hash.
type entry struct {
	hash    uint64
	engines [slotsPerEntry]uint16
}

// table is an open-addressing multimap; a zero hash marks a free entry.
type table struct {
	entries []entry
	used    int
}

func newTable(size int) table { return table{entries: make([]entry, size)} }

// Index is a bounded map from block hash to engines. Two generations of tables
// approximate least-recently-used eviction without per-entry bookkeeping: new
// and reused blocks go to the current one, and the previous one is dropped when
// the current one is full. It is not safe for concurrent use.
type Index struct {
	current, previous table
	// confidence, lastSequence and matched are indexed by engine. lastSequence
	// is the number of the last batch of events, -1 before the first one.
	confidence   []float32
	lastSequence []int64
	// matched and holders are the results of the last Match.
	matched []uint16
	holders []int32
}

// New returns an index with the given number of entries in both generations
// together, rounded up to a power of two and at least 32.
func New(entries int) *Index {
	size := 16
	for 2*size < entries {
		size *= 2
	}
	return &Index{current: newTable(size), previous: newTable(size)}
}

// Grow adds engines, so that 0 to n-1 are known.
func (x *Index) Grow(n int) {
	for len(x.confidence) < n {
		x.confidence = append(x.confidence, 1)
		x.lastSequence = append(x.lastSequence, -1)
		x.matched = append(x.matched, 0)
	}
}

// Bytes returns the size of the tables in memory.
func (x *Index) Bytes() int {
	return EntryBytes * (len(x.current.entries) + len(x.previous.entries))
}

// Confidence returns the confidence in the entries of an engine, 0 to 1.
func (x *Index) Confidence(engine int32) float64 { return float64(x.confidence[engine]) }

// Update applies a batch of an engine's cache events. A jump in the sequence
// lowers the confidence in the engine's entries; a batch that is not newer than
// the last one is ignored.
func (x *Index) Update(engine int32, sequence int64, stored, evicted []uint64) {
	last := x.lastSequence[engine]
	if last >= 0 && sequence <= last {
		return
	}
	if last >= 0 && sequence != last+1 {
		x.confidence[engine] = max(x.confidence[engine]*lostBatchFactor, minConfidence)
	} else {
		x.confidence[engine] += (1 - x.confidence[engine]) * batchGain
	}
	x.lastSequence[engine] = sequence
	for _, h := range evicted {
		x.remove(engine, h)
	}
	x.Insert(engine, stored)
}

// ObserveHit adjusts the confidence in an engine's entries by the cached tokens
// that were predicted and reported for a request.
func (x *Index) ObserveHit(engine int32, predicted, reported float64) {
	if predicted <= 0 {
		return
	}
	hit := float32(min(reported/predicted, 1))
	c := x.confidence[engine]
	x.confidence[engine] = max(c+(hit-c)*usageGain, minConfidence)
}

// Insert records that an engine holds the blocks or is about to.
func (x *Index) Insert(engine int32, blocks []uint64) {
	for _, h := range blocks {
		x.insert(uint16(engine), h)
	}
}

func (x *Index) insert(engine uint16, hash uint64) {
	if hash == 0 {
		return
	}
	if x.current.used*8 >= len(x.current.entries)*maxLoadEighths {
		x.current, x.previous = x.previous, x.current
		clear(x.current.entries)
		x.current.used = 0
	}
	x.current.add(hash, engine)
}

func (t *table) add(hash uint64, engine uint16) {
	mask := uint64(len(t.entries) - 1)
	free := (*uint16)(nil)
	for i := mix(hash) & mask; ; i = (i + 1) & mask {
		e := &t.entries[i]
		if e.hash == 0 {
			if free == nil {
				*e = entry{hash: hash, engines: [slotsPerEntry]uint16{engine, noEngine, noEngine, noEngine}}
				t.used++
				return
			}
			*free = engine
			return
		}
		if e.hash != hash {
			continue
		}
		for s := range e.engines {
			if e.engines[s] == engine {
				return
			}
			if e.engines[s] == noEngine && free == nil {
				free = &e.engines[s]
			}
		}
	}
}

func (t *table) remove(hash uint64, engine uint16) {
	mask := uint64(len(t.entries) - 1)
	for i := mix(hash) & mask; t.entries[i].hash != 0; i = (i + 1) & mask {
		e := &t.entries[i]
		if e.hash != hash {
			continue
		}
		for s := range e.engines {
			if e.engines[s] == engine {
				e.engines[s] = noEngine
			}
		}
	}
}

func (x *Index) remove(engine int32, hash uint64) {
	x.current.remove(hash, uint16(engine))
	x.previous.remove(hash, uint16(engine))
}

// DropEngine removes all entries of an engine, whose cache is empty after a
// restart. It scans both tables.
func (x *Index) DropEngine(engine int32) {
	for _, t := range []*table{&x.current, &x.previous} {
		for i := range t.entries {
			for s := range t.entries[i].engines {
				if t.entries[i].engines[s] == uint16(engine) {
					t.entries[i].engines[s] = noEngine
				}
			}
		}
	}
	x.confidence[engine] = 1
	x.lastSequence[engine] = -1
}

// Match returns the number of leading blocks that each engine holds, indexed by
// engine. The slice is valid until the next call.
func (x *Index) Match(blocks []uint64) []uint16 {
	for _, e := range x.holders {
		x.matched[e] = 0
	}
	x.holders = x.holders[:0]
	for i, h := range blocks {
		if !x.matchBlock(uint16(i), h) {
			break
		}
	}
	return x.matched
}

// Holders returns the engines that held at least one block in the last Match.
// The slice is valid until the next Match.
func (x *Index) Holders() []int32 { return x.holders }

// matchBlock counts block i for the engines that hold it and all blocks before
// it; it reports whether there is such an engine.
func (x *Index) matchBlock(i uint16, hash uint64) bool {
	found := false
	for _, t := range [...]*table{&x.current, &x.previous} {
		mask := uint64(len(t.entries) - 1)
		for p := mix(hash) & mask; t.entries[p].hash != 0; p = (p + 1) & mask {
			if t.entries[p].hash != hash {
				continue
			}
			for _, e := range t.entries[p].engines {
				if e == noEngine || int(e) >= len(x.matched) || x.matched[e] != i {
					continue
				}
				if i == 0 {
					x.holders = append(x.holders, int32(e))
				}
				x.matched[e] = i + 1
				found = true
			}
		}
	}
	return found
}

// mix returns a hash spread over the table (the splitmix64 finaliser).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

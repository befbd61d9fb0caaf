package prefix_test

import (
	"testing"

	"github.com/bramleywick/bramleywick/core/prefix"
)

// chain returns n block hashes from start on.
func chain(start uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = start + uint64(i)
	}
	return out
}

// TestMatch guards against a wrong number of matched blocks: for different
// engines, after the eviction of a block in the middle, for blocks that many
// engines hold and after a restart.
func TestMatch(t *testing.T) {
	x := prefix.New(1 << 10)
	x.Grow(20)
	blocks := chain(1, 5)
	for e := range int32(20) {
		x.Insert(e, blocks[:1+e%5])
	}
	x.Update(4, 1, nil, blocks[2:3])
	x.DropEngine(9)
	matched := x.Match(blocks)
	for e := range int32(20) {
		want := uint16(1 + e%5)
		switch e {
		case 4:
			want = 2
		case 9:
			want = 0
		}
		if matched[e] != want {
			t.Errorf("engine %d holds %d blocks, want %d", e, matched[e], want)
		}
	}
	for e, d := range x.Match([]uint64{999}) {
		if d != 0 {
			t.Errorf("engine %d holds %d unknown blocks", e, d)
		}
	}
}

// TestGapLowersConfidence guards against lost cache events that clear the index
// or leave the confidence unchanged.
func TestGapLowersConfidence(t *testing.T) {
	x := prefix.New(1 << 10)
	x.Grow(1)
	x.Update(0, 1, chain(1, 3), nil)
	x.Update(0, 5, nil, nil)
	low := x.Confidence(0)
	if x.Match(chain(1, 3))[0] != 3 || low > 0.7 {
		t.Fatalf("after a gap: confidence %v, %v blocks matched", low, x.Match(chain(1, 3))[0])
	}
	x.Update(0, 4, nil, chain(1, 3))
	if x.Match(chain(1, 3))[0] != 3 {
		t.Fatal("an old batch was applied")
	}
	for range 50 {
		x.ObserveHit(0, 100, 100)
	}
	if x.Confidence(0) <= low {
		t.Fatal("confirmed hits do not raise the confidence")
	}
}

// TestBound guards against an index that grows, and against the loss of recent
// blocks when it is full.
func TestBound(t *testing.T) {
	x := prefix.New(1 << 10)
	x.Grow(1)
	size := x.Bytes()
	for i := range uint64(10000) {
		x.Insert(0, []uint64{i + 1})
	}
	if x.Bytes() != size || x.Match([]uint64{10000})[0] != 1 || x.Match([]uint64{1})[0] != 0 {
		t.Fatalf("%d bytes, recent %d, old %d", x.Bytes(), x.Match([]uint64{10000})[0], x.Match([]uint64{1})[0])
	}
}

// BenchmarkPrefixIndex measures a look-up of 25 blocks (50,000 tokens) in an
// index of the default size filled by 780 engines. It reports the memory per
// pair of block and engine that the index still holds.
func BenchmarkPrefixIndex(b *testing.B) {
	const engines, prompts, blocks = 780, 20000, 25
	x := prefix.New(1 << 19)
	x.Grow(engines)
	held := 0
	for p := range uint64(prompts) {
		for copies := range uint64(1 + p%3) {
			x.Insert(int32((p*7+copies*131)%engines), chain(p*1000+1, blocks))
		}
	}
	for p := range uint64(prompts) {
		for _, d := range x.Match(chain(p*1000+1, blocks)) {
			held += int(d)
		}
	}
	query := make([][]uint64, prompts)
	for p := range query {
		query[p] = chain(uint64(p)*1000+1, blocks)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		x.Match(query[i%prompts])
		i++
	}
	b.ReportMetric(float64(x.Bytes())/float64(held), "B/entry")
	b.ReportMetric(float64(held), "entries")
	b.ReportMetric(float64(x.Bytes())/(1<<20), "MB")
}

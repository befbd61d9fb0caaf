package declfile_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/store"
)

// twoYears returns a declaration of the design size, which is planned for in
// two years: 1,300 members with two keys each, 6 models, 780 upstreams in 11
// data centres of 3 regions.
func twoYears() []byte {
	const members, models, upstreams, dataCentres, regions = 1300, 6, 780, 11, 3
	var s strings.Builder
	for i := 0; i < dataCentres; i++ {
		fmt.Fprintf(&s, "[data_centre dc-%d]\nregion = region-%d\n\n", i, i%regions)
	}
	for i := 0; i < models; i++ {
		fmt.Fprintf(&s, "[group model-%d]\ntype = engine\nmodel = model-%d\n\n", i, i)
		fmt.Fprintf(&s, "[kind long-%d]\ngroup = model-%d\nfirst_token = 1s\ntoken_gap = 74ms\ndeadline = 5m\nmax_prompt_tokens = 100000\nmax_output_tokens = 2000\nrepeatable = true\n\n", i, i)
	}
	for i := 0; i < members; i++ {
		fmt.Fprintf(&s, "[member team-%d]\nshare = %d\nkey_sha256 = %s, %s\nkinds = long-%d, long-%d\n\n", i, 1+i%9,
			declare.HashKey(fmt.Sprint("a", i)), declare.HashKey(fmt.Sprint("b", i)), i%models, (i+1)%models)
	}
	for i := 0; i < upstreams; i++ {
		fmt.Fprintf(&s, "[upstream engine-%d]\ngroup = model-%d\naddress = 10.%d.%d.1:9000\ndata_centre = dc-%d\n\n", i, i%models, i/250, i%250, i%dataCentres)
	}
	return []byte(s.String())
}

// TestDesignSize guards against a format in which the declaration of the design
// size exceeds half of the platform's limit for a value.
func TestDesignSize(t *testing.T) {
	text := twoYears()
	d, err := declfile.Parse("f", text)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > store.MaxValueBytes/2 {
		t.Errorf("%d bytes exceed half of the platform's limit", len(text))
	}
	if remarks := declfile.Lint("f", text, d); len(remarks) > 0 {
		t.Errorf("remarks on a sound declaration: %v", remarks)
	}
}

// BenchmarkParse measures putting a declaration of the design size into force.
// 840 changes a day are one per 103 s.
func BenchmarkParse(b *testing.B) {
	text := twoYears()
	b.ReportAllocs()
	for b.Loop() {
		d, err := declfile.Parse("f", text)
		if err != nil {
			b.Fatal(err)
		}
		declare.NewIndex(1, d)
	}
	b.ReportMetric(float64(len(text)), "text_bytes")
}

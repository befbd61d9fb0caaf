package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"
)

const (
	page       = "../docs/CAPACITY.md"
	tableBegin = "<!-- table begin -->\n"
	tableEnd   = "<!-- table end -->"
)

var update = flag.Bool("update", false, "write the table into the page")

// TestPageMatchesPoints guards against a page whose table differs from the one
// computed from the measured points.
func TestPageMatchesPoints(t *testing.T) {
	rows, err := Rows()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(text), tableBegin)
	table, after, ok2 := strings.Cut(rest, tableEnd)
	if !ok || !ok2 {
		t.Fatal("the page has no table markers")
	}
	if *update {
		if err := os.WriteFile(page, []byte(before+tableBegin+Table(rows)+tableEnd+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if table != Table(rows) {
		t.Errorf("run go test ./capacity -update; the table should be\n%s", Table(rows))
	}
}

// TestControlBudget guards against control work that exceeds the budget of the
// busiest daemon: 1.5% of a core, 64 MB and 22 KB/s with both directions added. No
// daemon has all roles: the order holder polls no upstreams, and the others send no
// orders.
func TestControlBudget(t *testing.T) {
	rows, err := Rows()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range Sizes() {
		for _, without := range []string{"order holder", "polling"} {
			var cpu, state, bytes float64
			for _, r := range rows {
				if r.Size == s.Name && !strings.Contains(r.Role, "not control") && !strings.HasPrefix(r.Role, without) {
					cpu += r.CPUPercent
					state += r.StateKB
					bytes += r.BytesPerSecond
				}
			}
			t.Logf("%s without %s: %.2f%% of a core, %.0f KB, %.0f B/s", s.Name, without, cpu, state, bytes)
			if cpu > 1.5 || state > 64_000 || bytes > 22_000 {
				t.Errorf("%s without %s exceeds the budget", s.Name, without)
			}
		}
	}
}

// TestFit guards against a line that does not go through points on a line.
func TestFit(t *testing.T) {
	line, err := Fit([]Point{{Metric: "m", Size: 1, Value: 3}, {Metric: "m", Size: 2, Value: 5}, {Metric: "m", Size: 3, Value: 7}}, "m")
	if err != nil || line.Slope != 2 || line.Base != 1 {
		t.Errorf("%+v, %v", line, err)
	}
	if _, err := Fit(nil, "m"); err == nil {
		t.Error("a metric without points has no line")
	}
}

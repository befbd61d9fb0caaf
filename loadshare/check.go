package loadshare

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/usage"
)

// Bounds of what another instance may report.
const (
	maxNameBytes = 256
	// maxEntries bounds the servers, services and notes of one report.
	maxEntries = 8192
	// maxAmount bounds tokens, runs and rates.
	maxAmount = 1e12
	maxAge    = time.Hour
	// maxUsageBytes bounds the encoded counts of members' requests, and maxClocks
	// and maxClockOffset the clocks.
	maxUsageBytes  = 512 << 10
	maxClocks      = 64
	maxClockOffset = 100 * 365 * 24 * time.Hour
)

// check returns an error that names the field of a report that no instance sends.
func (r *Report) check() error {
	if len(r.Work) > maxEntries || len(r.Demand) > maxEntries || len(r.Held) > maxEntries || len(r.Notes) > maxEntries || len(r.Limits.Rates) > maxEntries {
		return errors.New("too many entries")
	}
	if len(r.From) == 0 || len(r.From) > maxNameBytes {
		return errors.Errorf("From: %d bytes", len(r.From))
	}
	if !validAge(r.Age) {
		return errors.Errorf("Age: %v", r.Age)
	}
	for id, w := range r.Work {
		if !validName(string(id)) || !validWork(w) {
			return errors.Errorf("Work of %.64q: %+v", id, w)
		}
	}
	for group, d := range r.Demand {
		if len(group) > maxNameBytes || !validAmounts(d.Requests, d.Uncached, d.Unshared, d.Output, d.PrefillWait, d.DecodeWait, d.RecentUncached, d.RecentOutput) {
			return errors.Errorf("Demand for %.64q: %+v", group, d)
		}
	}
	for id, d := range r.Held {
		if !validName(string(id)) || !validAge(d) {
			return errors.Errorf("Held %.64q: %v", id, d)
		}
	}
	for i, n := range r.Notes {
		if !validName(string(n.Server)) || !validName(n.Part) || n.Tokens < 0 || n.Tokens > maxAmount || n.Hops < 0 {
			return errors.Errorf("Notes[%d]: %d tokens, %d hops", i, n.Tokens, n.Hops)
		}
	}
	for i, d := range r.Departures {
		if !validName(string(d.Process.Server)) || !validAge(d.Age) {
			return errors.Errorf("Departures[%d]: %v", i, d.Age)
		}
	}
	for group, rate := range r.Limits.Rates {
		if len(group) > maxNameBytes || !validAmounts(rate) {
			return errors.Errorf("Limits.Rates of %.64q: %v", group, rate)
		}
	}
	if err := r.Shares.Check(); err != nil {
		return errors.Wrap(err, "Shares")
	}
	if u := r.Usage; u != nil {
		if len(u.Counts) > maxUsageBytes || len(u.Clocks) > maxClocks || len(u.Want) > usage.MaxWant || u.ReportedThrough < 0 || u.Clock < 0 {
			return errors.Errorf("Usage: %d bytes, %d clocks", len(u.Counts), len(u.Clocks))
		}
		for i, id := range u.Want {
			if !validName(string(id)) {
				return errors.Errorf("Usage.Want[%d]: %d bytes", i, len(id))
			}
		}
		for i, c := range u.Clocks {
			if c.Count < 0 || c.Count > maxEntries || c.Offset.Abs() > maxClockOffset {
				return errors.Errorf("Usage.Clocks[%d]: %d at %v", i, c.Count, c.Offset)
			}
		}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func validAge(d time.Duration) bool { return d >= 0 && d <= maxAge }

func validWork(w placement.Work) bool {
	for _, runs := range [...]int{w.Runs, w.Behind0, w.Behind1, w.Behind2} {
		if runs < 0 || runs > maxAmount {
			return false
		}
	}
	return validAmounts(w.Reads[:]...) && validAmounts(w.Speed, w.Pace)
}

// validAmounts reports whether all numbers are from 0 to maxAmount. A number that
// is no number is not.
func validAmounts(list ...float64) bool {
	for _, v := range list {
		if !(v >= 0 && v <= maxAmount) {
			return false
		}
	}
	return true
}

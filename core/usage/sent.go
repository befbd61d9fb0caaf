package usage

import (
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// closeDelay is the time after the end of a window from which a process knows
	// of all its requests of the window: PresumeAfter and some time for timers.
	closeDelay = PresumeAfter + 100*time.Millisecond
	// PresumeAfter is the time after which a plain call without an answer counts
	// as begun. Servers that don't take a call say so sooner.
	PresumeAfter = 1500 * time.Millisecond
	// reportDelay is the time after the end of a window from which it is reported
	// when all counts are known: closeDelay and the way through two hubs.
	reportDelay = 2 * time.Second
	// maxReportDelay is the time from which it is reported in any case. The report
	// is due 10 s after the end, and a successor of a holder that is lost right
	// before needs 3 s for its lease and 3 s for the wait after it.
	maxReportDelay = 3500 * time.Millisecond
	// cutReportDelay takes its place when the counts of more than cutShare of the
	// instances are missing: those that are cut off may return, and those that were
	// lost are no longer listed after 6 s.
	cutReportDelay = 6500 * time.Millisecond
	cutShare       = 0.05
	// keptReports is the number of reports that are kept after they were taken,
	// and maxReports bounds those that were not.
	keptReports = 12
	maxReports  = 120
)

// Window returns the window at a time since the start of 1970.
func Window(at fleet.Instant, length time.Duration) int64 { return int64(at / length) }

// Closed returns the last window of which a process knows all its requests.
func Closed(now fleet.Instant, length time.Duration) int64 { return Window(now-closeDelay, length) - 1 }

// SentWindow is the report of a window that may have been sent.
type SentWindow struct {
	Window int64                    `json:"window"`
	Counts map[fleet.MemberID]int64 `json:"counts"`
	// Taken reports whether the platform has taken the report.
	Taken bool `json:"taken,omitempty"`
}

// Sent is the state of the reports that the holder keeps in the store. A report is
// written here before it is sent, so that a successor repeats it exactly.
type Sent struct {
	// Era is the store's era in which the state was written; 0 for the first one. In a
	// store that has come back from an older copy it is an earlier one, and reports may
	// have been sent that the state does not show.
	Era int64 `json:"era,omitempty"`
	// Next is the first window that is not among Windows or before them.
	Next    int64        `json:"next"`
	Windows []SentWindow `json:"windows"`
	// GaveUp are the instances that gave up the duty since the platform last took
	// a report, because they could not reach the platform.
	GaveUp []fleet.InstanceID `json:"gave_up,omitempty"`
}

// Clone returns a copy that shares no windows.
func (s *Sent) Clone() *Sent {
	return &Sent{Era: s.Era, Next: s.Next, Windows: slices.Clone(s.Windows), GaveUp: slices.Clone(s.GaveUp)}
}

// Add adds the report of the window Next.
func (s *Sent) Add(counts map[fleet.MemberID]int64) {
	s.Windows = append(s.Windows, SentWindow{Window: s.Next, Counts: counts})
	s.Next++
	for len(s.Windows) > keptReports && (s.Windows[0].Taken || len(s.Windows) > maxReports) {
		s.Windows = s.Windows[1:]
	}
}

// Skip leaves out the windows before one, whose reports may have been sent with counts
// that are not known any more. It returns their number.
func (s *Sent) Skip(before int64) int64 {
	skipped := max(before-s.Next, 0)
	s.Next += skipped
	return skipped
}

// SetTaken records that the platform has taken the report of a window.
func (s *Sent) SetTaken(window int64) {
	for i := range s.Windows {
		if s.Windows[i].Window == window {
			s.Windows[i].Taken = true
		}
	}
	s.GaveUp = nil
}

// Due is a decision on the report of a window.
type Due struct {
	Window int64
	// Missing are the instances whose counts are not known to be complete.
	Missing []fleet.InstanceID
}

// NextDue decides whether a window is reported now; late is the time after its end
// at which the report is late. A window with missing counts is reported
// maxReportDelay or cutReportDelay after its end with the counts that are known.
func (l *Ledger) NextDue(window int64, length, late time.Duration, now fleet.Instant, listed []fleet.InstanceID) (Due, bool) {
	since := now - fleet.Instant(window+1)*length
	if since < min(reportDelay, late/2) {
		return Due{}, false
	}
	missing := l.Missing(window, listed)
	limit := min(maxReportDelay, late/2)
	if float64(len(missing)) > cutShare*float64(len(listed)) {
		limit = min(cutReportDelay, late*2/3)
	}
	return Due{window, missing}, len(missing) == 0 || since >= limit
}

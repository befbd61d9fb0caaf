package usage

import (
	"go.uber.org/zap"

	counts "github.com/bramleywick/bramleywick/core/usage"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// ownState is the state of the reports as a holder knew it last.
type ownState struct {
	fence int64
	sent  *counts.Sent
}

// era returns the store's era in which a state was written.
func era(sent *counts.Sent) int64 {
	if sent == nil {
		return 0
	}
	return max(sent.Era, fleet.FirstEra)
}

// afterRestore returns the state of the reports in a store that has come back from an
// older copy, of which stored is the state there. The holder that has sent the last
// reports goes on from what it knows. Another one cannot know the counts that were sent
// since, and leaves out the windows that had ended by now. The caller holds mu.
func (r *Reporter) afterRestore(stored *counts.Sent, era int64) *counts.Sent {
	if r.own != nil && r.Holder.ActedLast(r.own.fence) {
		next := r.own.sent.Clone()
		next.Era = era
		r.Log.Warn("usage reports continue after the return of the store from a copy", zap.Int64("era", era), zap.Int64("next", next.Next))
		return next
	}
	next := &counts.Sent{}
	if stored != nil {
		next = stored.Clone()
	}
	next.Era = era
	now, ok := r.counter.Clock.Time(r.Now())
	if !ok {
		// act waits until the time is known.
		return next
	}
	from := next.Next
	skipped := next.Skip(counts.Window(now, r.Window))
	r.Log.Warn("windows left out that may have been reported before the return of the store from a copy", zap.Int64("era", era),
		zap.Int64("from", from), zap.Int64("windows", skipped))
	return next
}

package authority

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/store"
)

// SyncFromRecords holds the engines that the order records name as marked, for an
// instance that was not listed when the marks were given. It lifts the hold
// of an engine that is no longer marked. A mark that the order holder itself
// gives replaces what was adopted.
//
// Call it once after the instance has seen itself in the platform's list and
// before it takes requests, then as long as held is above 0. A holder records a
// mark before it reads the list, so it either finds the instance there or the
// instance finds the mark here.
func (l *LocalDrain) SyncFromRecords(ctx context.Context, store store.Store) (held int, err error) {
	entries, err := store.List(ctx, recordPrefix)
	if err != nil {
		return l.HeldByRecords(), errors.Wrap(err, "read order records")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	marked := map[fleet.UpstreamID]int64{}
	for _, entry := range entries {
		var record order.Record
		if json.Unmarshal(entry.Value, &record) == nil && record.Marked {
			marked[fleet.UpstreamID(strings.TrimPrefix(entry.Key, recordPrefix))] = record.Fence
		}
	}
	for id, fence := range marked {
		if !l.told[id] {
			l.adopted[id] = true
			l.seen[id] = Mark{Upstream: id, Fence: fence, On: true}
			l.traffic.SetLeaving(id, true)
		}
	}
	for id := range l.adopted {
		if _, still := marked[id]; !still {
			delete(l.adopted, id)
			l.seen[id] = Mark{Upstream: id, Fence: l.seen[id].Fence}
			l.traffic.SetLeaving(id, false)
		}
	}
	return len(l.adopted), nil
}

// HeldByRecords returns the number of engines that are held because of a record.
func (l *LocalDrain) HeldByRecords() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.adopted)
}

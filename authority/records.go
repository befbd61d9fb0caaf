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

// SyncFromRecords stops sending to the engines that the order records name as
// marked, for an instance that was not listed when the marks were given. It
// resumes sending to an engine that is no longer marked. A mark that the order
// holder sends to this instance replaces one from a record. held is the number
// of engines held because of a record; if the records cannot be read, the
// previous number is returned with the error.
//
// Call it once after the instance has seen itself in the platform's list and
// before it accepts requests, then repeatedly while held is above 0. A holder
// records a mark before it reads the list, so either it finds the instance in
// the list or the instance finds the mark in the record.
func (l *LocalDrain) SyncFromRecords(ctx context.Context, records store.Store) (held int, err error) {
	entries, err := records.List(ctx, recordPrefix)
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
		if !l.marked[id] {
			l.heldByRecord[id] = true
			l.latest[id] = Mark{Upstream: id, Fence: fence, On: true}
			l.traffic.SetLeaving(id, true)
		}
	}
	for id := range l.heldByRecord {
		if _, still := marked[id]; !still {
			delete(l.heldByRecord, id)
			l.latest[id] = Mark{Upstream: id, Fence: l.latest[id].Fence}
			l.traffic.SetLeaving(id, false)
		}
	}
	return len(l.heldByRecord), nil
}

// HeldByRecords returns the number of engines that are held because of a
// record.
func (l *LocalDrain) HeldByRecords() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.heldByRecord)
}

// Package listing maintains an instance's list of servers from the entries that
// servers write to the platform's store and from the removal of entries. An old
// entry never replaces a newer one. When many entries disappear at once, a
// failure of the store rather than of the servers is assumed, and the servers
// stay usable for a while.
package listing

import (
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// Entry is the store entry that a server writes about itself.
type Entry struct {
	placement.Server
	// Heartbeat increases with every entry of a process.
	Heartbeat int64
}

// Report is an engine's report of its state.
type Report struct {
	Stage fleet.Role
	// Busy reports whether an order is in progress.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the process
	// started.
	AcceptedOrders int64
	// StartTime is the start of the process; 0 when unknown.
	StartTime int64
}

// Config holds the parameters of a List.
type Config struct {
	// SuspectTime is how long a server may still get requests after the removal
	// of its entry together with many others. It is below the time within which
	// a leaving server must stop getting requests.
	SuspectTime time.Duration
}

// massLossShare is the share of a group's entries whose removal is taken for a
// failure of the store.
const massLossShare = 0.5

// record is a server's last entry, kept for a while after its removal.
type record struct {
	Entry
	// removedAt is the earliest time at which the entry may have been removed;
	// it is set when removed is.
	removedAt fleet.Instant
	removed   bool
}

// List holds the known servers. Not safe for concurrent use.
type List struct {
	config  Config
	records map[fleet.UpstreamID]*record
}

// New returns an empty list.
func New(config Config) *List { return &List{config: config, records: map[fleet.UpstreamID]*record{}} }

// Put stores an entry unless it is older than the known one, and reports
// whether it did.
func (l *List) Put(e Entry) bool {
	known := l.records[e.ID]
	if known != nil && !known.removed {
		if e.StartTime < known.StartTime || (e.StartTime == known.StartTime && e.Heartbeat < known.Heartbeat) {
			return false
		}
		if e.StartTime == known.StartTime && known.Leaving && !e.Leaving {
			// A leaving process never becomes available again.
			return false
		}
	}
	if known != nil && known.removed && e.StartTime < known.StartTime {
		return false
	}
	l.records[e.ID] = &record{Entry: e}
	return true
}

// Remove marks an entry as removed. since is the earliest time at which it may
// have been removed, since an instance may learn of a removal late. A leaving
// server is dropped at once.
func (l *List) Remove(id fleet.UpstreamID, since fleet.Instant) {
	r := l.records[id]
	if r == nil || r.removed {
		return
	}
	if r.Leaving {
		delete(l.records, id)
		return
	}
	r.removed, r.removedAt = true, since
}

// Replace applies a complete listing of the store: it puts the entries and
// removes all others, which may have been removed at since or later.
func (l *List) Replace(entries []Entry, since fleet.Instant) {
	seen := map[fleet.UpstreamID]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		l.Put(e)
	}
	for id := range l.records {
		if !seen[id] {
			l.Remove(id, since)
		}
	}
}

// Get returns a server's entry, or false when there is none.
func (l *List) Get(id fleet.UpstreamID) (Entry, bool) {
	if r := l.records[id]; r != nil && !r.removed {
		return r.Entry, true
	}
	return Entry{}, false
}

// Servers returns the known servers, sorted by id, and drops those whose entry
// was removed longer than SuspectTime ago. A server whose entry was removed is
// returned as leaving unless at least massLossShare of its group was removed. Once
// it was returned as leaving, it stays so when more entries are removed.
func (l *List) Servers(now fleet.Instant) []placement.Server {
	total, lost := map[fleet.GroupName]int{}, map[fleet.GroupName]int{}
	for id, r := range l.records {
		if r.removed && now-r.removedAt > l.config.SuspectTime {
			delete(l.records, id)
			continue
		}
		total[r.Group]++
		if r.removed {
			lost[r.Group]++
		}
	}
	var out []placement.Server
	for _, r := range l.records {
		if r.removed && float64(lost[r.Group]) < massLossShare*float64(total[r.Group]) {
			r.Leaving = true
		}
		out = append(out, r.Server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// HasRemoved reports whether the entry of any server in the list is removed.
func (l *List) HasRemoved() bool {
	for _, r := range l.records {
		if r.removed {
			return true
		}
	}
	return false
}

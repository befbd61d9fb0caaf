// Package listing maintains an instance's list of servers from the entries that
// servers write to the platform's store, from the removal of entries, and from
// what servers say of themselves in their answers. An old entry never replaces a
// newer one, and a process that leaves never comes back into use. When many
// entries disappear at once, a failure of the store rather than of the servers is
// assumed, and the servers stay usable for a while.
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
	// Revision is the store's revision of the entry. It orders the entries of
	// successive processes, whose clocks may differ.
	Revision int64
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

const (
	// massLossShare is the share of a group's entries whose removal is taken for
	// a failure of the store.
	massLossShare = 0.5
	// maxFormer bounds the former processes that are remembered of a server.
	maxFormer = 4
)

// record is a server's last entry, kept for a while after its removal.
type record struct {
	Entry
	// removedAt is the earliest time at which the entry may have been removed;
	// it is set when removed is.
	removedAt fleet.Instant
	removed   bool
	// unused reports whether the server went out of use because its entry was
	// removed. It stays so until the entry is written again.
	unused bool
	// lostUntil is set when the store has lost the entry; it counts as removed then.
	lostUntil fleet.Instant
	// former holds the start times of the processes that this one has replaced.
	former []int64
	// returning is the last entry of a former process since the last one of this
	// process.
	returning Entry
}

// List holds the known servers. Not safe for concurrent use.
type List struct {
	config     Config
	records    map[fleet.UpstreamID]*record
	departures map[fleet.Process]departure
	learned    []NewDeparture
	// removed holds the processes whose entry was removed. A store that comes back
	// from an older copy has that entry again.
	removed map[fleet.Process]removal
}

// removal is what is remembered of a removed entry.
type removal struct {
	// heartbeat is the last one of the entry.
	heartbeat int64
	// returned is the revision at which the entry was found in a store that has come
	// back from an older copy; 0 if it was not.
	returned int64
}

// New returns an empty list.
func New(config Config) *List {
	return &List{config: config, records: map[fleet.UpstreamID]*record{}, departures: map[fleet.Process]departure{}, removed: map[fleet.Process]removal{}}
}

// Put stores an entry at now unless it is older than the known one, and reports
// whether it did.
func (l *List) Put(e Entry, now fleet.Instant) bool {
	known := l.records[e.ID]
	next := &record{Entry: e}
	switch {
	case e.Revision > 0 && e.Revision == l.removed[e.Process()].returned:
		return false
	case known == nil:
	case e.Revision < known.Revision:
		return false
	case e.StartTime == known.StartTime:
		if e.Heartbeat < known.Heartbeat {
			return false
		}
		next.former = known.former
	case known.replaced(e):
		return false
	default:
		next.former = append([]int64{known.StartTime}, known.former[:min(len(known.former), maxFormer-1)]...)
	}
	if e.StartTime == 0 && (known == nil || known.removed) {
		// A process that does not say when it started cannot be told from the
		// one before it.
		delete(l.departures, e.Process())
	}
	l.records[e.ID] = next
	if e.Leaving {
		l.Depart(e.Process(), SourceEntry, 0, now)
	}
	return true
}

// replaced reports whether an entry of another process comes from one that this
// one has replaced, such as a write that was done late. A former process counts
// again when it started later, or when it has written twice and this one not.
func (r *record) replaced(e Entry) bool {
	for _, start := range r.former {
		if start != e.StartTime || start > r.StartTime {
			continue
		}
		again := r.returning.StartTime == start && r.returning.Revision > r.Revision && e.Heartbeat > r.returning.Heartbeat
		r.returning = e
		return !again
	}
	return false
}

// Remove marks an entry as removed by a change of the given revision. since is the
// earliest time at which it may have been removed, since an instance may learn of
// a removal late. A leaving server is dropped at once.
func (l *List) Remove(id fleet.UpstreamID, revision int64, since fleet.Instant) {
	r := l.records[id]
	if r == nil || r.removed || revision < r.Revision {
		return
	}
	if l.departed(r.Process()) {
		delete(l.records, id)
		return
	}
	r.removed, r.removedAt, r.Revision = true, since, revision
	if len(l.removed) >= maxRemoved {
		clear(l.removed)
	}
	l.removed[r.Process()] = removal{heartbeat: r.Heartbeat}
}

// maxRemoved bounds the processes whose removal is remembered. More than are removed
// in some minutes; a store's copy is some seconds old.
const maxRemoved = 2048

// Replace applies a complete listing of the store at a revision: it puts the
// entries and removes all others, which may have been removed at since or later.
func (l *List) Replace(entries []Entry, revision int64, since, now fleet.Instant) {
	seen := map[fleet.UpstreamID]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		l.Put(e, now)
	}
	for id, r := range l.records {
		if !seen[id] && now >= r.lostUntil {
			l.Remove(id, revision, since)
		}
	}
}

// RewriteTime is the time after the return of the store from an older copy in which the
// operator and the servers write again what it has lost.
const RewriteTime = 2 * time.Second

// ReplaceRestored is Replace for a store that has come back from an older copy of
// itself. Entries that it has lost stay in use for RewriteTime, and those that were
// removed do not come into use again before their servers write them.
func (l *List) ReplaceRestored(entries []Entry, revision int64, now fleet.Instant) {
	seen := map[fleet.UpstreamID]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		if r, ok := l.removed[e.Process()]; ok && e.Heartbeat <= r.heartbeat && !l.listed(e.Process()) {
			r.returned = e.Revision
			l.removed[e.Process()] = r
		}
		l.Put(e, now)
	}
	for id, r := range l.records {
		if !seen[id] && !r.removed {
			r.lostUntil, r.Revision = now+RewriteTime, revision
		}
	}
}

// listed reports whether a process has an entry that was not removed.
func (l *List) listed(p fleet.Process) bool {
	e, ok := l.Get(p.Server)
	return ok && e.Process() == p
}

// Get returns a server's entry, or false when there is none.
func (l *List) Get(id fleet.UpstreamID) (Entry, bool) {
	if r := l.records[id]; r != nil && !r.removed {
		return r.Entry, true
	}
	return Entry{}, false
}

// Servers returns the known servers, sorted by id, and drops those whose entry
// was removed longer than SuspectTime ago. A server is returned as leaving if its
// process has departed, or if its entry was removed and less than massLossShare of
// its group was.
func (l *List) Servers(now fleet.Instant) []placement.Server {
	total, lost := map[fleet.GroupName]int{}, map[fleet.GroupName]int{}
	for id, r := range l.records {
		if r.lostUntil > 0 && now >= r.lostUntil {
			lostAt := r.lostUntil
			r.lostUntil = 0
			l.Remove(id, r.Revision, lostAt)
		}
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
			r.unused = true
		}
		s := r.Server
		s.Leaving = r.unused || l.departed(s.Process())
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// HasRemoved reports whether the entry of any server in the list is removed or lost.
func (l *List) HasRemoved() bool {
	for _, r := range l.records {
		if r.removed || r.lostUntil > 0 {
			return true
		}
	}
	return false
}

// Package listing is the list of servers that an instance believes in, from
// the entries that servers write to the platform's store and from their
// removal. An old entry never replaces a newer one, and a loss of many entries
// at once, which is a trouble of the store and not of the servers, does not
// leave the instance without servers.
package listing

import (
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// Entry is what a server writes about itself.
type Entry struct {
	placement.Server
	// Heartbeat rises with every entry of one process.
	Heartbeat int64
}

// Report is what an engine answers about its state.
type Report struct {
	Stage fleet.Role
	// Busy tells that an order is in progress.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the start.
	AcceptedOrders int64
	// StartTime is the start of the process, 0 when it does not say.
	StartTime int64
}

// Config fixes the parameters of a list.
type Config struct {
	// SuspectTime is how long a server whose entry was lost together with many
	// others may still get requests. It is below the time within which a
	// leaving server must get no more.
	SuspectTime time.Duration
}

// massLoss is the part of a group's servers whose entries have to be missing
// before the loss is taken for a trouble of the store.
const massLoss = 0.5

type record struct {
	Entry
	// missing is when the entry was removed; 0 while it is there.
	missing fleet.Instant
	lost    bool
}

// List is the list of servers. Not safe for concurrent use.
type List struct {
	config  Config
	records map[fleet.UpstreamID]*record
}

// New returns an empty list.
func New(config Config) *List { return &List{config: config, records: map[fleet.UpstreamID]*record{}} }

// Put takes an entry and tells whether it was newer than what is known.
func (l *List) Put(e Entry) bool {
	known := l.records[e.ID]
	if known != nil && !known.lost {
		if e.StartTime < known.StartTime || (e.StartTime == known.StartTime && e.Heartbeat < known.Heartbeat) {
			return false
		}
		if e.StartTime == known.StartTime && known.Leaving && !e.Leaving {
			// A process that leaves does not come back.
			return false
		}
	}
	if known != nil && known.lost && e.StartTime < known.StartTime {
		return false
	}
	l.records[e.ID] = &record{Entry: e}
	return true
}

// Remove takes the removal of an entry.
func (l *List) Remove(id fleet.UpstreamID, now fleet.Instant) {
	r := l.records[id]
	if r == nil || r.lost {
		return
	}
	if r.Leaving {
		delete(l.records, id)
		return
	}
	r.lost, r.missing = true, now
}

// Replace takes all entries of a complete reading of the store; those that it
// lacks are removed.
func (l *List) Replace(entries []Entry, now fleet.Instant) {
	seen := map[fleet.UpstreamID]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		l.Put(e)
	}
	for id := range l.records {
		if !seen[id] {
			l.Remove(id, now)
		}
	}
}

// Get tells whether a server has an entry, and its last one.
func (l *List) Get(id fleet.UpstreamID) (Entry, bool) {
	if r := l.records[id]; r != nil && !r.lost {
		return r.Entry, true
	}
	return Entry{}, false
}

// Servers returns the servers that may be used, sorted by id, and drops those
// that are gone.
func (l *List) Servers(now fleet.Instant) []placement.Server {
	total, lost := map[fleet.GroupName]int{}, map[fleet.GroupName]int{}
	for id, r := range l.records {
		if r.lost && now-r.missing > l.config.SuspectTime {
			delete(l.records, id)
			continue
		}
		total[r.Group]++
		if r.lost {
			lost[r.Group]++
		}
	}
	var out []placement.Server
	for _, r := range l.records {
		s := r.Server
		if r.lost && float64(lost[r.Group]) < massLoss*float64(total[r.Group]) {
			s.Leaving = true
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// HasMissing tells that a server waits for its entry to return.
func (l *List) HasMissing() bool {
	for _, r := range l.records {
		if r.lost {
			return true
		}
	}
	return false
}

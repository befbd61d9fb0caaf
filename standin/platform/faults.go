package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	kvstore "github.com/bramleywick/bramleywick/store"
)

// Options are further faults and the rate limits that a test can switch on.
type Options struct {
	// StaleReads answers reads with the value before the last write of the
	// key. Compare-and-swap still compares with the current revision.
	StaleReads bool
	// DropWatchEvents makes a watch see a write only when its wait ends.
	DropWatchEvents bool
	// ReadsPerSecond and WritesPerSecond are rate limits; calls beyond them are
	// refused with 429. 0 means no limit.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Rate limits of the platform's service.
const (
	ServiceReadsPerSecond  = 2000
	ServiceWritesPerSecond = 400
)

// SetOptions replaces the active switches.
func (s *Server) SetOptions(switches Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

func (s *Server) activeSwitches() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Snapshot is a copy of the stored entries at one revision.
type Snapshot struct {
	revision int64
	entries  map[string]stored
}

// TakeSnapshot returns a copy of the stored entries.
func (s *Server) TakeSnapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: copyEntries(s.entries)}
}

// Restore goes back to an older snapshot, as if a backup was restored: entries and
// revisions go back and no watch returns.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = snapshot.revision
	s.entries = copyEntries(snapshot.entries)
	s.previous = nil
}

func copyEntries(entries map[string]stored) map[string]stored {
	out := make(map[string]stored, len(entries))
	for key, e := range entries {
		out[key] = e
	}
	return out
}

// keepPrevious keeps the entry that a write is about to replace. The caller holds
// the lock.
func (s *Server) keepPrevious(key string) {
	if s.previous == nil {
		s.previous = map[string]kvstore.Entry{}
	}
	s.previous[key] = s.entries[key].Entry
}

// visibleEntry returns the entry that a read sees. The caller holds the lock.
func (s *Server) visibleEntry(key string) (kvstore.Entry, bool) {
	if previous, ok := s.previous[key]; ok && s.switches.StaleReads {
		return previous, previous.Revision > 0
	}
	e, ok := s.entries[key]
	return e.Entry, ok
}

// omitValue reports whether the request asks to leave out the value of a revision
// that the reader already has.
func omitValue(r *http.Request, revision int64) bool {
	query := r.URL.Query()
	return query.Get("omit") != "" && query.Get("after") == strconv.FormatInt(revision, 10)
}

// Counts holds the numbers of calls since the start or the last ResetCounts.
type Counts struct {
	// ByCall holds the numbers by method and path, such as "GET /v1/kv".
	ByCall  map[string]int
	Reads   int
	Writes  int
	Refused int
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts { return s.meter.read(false) }

// ResetCounts returns the numbers of calls so far and sets them to zero.
func (s *Server) ResetCounts() Counts { return s.meter.read(true) }

// meter counts calls and enforces the rate limits in windows of one second. window is
// the start of the current one; reads and writes are the calls in it.
type meter struct {
	mu            sync.Mutex
	counts        Counts
	window        time.Time
	reads, writes int
}

// count counts one call and reports whether it is within the rate limits.
func (m *meter) count(r *http.Request, limits Options) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.window) >= time.Second {
		m.window, m.reads, m.writes = now, 0, 0
	}
	if m.counts.ByCall == nil {
		m.counts.ByCall = map[string]int{}
	}
	m.counts.ByCall[r.Method+" "+r.URL.Path]++
	used, limit := &m.writes, limits.WritesPerSecond
	if r.Method == http.MethodGet {
		used, limit = &m.reads, limits.ReadsPerSecond
		m.counts.Reads++
	} else {
		m.counts.Writes++
	}
	*used++
	if limit > 0 && *used > limit {
		m.counts.Refused++
		return false
	}
	return true
}

// read returns a copy of the counts and sets them to zero if reset is set.
func (m *meter) read(reset bool) Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.counts
	out.ByCall = map[string]int{}
	for call, n := range m.counts.ByCall {
		out.ByCall[call] = n
	}
	if reset {
		m.counts = Counts{}
	}
	return out
}

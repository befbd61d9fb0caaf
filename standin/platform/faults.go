package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	real "github.com/bramleywick/bramleywick/store"
)

// Switches are further failures that a test can switch on, next to Faults.
type Switches struct {
	// StaleReads answers reads with the value before the last write of the
	// key. Compare-and-swap still compares with the present revision.
	StaleReads bool
	// DropWatchEvents wakes no watch; a watch sees a write only when its wait
	// ends.
	DropWatchEvents bool
	// ReadsPerSecond and WritesPerSecond refuse calls beyond a rate; 0 means
	// no limit.
	ReadsPerSecond  int
	WritesPerSecond int
}

// Rates of the platform's service.
const (
	ServiceReadsPerSecond  = 2000
	ServiceWritesPerSecond = 400
)

// SetSwitches replaces the active switches.
func (s *Server) SetSwitches(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

func (s *Server) limits() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Snapshot is a copy of the stored entries at one moment.
type Snapshot struct {
	revision int64
	entries  map[string]stored
}

// TakeSnapshot copies the stored entries.
func (s *Server) TakeSnapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: copyEntries(s.entries)}
}

// Restore puts an older image back, as after a backup was restored: entries
// and revisions go back and no watch is woken.
func (s *Server) Restore(image Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = image.revision
	s.entries = copyEntries(image.entries)
	s.past = nil
}

func copyEntries(entries map[string]stored) map[string]stored {
	out := make(map[string]stored, len(entries))
	for key, e := range entries {
		out[key] = e
	}
	return out
}

// remember keeps the entry that a write is about to replace. It is called
// under the lock.
func (s *Server) remember(key string) {
	if s.past == nil {
		s.past = map[string]real.Entry{}
	}
	s.past[key] = s.entries[key].Entry
}

// readable returns what a read sees. It is called under the lock.
func (s *Server) readable(key string) (real.Entry, bool) {
	if past, ok := s.past[key]; ok && s.switches.StaleReads {
		return past, past.Revision > 0
	}
	e, ok := s.entries[key]
	return e.Entry, ok
}

// unchanged tells whether the reader asked to leave out a value it knows.
func unchanged(r *http.Request, revision int64) bool {
	query := r.URL.Query()
	return query.Get("omit") != "" && query.Get("after") == strconv.FormatInt(revision, 10)
}

// Counts are the calls handled since the start or the last Reset.
type Counts struct {
	// ByCall is keyed by method and path, such as "GET /v1/kv".
	ByCall  map[string]int
	Reads   int
	Writes  int
	Refused int
}

// Counts returns the calls handled so far.
func (s *Server) Counts() Counts { return s.meter.read(false) }

// ResetCounts returns the calls handled so far and starts again at zero.
func (s *Server) ResetCounts() Counts { return s.meter.read(true) }

// meter counts calls and enforces rates in windows of one second.
type meter struct {
	mu            sync.Mutex
	counts        Counts
	window        time.Time
	reads, writes int
}

// count adds one call and reports false when it exceeds a rate.
func (m *meter) count(r *http.Request, limits Switches) bool {
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

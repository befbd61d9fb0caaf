package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

// maxCacheEvents is the number of cache events that the engine keeps; older ones
// are lost.
const maxCacheEvents = 256

// runtimeState is the part of an engine that a test changes while it runs. sequence is
// the number of the newest cache event.
type runtimeState struct {
	mu       sync.Mutex
	leaving  bool
	silent   bool
	sequence int64
	events   []upstream.CacheEvent
}

// SetLeaving sets whether the load report announces that the engine leaves.
func (s *Server) SetLeaving(leaving bool) {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	s.runtime.leaving = leaving
}

// SetSilent sets whether requests for the load report fail with 503.
func (s *Server) SetSilent(silent bool) {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	s.runtime.silent = silent
}

// Restart restarts the engine as another incarnation.
func (s *Server) Restart(next fleet.Incarnation) {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	s.orders.restart(next)
	s.runtime.leaving, s.runtime.silent = false, false
	s.runtime.sequence, s.runtime.events = 0, nil
	s.prefilled.Store(0)
	s.generated.Store(0)
}

// PublishCache adds a cache event after skipping lost sequence numbers, as if that
// many events were lost.
func (s *Server) PublishCache(stored, evicted []uint64, lost int64) {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	s.runtime.sequence += 1 + lost
	ev := upstream.CacheEvent{Sequence: s.runtime.sequence, Stored: stored, Evicted: evicted}
	s.runtime.events = append(s.runtime.events, ev)
	if len(s.runtime.events) > maxCacheEvents {
		s.runtime.events = s.runtime.events[1:]
	}
}

// cacheEvents handles GET /v1/cache-events.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	out := upstream.CacheEvents{Incarnation: s.State().Incarnation}
	for _, ev := range s.runtime.events {
		if ev.Sequence > after {
			out.Events = append(out.Events, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// load handles GET /v1/load.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.runtime.mu.Lock()
	defer s.runtime.mu.Unlock()
	if s.runtime.silent {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	state := s.State()
	_ = json.NewEncoder(w).Encode(upstream.Load{
		Incarnation:      state.Incarnation,
		Sequence:         s.reportSequence.Add(1),
		Role:             state.Role,
		Running:          int(s.running.Load()),
		KVCapacityTokens: kvCapacityTokens,
		Leaving:          s.runtime.leaving,

		PrefilledTokensTotal: s.prefilled.Load(), GeneratedTokensTotal: s.generated.Load(),
	})
}

// kvCapacityTokens is the KV cache size that the stand-in reports.
const kvCapacityTokens = 500_000

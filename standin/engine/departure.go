package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

// maxCacheEvents bounds the events that the engine keeps; older ones are lost.
const maxCacheEvents = 256

// lifecycle is what a test changes while the engine runs.
type lifecycle struct {
	mu       sync.Mutex
	leaving  bool
	silent   bool
	sequence int64
	events   []upstream.CacheEvent
}

// SetLeaving makes the load report announce the engine's departure.
func (s *Server) SetLeaving(leaving bool) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.life.leaving = leaving
}

// SetSilent makes the engine's load interface fail.
func (s *Server) SetSilent(silent bool) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.life.silent = silent
}

// Restart puts another incarnation in the engine's place.
func (s *Server) Restart(next fleet.Incarnation) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.orders.replace(next)
	s.life.leaving, s.life.silent = false, false
	s.life.sequence, s.life.events = 0, nil
	s.prefilled.Store(0)
	s.generated.Store(0)
}

// PublishCache adds a cache event; lost skips that many sequence numbers first.
func (s *Server) PublishCache(stored, evicted []uint64, lost int64) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	s.life.sequence += 1 + lost
	ev := upstream.CacheEvent{Sequence: s.life.sequence, Stored: stored, Evicted: evicted}
	s.life.events = append(s.life.events, ev)
	if len(s.life.events) > maxCacheEvents {
		s.life.events = s.life.events[1:]
	}
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	out := upstream.CacheEvents{Incarnation: s.State().Incarnation}
	for _, ev := range s.life.events {
		if ev.Sequence > after {
			out.Events = append(out.Events, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.life.mu.Lock()
	defer s.life.mu.Unlock()
	if s.life.silent {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	state := s.State()
	_ = json.NewEncoder(w).Encode(upstream.Load{
		Incarnation:      state.Incarnation,
		Sequence:         s.reports.Add(1),
		Role:             state.Role,
		Running:          int(s.running.Load()),
		KVCapacityTokens: kvCapacityTokens,
		Leaving:          s.life.leaving,

		PrefilledTokensTotal: s.prefilled.Load(), GeneratedTokensTotal: s.generated.Load(),
	})
}

// kvCapacityTokens is the size of the stand-in's KV cache.
const kvCapacityTokens = 500_000

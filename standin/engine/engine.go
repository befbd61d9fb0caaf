// Package engine is a stand-in for a model engine, for development and tests. Its
// answer depends only on the prompt and the number of tokens.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

// Config is the configuration of a stand-in engine.
type Config struct {
	Incarnation fleet.Incarnation
	Role        fleet.Role
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Orders is nil for an engine that accepts no orders.
	Orders *Orders
}

// Server is a stand-in engine. Safe for concurrent use.
type Server struct {
	config         Config
	running        atomic.Int64
	reportSequence atomic.Int64
	runtime        runtimeState
	orders         *orderState
	completions    atomic.Int64
	// prefilled and generated count the tokens of this incarnation.
	prefilled, generated atomic.Int64

	mu         sync.Mutex
	fault      Fault
	faultHits  int
	lastHandle int
	cancels    map[fleet.RequestID]context.CancelFunc
	cancelled  []fleet.RequestID // requests cancelled by DELETE, oldest first
}

// New returns an engine with the given configuration.
func New(config Config) *Server {
	return &Server{config: config, orders: newOrderState(config), cancels: map[fleet.RequestID]context.CancelFunc{}}
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/prefill", s.prefill)
	mux.HandleFunc("DELETE /v1/requests/{id}", s.cancel)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("PUT /dev/fault", s.handleFault)
	mux.HandleFunc("GET /v1/cache-events", s.cacheEvents)
	s.addOrders(mux)
	return s.rejectOldConnections(mux)
}

// Running returns the number of answers in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// Completions returns the number of completion requests that have reached the
// engine.
func (s *Server) Completions() int { return int(s.completions.Load()) }

// Cancelled returns the ids of the requests that were cancelled by DELETE.
func (s *Server) Cancelled() []fleet.RequestID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.cancelled)
}

// Answer returns the tokens that the engine generates for a prompt: its words in turn,
// up to maxTokens.
func Answer(prompt string, maxTokens int) []string {
	words := strings.Fields(prompt)
	tokens := make([]string, 0, maxTokens)
	for i := 0; i < maxTokens && len(words) > 0; i++ {
		tokens = append(tokens, words[i%len(words)]+" ")
	}
	return tokens
}

// complete handles POST /v1/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var in upstream.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.completions.Add(1)
	fault := s.takeFault(func(m FaultMode) bool {
		return m != FaultPrefill && (m != FaultNoKV || in.KVFrom != nil)
	})
	switch fault.Mode {
	case FaultStatus:
		http.Error(w, "injected fault", fault.Status)
		return
	case FaultNoKV:
		http.Error(w, "injected fault", upstream.StatusKVMissing)
		return
	case FaultResetFirst:
		reset(w)
		return
	}
	ctx, stop := s.track(r.Context(), in.RequestID)
	defer stop()
	s.stream(&faultyWriter{w: w, r: r.WithContext(ctx), fault: fault}, in)
}

// track counts a running answer and registers it so that DELETE can cancel its
// context. The returned function undoes both and must be called.
func (s *Server) track(ctx context.Context, id fleet.RequestID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancels[id] = cancel
	s.mu.Unlock()
	s.running.Add(1)
	return ctx, func() {
		cancel()
		s.running.Add(-1)
		s.mu.Lock()
		delete(s.cancels, id)
		s.mu.Unlock()
	}
}

// stream sends the answer, numbering chunks from ResumeFrom. With a prefix, the text
// continues after the prefix; without one, the chunks before ResumeFrom are skipped.
func (s *Server) stream(f *faultyWriter, in upstream.CompletionRequest) {
	f.w.Header().Set("Content-Type", "text/event-stream")
	if !s.wait(f.r, s.config.FirstToken) {
		return
	}
	if in.KVFrom == nil {
		s.prefilled.Add(int64(len(strings.Fields(in.Prompt))))
	}
	tokens := Answer(in.Prompt, in.MaxTokens)
	seq := max(in.ResumeFrom, 1)
	from := min(int(seq-1), len(tokens))
	if in.Prefix != "" {
		from = min(len(strings.Fields(in.Prefix)), len(tokens))
	}
	for _, token := range tokens[from:] {
		if !f.send(upstream.Chunk{RequestID: in.RequestID, Seq: seq, Text: token, Tokens: 1}) {
			return
		}
		seq++
		s.generated.Add(1)
		if !s.wait(f.r, s.config.TokenGap) {
			return
		}
	}
	usage := &fleet.Usage{PromptTokens: len(strings.Fields(in.Prompt)), OutputTokens: len(tokens)}
	f.send(upstream.Chunk{RequestID: in.RequestID, Seq: seq, Finish: "stop", Usage: usage})
}

// prefill handles POST /v1/prefill.
func (s *Server) prefill(w http.ResponseWriter, r *http.Request) {
	var in upstream.PrefillRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault := s.takeFault(func(m FaultMode) bool { return m == FaultPrefill }); fault.Mode != "" {
		http.Error(w, "injected fault", fault.Status)
		return
	}
	if !s.wait(r, s.config.FirstToken) {
		return
	}
	s.prefilled.Add(int64(len(strings.Fields(in.Prompt))))
	s.mu.Lock()
	s.lastHandle++
	handle := upstream.KVHandle{Address: r.Host, ID: fmt.Sprintf("kv-%d", s.lastHandle)}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(handle)
}

// cancel handles DELETE /v1/requests/{id}.
func (s *Server) cancel(_ http.ResponseWriter, r *http.Request) {
	id := fleet.RequestID(r.PathValue("id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = append(s.cancelled, id)
	if cancel, ok := s.cancels[id]; ok {
		cancel()
	}
}

// writeChunk sends a chunk as a server-sent event.
func writeChunk(w http.ResponseWriter, c upstream.Chunk) {
	raw, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	w.(http.Flusher).Flush()
}

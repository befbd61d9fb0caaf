// Package engine is a small stand-in for a model engine, for development and
// tests. Its answer to a prompt is a function of the prompt alone.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

// Config sets the behaviour of one stand-in engine.
type Config struct {
	Incarnation fleet.Incarnation
	Role        fleet.Role
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Orders is set for an engine that accepts orders.
	Orders *Orders
}

// Server is one stand-in engine.
type Server struct {
	config  Config
	running atomic.Int64
	reports atomic.Int64
	life    lifecycle
	orders  *orderState
}

// New returns an engine with the given behaviour.
func New(config Config) *Server {
	return &Server{config: config, orders: newOrderState(config)}
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("DELETE /v1/requests/{id}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/cache-events", s.cacheEvents)
	s.addOrders(mux)
	return s.alive(mux)
}

// Answer returns the tokens that the engine generates for a prompt.
func Answer(prompt string, maxTokens int) []string {
	words := strings.Fields(prompt)
	tokens := make([]string, 0, maxTokens)
	for i := 0; i < maxTokens && len(words) > 0; i++ {
		tokens = append(tokens, words[i%len(words)]+" ")
	}
	return tokens
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var in upstream.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	if !s.wait(r, s.config.FirstToken) {
		return
	}
	tokens := Answer(in.Prompt, in.MaxTokens)
	for i, token := range tokens {
		seq := int64(i + 1)
		if seq < in.ResumeFrom {
			continue
		}
		send(w, upstream.Chunk{RequestID: in.RequestID, Seq: seq, Text: token, Tokens: 1})
		if !s.wait(r, s.config.TokenGap) {
			return
		}
	}
	usage := &fleet.Usage{PromptTokens: len(strings.Fields(in.Prompt)), OutputTokens: len(tokens)}
	send(w, upstream.Chunk{RequestID: in.RequestID, Seq: int64(len(tokens)) + 1, Finish: "stop", Usage: usage})
}

// wait sleeps and reports whether the caller is still there.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func send(w http.ResponseWriter, c upstream.Chunk) {
	raw, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	w.(http.Flusher).Flush()
}

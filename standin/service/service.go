// Package service is a stand-in for a plain service, for development and tests. It
// counts how often each call ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 1 << 20

// Server is a stand-in service. The zero value is ready to use. Safe for concurrent
// use.
type Server struct {
	// Delay is the time between running a call and answering it.
	Delay time.Duration

	mu        sync.Mutex
	runs      map[string]int
	fault     Fault
	faultHits int
}

// Runs returns how often a call with this path and body ran.
func (s *Server) Runs(path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path+" "+body]
}

// Handler returns the service's HTTP interface. Every path but that of the load
// report is a call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", load)
	mux.Handle("/", s.calls())
	return mux
}

// calls returns the handler of calls, which applies the active fault.
func (s *Server) calls() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fault := s.takeFault()
		if fault.ResetBefore {
			reset(w)
			return
		}
		if fault.Status != 0 {
			http.Error(w, "injected fault", fault.Status)
			return
		}
		runs := s.record(r.URL.Path, string(body))
		if fault.ResetAfter {
			reset(w)
			return
		}
		time.Sleep(s.Delay)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "runs": runs})
	})
}

// record counts one run of a call and returns the number of its runs so far.
func (s *Server) record(path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[path+" "+body]++
	return s.runs[path+" "+body]
}

// Package platform is a stand-in for the platform's key-value service, for
// development and tests. It keeps everything in memory.
package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	kvstore "github.com/bramleywick/bramleywick/store"
)

// Server is an in-memory key-value service with leases and watches. It is created by
// New. Safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	revision  int64
	nextLease int64
	entries   map[string]stored
	leases    map[string]leaseState
	instances []kvstore.InstanceInfo
	changed   chan struct{} // closed and replaced at every write
	faults    Faults
	switches  Options
	previous  map[string]kvstore.Entry // each key's entry before the last write
	meter     meter
}

// stored is an entry with the id of its lease, or "" for none.
type stored struct {
	kvstore.Entry
	leaseID string
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// Faults are the faults that a test can switch on.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// LoseWriteAnswers applies writes and then breaks the connection.
	LoseWriteAnswers bool
	// Delay is added before every call is handled.
	Delay time.Duration
}

// New returns an empty service.
func New() *Server {
	return &Server{
		entries: map[string]stored{},
		leases:  map[string]leaseState{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetInstances replaces the list that GET /v1/instances returns.
func (s *Server) SetInstances(list []kvstore.InstanceInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = list
}

// Handler returns the HTTP interface of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", s.handleGet)
	mux.HandleFunc("GET /v1/list", s.handleList)
	mux.HandleFunc("PUT /v1/kv", s.write(s.swap))
	mux.HandleFunc("DELETE /v1/kv", s.write(s.remove))
	mux.HandleFunc("POST /v1/lease", s.write(s.grant))
	mux.HandleFunc("PUT /v1/lease", s.write(s.renew))
	mux.HandleFunc("DELETE /v1/lease", s.write(s.revoke))
	mux.HandleFunc("GET /v1/watch", s.handleWatch)
	mux.HandleFunc("GET /v1/instances", s.handleInstances)
	return s.withFaults(mux)
}

// withFaults counts calls, refuses those beyond the rate limits and applies Faults.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if !s.meter.count(r, s.activeSwitches()) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(f.Delay)
		if f.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// write returns a handler that decodes the body, applies one write under the lock
// and answers with its result and status.
func (s *Server) write(apply func(kvstore.Body) (kvstore.Body, int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in kvstore.Body
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*kvstore.MaxValueBytes)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.expire(time.Now())
		out, status := apply(in)
		lose := s.faults.LoseWriteAnswers
		if status == http.StatusOK && !s.switches.DropWatchEvents {
			close(s.changed)
			s.changed = make(chan struct{})
		}
		s.mu.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		reply(w, out, status)
	}
}

func reply(w http.ResponseWriter, out kvstore.Body, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// swap applies PUT /v1/kv, a compare-and-swap, and returns the body and the status of
// the answer.
func (s *Server) swap(in kvstore.Body) (kvstore.Body, int) {
	if len(in.Value) > kvstore.MaxValueBytes {
		return kvstore.Body{}, http.StatusRequestEntityTooLarge
	}
	if s.entries[in.Key].Revision != in.Revision {
		return kvstore.Body{Revision: s.entries[in.Key].Revision}, http.StatusConflict
	}
	if _, ok := s.leases[in.LeaseID]; in.LeaseID != "" && !ok {
		return kvstore.Body{}, http.StatusGone
	}
	s.revision++
	s.keepPrevious(in.Key)
	entry := kvstore.Entry{Key: in.Key, Value: in.Value, Revision: s.revision}
	s.entries[in.Key] = stored{Entry: entry, leaseID: in.LeaseID}
	return kvstore.Body{Revision: s.revision}, http.StatusOK
}

func (s *Server) remove(in kvstore.Body) (kvstore.Body, int) {
	current, ok := s.entries[in.Key]
	if !ok {
		return kvstore.Body{}, http.StatusNotFound
	}
	if current.Revision != in.Revision {
		return kvstore.Body{Revision: current.Revision}, http.StatusConflict
	}
	s.revision++
	delete(s.entries, in.Key)
	return kvstore.Body{Revision: s.revision}, http.StatusOK
}

func (s *Server) grant(in kvstore.Body) (kvstore.Body, int) {
	s.nextLease++
	id := "lease-" + strconv.FormatInt(s.nextLease, 10)
	s.leases[id] = leaseState{ttl: in.TTL, expires: time.Now().Add(in.TTL)}
	return kvstore.Body{LeaseID: id}, http.StatusOK
}

func (s *Server) renew(in kvstore.Body) (kvstore.Body, int) {
	lease, ok := s.leases[in.LeaseID]
	if !ok {
		return kvstore.Body{}, http.StatusGone
	}
	lease.expires = time.Now().Add(lease.ttl)
	s.leases[in.LeaseID] = lease
	return kvstore.Body{}, http.StatusOK
}

func (s *Server) revoke(in kvstore.Body) (kvstore.Body, int) {
	s.dropLease(in.LeaseID)
	return kvstore.Body{}, http.StatusOK
}

// expire removes expired leases and their keys. The caller holds the lock.
func (s *Server) expire(now time.Time) {
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.dropLease(id)
		}
	}
}

// dropLease removes a lease and its keys. The caller holds the lock.
func (s *Server) dropLease(id string) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.leaseID == id && id != "" {
			s.revision++
			delete(s.entries, key)
		}
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire(time.Now())
	e, ok := s.visibleEntry(r.URL.Query().Get("key"))
	s.mu.Unlock()
	if omitValue(r, e.Revision) && ok {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !ok {
		reply(w, kvstore.Body{}, http.StatusNotFound)
		return
	}
	reply(w, kvstore.Body{Value: e.Value, Revision: e.Revision}, http.StatusOK)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.expire(time.Now())
	var list []kvstore.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e.Entry)
		}
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, kvstore.Body{Entries: list}, http.StatusOK)
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		e := s.entries[query.Get("key")]
		changed := s.changed
		s.mu.Unlock()
		if e.Revision > after {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.handleGet(w, r)
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := append([]kvstore.InstanceInfo(nil), s.instances...)
	s.mu.Unlock()
	reply(w, kvstore.Body{Instances: list}, http.StatusOK)
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps its history of changes.
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes bounds a value.
	valueBytes = 1 << 20
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	forgotten int64
	leases    map[int64]lease
	lastLease int64
	changed   chan struct{}
	address   string
}

func startStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{}), forgotten: 100}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends leases that have run out and drops old history. The caller holds
// the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > historyTime {
		s.forgotten = s.history[n].Revision
		n++
	}
	if n > 0 {
		s.history = append([]item(nil), s.history[n:]...)
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a server does and returns when the store
// has acknowledged it.
func (s *store) Put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) > valueBytes {
		panic("the value is too long")
	}
	s.put(key, value, 0)
	return time.Now()
}

// Remove removes a key as a server does.
func (s *store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// Items returns the number of keys with a prefix.
func (s *store) Items(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

type object map[string]any

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, out := s.serve(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) serve(r *http.Request) (int, any) {
	q := r.URL.Query()
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number, _ := strconv.ParseInt(id, 10, 64)
	if call == wire["callWatch"] {
		return s.watch(r, q.Get(wire["prefixParameter"]), q.Get("after"), q.Get("wait-ms"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch call {
	case wire["callKey"]:
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, object{"store-revision": s.revision}
		}
		return http.StatusOK, i
	case wire["callRange"]:
		return s.page(q.Get(wire["prefixParameter"]), q.Get("after"))
	case wire["callTxn"]:
		return s.txn(r)
	case wire["callLease"]:
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.lastLease++
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, object{"lease": s.lastLease, "ttl-ms": ttl.Milliseconds()}
	case wire["callKeep"]:
		l, ok := s.leases[number]
		if !ok {
			return http.StatusNotFound, object{}
		}
		l.expires = time.Now().Add(l.ttl)
		s.leases[number] = l
		return http.StatusOK, object{"ttl-ms": l.ttl.Milliseconds()}
	case wire["callEnd"]:
		if _, ok := s.leases[number]; !ok {
			return http.StatusNotFound, object{}
		}
		s.endLease(number)
		return http.StatusOK, object{}
	}
	return http.StatusBadRequest, object{}
}

func (s *store) page(prefix, after string) (int, any) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes := []item{}, 0
	for _, key := range keys {
		i := s.items[key]
		if len(items) > 0 && (len(items) >= pageItems || bytes+len(i.Value) > pageBytes) {
			return http.StatusOK, object{"items": items, "truncated": true, "store-revision": s.revision}
		}
		items, bytes = append(items, i), bytes+len(i.Value)
	}
	return http.StatusOK, object{"items": items, "truncated": false, "store-revision": s.revision}
}

func (s *store) txn(r *http.Request) (int, any) {
	var in struct {
		Conditions []item   `json:"precondition"`
		Puts       []item   `json:"puts"`
		Remove     []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, object{}
	}
	for _, c := range in.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, object{"items": []item{s.items[c.Key]}}
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, wire["serversPrefix"]) {
			return http.StatusForbidden, object{}
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, object{}
		}
	}
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	return http.StatusOK, object{"revision": s.revision}
}

// watch answers as soon as there is a change after a revision, with all changes
// since.
func (s *store) watch(r *http.Request, prefix, afterText, waitText string) (int, any) {
	after, _ := strconv.ParseInt(afterText, 10, 64)
	wait, _ := strconv.Atoi(waitText)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		forgotten, revision, changed := after < s.forgotten, s.revision, s.changed
		s.mu.Unlock()
		if forgotten {
			return http.StatusGone, object{}
		}
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "store-revision": revision}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, object{"events": events, "store-revision": revision}
		case <-r.Context().Done():
			return http.StatusOK, object{}
		}
	}
}

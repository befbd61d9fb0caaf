package main

import (
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeState is what a copy of the store holds.
type storeState struct {
	revision, lastLease int64
	items               map[string]item
	history             []item
	leases              map[int64]storeLease
}

func (s storeState) clone() storeState {
	s.items, s.history, s.leases = maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.leases)
	return s
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	mu      sync.Mutex
	storeState
	// oldest is the revision up to which the history is gone.
	oldest  int64
	era     int64
	down    bool
	changed chan struct{}
}

func newStore(era int64) (*store, error) {
	s := &store{
		storeState: storeState{revision: 1, items: map[string]item{}, leases: map[int64]storeLease{}},
		era:        era, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// copy returns a copy of what the store holds.
func (s *store) copy() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeState.clone()
}

// setDown makes the store answer nothing but 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore makes the store serve again, from a copy.
func (s *store) restore(c storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeState = c.clone()
	for id, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.era++
	s.down = false
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// errAway means that the store is away.
var errAway = errors.New("the store is away")

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errAway
	}
	s.write(key, raw, 0)
	return nil
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(lease int64) {
	delete(s.leases, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, down := s.era, s.down
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, out := s.serve(r)
	s.mu.Lock()
	cut := s.era != era || s.down
	s.mu.Unlock()
	if cut || status == 0 {
		panic(http.ErrAbortHandler)
	}
	raw, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type object map[string]any

func (s *store) serve(r *http.Request) (int, any) {
	q := r.URL.Query()
	call, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, _ := strconv.ParseInt(rest, 10, 64)
	if call == wire["watch"] {
		return s.watch(r, q.Get(wire["prefix"]), q.Get("after"), q.Get("wait-ms"))
	}
	var txn struct {
		On     []item   `json:"precondition"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
		TTL    int64    `json:"ttl-ms"`
	}
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
			return http.StatusBadRequest, object{}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch call {
	case wire["key"]:
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, object{}
		}
		return http.StatusOK, i
	case wire["range"]:
		items, truncated := s.page(q.Get(wire["prefix"]), q.Get("after"))
		return http.StatusOK, object{"items": items, "truncated": truncated, "store-revision": s.revision}
	case wire["txn"]:
		return s.txn(txn.On, txn.Puts, txn.Remove)
	case wire["lease"]:
		s.lastLease++
		ttl := time.Duration(txn.TTL) * time.Millisecond
		s.leases[s.lastLease] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, object{"lease": s.lastLease, "ttl-ms": txn.TTL}
	case wire["keep"]:
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, object{}
		}
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
		return http.StatusOK, object{"ttl-ms": l.ttl.Milliseconds()}
	case wire["end"]:
		s.endLease(id)
		return http.StatusOK, object{}
	}
	return http.StatusBadRequest, object{}
}

// page returns up to 500 items under a prefix that follow a key.
func (s *store) page(prefix, after string) ([]item, bool) {
	out := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	if len(out) > 500 {
		return out[:500], true
	}
	return out, false
}

func (s *store) txn(on, puts []item, remove []string) (int, any) {
	items := []item{}
	failed := false
	for _, c := range on {
		failed = failed || s.items[c.Key].Revision != c.Revision
		items = append(items, s.items[c.Key])
	}
	if failed {
		return http.StatusPreconditionFailed, object{"items": items}
	}
	for _, p := range puts {
		if strings.HasPrefix(p.Key, wire["operator"]) || strings.HasPrefix(p.Key, wire["servers"]) {
			return http.StatusForbidden, object{}
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, object{}
		}
	}
	for _, p := range puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range remove {
		s.remove(key)
	}
	return http.StatusOK, object{"revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix, afterText, waitText string) (int, any) {
	after, _ := strconv.ParseInt(afterText, 10, 64)
	wait, _ := strconv.Atoi(waitText)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if s.down {
			s.mu.Unlock()
			return 0, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		gone := after < s.oldest || after > s.revision
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			return http.StatusGone, object{}
		case len(events) > 0:
			return http.StatusOK, object{"events": events, "store-revision": revision}
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
			// Leases may have run out.
		case <-end:
			return http.StatusOK, object{"events": events, "store-revision": revision}
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

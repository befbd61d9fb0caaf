package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and eventGap the usual
	// time between two of them.
	streamEvents = 9
	eventGap     = 40 * time.Millisecond
	// readTime is the time in which a prompt is read, and plainTime the time of
	// a plain request.
	readTime  = 40 * time.Millisecond
	plainTime = 20 * time.Millisecond
	// switchTime is the time of a change of stage.
	switchTime = 3 * time.Second
)

// arrival is one request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	ran    bool
}

// work is the time in which a server worked on a stream.
type work struct {
	id, server   string
	began, ended time.Time
}

func (f *fleet) worked(w work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.works = append(f.works, w)
}

// server is a stand-in of an engine or, without a stage, of a plain server.
type server struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	slots   int
	address string
	born    int64
	// pause returns how long a stream pauses in its middle; nil never. events is
	// the number of events of a stream, and gap the usual time between two.
	pause  func(id string) time.Duration
	events int
	gap    time.Duration
	// slowToDrop is set for a server that notices only at its next event that the
	// channel has closed.
	slowToDrop bool

	mu        sync.Mutex
	stage     string
	state     string
	beat      int
	orders    int64
	fence     int64
	busyUntil time.Time
	running   int
	handles   map[string]bool
	handleN   int
}

func (f *fleet) startServer(id, service, stage, zone string, slots int) *server {
	return f.startServerAt(id, service, stage, zone, slots, 0)
}

// startServerAt starts a server whose machine's clock is ahead.
func (f *fleet) startServerAt(id, service, stage, zone string, slots int, ahead time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{
		fleet: f, id: id, service: service, zone: zone, slots: slots, address: l.Addr().String(), born: time.Now().Add(ahead).UnixMilli(),
		events: streamEvents, gap: eventGap,
		stage: stage, state: "ready", handles: map[string]bool{},
	}
	go func() { _ = http.Serve(l, s) }()
	s.register()
	return s
}

// register writes the server's entry and returns when the store has
// acknowledged it.
func (s *server) register() time.Time {
	s.mu.Lock()
	s.beat++
	entry := object{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"cold-remaining-ms": 0, "sequence": s.beat, "born": s.born,
	}
	if s.stage != "" {
		entry["stage"] = s.stage
		entry["models"] = []object{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	s.mu.Unlock()
	raw, err := json.Marshal(entry)
	must(err)
	return s.fleet.store.Put(wire["serversPrefix"]+s.id, raw)
}

// restart starts the server again under its id and at its address; it knows
// nothing of before.
func (s *server) restart() {
	s.mu.Lock()
	s.born, s.beat, s.orders, s.fence, s.handles = time.Now().UnixMilli(), 0, 0, 0, map[string]bool{}
	s.mu.Unlock()
	s.register()
}

// drain makes the server report that it leaves.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.register()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire["requestID"])
	if id != "" {
		w.Header().Set(wire["requestID"], id)
	}
	w.Header().Set(wire["instance"], s.id)
	if expect := r.Header.Get(wire["expect"]); expect != "" && expect != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if handle, ok := strings.CutPrefix(r.URL.Path, wire["handlePath"]); ok {
		s.mu.Lock()
		delete(s.handles, handle)
		s.mu.Unlock()
		return
	}
	switch r.URL.Path {
	case "/report":
		s.report(w)
		return
	case "/order":
		s.order(w, body)
		return
	case "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	}
	s.request(w, r, id)
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, object{
		"stage": s.stage, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": time.Now().Before(s.busyUntil),
		"sequence": s.orders, "queued": 0, "active": s.running, "kv-used": 0, "kv-total": 440559, wire["reportHandles"]: len(s.handles), "born": s.born,
	})
}

func answer(w http.ResponseWriter, status int, body object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) order(w http.ResponseWriter, raw []byte) {
	var in struct {
		Op, Stage, Holder string
		Fence             int64
		Precondition      *int64
	}
	if err := json.Unmarshal(raw, &in); err != nil || in.Op != "stage" || in.Holder == "" || in.Fence == 0 {
		answer(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case in.Fence < s.fence:
		status = http.StatusPreconditionFailed
	case in.Precondition != nil && *in.Precondition != s.orders, time.Now().Before(s.busyUntil):
		status = http.StatusConflict
	case in.Stage == s.stage:
		status = http.StatusOK
	default:
		s.orders++
		s.busyUntil = time.Now().Add(switchTime)
		time.AfterFunc(switchTime, func() {
			s.mu.Lock()
			s.stage = in.Stage
			s.mu.Unlock()
			s.register()
		})
	}
	s.fence = max(s.fence, in.Fence)
	s.mu.Unlock()
	s.fleet.record("order server=%s holder=%s fence=%d stage=%s status=%d", s.id, in.Holder, in.Fence, in.Stage, status)
	answer(w, status, object{})
}

// begin takes a slot, or answers that the request is not executed.
func (s *server) begin(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots || time.Now().Before(s.busyUntil) {
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.running++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

func (s *server) request(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	stage := s.stage
	w.Header().Set(wire["load"], fmt.Sprintf("%d,0,%d", s.running, s.slots))
	s.mu.Unlock()
	read := r.Header.Get(wire["stage"]) == "prefill"
	s.fleet.arrived(arrival{time.Now(), s.id, id, !read})
	if id == "" {
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if stage != "" && read != (stage == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(w) {
		return
	}
	defer s.end()
	switch {
	case read:
		time.Sleep(readTime)
		s.mu.Lock()
		s.handleN++
		handle := fmt.Sprintf("%s-%d", s.id, s.handleN)
		s.handles[handle] = true
		s.mu.Unlock()
		s.fleet.addHandle(s.address+"/"+handle, s)
		answer(w, http.StatusOK, object{wire["handle"]: handle, "tokens": 1000, "version": 1})
	case stage != "":
		s.stream(w, r, id)
	default:
		time.Sleep(plainTime)
		w.Header().Set(wire["signature"], "sig-"+id)
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// takeHandle takes the memory that a read has left at another server.
func (f *fleet) takeHandle(source string) bool {
	f.mu.Lock()
	from := f.handles[source]
	delete(f.handles, source)
	f.mu.Unlock()
	if from == nil {
		return false
	}
	_, handle, _ := strings.Cut(source, "/")
	from.mu.Lock()
	defer from.mu.Unlock()
	ok := from.handles[handle]
	delete(from.handles, handle)
	return ok
}

func (f *fleet) addHandle(source string, s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handles[source] = s
}

// event returns event n of the stream that answers a request; n begins at 1.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// stream makes the events after the last one that the caller has. It stops when
// its connection closes.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	if source := r.Header.Get(wire["source"]); source != "" && !s.fleet.takeHandle(source) {
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(wire["lastEvent"]))
	w.Header().Set(wire["signature"], "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	outcome, began := "complete", time.Now()
	defer func() {
		s.fleet.worked(work{id, s.id, began, time.Now()})
		s.fleet.record("server %s stream id=%s from=%d %s", s.id, id, from, outcome)
	}()
	closed := r.Context().Done()
	if s.slowToDrop {
		closed = nil
	}
	for n := from + 1; n <= s.events; n++ {
		gap := s.gap
		if s.pause != nil && n == s.events/2 {
			gap += s.pause(id)
		}
		select {
		case <-time.After(gap):
		case <-closed:
			outcome = fmt.Sprintf("connection closed by the system before event %d", n)
			return
		}
		if r.Context().Err() != nil {
			outcome = fmt.Sprintf("connection closed by the system, noticed at event %d", n)
			return
		}
		if _, err := io.WriteString(w, event(id, n)); err != nil {
			outcome = "write failed"
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

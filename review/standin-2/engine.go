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

// engine is a stand-in of a model server, on the HTTP server of Go's library.
type engine struct {
	*record
	id, service, zone string
	slots             int
	born              int64
	address           string
	store             *store
	// fenced makes the engine refuse orders with a lower number than one before.
	fenced bool
	// event is the time between two events, and events their number.
	event  time.Duration
	events int
	// pause returns how long a run is preempted before an event; it may be nil.
	pause func(e *engine, request string, event int) time.Duration
	// noticesLate makes the engine notice at its next event, and not before, that its
	// caller has closed the channel. ran, which may be nil, is called when a run begins
	// and returns what is called at its end; worked, which may be nil, is called with the
	// span in which an event was made.
	noticesLate bool
	worked      func(e *engine, request string, from, till time.Time)
	ran         func(e *engine, request string) (ended func())

	mu       sync.Mutex
	stage    string
	busy     bool
	orders   int
	beat     int
	running  int
	fence    int64
	holds    map[string]bool
	lastName int
}

// handles holds the memory of prompts that engines keep, by address and handle.
var handles sync.Map

// handleTime is how long an engine keeps the memory of a prompt.
const handleTime = 5 * time.Second

// newEngine starts an engine that writes its entry to the store again and again.
func newEngine(r *record, s *store, out *engine) (*engine, error) {
	out.record, out.store = r, s
	out.born = time.Now().UnixMilli()
	out.holds = map[string]bool{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: out}).Serve(l) }()
	out.report()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			out.report()
		}
	}()
	return out, nil
}

// report writes the engine's entry.
func (e *engine) report() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	_ = e.store.put(wire["servers"]+e.id, object{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold-remaining-ms": 0, "stage": e.stage, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.beat, "born": e.born,
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expect := r.Header.Get(wire["expect"]); expect != "" && expect != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); name {
	case "healthz":
		w.Header().Set("Instance-Id", e.id)
	case "report":
		e.mu.Lock()
		reply(w, object{
			"stage": e.stage, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.busy, "sequence": e.orders, "queued": 0, "active": e.running,
			"kv-used": 0, "kv-total": 400000, "born": e.born,
		})
		e.mu.Unlock()
	case "order":
		e.order(w, raw)
	case wire["handle"]:
		handles.Delete(e.address + "/" + strings.TrimPrefix(r.URL.Path, "/"+wire["handle"]+"/"))
	case wire["reserve"]:
		if e.isFull() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(raw, &in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		name := e.newName()
		e.mu.Lock()
		e.holds[name] = true
		e.mu.Unlock()
		time.AfterFunc(time.Duration(min(in.TTL, 2000))*time.Millisecond, func() { e.take(e.holds, name) })
		reply(w, object{"hold": name})
	case wire["give_up"]:
		e.take(e.holds, strings.TrimPrefix(r.URL.Path, "/"+wire["give_up"]+"/"))
	default:
		e.serve(w, r, id)
	}
}

func reply(w http.ResponseWriter, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// newName returns a name that no engine has given before.
func (e *engine) newName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastName++
	return fmt.Sprintf("%s%x%06x", strings.TrimPrefix(e.id, "i-"), e.born, e.lastName)
}

func (e *engine) take(names map[string]bool, name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := names[name]
	delete(names, name)
	return ok
}

func (e *engine) isFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running+len(e.holds) >= e.slots
}

// order changes the engine's stage.
func (e *engine) order(w http.ResponseWriter, raw []byte) {
	var in struct {
		Op     string `json:"op"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Fence  *int64 `json:"fence"`
		Orders *int   `json:"precondition"`
	}
	if json.Unmarshal(raw, &in) != nil || in.Op != "stage" || in.Holder == "" || in.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note("%s: order to change its stage to %s", e.id, in.Stage)
	switch {
	case e.fenced && *in.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.busy || (in.Orders != nil && *in.Orders != e.orders):
		w.WriteHeader(http.StatusConflict)
		return
	case in.Stage == e.stage:
		return
	}
	e.orders++
	e.fence = max(e.fence, *in.Fence)
	e.busy = true
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(time.Second, func() {
		e.mu.Lock()
		e.stage, e.busy = in.Stage, false
		e.mu.Unlock()
		e.report()
	})
}

func (e *engine) note(format string, args ...any) { e.record.add(format, args...) }

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	busy, stage := e.busy, e.stage
	e.mu.Unlock()
	held := r.Header.Get(wire["reservation"]) != "" && e.take(e.holds, r.Header.Get(wire["reservation"]))
	if busy || (!held && e.isFull()) {
		w.Header().Set(wire["not_run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if prefill := r.Header.Get("Stage") == "prefill"; prefill != (stage == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	} else if prefill {
		e.note("%s: reads the prompt of %s", e.id, id)
		time.Sleep(20 * time.Millisecond)
		name := e.newName()
		handles.Store(e.address+"/"+name, true)
		time.AfterFunc(handleTime, func() { handles.Delete(e.address + "/" + name) })
		reply(w, object{wire["handle"]: name, "tokens": 400, "version": 1})
		return
	}
	if source := r.Header.Get(wire["source"]); source != "" {
		if _, ok := handles.LoadAndDelete(source); !ok {
			w.Header().Set(wire["not_run"], "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	e.stream(w, r, id)
}

// stream makes an answer. It stops when the caller's connection closes.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	limit := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(wire["deadline"])); err == nil {
		limit = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	e.note("%s: runs %s from event %d on", e.id, id, last+1)
	w.Header().Set(wire["signature"], "sig-"+id)
	w.Header().Set(wire["versions"], "1")
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if e.ran != nil {
		defer e.ran(e, id)()
	}
	for n := last + 1; n <= e.events; n++ {
		wait := e.event
		if e.pause != nil {
			if pause := e.pause(e, id, n); pause > 0 {
				e.note("%s: %s is preempted for %v before event %d", e.id, id, pause, n)
				if e.noticesLate {
					time.Sleep(pause)
					e.note("%s: %s is read in again; event %d is being made", e.id, id, n)
				} else {
					wait += pause
				}
			}
		}
		begun := time.Now()
		closed := r.Context().Done()
		if e.noticesLate {
			time.Sleep(wait)
			wait = 0
		}
		select {
		case <-closed:
		case <-time.After(wait):
		}
		if e.worked != nil {
			e.worked(e, id, begun, time.Now())
		}
		if time.Now().After(limit) {
			// The engine stops work at the time limit, and breaks its answer off.
			e.note("%s: %s: time limit", e.id, id)
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() != nil {
			e.note("%s: %s: its caller's side of the channel is closed; dropped before event %d", e.id, id, n)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		_ = out.Flush()
	}
	e.note("%s: %s is complete", e.id, id)
}

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainServer is a stand-in of a server of a plain service.
type plainServer struct {
	*record
	id, service, zone string
	address           string
	born              int64
	store             *store
	work              time.Duration
	quiet             bool

	mu   sync.Mutex
	beat int
	// ran holds when each request began to run, and tenants the tenant of each.
	ran     map[string]time.Time
	tenants map[string]string
}

func newPlainServer(r *record, s *store, out *plainServer) (*plainServer, error) {
	out.record, out.store, out.born = r, s, time.Now().UnixMilli()
	out.ran, out.tenants = map[string]time.Time{}, map[string]string{}
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

// report writes the server's entry, unless the store is down.
func (p *plainServer) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat++
	_ = p.store.put(wire["servers"]+p.id, object{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold-remaining-ms": 0, "sequence": p.beat, "born": p.born,
	})
}

// ServeHTTP implements http.Handler.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expect := r.Header.Get(wire["expect"]); expect != "" && expect != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", p.id)
		return
	}
	p.mu.Lock()
	p.ran[id], p.tenants[id] = time.Now(), r.Header.Get(wire["tenant"])
	p.mu.Unlock()
	if !p.quiet {
		p.add("%s: runs %s of tenant %q", p.id, id, r.Header.Get(wire["tenant"]))
	}
	time.Sleep(p.work)
	w.Header().Set(wire["signature"], "sig-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// hasRun reports whether a request has run, and when.
func (p *plainServer) hasRun(id string) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.ran[id]
	return at, ok
}

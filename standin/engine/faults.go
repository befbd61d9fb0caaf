package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/upstream"
)

// FaultMode names what goes wrong in an answer.
type FaultMode string

// Fault modes. Those that name a chunk act at Fault.At.
const (
	// FaultStatus answers with Fault.Status and no stream.
	FaultStatus FaultMode = "status"
	// FaultResetFirst resets the connection before the first byte.
	FaultResetFirst FaultMode = "reset_first"
	// FaultReset resets the connection instead of sending a chunk.
	FaultReset FaultMode = "reset"
	// FaultEnd ends the stream cleanly instead of sending a chunk.
	FaultEnd FaultMode = "end"
	// FaultStall sends nothing more from a chunk on.
	FaultStall FaultMode = "stall"
	// FaultWrongID sends a chunk under another request's id.
	FaultWrongID FaultMode = "wrong_id"
	// FaultDouble sends a chunk twice.
	FaultDouble FaultMode = "double"
	// FaultSwap sends a chunk after its successor.
	FaultSwap FaultMode = "swap"
	// FaultLate sends a chunk after lateBy later ones.
	FaultLate FaultMode = "late"
	// FaultLose leaves a chunk out.
	FaultLose FaultMode = "lose"
	// FaultGarbage sends text that is not a chunk.
	FaultGarbage FaultMode = "garbage"
	// FaultOversized sends a chunk of oversizedBytes.
	FaultOversized FaultMode = "oversized"
	// FaultNoKV refuses to import KV cache.
	FaultNoKV FaultMode = "no_kv"
	// FaultPrefill refuses to prefill.
	FaultPrefill FaultMode = "prefill"
)

const (
	lateBy         = 5
	oversizedBytes = 1 << 20
)

// Fault is one switched fault. The zero value is none.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// At is the sequence number of the chunk at which the fault acts.
	At int64 `json:"at"`
	// Status is used by FaultStatus and FaultPrefill.
	Status int `json:"status"`
	// Times is the number of requests that are hit; 0 means every request.
	Times int `json:"times"`
}

// SetFault switches a fault on, or off with the zero value.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.hits = 0
}

// takeFault returns the fault for a new request if it is one of the given modes.
func (s *Server) takeFault(applies func(FaultMode) bool) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !applies(s.fault.Mode) || s.fault.Times > 0 && s.hits >= s.fault.Times {
		return Fault{}
	}
	s.hits++
	return s.fault
}

// faults lets a developer switch faults: PUT /dev/fault with a Fault as JSON.
func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// faultyWriter sends chunks and applies one fault.
type faultyWriter struct {
	w     http.ResponseWriter
	r     *http.Request
	fault Fault
	kept  *upstream.Chunk
	until int64 // kept is sent after this chunk
}

// send sends one chunk and reports whether the stream goes on.
func (f *faultyWriter) send(c upstream.Chunk) bool {
	if c.Seq != f.fault.At {
		send(f.w, c)
		f.release(c.Seq)
		return true
	}
	return f.hit(c)
}

func (f *faultyWriter) hit(c upstream.Chunk) bool {
	switch f.fault.Mode {
	case FaultReset:
		reset(f.w)
		return false
	case FaultEnd:
		return false
	case FaultStall:
		f.w.(http.Flusher).Flush()
		<-f.r.Context().Done()
		return false
	case FaultGarbage:
		_, _ = f.w.Write([]byte("data: {\"seq\": \"none\n\n"))
		return true
	case FaultOversized:
		c.Text = strings.Repeat("x", oversizedBytes)
	case FaultWrongID:
		c.RequestID = "another-request"
	case FaultDouble:
		send(f.w, c)
	case FaultSwap:
		f.kept, f.until = &c, c.Seq+1
		return true
	case FaultLate:
		f.kept, f.until = &c, c.Seq+lateBy
		return true
	case FaultLose:
		return true
	}
	send(f.w, c)
	return true
}

func (f *faultyWriter) release(seq int64) {
	if f.kept != nil && seq >= f.until {
		send(f.w, *f.kept)
		f.kept = nil
	}
}

// reset ends the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// wait sleeps and reports whether the request is still wanted.
func (s *Server) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

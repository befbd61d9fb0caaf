package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/upstream"
)

// FaultMode is the kind of a fault.
type FaultMode string

// Fault modes. Those that concern a chunk act on the chunk Fault.At.
const (
	// FaultStatus answers with Fault.Status and no stream.
	FaultStatus FaultMode = "status"
	// FaultResetFirst resets the connection before the first byte.
	FaultResetFirst FaultMode = "reset_first"
	// FaultReset resets the connection instead of sending a chunk.
	FaultReset FaultMode = "reset"
	// FaultEnd ends the stream cleanly instead of sending a chunk.
	FaultEnd FaultMode = "end"
	// FaultStall sends nothing from a chunk on and keeps the connection open.
	FaultStall FaultMode = "stall"
	// FaultWrongID sends a chunk under another request's id.
	FaultWrongID FaultMode = "wrong_id"
	// FaultDouble sends a chunk twice.
	FaultDouble FaultMode = "double"
	// FaultSwap sends a chunk after its successor.
	FaultSwap FaultMode = "swap"
	// FaultLate sends a chunk lateBy chunks later.
	FaultLate FaultMode = "late"
	// FaultLose leaves a chunk out.
	FaultLose FaultMode = "lose"
	// FaultGarbage sends text that is not a chunk.
	FaultGarbage FaultMode = "garbage"
	// FaultOversized sends a chunk of oversizedBytes.
	FaultOversized FaultMode = "oversized"
	// FaultNoKV refuses a completion that imports KV cache.
	FaultNoKV FaultMode = "no_kv"
	// FaultPrefill refuses a prefill with Fault.Status.
	FaultPrefill FaultMode = "prefill"
)

const (
	lateBy         = 5
	oversizedBytes = 1 << 20
)

// Fault is a fault that a test or a developer switches on. The zero value is no
// fault.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// At is the sequence number of the chunk at which the fault acts.
	At int64 `json:"at"`
	// Status is used by FaultStatus and FaultPrefill.
	Status int `json:"status"`
	// Times is the number of requests that the fault affects; 0 means every
	// request.
	Times int `json:"times"`
}

// SetFault replaces the active fault; the zero value switches it off.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultHits = 0
}

// takeFault returns the fault for a new request, or no fault if applies is false for
// its mode or Times requests have been affected.
func (s *Server) takeFault(applies func(FaultMode) bool) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !applies(s.fault.Mode) || s.fault.Times > 0 && s.faultHits >= s.fault.Times {
		return Fault{}
	}
	s.faultHits++
	return s.fault
}

// handleFault handles PUT /dev/fault, which sets the fault given as JSON.
func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// faultyWriter sends the chunks of one answer and applies one fault.
type faultyWriter struct {
	w            http.ResponseWriter
	r            *http.Request
	fault        Fault
	delayed      *upstream.Chunk
	delayedUntil int64 // delayed is sent after this chunk
}

// send sends one chunk, with the fault if it is due, and reports whether the stream
// goes on.
func (f *faultyWriter) send(c upstream.Chunk) bool {
	if c.Seq != f.fault.At {
		writeChunk(f.w, c)
		f.sendDelayed(c.Seq)
		return true
	}
	return f.sendFaulty(c)
}

// sendFaulty applies the fault to a chunk and reports whether the stream goes on.
func (f *faultyWriter) sendFaulty(c upstream.Chunk) bool {
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
		writeChunk(f.w, c)
	case FaultSwap:
		f.delayed, f.delayedUntil = &c, c.Seq+1
		return true
	case FaultLate:
		f.delayed, f.delayedUntil = &c, c.Seq+lateBy
		return true
	case FaultLose:
		return true
	}
	writeChunk(f.w, c)
	return true
}

// sendDelayed sends the delayed chunk once the chunk seq has been sent.
func (f *faultyWriter) sendDelayed(seq int64) {
	if f.delayed != nil && seq >= f.delayedUntil {
		writeChunk(f.w, *f.delayed)
		f.delayed = nil
	}
}

// reset closes the connection with a TCP reset.
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

// wait sleeps for d and reports whether the request is still open.
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

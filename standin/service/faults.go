package service

import (
	"net"
	"net/http"
)

// Fault is a fault that affects the next calls. The zero value is no fault.
type Fault struct {
	// ResetBefore resets the connection before the call runs. ResetAfter resets
	// it after the call has run and before the answer's first byte.
	ResetBefore, ResetAfter bool
	// Status, if not 0, is answered instead of running the call.
	Status int
	// Times is the number of calls that the fault affects; 0 means every call.
	Times int
}

// SetFault replaces the active fault; the zero value switches it off.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultHits = 0
}

// takeFault returns the fault for a new call, or no fault if Times calls have been
// affected.
func (s *Server) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Times > 0 && s.faultHits >= s.fault.Times {
		return Fault{}
	}
	s.faultHits++
	return s.fault
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

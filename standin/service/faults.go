package service

import (
	"net"
	"net/http"
)

// Fault is what goes wrong with the next calls. The zero value is none.
type Fault struct {
	// ResetBefore resets the connection before the call runs, ResetAfter after
	// it has run and before the answer's first byte.
	ResetBefore, ResetAfter bool
	// Status is answered instead of running the call, if not 0.
	Status int
	// Times is the number of calls that are hit; 0 means every call.
	Times int
}

// SetFault switches a fault on, or off with the zero value.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.hits = 0
}

func (s *Server) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Times > 0 && s.hits >= s.fault.Times {
		return Fault{}
	}
	s.hits++
	return s.fault
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

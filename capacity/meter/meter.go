// Package meter measures the network bytes, CPU time and memory that the benchmarks
// for docs/CAPACITY.md report.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Traffic counts the bytes of connections, both directions added, without TCP and IP
// headers. Safe for concurrent use.
type Traffic struct{ bytes atomic.Int64 }

// Bytes returns the number of bytes so far.
func (t *Traffic) Bytes() int64 { return t.bytes.Load() }

// Listener returns a listener that counts the bytes of the connections accepted by
// l.
func (t *Traffic) Listener(l net.Listener) net.Listener { return listener{l, t} }

type listener struct {
	net.Listener
	traffic *Traffic
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.traffic}, nil
}

type conn struct {
	net.Conn
	traffic *Traffic
}

func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// CPU returns the CPU time that the process has used, user and system.
func CPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory runs a garbage collection and returns the bytes of heap and stacks in use.
func Memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

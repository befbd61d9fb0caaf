package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to one address. While it is cut, it passes
// nothing on in either direction and connects nothing.
type proxy struct {
	listener net.Listener
	to       string
	// mbps is the bandwidth of the link; 0 for no bound. link is held while it
	// carries bytes.
	mbps   float64
	link   sync.Mutex
	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
}

func startProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{listener: l, to: to}
	p.healed = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCut cuts the path or heals it. What was held up meanwhile is passed on when
// it heals, as after a partition.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.healed.Broadcast()
}

func (p *proxy) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

// carry waits for the time that n bytes take on the link.
func (p *proxy) carry(n int) {
	if p.mbps == 0 {
		return
	}
	p.link.Lock()
	defer p.link.Unlock()
	time.Sleep(time.Duration(float64(n) * 8 / (p.mbps * 1e6) * float64(time.Second)))
}

func (p *proxy) connect(c net.Conn) {
	p.wait()
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.copy(out, c)
	p.copy(c, out)
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		p.carry(n)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

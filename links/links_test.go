package links_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	corelinks "github.com/bramleywick/bramleywick/core/links"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/gateway"
	"github.com/bramleywick/bramleywick/links"
)

var _ gateway.Links = (*links.Monitor)(nil)
var _ connpool.Observer = (*links.Monitor)(nil)

// server answers requests on real connections.
type server struct {
	address string
	// silent makes it read requests and not answer.
	silent atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	// full is the socket that accepts nothing, 0 for none, and its connections.
	full    int
	waiting []int
}

// start listens at the server's address.
func (s *server) start(t *testing.T) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.listener, s.open = l.Addr().String(), l, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

func (s *server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		for s.silent.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}
}

// refuse stops to listen; open connections live on.
func (s *server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// reset resets all connections and refuses new ones.
func (s *server) reset() {
	s.refuse()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// hang answers nothing any more and lets new connections hang, as behind a network that
// loses everything: a socket whose queue of new connections is full ignores others.
func (s *server) hang(t *testing.T) {
	s.silent.Store(true)
	s.refuse()
	address, err := net.ResolveTCPAddr("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	to := &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err == nil {
		err = unix.Bind(fd, to)
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	s.full = fd
	for range 2 {
		c, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		_ = unix.Connect(c, to)
		s.waiting = append(s.waiting, c)
	}
}

// resume ends what refuse, reset or hang has begun.
func (s *server) resume(t *testing.T) {
	for _, fd := range append(s.waiting, s.full) {
		if fd > 0 {
			_ = unix.Close(fd)
		}
	}
	s.waiting, s.full = nil, 0
	s.silent.Store(false)
	s.start(t)
}

type observer struct{}

func (observer) LinksChanged(_, _ corelinks.State, _ corelinks.Reason) {}
func (observer) LinksProbed(corelinks.Result)                          {}

type decoder struct{}

func (decoder) ParseAnswer(_ int, h http.Header) call.Answer {
	return call.Answer{RequestID: fleet.RequestID(h.Get("Id"))}
}

// instance sends requests to servers, as long as it reaches them.
type instance struct {
	*links.Monitor
	servers []*server
	// partitions is the number of partitions found, and answered that of answers.
	partitions, answered atomic.Int64
}

// newInstance starts an instance that sends requests to n servers in turn, several at a
// time.
func newInstance(t *testing.T, n int) *instance {
	i := &instance{}
	i.Monitor = links.New(links.Options{Observer: observer{}, OnPartition: func() { i.partitions.Add(1) }, Log: zap.NewNop()})
	pool := connpool.New()
	pool.Observe(i)
	var list []placement.Server
	for k := range n {
		s := &server{address: "127.0.0.1:0"}
		s.start(t)
		t.Cleanup(s.reset)
		i.servers = append(i.servers, s)
		list = append(list, placement.Server{ID: fleet.UpstreamID(fmt.Sprint(k)), Group: fleet.GroupName(fmt.Sprint(k % 2)), Address: s.address})
	}
	i.SetServers(list)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go i.Run(ctx)
	for worker := range 4 {
		go func() {
			for k := worker; ctx.Err() == nil; k++ {
				time.Sleep(10 * time.Millisecond)
				if i.Direct() {
					i.send(ctx, pool, i.servers[k%n].address, fmt.Sprint(worker, "-", k))
				}
			}
		}()
	}
	return i
}

// send sends a request. Every tenth needs a new connection.
func (i *instance) send(ctx context.Context, pool *connpool.Pool, address, id string) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	a, err := pool.Do(ctx, &connpool.Request{
		Address: address, MaxConns: 8, ID: fleet.RequestID(id), Fresh: id[len(id)-1] == '0', Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}},
	}, decoder{})
	if err != nil {
		return
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, a); err == nil {
		i.answered.Add(1)
	}
}

// waitFor waits for a state.
func (i *instance) waitFor(s corelinks.State, limit time.Duration) time.Duration {
	began := time.Now()
	for i.State() != s && time.Since(began) < limit {
		time.Sleep(time.Millisecond)
	}
	So(i.State(), ShouldEqual, s)
	return time.Since(began)
}

func TestMonitorFindsPartition(t *testing.T) {
	for name, c := range map[string]func(*server){
		"refused":      (*server).refuse,
		"reset":        (*server).reset,
		"left to hang": func(s *server) { s.hang(t) },
	} {
		Convey("Connections of an instance to all servers are "+name, t, func() {
			i := newInstance(t, 6)
			time.Sleep(300 * time.Millisecond)
			So(i.answered.Load(), ShouldBeGreaterThan, 0)
			So(i.Direct(), ShouldBeTrue)
			So(i.Trusted(), ShouldBeTrue)
			for _, s := range i.servers {
				c(s)
			}
			t.Log(name, "found after", i.waitFor(corelinks.Partitioned, 5*time.Second))
			So(i.Direct(), ShouldBeFalse)
			So(i.Trusted(), ShouldBeFalse)
			for _, s := range i.servers {
				s.resume(t)
			}
			t.Log(name, "returned after", i.waitFor(corelinks.Connected, 10*time.Second))
			before := i.answered.Load()
			time.Sleep(300 * time.Millisecond)
			So(i.answered.Load(), ShouldBeGreaterThan, before)
			So(i.partitions.Load(), ShouldEqual, 1)
		})
	}
	Convey("Some servers of an instance fail in every way", t, func() {
		i := newInstance(t, 6)
		time.Sleep(300 * time.Millisecond)
		i.servers[0].refuse()
		i.servers[1].reset()
		i.servers[2].hang(t)
		i.servers[3].silent.Store(true)
		time.Sleep(2 * time.Second)
		So(i.partitions.Load(), ShouldEqual, 0)
		So(i.Direct(), ShouldBeTrue)
		i.servers[2].resume(t)
		i.servers[3].silent.Store(false)
	})
}

// TestProbesThatEndLate guards against an instance that probes no more, and stays
// partitioned, after a probe has failed later than its time limit.
func TestProbesThatEndLate(t *testing.T) {
	Convey("Probes are refused after their time limit", t, func() {
		var dials atomic.Int64
		m := links.New(links.Options{
			Observer: observer{}, OnPartition: func() {}, Log: zap.NewNop(),
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				dials.Add(1)
				<-ctx.Done()
				return nil, unix.ECONNREFUSED
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var list []placement.Server
		for i := range 4 {
			list = append(list, placement.Server{ID: fleet.UpstreamID(fmt.Sprint("s", i)), Group: "g", Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "dc"})
		}
		m.SetServers(list)
		go m.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		for _, s := range list {
			m.Failed(s.Address)
		}
		time.Sleep(2500 * time.Millisecond)
		So(m.State(), ShouldEqual, corelinks.Partitioned)
		So(dials.Load(), ShouldBeGreaterThan, 6)
	})
}

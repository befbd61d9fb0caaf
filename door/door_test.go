package door

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/connlimit"
)

// served is a Listener with a server, and the connections closed by reason.
type served struct {
	*Listener
	address string
	mu      sync.Mutex
	closed  map[connlimit.Reason]int
}

// serveBounded starts a server with the handler. The reads and the closes of its
// connections end with the test.
func serveBounded(t *testing.T, conns int, budget *Budget, handler http.HandlerFunc) *served {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{address: l.Addr().String(), closed: map[connlimit.Reason]int{}}
	s.Listener = New(l, Options{Name: "test", MaxConns: conns, Budget: budget, Log: zap.NewNop(), Closed: func(_ string, r connlimit.Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed[r]++
	}})
	server := &http.Server{Handler: handler, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	Serve(server)
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *served) count(r connlimit.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed[r]
}

// idle returns the number of idle connections.
func (s *served) idle() int {
	s.Listener.mu.Lock()
	defer s.Listener.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.at().Phase == connlimit.Idle {
			n++
		}
	}
	return n
}

func (s *served) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answer sends a request and returns the status of its answer, 0 if the connection
// ends before.
func answer(c net.Conn, request string) int {
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	return readStatus(c)
}

func readStatus(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestIdleConnections guards against closing the idle connections of well-behaved
// callers while there is room, and against refusing a caller while there are idle ones.
func TestIdleConnections(t *testing.T) {
	Convey("With room for three connections", t, func() {
		s := serveBounded(t, 3, NewBudget(1<<20, 0), func(http.ResponseWriter, *http.Request) {})
		var idle []net.Conn
		for range 3 {
			c := s.dial(t)
			So(answer(c, get), ShouldEqual, http.StatusOK)
			idle = append(idle, c)
			So(eventually(func() bool { return s.idle() == len(idle) }), ShouldBeTrue)
		}
		So(answer(idle[0], get), ShouldEqual, http.StatusOK)
		So(eventually(func() bool { return s.idle() == 3 }), ShouldBeTrue)
		So(s.count(connlimit.ReasonIdle), ShouldEqual, 0)
		Convey("a fourth one takes the place of the one that was idle longest", func() {
			So(answer(s.dial(t), get), ShouldEqual, http.StatusOK)
			So(s.count(connlimit.ReasonIdle), ShouldEqual, 1)
			So(answer(idle[1], get), ShouldEqual, 0)
			So(answer(idle[0], get), ShouldEqual, http.StatusOK)
		})
	})
}

// TestRunningRequests guards against dropping the answer of a request that runs in
// favour of a new connection.
func TestRunningRequests(t *testing.T) {
	Convey("With two requests that run on the only two connections", t, func() {
		release := make(chan struct{})
		running := make(chan struct{}, 2)
		s := serveBounded(t, 2, NewBudget(1<<20, 0), func(_ http.ResponseWriter, r *http.Request) {
			if FromContext(r.Context()).Received() {
				running <- struct{}{}
				<-release
			}
		})
		var statuses []chan int
		for range 2 {
			c, status := s.dial(t), make(chan int, 1)
			go func() { status <- answer(c, get) }()
			statuses = append(statuses, status)
			<-running
		}
		Convey("a third connection is told that its request has not run", func() {
			So(readStatus(s.dial(t)), ShouldEqual, http.StatusServiceUnavailable)
			So(s.count(ReasonTooManyConnections), ShouldEqual, 1)
			close(release)
			for _, status := range statuses {
				So(<-status, ShouldEqual, http.StatusOK)
			}
		})
	})
}

// TestClosedAnswerIsNotWhole guards against an answer that is cut to make room and that
// looks whole to a caller of HTTP/1.0, for which the end of the connection ends it.
func TestClosedAnswerIsNotWhole(t *testing.T) {
	Convey("A caller of HTTP/1.0 whose connection is closed in the middle of its answer gets an error", t, func() {
		s := serveBounded(t, 2, NewBudget(1<<20, 0), func(w http.ResponseWriter, r *http.Request) {
			if !FromContext(r.Context()).Received() {
				return
			}
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		})
		c := s.dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		So(eventually(func() bool {
			s.Listener.mu.Lock()
			open := append([]*Conn(nil), s.conns...)
			s.Listener.mu.Unlock()
			// One whose request runs is left alone; this one waits for its reader.
			for _, conn := range open {
				if conn.at().Phase == connlimit.Answering {
					s.close(conn, connlimit.ReasonNoProgress)
				}
			}
			return s.count(connlimit.ReasonNoProgress) == 1
		}), ShouldBeTrue)
		_, err = io.Copy(io.Discard, c)
		So(err, ShouldNotBeNil)
	})
}

// TestEarlyAnswer guards against answers that wait for a body which nobody needs, or
// that are lost because the connection is reset while the client still sends.
func TestEarlyAnswer(t *testing.T) {
	Convey("A request that is answered before its body has been read", t, func() {
		s := serveBounded(t, 10, NewBudget(1<<20, 0), func(w http.ResponseWriter, r *http.Request) {
			discard, err := AnswerEarly(w, r, false)
			if err != nil {
				t.Error(err)
			}
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusNotFound)
			discard()
		})
		post := func(n int) string { return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n) }
		Convey("gets the answer without having sent it", func() {
			for _, n := range []int{1, 1 << 30} {
				So(answer(s.dial(t), post(n)), ShouldEqual, http.StatusNotFound)
			}
		})
		Convey("gets the answer after having sent it", func() {
			for _, n := range []int{1, 100 << 10} {
				So(answer(s.dial(t), post(n)+strings.Repeat("x", n)), ShouldEqual, http.StatusNotFound)
			}
		})
		Convey("keeps its connection if the body is short", func() {
			c := s.dial(t)
			for range 3 {
				So(answer(c, post(100)+strings.Repeat("x", 100)), ShouldEqual, http.StatusNotFound)
			}
		})
	})
}

// TestHeaderFields guards against headers that are not counted at their cost: those of
// the request, and those of the next one that has been sent ahead with it.
func TestHeaderFields(t *testing.T) {
	Convey("With a request of 2,000 short header fields under way", t, func() {
		fields := strings.Repeat("a:\r\n", 2000)
		budget := NewBudget(8<<20, 0)
		release := make(chan struct{})
		s := serveBounded(t, 10, budget, func(http.ResponseWriter, *http.Request) { <-release })
		c := s.dial(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
		So(err, ShouldBeNil)
		So(eventually(func() bool { return budget.Used() > ConnBytes+2000*FieldBytes }), ShouldBeTrue)
		close(release)
		So(readStatus(c), ShouldEqual, http.StatusOK)
		Convey("most of it is given back after the answer", func() {
			So(eventually(func() bool { return budget.Used() < ConnBytes+(readAhead/4+1)*FieldBytes+readAhead }), ShouldBeTrue)
		})
	})
	Convey("Fields that were sent ahead are counted while their request is not complete", t, func() {
		budget := NewBudget(8<<20, 0)
		s := serveBounded(t, 10, budget, func(http.ResponseWriter, *http.Request) {})
		c := s.dial(t)
		So(answer(c, get+"GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 900)), ShouldEqual, http.StatusOK)
		So(budget.Used(), ShouldBeGreaterThan, ConnBytes-freeBytes+900*FieldBytes)
	})
}

// TestReturnsAll guards against memory or connections that stay counted after the
// clients have left, or are given back twice.
func TestReturnsAll(t *testing.T) {
	Convey("Clients of all kinds that come and go", t, func() {
		budget := NewBudget(2<<20, 512<<10)
		s := serveBounded(t, 20, budget, func(w http.ResponseWriter, r *http.Request) {
			c := FromContext(r.Context())
			n := int64(100 << 10)
			if c.Reserve(n) {
				defer c.Release(n)
			}
			if r.URL.Path != "/early" {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			if !c.Received() {
				return
			}
			if c.ReserveAnswer(n) {
				defer c.Release(n)
			}
			if r.URL.Path == "/early" {
				w.Header().Set("Content-Length", "0")
				if discard, err := AnswerEarly(w, r, false); err == nil {
					w.WriteHeader(http.StatusOK)
					discard()
				}
				return
			}
			if r.URL.Path == "/hijack" {
				if raw, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_ = raw.Close()
				}
				return
			}
			_, _ = w.Write(make([]byte, 100<<10))
		})
		var clients sync.WaitGroup
		for n := range 60 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(uint64(n), 0))
				for range 20 {
					c, err := net.Dial("tcp", s.address)
					if err != nil {
						continue
					}
					_ = c.SetDeadline(time.Now().Add(time.Duration(random.IntN(100)) * time.Millisecond))
					switch random.IntN(8) {
					case 0:
						answer(c, get)
					case 1:
						answer(c, "GET /hijack HTTP/1.1\r\nHost: h\r\n\r\n")
					case 2:
						answer(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
					case 3:
						answer(c, get[:5])
					case 4:
						answer(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", random.IntN(2000))+"\r\n")
					case 5:
						_, _ = io.WriteString(c, get+get+get)
					case 6:
						answer(c, "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
					case 7:
						answer(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 6000))
					}
					_ = c.Close()
				}
			})
		}
		clients.Wait()
		So(eventually(func() bool { return budget.Used() == 0 && s.Open() == 0 }), ShouldBeTrue)
		s.Listener.mu.Lock()
		defer s.Listener.mu.Unlock()
		So(s.closingBytes, ShouldEqual, 0)
		So(len(s.clients), ShouldEqual, 0)
		So(len(s.conns), ShouldEqual, 0)
	})
}

// TestBlocks guards against kept blocks that take memory beside what is reserved.
func TestBlocks(t *testing.T) {
	Convey("With four blocks released and kept", t, func() {
		b := NewBudget(4*BlockBytes, 2*BlockBytes)
		So(b.ReserveAnswer(4*BlockBytes), ShouldBeTrue)
		var blocks [][]byte
		for range 4 {
			blocks = append(blocks, b.Block())
		}
		So(b.ReserveAnswer(1), ShouldBeFalse)
		b.Release(4 * BlockBytes)
		b.Keep(blocks)
		So(len(b.blocks), ShouldEqual, 4)
		Convey("reserving drops those that have no room, and requests leave room for answers", func() {
			So(b.Reserve(2*BlockBytes), ShouldBeTrue)
			So(len(b.blocks), ShouldEqual, 2)
			So(b.Reserve(1), ShouldBeFalse)
			So(b.ReserveAnswer(2*BlockBytes), ShouldBeTrue)
			So(len(b.blocks), ShouldEqual, 0)
		})
	})
}

package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/upstream"
)

// rawServer answers the first answeredRequests requests of each connection and
// closes the connection at the next one without an answer.
type rawServer struct {
	net.Listener
	answeredRequests int
	requests         atomic.Int64
}

// completeStream is a stream that consists of its last chunk.
const completeStream = "data: {\"request_id\":\"r\",\"seq\":1,\"finish\":\"stop\"}\n\n"

func newRawServer(t *testing.T, answered int) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: l, answeredRequests: answered}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if n >= s.answeredRequests {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(completeStream), completeStream)
	}
}

func (s *rawServer) address() string { return s.Addr().String() }

// completeOnce sends a completion request and reads one chunk.
func completeOnce(c *upstream.EngineClient, address string) error {
	s, err := c.Complete(context.Background(), address, upstream.CompletionRequest{RequestID: "r", Prompt: "p"})
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Next()
	return err
}

// TestNoTransparentResend guards against a second run caused by the HTTP library,
// which resends some requests on its own.
func TestNoTransparentResend(t *testing.T) {
	Convey("A server that closes connections without an answer", t, func() {
		Convey("sees a completion once", func() {
			s := newRawServer(t, 0)
			err := completeOnce(upstream.NewEngineClient(upstream.NewTransport()), s.address())
			var failed *upstream.Error
			So(errors.As(err, &failed), ShouldBeTrue)
			So(failed.NeverSent, ShouldBeFalse)
			So(s.requests.Load(), ShouldEqual, 1)
		})
		Convey("never gets a second completion on a connection", func() {
			s := newRawServer(t, 1)
			c := upstream.NewEngineClient(upstream.NewTransport())
			So(completeOnce(c, s.address()), ShouldBeNil)
			So(completeOnce(c, s.address()), ShouldBeNil)
			So(s.requests.Load(), ShouldEqual, 2)
		})
		for _, call := range []upstream.Call{
			{Method: http.MethodPost, Path: "/payout", Body: []byte("x")},
			{Method: http.MethodPost, Path: "/payout"},
			{Method: http.MethodGet, Path: "/payout"},
			{Method: http.MethodPut, Path: "/payout", Header: http.Header{"Idempotency-Key": {"k"}}},
		} {
			Convey("sees a service call once: "+call.Method+" "+string(call.Body)+fmt.Sprint(call.Header), func() {
				s := newRawServer(t, 0)
				if call.Header == nil {
					call.Header = http.Header{}
				}
				_, err := upstream.NewServiceClient().Call(context.Background(), s.address(), call)
				var failed *upstream.Error
				So(errors.As(err, &failed), ShouldBeTrue)
				So(failed.NeverSent, ShouldBeFalse)
				So(s.requests.Load(), ShouldEqual, 1)
			})
		}
		Convey("a redirect is not followed", func() {
			var requests atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			}))
			defer s.Close()
			a, err := upstream.NewServiceClient().Call(context.Background(), s.Listener.Addr().String(), upstream.Call{Method: http.MethodPost, Path: "/payout", Header: http.Header{}})
			So(err, ShouldBeNil)
			defer a.Close()
			So(a.Status, ShouldEqual, http.StatusTemporaryRedirect)
			So(requests.Load(), ShouldEqual, 1)
		})
	})
}

// TestErrors guards against an error that claims "never sent" without certainty,
// and against an error text that quotes a prompt, an answer or a query.
func TestErrors(t *testing.T) {
	Convey("Errors of the engine client", t, func() {
		serve := func(h http.HandlerFunc) string {
			s := httptest.NewServer(h)
			t.Cleanup(s.CloseClientConnections)
			return s.Listener.Addr().String()
		}
		raw := func(answer string) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(conn, answer)
					_ = conn.Close()
				}
			}
		}
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		_ = closed.Close()
		for _, c := range []struct {
			name      string
			address   string
			neverSent bool
			reason    retry.Reason
		}{
			{"connection refused", closed.Addr().String(), true, retry.ReasonNotSent},
			{"no such address", "256.0.0.1:1", true, retry.ReasonNotSent},
			{"no address", "", true, retry.ReasonNotSent},
			{"closed without answer", newRawServer(t, 0).address(), false, retry.ReasonConnectionLost},
			{"server error", serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }), false, retry.ReasonUpstreamStatus},
			{"no KV cache", serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(upstream.StatusKVMissing) }), false, retry.ReasonKVImportFailed},
			{"silence", serve(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }), false, retry.ReasonStalled},
			{"garbage", serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: secret\n\n")) }), false, retry.ReasonBadAnswer},
			{"one long line", serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(strings.Repeat("x", 1<<20))) }), false, retry.ReasonBadAnswer},
			{"large headers", serve(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X", strings.Repeat("x", 1<<20)) }), false, retry.ReasonConnectionLost},
			{"status 000", serve(raw("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n")), false, retry.ReasonBadAnswer},
			{"a blank in a field's name", serve(raw("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nsecret")), false, retry.ReasonBadAnswer},
			{"a blank before a field's name", serve(raw("HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\nsecret")), false, retry.ReasonBadAnswer},
			{"early end", serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data: {")) }), false, retry.ReasonConnectionLost},
		} {
			Convey(c.name, func() {
				client := upstream.NewEngineClient(upstream.NewTransport())
				// Only the case "silence" may end by the timeout. On a busy
				// machine the other answers can take longer than 50 ms.
				client.StallTimeout = 20 * time.Second
				if c.reason == retry.ReasonStalled {
					client.StallTimeout = 50 * time.Millisecond
				}
				err := completeOnce(client, c.address)
				var failed *upstream.Error
				So(errors.As(err, &failed), ShouldBeTrue)
				So(failed.NeverSent, ShouldEqual, c.neverSent)
				So(failed.Reason, ShouldEqual, c.reason)
				So(err.Error(), ShouldNotContainSubstring, "secret")
			})
		}
		Convey("a service's error does not quote the query", func() {
			_, err := upstream.NewServiceClient().Call(context.Background(), closed.Addr().String(), upstream.Call{Method: "GET", Path: "/a?q=secret"})
			So(err.Error(), ShouldNotContainSubstring, "secret")
		})
	})
}

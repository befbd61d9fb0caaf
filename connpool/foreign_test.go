package connpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answerTwice answers a request and the copy of the answer that follows at the
// next request. head is the head of the copy.
func answerTwice(head string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		in := bufio.NewReader(c)
		if !answer(c, in) {
			return
		}
		if n == 0 {
			// The copy leaves as the next request arrives.
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 5\r\n\r\nother", head)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		answer(c, in)
	}
}

// TestSecondCopy guards against an answer that belongs to another request: a
// server sends a second copy of an answer late, on a connection that is in use
// again.
func TestSecondCopy(t *testing.T) {
	Convey("A second copy of an answer, sent when the next request is under way", t, func() {
		p := New()
		for _, c := range []struct{ name, head string }{
			{"with the id of the earlier request", "200 OK\r\nId: 0"},
			{"without an id, as a success", "200 OK"},
			{"without an id, as a refusal that promises not to have run", "503 Service Unavailable\r\nNot-Run: 1"},
			{"without an id, as not found", "404 Not Found"},
			{"with the id of the earlier request, as a refusal that promises not to have run", "503 Service Unavailable\r\nId: 0\r\nNot-Run: 1"},
		} {
			Convey(c.name+", never answers the next request", func() {
				address := listen(t, answerTwice(c.head))
				_, err := do(p, address, "0", nil, 2)
				So(err, ShouldBeNil)
				body, err := do(p, address, "1", nil, 2)
				if err == nil {
					So(body, ShouldEqual, "ok")
				}
			})
		}
	})
	Convey("A second call of one request", t, func() {
		p := New()
		address := listen(t, answerTwice("503 Service Unavailable\r\nId: 0\r\nNot-Run: 1"))
		_, err := do(p, address, "0", nil, 2)
		So(err, ShouldBeNil)
		Convey("does not take a late copy of the refusal of the first for its own answer", func() {
			r := &Request{Address: address, MaxConns: 1, ID: "0", Fresh: true, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"0"}}}
			a, err := p.Do(context.Background(), r, idDecoder{})
			So(err, ShouldBeNil)
			defer a.Close()
			So(a.Status, ShouldEqual, http.StatusOK)
		})
	})
	Convey("A call without an id", t, func() {
		p := New()
		call := func(address string) (string, error) {
			ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
			defer stop()
			a, err := p.Do(ctx, &Request{Address: address, MaxConns: 2, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}, idDecoder{})
			if err != nil {
				return "", err
			}
			defer a.Close()
			raw, err := io.ReadAll(a)
			return string(raw), err
		}
		Convey("does not take a late copy of another answer for its own", func() {
			address := listen(t, answerTwice("200 OK\r\nId: 0"))
			_, err := do(p, address, "0", nil, 2)
			So(err, ShouldBeNil)
			body, err := call(address)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		})
		Convey("leaves no connection on which its own late copy could answer a request", func() {
			address := listen(t, answerTwice("404 Not Found"))
			_, err := call(address)
			So(err, ShouldBeNil)
			body, err := do(p, address, "1", nil, 2)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		})
	})
}

// TestEndlessBytes guards against bytes that are no answer and come without end
// until the caller closes.
func TestEndlessBytes(t *testing.T) {
	for _, c := range []struct{ name, first, repeated string }{
		{"a status line", "HTTP/1.1 200 ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 0\r\n\r\n"},
		{"bytes of no protocol", "", "\x00\xff"},
	} {
		Convey("Endless "+c.name+" end the attempt and the connection", t, func() {
			closed := make(chan struct{})
			address := listen(t, func(conn net.Conn, _ int) {
				defer close(closed)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					_, err = io.WriteString(conn, c.repeated)
				}
			})
			began := time.Now()
			_, err := do(New(), address, "1", nil, 1)
			So(err, ShouldNotBeNil)
			So(time.Since(began), ShouldBeLessThan, time.Second)
			select {
			case <-closed:
			case <-time.After(time.Second):
				So("the connection is still open", ShouldBeEmpty)
			}
		})
	}
}

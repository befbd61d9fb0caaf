package httphead_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/httphead"
)

const headLimit = 1 << 10

// next reads an answer and its body.
func next(r *httphead.Reader) (status int, body string, err error) {
	resp, err := r.Next(&http.Request{Method: http.MethodGet}, headLimit)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// TestReader guards against answers that are read differently depending on how their
// bytes arrive, and against a malformed second answer that hides in the buffer.
func TestReader(t *testing.T) {
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n b", "HTTP/1.1 204 No Content\r\n\r\n"
	readers := map[string]func(string) *httphead.Reader{
		"at once": func(s string) *httphead.Reader { return httphead.NewReader(strings.NewReader(s), 4<<10) },
		"byte by byte": func(s string) *httphead.Reader {
			return httphead.NewReader(iotest.OneByteReader(strings.NewReader(s)), 16)
		},
	}
	for name, reader := range readers {
		Convey("Answers that arrive "+name, t, func() {
			Convey("are read one after the other", func() {
				r := reader(first + "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + second)
				status, body, err := next(r)
				So(fmt.Sprint(status, body, err), ShouldEqual, "200 b<nil>")
				status, body, err = next(r)
				So(fmt.Sprint(status, body, err), ShouldEqual, "204<nil>")
				So(r.Buffered(), ShouldEqual, 0)
			})
			Convey("are refused when the second is malformed", func() {
				for _, odd := range []string{"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nX Y: 2\r\n\r\n", "HTTP/1.0 200 OK\r\nTRANSFER-encoding: chunked\r\n\r\n"} {
					r := reader(first + odd)
					_, _, err := next(r)
					So(err, ShouldBeNil)
					_, _, err = next(r)
					So(errors.Is(err, httphead.ErrMalformed), ShouldBeTrue)
				}
			})
			Convey("are refused when a head or the interim heads do not end", func() {
				_, _, err := next(reader("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", headLimit)))
				So(errors.Is(err, httphead.ErrTooLong), ShouldBeTrue)
				_, _, err = next(reader(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20) + first))
				So(errors.Is(err, httphead.ErrOnlyInterim), ShouldBeTrue)
			})
		})
	}
}

// TestTransport guards against an answer with an odd status or name that a client of
// net/http takes for sound.
func TestTransport(t *testing.T) {
	Convey("A client of net/http", t, func() {
		var answer string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func(c net.Conn) { _ = c.Close() }(conn)
			_, _ = io.WriteString(conn, answer)
		}))
		Reset(server.Close)
		client := &http.Client{Transport: httphead.Transport{Base: &http.Transport{}}}
		get := func(text string) (string, error) {
			answer = text
			resp, err := client.Get(server.URL)
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Body.Close() }()
			raw, err := io.ReadAll(resp.Body)
			return string(raw), err
		}
		Convey("reads a sound answer", func() {
			body, err := get("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		})
		for _, odd := range []string{
			"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
		} {
			Convey(fmt.Sprintf("refuses %.40q", odd), func() {
				_, err := get(odd)
				So(errors.Is(err, httphead.ErrMalformed), ShouldBeTrue)
			})
		}
	})
}

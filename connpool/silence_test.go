package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// TestServerSilentForAMoment guards against the end of a connection whose server stands
// still for a second or so and goes on.
func TestServerSilentForAMoment(t *testing.T) {
	Convey("A server that stops reading a long request and goes on", t, func() {
		for _, pause := range []time.Duration{1200 * time.Millisecond, 1800 * time.Millisecond} {
			address := listen(t, func(c net.Conn, _ int) {
				defer func() { _ = c.Close() }()
				in := bufio.NewReaderSize(c, 512)
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				time.Sleep(pause)
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
			})
			body, err := do(New(), address, "1", make([]byte, 8<<20), 1)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
	})
}

// TestUserTimeoutIsKeepAlives guards against a user timeout that ends the keep-alive
// probes before their count.
func TestUserTimeoutIsKeepAlives(t *testing.T) {
	Convey("The user timeout of a connection is the time after which its keep-alive probes give up", t, func() {
		c, err := New().open(context.Background(), listen(t, func(net.Conn, int) {}))
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		raw, err := c.syscallConn()
		So(err, ShouldBeNil)
		option := func(name int) (value int) {
			So(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }), ShouldBeNil)
			So(err, ShouldBeNil)
			return value
		}
		idle, interval, count := option(unix.TCP_KEEPIDLE), option(unix.TCP_KEEPINTVL), option(unix.TCP_KEEPCNT)
		So(option(unix.TCP_USER_TIMEOUT), ShouldEqual, 1000*(idle+interval*count))
	})
}

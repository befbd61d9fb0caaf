package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// TestResetAnswer guards against an answer without a length that is reset and counts as
// whole, or whose error does not show that its server ended the connection, as it does
// when its process ends.
func TestResetAnswer(t *testing.T) {
	Convey("An answer without a length that is reset while the request is being written", t, func() {
		address := listen(t, func(c net.Conn, _ int) {
			defer func() { _ = c.Close() }()
			if r, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		cutOff := 0
		for range 20 {
			_, err := do(New(), address, "1", make([]byte, 8<<20), 1)
			So(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), ShouldBeTrue)
			if errors.Is(err, ErrCutOff) {
				cutOff++
			}
		}
		So(cutOff, ShouldBeGreaterThan, 0)
	})
}

// TestEndWaitsForRequest guards against an answer without a length that counts as whole
// while its server may still refuse the rest of the request.
func TestEndWaitsForRequest(t *testing.T) {
	Convey("An answer without a length whose server ends its sending before it reads on", t, func() {
		const pause = 100 * time.Millisecond
		address := listen(t, func(c net.Conn, _ int) {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\nwhole")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(pause)
			_, _ = io.Copy(io.Discard, r.Body)
		})
		Convey("is whole once the request has been received", func() {
			began := time.Now()
			body, err := do(New(), address, "1", make([]byte, 8<<20), 1)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "whole")
			So(time.Since(began), ShouldBeGreaterThan, pause)
		})
		Convey("is given up when the context ends before", func() {
			ctx, stop := context.WithTimeout(context.Background(), pause/2)
			defer stop()
			a, err := New().Do(ctx, &Request{
				Address: address, MaxConns: 1, ID: "1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: net.Buffers{make([]byte, 8<<20)},
			}, idDecoder{})
			So(err, ShouldBeNil)
			defer a.Close()
			_, err = io.ReadAll(a)
			So(errors.Is(err, ErrCutOff), ShouldBeTrue)
			So(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), ShouldBeFalse)
		})
	})
}

package httphead_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"golang.org/x/net/http/httpguts"

	"github.com/bramleywick/bramleywick/httphead"
)

// FuzzNext checks that an answer which is accepted has a status of HTTP, that no line of
// its head was ignored or changed, and that it is the same however its bytes arrive.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\nokmore", "HTTP/1.1 200 OK\nContent-Length : 2\n\nokmore",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		resp, err := httphead.NewReader(strings.NewReader(raw), 4<<10).Next(&http.Request{Method: http.MethodGet}, 64<<10)
		other, otherErr := httphead.NewReader(iotest.OneByteReader(strings.NewReader(raw)), 16).Next(&http.Request{Method: http.MethodGet}, 64<<10)
		if (err == nil) != (otherErr == nil) || (err == nil && resp.StatusCode != other.StatusCode) {
			t.Fatalf("%v at once, %v byte by byte", err, otherErr)
		}
		if err != nil {
			return
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("name %q", name)
			}
		}
		// Each line of the accepted heads is a status line or a field of its own.
		lines := strings.Split(raw, "\n")
		for n, line := range lines {
			if line = strings.TrimSuffix(line, "\r"); line == "" {
				if n > 0 && !strings.HasPrefix(lines[0], "HTTP/1.1 1") && !strings.HasPrefix(lines[0], "HTTP/1.0 1") {
					break
				}
				return
			}
			if line[0] == ' ' || line[0] == '\t' {
				t.Fatalf("folded line %q", line)
			}
		}
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Fatalf("%d bytes of %d", len(body), resp.ContentLength)
		}
	})
}

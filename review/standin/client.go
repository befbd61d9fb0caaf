package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a consumer has seen of one request.
type outcome struct {
	id      string
	proc    *process
	sent    time.Time
	ended   time.Time
	status  int // 0 if the channel ended without an answer
	body    string
	broken  bool // the channel ended before the answer was complete
	err     error
	closing bool // the answer announced that the channel closes
}

// channel is a consumer's channel to one daemon that is kept for several
// requests.
type channel struct {
	conn net.Conn
	in   *bufio.Reader
}

func open(p *process) (*channel, error) {
	conn, err := net.DialTimeout("tcp", p.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// send sends a request on the channel and reads the whole answer.
func (c *channel) send(p *process, method, path, id string, limit time.Duration, stream bool) outcome {
	out := outcome{id: id, proc: p}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://h.example"+path, strings.NewReader(body))
	must(err)
	r.Header.Set(wire["requestID"], id)
	r.Header.Set(wire["deadline"], fmt.Sprint(limit.Milliseconds()))
	if stream {
		r.Header.Set(wire["model"], "m")
		r.Header.Set(wire["usage"], "1000,9")
		r.Header.Set(wire["prompt"], "aa:600,"+fmt.Sprintf("%x", id)+":400")
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	out.err = r.Write(c.conn)
	out.sent = time.Now()
	defer func() { out.ended = time.Now() }()
	if out.err != nil {
		out.broken = true
		return out
	}
	resp, err := http.ReadResponse(c.in, r)
	if err != nil {
		out.err, out.broken, out.ended = err, true, time.Now()
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.closing = resp.StatusCode, resp.Close
	raw, err := io.ReadAll(resp.Body)
	out.body, out.err, out.broken, out.ended = string(raw), err, err != nil, time.Now()
	return out
}

// gaveUp reports whether the consumer itself ended the request at its limit.
func (o outcome) gaveUp() bool {
	var timeout net.Error
	return errors.As(o.err, &timeout) && timeout.Timeout()
}

// complete reports whether a stream's whole answer of some events has arrived.
func (o outcome) complete(events int) bool {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		want.WriteString(event(o.id, n))
	}
	return o.body == want.String()
}

// readAll sends safe requests to one machine, one after the other on a kept
// channel.
func (f *fleet) readAll(p *process, stop chan struct{}) {
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20*time.Millisecond + rand.N(20*time.Millisecond)):
		}
		if c == nil {
			var err error
			if c, err = open(p); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s.%d", p.Name, n)
		out := c.send(p, http.MethodGet, "/read/x", id, 800*time.Millisecond, false)
		if out.status != http.StatusOK {
			f.record("request %s status=%d err=%v", id, out.status, out.err)
		}
		if out.broken || out.closing {
			c.close()
			c = nil
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// shortGrace is the grace time, in seconds, that the changed settings name.
	shortGrace = 4
	// afterReload is the time between the SIGHUP and the SIGTERM.
	afterReload = 5 * time.Second
	// excusedUntil is how long after a SIGTERM the end of the grace time excuses a
	// request that is cut.
	excusedUntil = 3 * time.Second
)

// channel is a connection that a consumer keeps.
type channel struct {
	net.Conn
	in *bufio.Reader
}

// ask sends a request on a kept connection and reads the answer.
func (c channel) ask(id string) (resp *http.Response, body []byte, sent time.Time, err error) {
	_, err = fmt.Fprintf(c, "POST /check/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n%s: 3000\r\nModel: m\r\n%s: 383,50\r\n%s: 5c1e07a1:92,%s:291\r\nContent-Length: 6\r\n\r\nprompt",
		id, wire["deadline"], wire["tokens"], wire["prompt"], id)
	sent = time.Now()
	if err != nil {
		return nil, nil, sent, err
	}
	_ = c.SetReadDeadline(sent.Add(10 * time.Second))
	if resp, err = http.ReadResponse(c.in, nil); err != nil {
		return nil, nil, sent, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp, body, sent, err
}

// shorterGrace shortens the grace time, tells an instance so, and stops it as planned.
// It checks that no stream is cut which was sent so late that the end of the grace time
// is no excuse.
func shorterGrace(p *play) (bool, error) {
	const channels = 160
	s, err := newStore(1)
	if err != nil {
		return false, err
	}
	if err := s.put(wire["configuration"], streamConfig(64, 3000, 800, 300, 1, false)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	began := func(_ *engine, id string) func() {
		mu.Lock()
		defer mu.Unlock()
		ran[id] = true
		return func() {}
	}
	for n := range 12 {
		stage := "prefill"
		if n%3 == 0 {
			stage = "decode"
		}
		if _, err := newEngine(p.record, s, &engine{
			id: fmt.Sprint("i-", n), service: "llm", zone: string("abc"[n%3]), stage: stage, slots: 64, fenced: true, event: 100 * time.Millisecond, events: 13, ran: began,
		}); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		zone := string("abc"[n])
		if err := p.deploy(options{name: "front-" + zone + "-1", zone: zone, store: s.address, bounds: "require-fencing = true"}); err != nil {
			return false, err
		}
	}
	for _, i := range p.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	i := p.instances[0]
	var kept []channel
	for n := range channels {
		conn, err := net.Dial("tcp", i.front)
		if err != nil {
			return false, err
		}
		kept = append(kept, channel{conn, bufio.NewReader(conn)})
		if n%8 == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	var first sync.WaitGroup
	for n, c := range kept {
		first.Go(func() {
			id := fmt.Sprintf("%08x%08x", n, 1)
			if resp, _, _, err := c.ask(id); err != nil || resp.StatusCode != http.StatusOK {
				p.add("client: %s: no answer on a new channel: %v", id, err)
			}
		})
	}
	first.Wait()
	p.add("client: %d channels have carried a request and are kept", channels)
	grace := usualGrace
	if p.trouble {
		grace = shortGrace
		if err := i.configure(grace); err != nil {
			return false, err
		}
		i.signal(syscall.SIGHUP)
		p.add("platform: the settings of %s name a grace time of %d s; SIGHUP", i.name, grace)
	}
	time.Sleep(afterReload)
	stopped := time.Now()
	p.add("platform: SIGTERM to %s", i.name)
	i.signal(syscall.SIGTERM)
	kill := time.AfterFunc(time.Duration(grace)*time.Second, func() {
		p.add("platform: SIGKILL to %s, %d s after the SIGTERM, if it has not ended", i.name, grace)
		i.signal(syscall.SIGKILL)
	})
	defer kill.Stop()
	lost, whole, refused, closed := 0, 0, 0, 0
	var running sync.WaitGroup
	for n, c := range kept {
		running.Go(func() {
			// The channels are used again at some moment.
			time.Sleep(2500*time.Millisecond + time.Duration(rand.IntN(800))*time.Millisecond)
			id := fmt.Sprintf("%08x%08x", n, 2)
			resp, body, sent, err := c.ask(id)
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && resp.StatusCode == http.StatusOK:
				whole++
			case err == nil:
				refused++
			case !ran[id]:
				closed++
			default:
				p.add("client: %s, sent %v after the SIGTERM, ran; its channel ended %v after the SIGTERM with %d bytes: %v", id,
					sent.Sub(stopped).Round(time.Millisecond), ended.Sub(stopped).Round(time.Millisecond), len(body), err)
				if sent.Sub(stopped) > excusedUntil {
					lost++
					p.add("LOST: %s", id)
				}
			}
		})
	}
	running.Wait()
	p.add("%d streams whole, %d refused, %d closed unread, %d lost that were sent more than %v after the SIGTERM", whole, refused, closed, lost, excusedUntil)
	return lost > 0, nil
}

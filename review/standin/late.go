package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longEvents and longGap are those of a long answer at an engine that is
	// nearly full: 36 events of 13 tokens, within the pauses that the sheet allows.
	longEvents = 36
	longGap    = 130 * time.Millisecond
	// idleChannels is the number of kept channels that are idle when the machine
	// is stopped, and excused how long after the SIGTERM a request may be sent
	// that the end of the grace time may cut.
	idleChannels = 160
	excused      = 3 * time.Second
)

// lateCase stops a machine as planned while consumers hold idle channels to it,
// and use them again some seconds later for streams with long answers.
func lateCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{
		readRoute("read", "/read/"),
		{Name: "ledger", Host: host, Prefix: "/ledger/", Kind: "streaming", Service: "ledger-llm", TimeoutMs: 5000, TargetMs: 600, Priority: 1, Attempts: 2, Stream: true, Resumable: true},
	})
	for n := range 12 {
		stage := "decode"
		if n < 4 {
			stage = "prefill"
		}
		s := f.startServer(fmt.Sprintf("i-llm-%02d", n), "ledger-llm", stage, zone, 64)
		s.events, s.gap = longEvents, longGap
	}
	for n := range 2 {
		f.startServer(fmt.Sprintf("i-plain-%d", n), "members-app", "", zone, 64)
	}
	for range 8 {
		f.startProcess(zone, 0.4, 284)
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, false
	}
	time.Sleep(2 * time.Second)
	p := f.procs[0]
	var channels []*channel
	for k := range idleChannels {
		c, err := open(p)
		if err != nil {
			return nil, false
		}
		out := c.send(p, http.MethodGet, "/read/x", fmt.Sprintf("first.%d", k), 800*time.Millisecond, false)
		if out.status != http.StatusOK {
			f.record("request %s status=%d err=%v", out.id, out.status, out.err)
		}
		channels = append(channels, c)
	}
	stopped := time.Now()
	if trouble {
		p.signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var all []outcome
	var running sync.WaitGroup
	for k, c := range channels {
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			time.Sleep(time.Until(stopped.Add(2500*time.Millisecond + rand.N(1500*time.Millisecond))))
			o := c.send(p, http.MethodPost, "/ledger/x", fmt.Sprintf("late.%d", k), streamLimit, true)
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		}()
	}
	running.Wait()
	if trouble {
		select {
		case <-p.ended:
		case <-time.After(time.Until(stopped.Add(f.bounds.Grace))):
			p.signal(syscall.SIGKILL)
		}
	}
	return f.cutLate(all, stopped), true
}

// cutLate returns the streams that were passed on to a server and whose channel
// ended without the complete answer, although neither the server broke off nor a
// time limit was reached, and that were sent later than those that the end of the
// grace time may cut.
func (f *fleet) cutLate(all []outcome, stopped time.Time) []string {
	f.mu.Lock()
	ran := map[string]bool{}
	for _, a := range f.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	f.mu.Unlock()
	var broken []string
	for _, o := range all {
		events := strings.Count(o.body, "\n\n")
		f.record("stream %s sent %v after the stop, status=%d events=%d complete=%v ended %v after the stop, passed on=%v, err=%v", o.id,
			o.sent.Sub(stopped).Round(time.Millisecond), o.status, events, o.complete(longEvents), o.ended.Sub(stopped).Round(time.Millisecond), ran[o.id], o.err)
		if !o.broken || o.gaveUp() || !ran[o.id] || o.ended.Sub(o.sent) >= streamLimit || o.sent.Sub(stopped) <= excused {
			continue
		}
		broken = append(broken, fmt.Sprintf("stream %s, sent %v after the SIGTERM, was passed on, and its channel ended %v after the SIGTERM with %d of %d events: %v",
			o.id, o.sent.Sub(stopped).Round(time.Millisecond), o.ended.Sub(stopped).Round(time.Millisecond), events, longEvents, o.err))
	}
	return broken
}

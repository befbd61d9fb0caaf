package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// halfClose sends streams, some of which their engines preempt in the middle. It
// checks that no answer that ends as complete lacks an event.
func halfClose(p *play) (bool, error) {
	const events, requests = 10, 12
	s, err := newStore(1)
	if err != nil {
		return false, err
	}
	if err := s.put(wire["configuration"], streamConfig(64, 5000, 600, 300, 2, true)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	preempted := map[string]bool{}
	// Each second request is preempted once.
	pause := func(_ *engine, id string, event int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !p.trouble || event != 4 || preempted[id] || !strings.HasSuffix(id, "-p") {
			return 0
		}
		preempted[id] = true
		return 2100 * time.Millisecond
	}
	for n, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		if _, err := newEngine(p.record, s, &engine{
			id: fmt.Sprint("i-", n), service: "llm", zone: string("abc"[n%3]), stage: stage, slots: 64, fenced: true, event: 60 * time.Millisecond, events: events, pause: pause,
		}); err != nil {
			return false, err
		}
	}
	if err := p.deploy(options{name: "front-a-1", zone: "a", store: s.address, bounds: "require-fencing = true"},
		options{name: "front-b-1", zone: "b", store: s.address, bounds: "require-fencing = true"}); err != nil {
		return false, err
	}
	for _, i := range p.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	// The platform's traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	want := func(id string) string {
		var b strings.Builder
		for n := 1; n <= events; n++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
		}
		return b.String()
	}
	var running sync.WaitGroup
	whole, cut, other := 0, 0, 0
	for n := range requests {
		id := fmt.Sprintf("%016x-s", 1000+n)
		if n%2 == 1 {
			id = fmt.Sprintf("%016x-p", 1000+n)
		}
		running.Go(func() {
			i := p.instances[n%2]
			p.add("client: sends %s to %s", id, i.name)
			a := sendPatiently(2400*time.Millisecond, i, "POST", "/check/x", id, "prompt", "Model: m", wire["tokens"]+": 460,130", wire["prompt"]+fmt.Sprintf(": 5c1e07a%x:400,%08x:60", n%4, n), wire["deadline"]+": 5000")
			p.add("client: %s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil && a.status == 200 && a.body == want(id):
				whole++
			case a.err == nil && a.status == 200:
				cut++
				p.add("ORDER: %s ended as complete and lacks events", id)
			default:
				other++
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	running.Wait()
	p.add("%d requests: %d whole, %d ended as complete without all events, %d others", requests, whole, cut, other)
	return cut > 0, nil
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// preemption is how long an engine preempts a run before its first event.
	preemption = 2150 * time.Millisecond
	// eventTime is how long an engine makes an event, of several tokens.
	eventTime = 140 * time.Millisecond
	// patience is how long a consumer of this route waits for the next event.
	patience = 2 * time.Second
	// maxOverlap is how long the server before may work on a request that goes on at
	// another one.
	maxOverlap = 400 * time.Millisecond
)

// engineRun is a run of a request at an engine.
type engineRun struct {
	engine string
	// from is when the run began, and till when the engine last made an event, sent or
	// not.
	from, till time.Time
}

// firstEvent sends streams, some of which are preempted before their first event. It
// checks that no request goes on at another engine while the one before works on it.
func firstEvent(p *play) (bool, error) {
	const requests = 16
	s, err := newStore(1)
	if err != nil {
		return false, err
	}
	if err := s.put(wire["configuration"], streamConfig(12, 3000, 400, 200, 2, true)); err != nil {
		return false, err
	}
	var mu sync.Mutex
	preempted := map[string]bool{}
	runs := map[string][]*engineRun{}
	pause := func(_ *engine, id string, event int) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !p.trouble || event != 1 || preempted[id] || !strings.HasSuffix(id, "-p") {
			return 0
		}
		preempted[id] = true
		return preemption
	}
	ran := func(e *engine, id string) func() {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = append(runs[id], &engineRun{engine: e.id, from: time.Now()})
		return func() {}
	}
	worked := func(e *engine, id string, _, till time.Time) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range runs[id] {
			if r.engine == e.id {
				r.till = till
			}
		}
	}
	for n := range 18 {
		stage := "prefill"
		if n%6 == 0 {
			stage = "decode"
		}
		if _, err := newEngine(p.record, s, &engine{
			id: fmt.Sprint("i-", n), service: "llm", zone: string("abc"[n%3]), stage: stage, slots: 12, event: eventTime, events: 5,
			pause: pause, noticesLate: true, ran: ran, worked: worked,
		}); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		zone := string("ab"[n])
		if err := p.deploy(options{name: "front-" + zone + "-1", zone: zone, store: s.address, bounds: "require-fencing = false"}); err != nil {
			return false, err
		}
	}
	for _, i := range p.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	var running sync.WaitGroup
	for n := range requests {
		id := fmt.Sprintf("%016x-%s", 1000+n, string("sp"[n%2]))
		running.Go(func() {
			i := p.instances[n/2%2]
			p.add("client: sends %s to %s", id, i.name)
			a := sendPatiently(patience, i, "POST", "/check/x", id, "prompt", "Model: m", wire["tokens"]+": 383,50", wire["prompt"]+fmt.Sprintf(": 5c1e07a%x:92,%08x:291", n%4, n), wire["deadline"]+": 3000")
			p.add("client: %s: %v", id, a)
		})
		time.Sleep(400 * time.Millisecond)
	}
	running.Wait()
	time.Sleep(preemption)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id, list := range runs {
		for n := 1; n < len(list); n++ {
			before, next := list[n-1], list[n]
			overlap := before.till.Sub(next.from)
			if before.engine != next.engine && overlap > maxOverlap {
				broken++
				p.add("TWICE: %s went on at %s, and %s worked on it for %v more", id, next.engine, before.engine, overlap.Round(time.Millisecond))
			}
		}
	}
	p.add("%d requests, %d went on at another engine while the one before worked on them for more than %v", requests, broken, maxOverlap)
	return broken > 0, nil
}

package main

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

// longSilence is the pause of a stream that was preempted and read in again: with
// the usual gap 2.23 s, shorter than the 2.4 s after which consumers give up.
const longSilence = 2100 * time.Millisecond

// overlap is how long a server may still work on a request after it has gone on
// at another one.
const overlap = 400 * time.Millisecond

// twiceCase lets servers preempt some streams and checks that no stream goes on at
// another server while the one before still works on it.
func twiceCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{
		{Name: "ledger", Host: host, Prefix: "/ledger/", Kind: "streaming", Service: "ledger-llm", TimeoutMs: 5000, TargetMs: 600, Priority: 1, Attempts: 2, Stream: true, Resumable: true},
	})
	for n := range 12 {
		stage := "decode"
		if n < 4 {
			stage = "prefill"
		}
		s := f.startServer(fmt.Sprintf("i-llm-%02d", n), "ledger-llm", stage, zone, 64)
		s.events, s.gap, s.slowToDrop = 18, longGap, true
		s.pause = func(id string) time.Duration {
			h := fnv.New32()
			_, _ = h.Write([]byte(id))
			if trouble && h.Sum32()%8 == 0 {
				return longSilence
			}
			return 0
		}
	}
	for range 8 {
		f.startProcess(zone, 0.4, 284)
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, false
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for k := range 3 * len(f.procs) {
		p := f.procs[k%len(f.procs)]
		running.Add(1)
		go func() {
			defer running.Done()
			f.streamAll(p, k, stop, func(outcome) {})
		}()
	}
	time.Sleep(20 * time.Second)
	close(stop)
	running.Wait()
	time.Sleep(3 * time.Second)
	return f.overlaps(), true
}

// overlaps returns the streams that went on at another server while the one
// before still worked on them later than the bound.
func (f *fleet) overlaps() []string {
	f.mu.Lock()
	works := f.works
	f.mu.Unlock()
	var broken []string
	for _, a := range works {
		for _, b := range works {
			if a.id != b.id || a.server == b.server || !a.began.Before(b.began) {
				continue
			}
			if late := a.ended.Sub(b.began); late > overlap {
				broken = append(broken, fmt.Sprintf("stream %s went on at %s while %s worked on it for %v more (bound %v)",
					a.id, b.server, a.server, late.Round(time.Millisecond), overlap))
			}
		}
	}
	return broken
}

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// silenceTime is the pause of a stream that was preempted and read in again:
	// shorter than the two seconds after which consumers give up at the earliest.
	silenceTime = 1700 * time.Millisecond
	// streamLimit is the time limit of the streams.
	streamLimit = 5 * time.Second
	// streamChannels is the number of consumers' channels to each machine.
	streamChannels = 6
)

// silenceCase stops a machine as planned while servers preempt some streams, and
// checks that no stream is cut that was passed on to a server.
func silenceCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{
		readRoute("read", "/read/"),
		{Name: "ledger", Host: host, Prefix: "/ledger/", Kind: "streaming", Service: "ledger-llm", TimeoutMs: 5000, TargetMs: 600, Priority: 1, Attempts: 2, Stream: true, Resumable: true},
	})
	pause := func(id string) time.Duration {
		h := fnv.New32()
		_, _ = h.Write([]byte(id))
		if trouble && h.Sum32()%4 == 0 {
			return silenceTime
		}
		return 0
	}
	for n, stage := range []string{"prefill", "decode"} {
		s := f.startServer(fmt.Sprintf("i-llm-%d", n), "ledger-llm", stage, zone, 64)
		s.pause = pause
	}
	for n := range 2 {
		f.startServer(fmt.Sprintf("i-plain-%d", n), "members-app", "", zone, 16)
	}
	for range 3 {
		f.startProcess(zone, 0.4, 284)
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, false
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []outcome
	var running sync.WaitGroup
	for k := range streamChannels * len(f.procs) {
		p := f.procs[k%len(f.procs)]
		running.Add(1)
		go func() {
			defer running.Done()
			f.streamAll(p, k, stop, func(o outcome) {
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			})
		}()
	}
	time.Sleep(8 * time.Second)
	p := f.procs[0]
	stopped := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(f.bounds.Grace):
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	close(stop)
	running.Wait()
	return f.cutStreams(all, p, stopped), true
}

// streamAll sends streams one after the other on a kept channel, until the
// machine closes it.
func (f *fleet) streamAll(p *process, k int, stop chan struct{}, add func(outcome)) {
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = open(p); err != nil {
				return
			}
		}
		id := fmt.Sprintf("%s.%d.%d", p.Name, k, n)
		out := c.send(p, http.MethodPost, "/ledger/x", id, streamLimit, true)
		f.record("stream %s status=%d complete=%v took=%v err=%v", id, out.status, out.complete(streamEvents), out.ended.Sub(out.sent).Round(time.Millisecond), out.err)
		add(out)
		if out.broken || out.closing {
			c.close()
			c = nil
		}
	}
}

// cutStreams returns the streams that the stopped machine took from the consumer
// and passed on, and whose channel ended without the complete answer between the
// stop and a second after the grace time, although neither the server broke off
// nor a time limit was reached.
func (f *fleet) cutStreams(all []outcome, p *process, stopped time.Time) []string {
	f.mu.Lock()
	ran := map[string]bool{}
	for _, a := range f.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	f.mu.Unlock()
	var broken []string
	before := 0
	for _, o := range all {
		if o.proc != p || !o.broken || o.gaveUp() || !ran[o.id] || o.ended.Sub(o.sent) >= streamLimit {
			continue
		}
		if o.ended.Before(stopped) || o.ended.After(stopped.Add(f.bounds.Grace+time.Second)) {
			before++
			continue
		}
		broken = append(broken, fmt.Sprintf("stream %s was passed on and its channel ended after %v of %v without a complete answer: %v",
			o.id, o.ended.Sub(o.sent).Round(time.Millisecond), streamLimit, o.err))
	}
	f.record("%d streams of the machine were cut outside the planned stop", before)
	return broken
}

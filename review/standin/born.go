package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// clockStep is by how much the clock of a server's machine is ahead when the
	// server first starts, and flapTime the time until it is up again.
	clockStep = 2 * time.Second
	flapTime  = 1400 * time.Millisecond
)

// bornCase lets a server start while the clock of its machine is ahead and start
// again under its id when the clock is right, and checks that the machines stop
// sending to it when it leaves.
func bornCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{readRoute("read", "/read/")})
	for n := range 3 {
		f.startServer(fmt.Sprintf("i-%d", n), "members-app", "", zone, 6)
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
	for _, p := range f.procs {
		running.Add(1)
		go func() {
			defer running.Done()
			f.readAll(p, stop)
		}()
	}
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	s := f.startServerAt("i-flap", "members-app", "", zone, 6, step)
	f.record("%s starts, born %d, its clock is %v ahead", s.id, s.born, step)
	time.Sleep(flapTime)
	s.restart()
	f.record("%s starts again, born %d, its clock is right", s.id, s.born)
	time.Sleep(10 * time.Second)
	ack := s.drain()
	f.record("%s reports that it leaves, acknowledged", s.id)
	time.Sleep(f.bounds.Drain + 4*time.Second)
	f.store.Remove(wire["serversPrefix"] + s.id)
	close(stop)
	running.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	late := map[string]int{}
	for _, a := range f.arrivals {
		if a.server != s.id {
			continue
		}
		total++
		if a.at.Sub(ack) > f.bounds.Drain {
			sender, _, _ := strings.Cut(a.id, ".")
			late[sender]++
		}
	}
	for sender, n := range late {
		broken = append(broken, fmt.Sprintf("%s sent %d requests to %s later than %v after the acknowledgement of its leaving", sender, n, s.id, f.bounds.Drain))
	}
	fmt.Fprintf(f.out, "%d requests reached %s in all\n", total, s.id)
	return broken, total > 0
}

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// hubRounds is the number of times that the machine is cut off, and calmTime
	// the time between two of them.
	hubRounds = 3
	calmTime  = 9 * time.Second
	// plainServers is the number of servers of the plain service, of which two
	// leave in each round.
	plainServers = 4
)

// hubCase cuts the machine with most processor of a zone off from the store,
// takes two of four servers away meanwhile, one after the other, and checks that
// the machines that are in touch stop sending to them.
func hubCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{readRoute("read", "/read/")})
	var servers []*server
	add := func() {
		servers = append(servers, f.startServer(fmt.Sprintf("i-%02d", len(servers)), "members-app", "", zone, 16))
	}
	for range plainServers {
		add()
	}
	for n := range 14 {
		cpuShare, in := 0.144, zone
		if n >= 10 {
			in = "hella-b"
		}
		if n == 0 || n == 10 {
			cpuShare = 0.8
		}
		f.startProcess(in, cpuShare, memoryLimit)
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, false
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, p := range f.procs {
		running.Add(1)
		go func() {
			defer running.Done()
			f.readAll(p, stop)
		}()
	}
	hub := f.procs[0]
	acks := map[string]time.Time{}
	for n := range hubRounds {
		time.Sleep(rand.N(1500 * time.Millisecond))
		if trouble {
			f.record("path of %s to the store cut", hub.Name)
			hub.path.setCut(true)
		}
		healed := time.After(cutTime)
		for _, s := range servers[2*n : 2*n+2] {
			time.Sleep(100*time.Millisecond + rand.N(900*time.Millisecond))
			acks[s.id] = f.store.Remove(wire["serversPrefix"] + s.id)
			f.record("the entry of %s is removed, it serves on", s.id)
		}
		<-healed
		hub.path.setCut(false)
		f.record("path of %s to the store whole", hub.Name)
		time.Sleep(calmTime / 2)
		add()
		add()
		time.Sleep(calmTime / 2)
	}
	close(stop)
	running.Wait()
	return f.lateArrivals(acks, hub), true
}

// lateArrivals returns the requests that reached a server more than the drain
// bound after its entry was removed, sent on by machines other than the one that
// was cut off.
func (f *fleet) lateArrivals(acks map[string]time.Time, cut *process) []string {
	f.mu.Lock()
	arrivals := f.arrivals
	f.mu.Unlock()
	var broken []string
	last := map[string]time.Duration{}
	for _, a := range arrivals {
		ack, gone := acks[a.server]
		after := a.at.Sub(ack)
		if !gone || after <= 0 {
			continue
		}
		sender, _, _ := strings.Cut(a.id, ".")
		last[a.server+" from "+sender] = max(last[a.server+" from "+sender], after)
		if sender != cut.Name && after > f.bounds.Drain {
			broken = append(broken, fmt.Sprintf("request %s reached %s %v after the acknowledgement that it is gone (bound %v)", a.id, a.server, after.Round(time.Millisecond), f.bounds.Drain))
		}
	}
	for what, after := range last {
		f.record("last arrival at %s: %v after the acknowledgement", what, after.Round(time.Millisecond))
	}
	return broken
}

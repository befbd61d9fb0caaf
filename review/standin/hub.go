package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// smallBounds are those of the sheets of the first sites, grownBounds those of
// the grown ones.
var (
	smallBounds = bounds{Stable: 3 * time.Second, Drain: 2 * time.Second, Config: 2 * time.Second, Grace: 8 * time.Second, BudgetSlack: 56}
	grownBounds = bounds{Stable: 4 * time.Second, Drain: 3 * time.Second, Config: 3 * time.Second, Grace: 8 * time.Second, BudgetSlack: 216}
)

const host = "h.example"

// readRoute is the route of safe requests to the plain service.
func readRoute(name, prefix string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: "safe", Service: "members-app", TimeoutMs: 800, TargetMs: 150, Priority: 2, Attempts: 2,
	}
}

const (
	hubZone   = "selfoss-a"
	hubRounds = 5
	// cutTime is how long the machine is cut off from the store.
	cutTime = 5500 * time.Millisecond
	// calmTime is the time between two cuts.
	calmTime = 9 * time.Second
)

// hubCase cuts the best machine of a zone off from the store, lets a server leave
// meanwhile, and checks that the machines that are in touch stop sending to it.
func hubCase(f *fleet, trouble bool) (broken []string, ran bool) {
	f.configure(1, []route{readRoute("read", "/read/")})
	var leaving []*server
	for n := range hubRounds {
		leaving = append(leaving, f.startServer(fmt.Sprintf("i-leave-%d", n), "members-app", "", hubZone, 16))
	}
	for n := range 4 {
		f.startServer(fmt.Sprintf("i-stay-%d", n), "members-app", "", hubZone, 16)
	}
	for n := range 10 {
		cpuShare := 0.144
		if n == 0 {
			cpuShare = 0.8
		}
		f.startProcess(hubZone, cpuShare, 284)
	}
	for n := range 4 {
		cpuShare := 0.144
		if n == 0 {
			cpuShare = 0.8
		}
		f.startProcess("hella-b", cpuShare, 284)
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
	go f.release(stop)
	hub := f.procs[0]
	acks := make([]time.Time, hubRounds)
	for n := range hubRounds {
		time.Sleep(rand.N(1500 * time.Millisecond))
		if trouble {
			f.record("path of %s to the store cut", hub.Name)
			hub.path.setCut(true)
		}
		time.Sleep(50 * time.Millisecond)
		acks[n] = leaving[n].drain()
		f.record("%s reports that it leaves, acknowledged", leaving[n].id)
		time.Sleep(cutTime - 50*time.Millisecond)
		hub.path.setCut(false)
		f.record("path of %s to the store whole", hub.Name)
		time.Sleep(calmTime)
	}
	close(stop)
	running.Wait()
	return f.lateArrivals(leaving, acks, hub), true
}

// release replaces the servers of the other service, eight a second: each new one
// starts first, and the old one reports that it leaves and goes.
func (f *fleet) release(stop chan struct{}) {
	old := []string{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(125 * time.Millisecond):
		}
		s := f.startServer(fmt.Sprintf("i-llm-%04d", n), "ledger-llm", "decode", "hella-b", 64)
		old = append(old, s.id)
		if len(old) > 24 {
			f.store.Remove(wire["serversPrefix"] + old[0])
			old = old[1:]
		}
	}
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

// lateArrivals returns the requests that reached a server more than the drain
// bound after its leaving was acknowledged, sent on by machines other than the
// one that was cut off. Beside the bound, 20 ms are left for the way.
func (f *fleet) lateArrivals(leaving []*server, acks []time.Time, cut *process) []string {
	f.mu.Lock()
	arrivals := f.arrivals
	f.mu.Unlock()
	var broken []string
	last := map[string]time.Duration{}
	for n, s := range leaving {
		for _, a := range arrivals {
			after := a.at.Sub(acks[n])
			if a.server != s.id || after <= 0 {
				continue
			}
			sender, _, _ := strings.Cut(a.id, ".")
			last[s.id+" from "+sender] = max(last[s.id+" from "+sender], after)
			if sender != cut.Name && after > f.bounds.Drain+20*time.Millisecond {
				broken = append(broken, fmt.Sprintf("request %s reached %s %v after the acknowledgement of its leaving (bound %v)", a.id, s.id, after.Round(time.Millisecond), f.bounds.Drain))
			}
		}
	}
	for what, after := range last {
		f.record("last arrival at %s: %v after the acknowledgement", what, after.Round(time.Millisecond))
	}
	return broken
}

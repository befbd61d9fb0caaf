package main

import (
	"fmt"
	"time"
)

const (
	revokeBound = 5 * time.Second
	// storeAway is how long the store is away, as the news page says, and rewriteAfter
	// the time after which the operator has written again what the store has lost.
	storeAway    = 2 * time.Second
	rewriteAfter = time.Second
)

// restartBesideRestore takes a key away, and later plays a drill of the store beside
// the restart of an instance. It checks that no request with the key runs that was
// sent later than the bound after the key was taken away.
func restartBesideRestore(p *play) (bool, error) {
	s, err := newStore(1)
	if err != nil {
		return false, err
	}
	if err := s.put(wire["configuration"], keyConfig(5, tenant{"t-one", []string{"key-old", "key-kept"}})); err != nil {
		return false, err
	}
	var servers []*plainServer
	for n := range 3 {
		server, err := newPlainServer(p.record, s, &plainServer{id: fmt.Sprint("i-", n), service: "app", zone: string("abc"[n]), work: 15 * time.Millisecond})
		if err != nil {
			return false, err
		}
		servers = append(servers, server)
	}
	for n := range 3 {
		if err := p.deploy(options{name: fmt.Sprint("front-", string("abc"[n]), "-1"), zone: string("abc"[n]), store: s.address, bounds: strictBounds}); err != nil {
			return false, err
		}
	}
	for _, i := range p.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	broken, served, requests := 0, 0, 0
	var revokedAt time.Time
	ask := func(i *instance, key string) {
		requests++
		id := fmt.Sprintf("%016x", requests)
		at := time.Now()
		a := send(i, "GET", "/price/x", id, "", "Authorization: Bearer "+key, wire["deadline"]+": 1000")
		ran := false
		for _, server := range servers {
			_, ok := server.hasRun(id)
			ran = ran || ok
		}
		p.add("client: %s with %s at %s: ran %v, %v", id, key, i.name, ran, a)
		switch {
		case ran && key == "key-kept":
			served++
		case ran && !revokedAt.IsZero() && at.Sub(revokedAt) > revokeBound:
			broken++
			p.add("CONFIG: %s ran with a key that was taken away, sent %v after the acknowledgement", id, at.Sub(revokedAt).Round(time.Millisecond))
		}
	}
	for _, i := range p.instances {
		ask(i, "key-old")
		ask(i, "key-kept")
	}
	before := s.copy()
	copiedAt := time.Now()
	p.add("store: a copy is made")
	time.Sleep(200 * time.Millisecond)
	if err := s.put(wire["configuration"], keyConfig(9, tenant{"t-one", []string{"key-kept"}})); err != nil {
		return false, err
	}
	revokedAt = time.Now()
	p.add("operator: version 9, which takes key-old away, is acknowledged")
	time.Sleep(revokeBound + 500*time.Millisecond)
	for _, i := range p.instances {
		ask(i, "key-old")
		ask(i, "key-kept")
	}
	victim := p.instances[0]
	if p.trouble {
		p.add("store: away; %s killed", victim.name)
		s.setDown(true)
		victim.kill()
		time.Sleep(storeAway)
		s.restore(before)
		p.add("store: back from a copy that is %v old", time.Since(copiedAt).Round(time.Millisecond))
		for _, server := range servers {
			server.report()
		}
		if err := victim.start(); err != nil {
			return false, err
		}
		p.add("%s: started again", victim.name)
		time.AfterFunc(rewriteAfter, func() {
			if err := s.put(wire["configuration"], keyConfig(9, tenant{"t-one", []string{"key-kept"}})); err == nil {
				p.add("operator: version 9 is written again")
			}
		})
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range p.instances {
			if i.isReady() {
				ask(i, "key-old")
				ask(i, "key-kept")
			}
		}
	}
	p.add("%d requests with the key that was kept ran, %d with the one taken away ran later than %v after", served, broken, revokeBound)
	if served == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return broken > 0, nil
}

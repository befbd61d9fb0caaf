package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// usageDeployment is a deployment whose instances report the usage of two tenants.
type usageDeployment struct {
	*play
	store    *store
	cloud    *cloud
	servers  []*plainServer
	sent     atomic.Int64
	stopping atomic.Bool
}

// deployUsage starts three instances, three servers and clients.
func deployUsage(p *play, era int64) (*usageDeployment, error) {
	s, err := newStore(era)
	if err != nil {
		return nil, err
	}
	c, err := newCloud(p.record)
	if err != nil {
		return nil, err
	}
	d := &usageDeployment{play: p, store: s, cloud: c}
	config := keyConfig(5, tenant{"t-one", []string{"key-one"}}, tenant{"t-two", []string{"key-two"}})
	if err := s.put(wire["configuration"], config); err != nil {
		return nil, err
	}
	for n := range 3 {
		server, err := newPlainServer(p.record, s, &plainServer{id: fmt.Sprint("i-", n), service: "app", zone: string("abc"[n]), work: 15 * time.Millisecond, quiet: true})
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, server)
	}
	for n := range 3 {
		if err := p.deploy(options{
			name: fmt.Sprint("front-", string("abc"[n]), "-1"), zone: string("abc"[n]), store: s.address,
			bounds: strictBounds + usageBounds, cloud: fmt.Sprintf(cloudSettings, c.address),
		}); err != nil {
			return nil, err
		}
	}
	for _, i := range p.instances {
		if err := i.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
		go d.load(i)
	}
	return d, nil
}

// load sends requests to an instance until the case ends.
func (d *usageDeployment) load(i *instance) {
	for n := 0; !d.stopping.Load(); n++ {
		key := "key-one"
		if n%3 == 0 {
			key = "key-two"
		}
		id := fmt.Sprintf("%016x", d.sent.Add(1))
		go send(i, "GET", "/price/x", id, "", "Authorization: Bearer "+key, wire["deadline"]+": 1000")
		time.Sleep(40 * time.Millisecond)
	}
}

// restoreUsage plays a drill of the store and checks the reports.
func restoreUsage(p *play) (bool, error) {
	d, err := deployUsage(p, 0)
	if err != nil {
		return false, err
	}
	time.Sleep(22 * time.Second)
	if n, _ := d.cloud.count(); n < 2 {
		return false, fmt.Errorf("%d reports", n)
	}
	c := d.store.copy()
	copied := time.Now()
	p.add("store: a copy is made")
	time.Sleep(6500 * time.Millisecond)
	if p.trouble {
		p.add("store: away")
		d.store.setDown(true)
		time.Sleep(storeAway)
		d.store.restore(c)
		p.add("store: back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
		for _, server := range d.servers {
			server.report()
		}
	}
	time.Sleep(30 * time.Second)
	d.stopping.Store(true)
	_, broken := d.cloud.count()
	return broken > 0, nil
}

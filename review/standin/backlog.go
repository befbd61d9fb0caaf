package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// stormLength and stormGap are those of the changes in quick succession, and
	// moreRoutes the number of routes by which the configuration has grown, twice.
	stormLength = 4 * time.Second
	stormGap    = 330 * time.Millisecond
	moreRoutes  = 1400
)

// grownRoutes returns the routes of a version: the usual one, one that only this
// version has, and those by which the configuration has grown.
func grownRoutes(version, more int) []route {
	list := []route{readRoute("read", "/read/"), readRoute(fmt.Sprint("v", version), versionPath(version))}
	for n := range more {
		list = append(list, readRoute(fmt.Sprintf("r-%07x", n), fmt.Sprintf("/g%06x/", n)))
	}
	return list
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// backlogCase cuts one machine off from the store while the configuration changes
// in quick succession, and checks that it has the newest version in force once it
// is in touch again.
func backlogCase(f *fleet, trouble bool) (broken []string, ran bool) {
	return f.backlog(trouble, []int{moreRoutes, 2 * moreRoutes}, 0)
}

// thinLinkCase does the same with a configuration that has grown once, at a
// machine whose link carries 10 Mbit/s.
func thinLinkCase(f *fleet, trouble bool) (broken []string, ran bool) {
	return f.backlog(trouble, []int{moreRoutes}, 10)
}

// backlog grows the configuration to each of the given numbers of further routes
// and then changes it in quick succession while a machine is cut off.
func (f *fleet) backlog(trouble bool, grown []int, mbps float64) (broken []string, ran bool) {
	f.configure(1, grownRoutes(1, 0))
	for n := range 3 {
		f.startServer(fmt.Sprintf("i-%d", n), "members-app", "", zone, 16)
	}
	for range 3 {
		f.startProcess(zone, 0.4, 284).path.mbps = mbps
	}
	if !f.awaitReady(20 * time.Second) {
		return nil, false
	}
	time.Sleep(2 * time.Second)
	version := 1
	for _, more := range grown {
		version++
		f.configure(version, grownRoutes(version, more))
		time.Sleep(4 * time.Second)
	}
	p := f.procs[0]
	if trouble {
		f.record("path of %s to the store cut", p.Name)
		p.path.setCut(true)
	}
	cutAt := time.Now()
	var ack time.Time
	for n := 0; time.Duration(n)*stormGap <= stormLength; n++ {
		version++
		ack = f.configure(version, grownRoutes(version, grown[len(grown)-1]))
		time.Sleep(time.Until(cutAt.Add(time.Duration(n+1) * stormGap)))
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	p.path.setCut(false)
	healed := time.Now()
	f.record("path of %s to the store whole", p.Name)
	// The machine is in touch once its path has been whole for the stable time.
	inTouch := healed.Add(f.bounds.Stable)
	for n := 0; time.Since(healed) < 22*time.Second; n++ {
		time.Sleep(200 * time.Millisecond)
		for _, p := range f.procs {
			id := fmt.Sprintf("%s.%d", p.Name, n)
			c, err := open(p)
			if err != nil {
				f.record("%v", err)
				continue
			}
			out := c.send(p, http.MethodGet, versionPath(version)+"x", id, 800*time.Millisecond, false)
			c.close()
			f.record("request %s status=%d %s", id, out.status, strings.TrimSpace(out.body))
			if out.status == http.StatusNotFound && out.sent.After(inTouch) && out.sent.Sub(ack) > f.bounds.Config {
				broken = append(broken, fmt.Sprintf("%s: 404 for a route of version %d, %v after its acknowledgement (bound %v) and %v after the path was whole",
					id, version, out.sent.Sub(ack).Round(time.Millisecond), f.bounds.Config, out.sent.Sub(healed).Round(time.Millisecond)))
			}
		}
	}
	return broken, true
}

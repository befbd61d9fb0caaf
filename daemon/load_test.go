package daemon_test

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// load are clients that send streamed requests through every daemon, one after
// another, until it is stopped.
type load struct {
	whole, broken atomic.Int64
	stopped       atomic.Bool
	clients       sync.WaitGroup
}

// load starts one client per daemon and per number of tokens.
func (s *site) load(tokens ...int) *load {
	l := &load{}
	for _, d := range s.daemons {
		for _, n := range tokens {
			l.clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for !l.stopped.Load() {
					if ask(client, d.Addresses.Callers, n) {
						l.whole.Add(1)
					} else {
						l.broken.Add(1)
					}
				}
			})
		}
	}
	return l
}

// stop ends the load after the requests under way.
func (l *load) stop() {
	l.stopped.Store(true)
	l.clients.Wait()
}

package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// downReads is how many reads of the platform's list must fail in a row before
// the platform counts as down. One failure may be a lost answer.
const downReads = 2

// listing is what the platform's list says about this instance. An order holder
// asks the listed instances to drain an engine, at the addresses in the list;
// an instance that works unlisted is not asked. Safe for concurrent use.
type listing struct {
	mu sync.Mutex
	// own tells that the list has once named the instance at its address. A row
	// that is missing later proves nothing, because the list lags.
	own bool
	// adopted tells that the marks of the order records were adopted since.
	adopted bool
	// reason tells why the list does not let the instance work; it is empty
	// when the platform keeps no list.
	reason string
	// failed counts the reads that failed since the last answer.
	failed int
}

func newListing() *listing { return &listing{reason: "the platform's list has not been read yet"} }

// took takes an answer of the platform.
func (l *listing) took(list []store.InstanceInfo, id fleet.InstanceID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = 0
	if l.own {
		return
	}
	l.reason = ""
	if len(list) == 0 {
		return
	}
	l.reason = "the platform's list does not name this instance"
	for _, i := range list {
		switch {
		case fleet.InstanceID(i.ID) != id:
		case i.Address == address:
			l.own, l.reason = true, "the records of orders to engines have not been read yet"
			return
		default:
			l.reason = fmt.Sprintf("the platform's list names this instance at %s, but peers reach it at %s", i.Address, address)
		}
	}
}

// adopting tells whether the order records have to be read, given the number of
// engines that are held because of them.
func (l *listing) adopting(held int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own && (!l.adopted || held > 0)
}

// tookMarks tells that the marks of the order records were adopted.
func (l *listing) tookMarks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted = true
}

// missed takes a failed read. A service that refuses a call for its rate is up.
func (l *listing) missed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !errors.Is(err, store.ErrRateLimited) {
		l.failed++
	}
}

// state tells why the list does not let the instance work, or "", and whether
// the platform is down.
func (l *listing) state() (reason string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own && l.adopted {
		return "", false
	}
	return l.reason, l.failed >= downReads
}

// adoptMarks holds the engines that were marked before the instance was listed.
func (d *Daemon) adoptMarks(ctx context.Context) {
	if !d.listing.adopting(d.localDrain.HeldByRecords()) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	held, err := d.localDrain.SyncFromRecords(ctx, d.cluster.store)
	if err != nil {
		d.listing.missed(err)
		return
	}
	if held > 0 {
		d.log.Info("engines held by recorded orders", zap.Int("held", held))
	}
	d.listing.tookMarks()
}

// readiness tells whether the instance takes requests, and why or why not.
func (d *Daemon) readiness() (ready bool, why string) {
	version := d.keeper.Version()
	reason, down := d.listing.state()
	switch {
	case d.stopping.Load():
		return false, "stopping"
	case d.keeper.Index() == nil:
		return false, "no configuration is known yet"
	case reason == "":
		return true, "ready"
	case down:
		return true, fmt.Sprintf("ready without the platform's list: the platform does not answer; configuration version %d is in force", version)
	}
	return false, reason
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, why := d.readiness()
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, why)
}

// logReadiness logs a change of readiness or of its reason. Only the goroutine
// that reads the platform's list calls it.
func (d *Daemon) logReadiness(last *string) {
	ready, why := d.readiness()
	if why != *last {
		*last = why
		d.log.Info("readiness", zap.Bool("ready", ready), zap.String("reason", why))
	}
}

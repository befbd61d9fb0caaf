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

// downFailures is the number of consecutive failed reads of the platform's list
// after which the platform counts as down. One failure may be a lost answer.
const downFailures = 2

// platformListing tracks whether the platform's list of instances names this
// instance. An order holder asks the listed instances to drain an engine, at the
// addresses in the list, so an unlisted instance must not take requests. Safe for
// concurrent use.
type platformListing struct {
	mu sync.Mutex
	// listed reports whether the list has ever named the instance at its
	// address. A row that is missing later is ignored, because the list lags.
	listed bool
	// marksAdopted reports whether the engines that are marked in the order
	// records have been held once since then.
	marksAdopted bool
	// reason is why the instance is not ready according to the list. It is empty
	// if the platform keeps no list.
	reason string
	// failedReads is the number of reads that have failed since the last answer.
	failedReads int
}

func newPlatformListing() *platformListing {
	return &platformListing{reason: "the platform's list has not been read yet"}
}

// readSucceeded records the list that the platform has returned. id and address
// are those of this instance.
func (l *platformListing) readSucceeded(list []store.InstanceInfo, id fleet.InstanceID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedReads = 0
	if l.listed {
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
			l.listed, l.reason = true, "the records of orders to engines have not been read yet"
			return
		default:
			l.reason = fmt.Sprintf("the platform's list names this instance at %s, but peers reach it at %s", i.Address, address)
		}
	}
}

// needsMarks reports whether the order records have to be read. held is the
// number of engines that are held because of them.
func (l *platformListing) needsMarks(held int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed && (!l.marksAdopted || held > 0)
}

// setMarksAdopted records that the marks of the order records have been adopted.
func (l *platformListing) setMarksAdopted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marksAdopted = true
}

// readFailed records a failed read. store.ErrRateLimited does not count, because
// a service that limits rates is up.
func (l *platformListing) readFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !errors.Is(err, store.ErrRateLimited) {
		l.failedReads++
	}
}

// status returns why the instance is not ready according to the list, or "" if it
// is, and whether the platform counts as down.
func (l *platformListing) status() (reason string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed && l.marksAdopted {
		return "", false
	}
	return l.reason, l.failedReads >= downFailures
}

// adoptMarks adopts the marks in the order records: it holds the engines that
// were marked before the instance was listed.
func (d *Daemon) adoptMarks(ctx context.Context) {
	if !d.listing.needsMarks(d.localDrain.HeldByRecords()) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	held, err := d.localDrain.SyncFromRecords(ctx, d.cluster.store)
	if err != nil {
		d.listing.readFailed(err)
		return
	}
	if held > 0 {
		d.log.Info("engines held by recorded orders", zap.Int("held", held))
	}
	d.listing.setMarksAdopted()
}

// readiness reports whether the instance takes requests, with the reason.
func (d *Daemon) readiness() (ready bool, why string) {
	version := d.keeper.Version()
	reason, down := d.listing.status()
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

// readyz answers with the reason of the readiness and status 200 or 503.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, why := d.readiness()
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, why)
}

// logReadiness logs the readiness if its reason differs from *last. It must be
// called only by the goroutine that reads the platform's list.
func (d *Daemon) logReadiness(last *string) {
	ready, why := d.readiness()
	if why != *last {
		*last = why
		d.log.Info("readiness", zap.Bool("ready", ready), zap.String("reason", why))
	}
}

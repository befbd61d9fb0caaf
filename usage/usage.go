// Package usage counts the requests of members at all instances and, on the
// instance that holds the duty, reports each window to the platform. It executes
// the decisions of core/usage.
package usage

import (
	"compress/flate"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	counts "github.com/bramleywick/bramleywick/core/usage"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// tickInterval is the time between two updates of the windows, and
	// actInterval between two checks of what the holder has to do.
	tickInterval = 100 * time.Millisecond
	actInterval  = 200 * time.Millisecond
	// peerInterval is the time between two reports to an instance or to a hub, and
	// leafInterval that of an instance that has a hub.
	peerInterval = 100 * time.Millisecond
	leafInterval = 500 * time.Millisecond
	// instanceInterval is the time between two reports of a hub to an instance, and
	// hubInterval, for each hub, that between two reports to a hub. In the latter
	// many counts of a member are sent together, and a hub's work does not grow
	// with the number of hubs.
	instanceInterval = 500 * time.Millisecond
	hubInterval      = 200 * time.Millisecond
	// leafClosedDelay is the time after a window is closed after which an instance
	// reports to its hub in any case, and hubClosedDelay that after which the hub
	// passes it on.
	leafClosedDelay = 100 * time.Millisecond
	hubClosedDelay  = 300 * time.Millisecond
	// keepInterval is the time between two searches for processes that ended.
	keepInterval = time.Second
)

// Cloud makes the calls of the duty.
type Cloud interface {
	ReportUsage(ctx context.Context, by duty.Call, window int64, counts map[fleet.MemberID]int64) error
}

// Holder holds the lease of the duty.
type Holder interface {
	Term() (duty.Term, bool)
	Call(duty.Term) duty.Call
	Refused(fence int64)
	Resign(fence int64, wait time.Duration)
	// ActedLast reports whether the term with a fencing number ended because the store
	// came back from an older copy, and no other instance can have acted after it.
	ActedLast(fence int64) bool
}

// Observer records the results of reports.
type Observer interface {
	// UsageReport records a call; result is "taken" or the reason of a failure.
	UsageReport(result string)
	// UsageWindow records a window that is about to be reported.
	UsageWindow(complete bool)
}

// Options holds the dependencies and parameters of a Reporter.
type Options struct {
	Instance fleet.InstanceID
	// Epoch tells the processes of an instance apart.
	Epoch uint64
	// Window is the length of a window, and Late the time after its end at which
	// its report is late.
	Window, Late time.Duration
	Store        leaseholder.Store
	Cloud        Cloud
	Holder       Holder
	// Listed returns the listed instances, and Candidates those of them that may
	// perform the duty.
	Listed, Candidates func() []fleet.InstanceID
	Observer           Observer
	// Now reads the clock that includes frozen time and Wall the wall clock, as the
	// time since the start of 1970; nil selects the system's.
	Now, Wall func() fleet.Instant
	Log       *zap.Logger
}

// Reporter counts requests and reports them. Safe for concurrent use.
type Reporter struct {
	Options
	mu      sync.Mutex
	counter *counts.Counter
	// nextReport is the earliest time of the next report to each instance.
	nextReport map[fleet.InstanceID]fleet.Instant
	// keepAt is when processes that ended are forgotten next.
	keepAt fleet.Instant
	// candidates is the number of instances that may perform the duty, performs
	// reports whether this one is among them, and want are the instances whose
	// counts it misses then.
	candidates int
	performs   bool
	want       []fleet.InstanceID
	clockWrong bool
	// session is the state of the holder and packer its compressor; only act uses
	// them.
	session *session
	packer  *flate.Writer
	// own is the last state that this process has written to the store or read from it
	// as the holder; nil before that. Only act uses it.
	own *ownState
}

// New returns a Reporter. It must be created when the process starts.
func New(o Options) *Reporter {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.Wall == nil {
		o.Wall = func() fleet.Instant { return fleet.Instant(time.Now().UnixNano()) }
	}
	now := o.Now()
	return &Reporter{
		Options: o, nextReport: map[fleet.InstanceID]fleet.Instant{},
		counter: counts.NewCounter(counts.Process{Instance: o.Instance, Epoch: o.Epoch}, o.Window, now, o.Wall()),
	}
}

// Began counts a request of a member that began to run at a time on the boottime
// clock.
func (r *Reporter) Began(member fleet.MemberID, at fleet.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Began(member, at)
}

// Run updates the windows and performs the duty while the instance holds it, until
// the context ends.
func (r *Reporter) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	every := func(interval time.Duration, f func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					f()
				}
			}
		}()
	}
	every(tickInterval, r.Tick)
	every(actInterval, func() { r.act(ctx) })
}

// Tick updates the time and the windows. Run calls it every 100 ms.
func (r *Reporter) Tick() {
	listed := r.Listed()
	candidates := r.Candidates()
	performs := slices.Contains(candidates, r.Instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.counter.Tick(now, len(listed))
	if len(listed) > 0 && now >= r.keepAt {
		r.keepAt = now + keepInterval
		r.counter.Ledger.Keep(listed)
	}
	r.candidates = len(candidates)
	if r.performs = performs; performs {
		r.want = r.counter.Want(now, listed)
	}
	deviation := r.counter.Clock.Deviation(now, r.Wall())
	if wrong := deviation.Abs() > counts.WrongBy; wrong != r.clockWrong {
		r.clockWrong = wrong
		r.Log.Warn("wall clock against the median of the instances", zap.Bool("wrong", wrong), zap.Duration("ahead", deviation))
	}
}

// UsageReport returns the counts for another instance, or nil if it is not time
// for the next report. include reports whether the clock of an instance that this
// one hears is passed on.
func (r *Reporter) UsageReport(to fleet.InstanceID, link counts.Link, include func(fleet.InstanceID) bool) *counts.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if now < r.nextReport[to] {
		return nil
	}
	r.nextReport[to] = now + r.reportInterval(link, now)
	out := r.counter.Ledger.Report(to, link)
	out.Clock, out.Clocks = r.counter.Clock.Own(now), r.counter.Clock.Groups(now, include)
	if r.performs && link != counts.LinkInstance {
		out.Want = r.want
	}
	return &out
}

// reportInterval returns the time until the next report over a link.
func (r *Reporter) reportInterval(link counts.Link, now fleet.Instant) time.Duration {
	interval, closedDelay := leafInterval, leafClosedDelay
	switch {
	case link == counts.LinkInstance:
		return instanceInterval
	case link == counts.LinkHubs:
		interval, closedDelay = time.Duration(r.candidates)*hubInterval, hubClosedDelay
	case r.performs:
		return peerInterval
	}
	if in, ok := r.counter.UntilClosed(now - closedDelay); ok {
		interval = min(interval, in)
	}
	return interval
}

// ApplyUsage applies the counts that another instance has sent.
func (r *Reporter) ApplyUsage(from fleet.InstanceID, link counts.Link, in *counts.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Clock.Heard(from, r.Now(), in.Clock, in.Clocks)
	if err := r.counter.Ledger.Apply(from, link, *in); err != nil {
		r.Log.Warn("counts of an instance ignored", zap.String("instance", string(from)), logline.Error(err))
	}
}

// Stats are figures of a Reporter for metrics.
type Stats struct {
	// Late is the number of requests that were known only after the report of their
	// window, Dropped the number of counts dropped for lack of memory, and Cells
	// the number of counts held.
	Late, Dropped int64
	Cells         int
	// ClockAhead is how far the wall clock is ahead of the median of the instances.
	ClockAhead time.Duration
	// ReportedThrough is the last window that is known to be reported.
	ReportedThrough int64
}

// Stats returns the present figures.
func (r *Reporter) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.counter.Ledger
	return Stats{
		Late: l.Late(), Dropped: l.Dropped(), Cells: l.Cells(), ClockAhead: r.counter.Clock.Deviation(r.Now(), r.Wall()),
		ReportedThrough: l.ReportedThrough(),
	}
}

// Package usage counts the requests that began to run by window and member, and
// decides what is reported of a window. Each process counts its own requests;
// the counts of other processes are merged by taking the highest value, since
// counts only increase.
//
// It performs no input or output. Not safe for concurrent use.
package usage

import (
	"cmp"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
)

// Process identifies a process of an instance.
type Process struct {
	Instance fleet.InstanceID
	// Epoch tells the processes of an instance apart.
	Epoch uint64
}

// Link is the kind of a connection to another instance.
type Link uint8

// Links.
const (
	// LinkPeer connects two instances without hubs, and an instance to its hub.
	// Own counts are sent.
	LinkPeer Link = iota
	// LinkHubs connects two hubs. The counts of all processes that send theirs to
	// the sender are sent.
	LinkHubs
	// LinkInstance connects a hub to an instance that it reports for. No counts
	// are sent.
	LinkInstance
)

const (
	// maxCells bounds the counts in one report.
	maxCells = 4096
	// maxHeld bounds the counts held, about 120 bytes each. A window has at most
	// 17,000 at 3,400 requests per second.
	maxHeld = 200_000
	// maxCount bounds a count.
	maxCount = 1 << 40
	// maxAhead and maxBehind bound the windows of counts that are taken, relative
	// to the present one.
	maxAhead  = 2
	maxBehind = 720
)

// cell is the count of a member in a window of a process, or the state of a
// process if member is empty.
type cell struct {
	process *process
	window  int64
	member  fleet.MemberID
	count   int64
	// version is the ledger's version at the last change, by which the list of
	// cells is ordered.
	version        uint64
	older, younger *cell
}

// process is what is known of a process.
type process struct {
	id Process
	// order is the order in which the processes became known.
	order int
	// direct reports whether the process sends its counts to this one, and not to
	// all hubs.
	direct bool
	// started is the first window that began after the process started; 0 when
	// unknown. The counts up to the window closed are complete.
	started, closed int64
	state           *cell
	windows         map[int64]map[fleet.MemberID]*cell
}

// Ledger holds the counts of this process and of others.
type Ledger struct {
	self      *process
	processes map[Process]*process
	peers     *gossip.Peers
	// version is that of the newest cell.
	version         uint64
	oldest, newest  *cell
	cells           int
	knownProcesses  int
	reportedThrough int64
	present         int64
	// wants holds what other instances ask for.
	wants map[fleet.InstanceID]*want
	// late is the number of counts for windows that were reported already, and
	// dropped the number of counts dropped for lack of memory.
	late, dropped int64
}

// NewLedger returns the ledger of a process.
func NewLedger(self Process) *Ledger {
	l := &Ledger{
		processes: map[Process]*process{}, wants: map[fleet.InstanceID]*want{}, peers: gossip.NewPeers(self.Epoch),
	}
	l.self = l.process(self)
	l.self.direct = true
	return l
}

// process returns what is known of a process.
func (l *Ledger) process(id Process) *process {
	p := l.processes[id]
	if p == nil {
		l.knownProcesses++
		p = &process{id: id, order: l.knownProcesses, windows: map[int64]map[fleet.MemberID]*cell{}}
		p.state = &cell{process: p}
		l.processes[id] = p
		l.touch(p.state)
	}
	return p
}

// touch records a change of a cell.
func (l *Ledger) touch(c *cell) {
	l.unlink(c)
	l.version++
	c.version = l.version
	c.older = l.newest
	if l.newest != nil {
		l.newest.younger = c
	} else {
		l.oldest = c
	}
	l.newest = c
	l.cells++
}

// unlink removes a cell from the list.
func (l *Ledger) unlink(c *cell) {
	if c.version == 0 {
		return
	}
	if c.older != nil {
		c.older.younger = c.younger
	} else {
		l.oldest = c.younger
	}
	if c.younger != nil {
		c.younger.older = c.older
	} else {
		l.newest = c.older
	}
	c.older, c.younger, c.version = nil, nil, 0
	l.cells--
}

// raise sets a count to at least n.
func (l *Ledger) raise(p *process, window int64, member fleet.MemberID, n int64) {
	if window <= l.reportedThrough || n <= 0 {
		return
	}
	c := l.cellOf(p, window, member)
	if n > c.count {
		c.count = n
		l.touch(c)
	}
}

func (l *Ledger) cellOf(p *process, window int64, member fleet.MemberID) *cell {
	counts := p.windows[window]
	if counts == nil {
		counts = map[fleet.MemberID]*cell{}
		p.windows[window] = counts
	}
	c := counts[member]
	if c == nil {
		c = &cell{process: p, window: window, member: member}
		counts[member] = c
	}
	return c
}

// Count counts requests of a member that began to run in a window. Those of a
// window that was reported already are dropped.
func (l *Ledger) Count(member fleet.MemberID, window, n int64) {
	if window <= l.reportedThrough {
		l.late += n
		return
	}
	c := l.cellOf(l.self, window, member)
	c.count += n
	l.touch(c)
}

// Late returns the number of requests that were known only after the report of
// their window.
func (l *Ledger) Late() int64 { return l.late }

// Cells returns the number of counts held.
func (l *Ledger) Cells() int { return l.cells }

// SetPresent sets the present window, the first window that began after this
// process started, and the last window whose counts of this process are
// complete.
func (l *Ledger) SetPresent(present, started, closed int64) {
	if present != l.present {
		l.present = present
		l.dropWindows(present - maxBehind)
	}
	if l.self.started != started || closed > l.self.closed {
		l.self.started, l.self.closed = started, max(l.self.closed, closed)
		l.touch(l.self.state)
	}
	for l.cells > maxHeld && l.oldest != nil {
		before := l.cells
		l.dropWindows(l.oldestWindow())
		if l.dropped += int64(before - l.cells); l.cells == before {
			break
		}
	}
}

// oldestWindow returns the oldest window with counts.
func (l *Ledger) oldestWindow() int64 {
	oldest := l.present
	for _, p := range l.processes {
		for w := range p.windows {
			oldest = min(oldest, w)
		}
	}
	return oldest
}

// Dropped returns the number of counts that were dropped for lack of memory,
// before their windows were reported.
func (l *Ledger) Dropped() int64 { return l.dropped }

// ReportedThrough returns the last window that is known to be reported.
func (l *Ledger) ReportedThrough() int64 { return l.reportedThrough }

// SetReportedThrough drops the counts of windows that are reported.
func (l *Ledger) SetReportedThrough(window int64) {
	if window <= l.reportedThrough || window > l.present {
		return
	}
	l.reportedThrough = window
	l.dropWindows(window)
}

// dropWindows drops the counts of the windows up to one.
func (l *Ledger) dropWindows(through int64) {
	for _, p := range l.processes {
		for w, counts := range p.windows {
			if w > through {
				continue
			}
			for _, c := range counts {
				l.unlink(c)
			}
			delete(p.windows, w)
		}
	}
}

// Keep forgets the instances that are not listed, and their processes once their
// counts are reported.
func (l *Ledger) Keep(listed []fleet.InstanceID) {
	l.peers.Keep(listed)
	keep := make(map[fleet.InstanceID]bool, len(listed))
	for _, id := range listed {
		keep[id] = true
	}
	for id := range l.wants {
		if !keep[id] {
			delete(l.wants, id)
		}
	}
	for id, p := range l.processes {
		// The last closed window of a process that runs advances.
		ended := !keep[id.Instance] || (p.started > 0 && max(p.started, p.closed) < l.reportedThrough-maxAhead)
		if p == l.self || !ended || len(p.windows) > 0 || l.reportedThrough == 0 {
			continue
		}
		l.unlink(p.state)
		delete(l.processes, id)
	}
}

// Missing returns the listed instances whose counts of a window are not known to
// be complete.
func (l *Ledger) Missing(window int64, listed []fleet.InstanceID) []fleet.InstanceID {
	complete := map[fleet.InstanceID]bool{}
	for id, p := range l.processes {
		// A process counts from the window before started on. What an ended
		// process has not reported is not known to anyone.
		if p.started > 0 && (p.closed >= window || p.started-1 > window) {
			complete[id.Instance] = true
		}
	}
	var out []fleet.InstanceID
	for _, id := range listed {
		if !complete[id] {
			out = append(out, id)
		}
	}
	return out
}

// Totals returns the counts of a window over all processes.
func (l *Ledger) Totals(window int64) map[fleet.MemberID]int64 {
	out := map[fleet.MemberID]int64{}
	for _, p := range l.processes {
		for member, c := range p.windows[window] {
			out[member] += c.count
		}
	}
	return out
}

// FirstWindow returns the first window that began after the first known process
// started; 0 when unknown.
func (l *Ledger) FirstWindow() int64 {
	first := int64(0)
	for _, p := range l.processes {
		if p.started > 0 && (first == 0 || p.started < first) {
			first = p.started
		}
	}
	return first
}

// Open returns all counts that are not reported, for a checkpoint.
func (l *Ledger) Open() Batch {
	var cells []*cell
	for c := l.oldest; c != nil; c = c.younger {
		cells = append(cells, c)
	}
	return batchOf(cells)
}

// Merge merges the counts of other processes. from is the process that has sent
// them, if other hubs do not hear it; the zero value otherwise.
func (l *Ledger) Merge(from Process, b Batch) {
	for _, in := range b {
		if in.Process == l.self.id {
			continue
		}
		p := l.process(in.Process)
		if in.Process == from && !p.direct {
			p.direct = true
			l.touch(p.state)
			for _, counts := range p.windows {
				for _, c := range counts {
					l.touch(c)
				}
			}
		}
		if in.Closed <= l.present+maxAhead && (in.Started > 0 && p.started == 0 || in.Closed > p.closed) {
			p.started, p.closed = cmp.Or(p.started, in.Started), max(p.closed, in.Closed)
			l.touch(p.state)
		}
		for _, w := range in.Windows {
			if w.Window > l.present+maxAhead || w.Window < l.present-maxBehind {
				continue
			}
			for _, c := range w.Counts {
				l.raise(p, w.Window, c.Member, c.Count)
			}
		}
	}
}

// batchOf groups cells by process and window.
func batchOf(cells []*cell) Batch {
	slices.SortFunc(cells, func(a, b *cell) int {
		return cmp.Or(cmp.Compare(a.process.order, b.process.order), cmp.Compare(a.window, b.window), cmp.Compare(a.member, b.member))
	})
	var out Batch
	var present *process
	for _, c := range cells {
		if c.process != present {
			present = c.process
			out = append(out, ProcessCounts{Process: present.id, Started: present.started})
		}
		p := &out[len(out)-1]
		if c.member == "" && c.window == 0 {
			p.Closed = present.closed
			continue
		}
		if n := len(p.Windows); n == 0 || p.Windows[n-1].Window != c.window {
			p.Windows = append(p.Windows, WindowCounts{Window: c.window})
		}
		w := &p.Windows[len(p.Windows)-1]
		w.Counts = append(w.Counts, MemberCount{c.member, c.count})
	}
	return out
}

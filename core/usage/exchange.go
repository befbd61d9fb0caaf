package usage

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
)

// Report is the part of an instance's report to another that counts requests.
type Report struct {
	Header gossip.Header
	// Counts is the encoded Batch of the counts that have changed.
	Counts []byte
	// ReportedThrough is the last window that is known to be reported.
	ReportedThrough int64
	// Want asks for the counts of instances that the sender does not hear.
	Want []fleet.InstanceID
	// Clock is the sender's own clock as the time since the start of 1970, and
	// Clocks are the clocks of the instances that it reports for, itself
	// included.
	Clock  fleet.Instant
	Clocks []ClockGroup
}

// MaxWant bounds Report.Want.
const MaxWant = 64

// want is what another instance asks for.
type want struct {
	instances []fleet.InstanceID
	// sentUpTo is the version up to which it was sent last.
	sentUpTo uint64
}

// Report returns the counts for another instance.
func (l *Ledger) Report(to fleet.InstanceID, link Link) Report {
	out := Report{ReportedThrough: l.reportedThrough}
	if link == LinkInstance {
		out.Header, _ = l.peers.Send(to, l.peers.Confirmed(to))
		return out
	}
	confirmed := l.peers.Confirmed(to)
	include := func(c *cell) bool { return c.process == l.self || (link == LinkHubs && c.process.direct) }
	cells, upTo := l.changed(confirmed, include)
	if w := l.wants[to]; w != nil {
		// What is lost is sent again: after the last one, it begins anew.
		rest, next := l.changed(w.sentUpTo, func(c *cell) bool {
			return slices.Contains(w.instances, c.process.id.Instance) && (!include(c) || c.version <= confirmed)
		})
		if next == l.version {
			next = 0
		}
		w.sentUpTo = next
		cells = append(cells, rest...)
	}
	out.Header, _ = l.peers.Send(to, upTo)
	if len(cells) > 0 {
		out.Counts = batchOf(cells).Encode()
	}
	return out
}

// changed returns the cells that changed after a version and that include accepts,
// the oldest ones first and at most maxCells, and the version up to which they are
// complete.
func (l *Ledger) changed(after uint64, include func(*cell) bool) (cells []*cell, upTo uint64) {
	first := l.newest
	for first != nil && first.older != nil && first.older.version > after {
		first = first.older
	}
	for c := first; c != nil; c = c.younger {
		if c.version <= after || !include(c) {
			continue
		}
		if len(cells) == maxCells {
			return cells, cells[len(cells)-1].version
		}
		cells = append(cells, c)
	}
	return cells, l.version
}

// Apply applies another instance's report. An error means that its counts cannot
// be read.
func (l *Ledger) Apply(from fleet.InstanceID, link Link, r Report) error {
	batch, err := DecodeBatch(r.Counts)
	if err != nil {
		return err
	}
	l.peers.Receive(from, r.Header)
	l.SetReportedThrough(r.ReportedThrough)
	sender := Process{from, r.Header.Epoch}
	if link == LinkHubs {
		// The sender itself tells all other hubs.
		sender = Process{}
	}
	l.Merge(sender, batch)
	w := l.wants[from]
	switch {
	case len(r.Want) == 0:
		delete(l.wants, from)
	case w == nil || !slices.Equal(w.instances, r.Want):
		l.wants[from] = &want{instances: r.Want}
	}
	return nil
}

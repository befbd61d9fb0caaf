package listing

import (
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Source is how an instance knows that a process leaves.
type Source uint8

const (
	// SourceEntry is the process's own entry in the store.
	SourceEntry Source = iota
	// SourceAnswer is an answer of the process to this instance.
	SourceAnswer
	// SourcePeer is another instance's report.
	SourcePeer
	numSources
)

var sourceNames = [numSources]string{"entry", "answer", "peer"}

// String returns the source's name in logs and metrics.
func (s Source) String() string {
	if s >= numSources {
		return "unknown"
	}
	return sourceNames[s]
}

const (
	// maxDepartures bounds the processes that are known to leave.
	maxDepartures = 2048
	// maxReported bounds the departures in one report.
	maxReported = 32
)

// departure is the knowledge that a process leaves.
type departure struct {
	source Source
	at     fleet.Instant
}

// Departure is what an instance reports of a process that leaves.
type Departure struct {
	Process fleet.Process
	// Age is how long ago the process was first known to leave.
	Age time.Duration
}

// NewDeparture is a departure that a List has learned.
type NewDeparture struct {
	Departure
	Source Source
}

// Depart records that a process leaves, as known since age before now. Only the
// end of the process ends it: its successor under the same id has another start
// time.
func (l *List) Depart(p fleet.Process, source Source, age time.Duration, now fleet.Instant) {
	if l.departed(p) || p.Server == "" {
		return
	}
	if len(l.departures) >= maxDepartures {
		l.forgetOldest()
	}
	age = max(age, 0)
	l.departures[p] = departure{source: source, at: now - age}
	l.learned = append(l.learned, NewDeparture{Departure{Process: p, Age: age}, source})
}

// TakeLearned returns the departures that the list has learned since the last
// call.
func (l *List) TakeLearned() []NewDeparture {
	learned := l.learned
	l.learned = nil
	return learned
}

// forgetOldest forgets the departure that is known longest, of a process that is
// not listed if there is one.
func (l *List) forgetOldest() {
	var oldest fleet.Process
	found, foundListed := false, false
	for p, d := range l.departures {
		r := l.records[p.Server]
		listed := r != nil && r.Process() == p
		if !found || (foundListed && !listed) || (foundListed == listed && d.at < l.departures[oldest].at) {
			oldest, found, foundListed = p, true, listed
		}
	}
	delete(l.departures, oldest)
}

// departed reports whether a process is known to leave.
func (l *List) departed(p fleet.Process) bool {
	_, ok := l.departures[p]
	return ok
}

// Departures returns the newest departures that other instances may not know from
// the store, at most maxReported and known for less than the given time.
func (l *List) Departures(within time.Duration, now fleet.Instant) []Departure {
	var out []Departure
	for p, d := range l.departures {
		if age := now - d.at; d.source != SourceEntry && age < within {
			out = append(out, Departure{Process: p, Age: age})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Age < out[j].Age })
	return out[:min(len(out), maxReported)]
}

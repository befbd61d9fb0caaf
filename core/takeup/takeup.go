// Package takeup knows at which software version a stream may go on that its caller
// takes up again. What two versions write does not fit together, and servers don't
// check it. While one version alone can have begun the streams of a service, nothing
// has to be known of a stream (Versions). Otherwise its version is looked up by the
// attempt that began it (Streams), which instances tell each other.
//
// An instance may miss news of a version or of a stream for seconds. Two rules keep it
// from taking what it knows for all there is: no stream begins at a version before the
// record of versions in the store names it, so that whoever reads the record afterwards
// knows of every version that may have begun a stream; and a stream's version is
// recorded once its first event has come, after which it does not change.
//
// It performs no input or output and reads no clock. Not safe for concurrent use.
package takeup

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Key identifies the attempt that began a stream.
type Key [12]byte

// KeyOf returns the key of an attempt of a member, "" if requests need no key.
func KeyOf(member fleet.MemberID, id fleet.RequestID) (k Key) {
	in := binary.AppendUvarint(nil, uint64(len(member)))
	in = append(append(in, member...), id...)
	sum := sha256.Sum256(in)
	copy(k[:], sum[:])
	return k
}

// Record is the software version of the server that made a stream's first event.
type Record struct {
	Key      Key
	Software string
	// Age is the time since that event.
	Age time.Duration
}

// Answer is what other instances know of a stream.
type Answer struct {
	// Software is the version that began it, if Known is set.
	Software string
	Known    bool
	// Possible are the versions that may have begun it as far as they know, and
	// Instances is the number of instances that have answered.
	Possible  []string
	Instances int
	// Confirmed reports whether one of them has read the record of versions in the
	// store for this question: Possible then holds all versions.
	Confirmed bool
}

const (
	// MaxVersions bounds the versions of a service.
	MaxVersions = maxVersions
	// MinMemory and MaxMemory bound the time in which a stream can be taken up.
	MinMemory = 10 * time.Second
	MaxMemory = 2 * time.Minute
	// timeoutsPerStream is the number of timeouts of its route for which a caller may
	// try to get a stream.
	timeoutsPerStream = 2
	// maxStreams bounds the streams that are remembered, and maxVersions the versions
	// of a service.
	maxStreams  = 16384
	maxVersions = 16
	// MaxSoftwareBytes bounds the name of a version.
	MaxSoftwareBytes = 128
)

// MemoryFor returns the time in which streams with a timeout can be taken up.
func MemoryFor(timeout time.Duration) time.Duration {
	return min(max(timeoutsPerStream*timeout, MinMemory), MaxMemory)
}

// Streams remembers the versions that began streams.
type Streams struct {
	streams map[Key]stream
	// order holds the keys in the order in which they were put.
	order []entry
}

type stream struct {
	software string
	at       fleet.Instant
	own      bool
}

type entry struct {
	key Key
	at  fleet.Instant
}

// NewStreams returns an empty memory.
func NewStreams() *Streams { return &Streams{streams: map[Key]stream{}} }

// Put records a version, unless the stream is known: a stream that is taken up again
// keeps its version. own reports whether this instance has sent the stream.
func (s *Streams) Put(r Record, own bool, memory time.Duration, now fleet.Instant) {
	at := now - max(r.Age, 0)
	s.expire(memory, now)
	if known, ok := s.streams[r.Key]; ok {
		if known.at >= at {
			return
		}
		r.Software, own = known.software, own || known.own
	}
	for len(s.order) >= maxStreams {
		s.dropFirst()
	}
	s.streams[r.Key] = stream{software: r.Software, at: at, own: own}
	s.order = append(s.order, entry{r.Key, at})
}

// Get returns the record of a stream, if there is one.
func (s *Streams) Get(k Key, memory time.Duration, now fleet.Instant) (r Record, known bool) {
	x, ok := s.streams[k]
	if !ok || now-x.at > memory {
		return Record{}, false
	}
	return Record{Key: k, Software: x.software, Age: now - x.at}, true
}

// Own returns the records of the streams that this instance has sent.
func (s *Streams) Own(memory time.Duration, now fleet.Instant) (out []Record) {
	for k, x := range s.streams {
		if x.own && now-x.at <= memory {
			out = append(out, Record{Key: k, Software: x.software, Age: now - x.at})
		}
	}
	return out
}

// Len returns the number of streams that are remembered.
func (s *Streams) Len() int { return len(s.streams) }

func (s *Streams) expire(memory time.Duration, now fleet.Instant) {
	for len(s.order) > 0 && now-s.order[0].at > memory {
		s.dropFirst()
	}
}

// dropFirst drops the oldest record, unless it was put again later.
func (s *Streams) dropFirst() {
	first := s.order[0]
	s.order = s.order[1:]
	if s.streams[first.key].at == first.at {
		delete(s.streams, first.key)
	}
}

// Versions knows which software versions may have begun the streams of each service that
// can still be taken up: those whose servers are listed, those that were until lately,
// and those that a record names which outlasts the instances. An instance that has just
// started knows by that record of servers that have left.
type Versions struct{ services map[fleet.GroupName]*service }

type service struct {
	// present are the versions of the listed servers, seen maps all versions to the
	// time at which they were last known to serve, and recorded are those of the
	// record.
	present  map[string]bool
	seen     map[string]fleet.Instant
	recorded map[string]bool
	// allRecorded reports whether the record names all versions of the listed servers.
	allRecorded bool
}

// compare sets allRecorded.
func (s *service) compare() {
	s.allRecorded = true
	for version := range s.present {
		s.allRecorded = s.allRecorded && s.recorded[version]
	}
}

// NewVersions returns a Versions without services.
func NewVersions() *Versions { return &Versions{services: map[fleet.GroupName]*service{}} }

func (v *Versions) get(group fleet.GroupName) *service {
	if v.services[group] == nil {
		v.services[group] = &service{present: map[string]bool{}, seen: map[string]fleet.Instant{}, recorded: map[string]bool{}}
	}
	return v.services[group]
}

// Listed sets the versions of the listed servers that make answers, by service.
func (v *Versions) Listed(present map[fleet.GroupName]map[string]bool, now fleet.Instant) {
	for group, s := range v.services {
		s.note(s.present, now)
		if present[group] == nil {
			s.present = map[string]bool{}
			s.compare()
		}
	}
	for group, versions := range present {
		s := v.get(group)
		s.present = maps.Clone(versions)
		s.compare()
		s.note(versions, now)
	}
}

// Recorded sets the versions that the record of a service names.
func (v *Versions) Recorded(group fleet.GroupName, versions []string, now fleet.Instant) {
	s := v.get(group)
	s.recorded = map[string]bool{}
	for _, version := range versions[:min(len(versions), maxVersions)] {
		s.recorded[version] = true
		if _, ok := s.seen[version]; !ok {
			s.note(map[string]bool{version: true}, now)
		}
	}
	s.compare()
}

// note records versions as serving. Of too many, the oldest is forgotten.
func (s *service) note(versions map[string]bool, now fleet.Instant) {
	for version := range versions {
		s.seen[version] = now
	}
	for len(s.seen) > maxVersions {
		oldest := ""
		for version, at := range s.seen {
			if oldest == "" || at < s.seen[oldest] {
				oldest = version
			}
		}
		delete(s.seen, oldest)
	}
}

// Possible returns the versions that may have begun a stream which can still be taken
// up.
func (v *Versions) Possible(group fleet.GroupName, memory time.Duration, now fleet.Instant) []string {
	s := v.services[group]
	if s == nil {
		return nil
	}
	return s.possible(memory, now)
}

func (s *service) possible(memory time.Duration, now fleet.Instant) []string {
	var out []string
	for version, at := range s.seen {
		if s.present[version] || now-at <= memory {
			out = append(out, version)
		} else {
			delete(s.seen, version)
		}
	}
	slices.Sort(out)
	return out
}

// AllRecorded reports whether streams may begin at all listed servers of a service.
func (v *Versions) AllRecorded(group fleet.GroupName) bool {
	s := v.services[group]
	return s == nil || s.allRecorded
}

// MayBegin reports whether streams may begin at a version: the record names it. While
// there is no record, that is the only version known.
func (v *Versions) MayBegin(group fleet.GroupName, version string, memory time.Duration, now fleet.Instant) bool {
	s := v.services[group]
	if s == nil {
		return true
	}
	if len(s.recorded) > 0 {
		return s.recorded[version]
	}
	possible := s.possible(memory, now)
	return len(possible) == 1 && possible[0] == version
}

// RecordChange is a record that has to be written.
type RecordChange struct {
	Group    fleet.GroupName
	Versions []string
	// Added reports whether the record lacks a version.
	Added bool
}

// RecordChanges returns the records that differ from what they should name.
func (v *Versions) RecordChanges(memory time.Duration, now fleet.Instant) (out []RecordChange) {
	for group, s := range v.services {
		possible := s.possible(memory, now)
		if len(possible) == 0 {
			continue
		}
		added := slices.ContainsFunc(possible, func(version string) bool { return !s.recorded[version] })
		if added || len(possible) != len(s.recorded) {
			out = append(out, RecordChange{Group: group, Versions: possible, Added: added})
		}
	}
	return out
}

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
)

// Report is what one instance tells another: the records that changed since the
// last report that the other has confirmed. Ages are measured when the report is
// made. Merging a report twice, or reports in another order, changes nothing.
type Report struct {
	gossip.Header
	Crashes  []CrashRecord
	Answers  []AnswerRecord
	Verdicts []VerdictRecord
}

// CrashRecord is one process that ended.
type CrashRecord struct {
	Process fleet.Process
	Age     time.Duration
	Victims []Victim
}

// AnswerRecord is the latest known beginning of a complete answer with a part.
type AnswerRecord struct {
	Part string
	Age  time.Duration
}

// VerdictRecord is the quarantine of a part.
type VerdictRecord struct {
	Part string
	// Age is the time since the last crash, and Remaining the time until the
	// hold ends; negative after it.
	Age, Remaining    time.Duration
	FailedTrials      int
	Crashes, Requests int
}

const (
	// reportBytes is the size at which the rest of the records is left for the
	// next report, so that a process that has just started is not sent all at
	// once.
	reportBytes = 8 << 10
	// recordBytes is the size of a record on the wire without its ids.
	recordBytes = 16
	// transitTolerance is the difference up to which two times mean the same
	// event: they grow by the transit at each hop.
	transitTolerance = 500 * time.Millisecond
)

// change is one record in the order of its version.
type change struct {
	version uint64
	bytes   int
	add     func(*Report)
}

// ReportFor returns the report for an instance; it is empty when there is
// nothing to tell.
func (d *Detector) ReportFor(id fleet.InstanceID, now fleet.Instant) Report {
	r := d.since(d.peers.Confirmed(id), now)
	header, news := d.peers.Send(id, r.UpTo)
	if !news {
		return Report{}
	}
	r.Header = header
	return r
}

// Receive merges an instance's report.
func (d *Detector) Receive(id fleet.InstanceID, r Report, now fleet.Instant) {
	if d.peers.Receive(id, r.Header) {
		d.merge(r, now)
	}
}

// since returns a report of the records that changed after a version.
func (d *Detector) since(after uint64, now fleet.Instant) Report {
	d.settle(now)
	out := Report{Header: gossip.Header{UpTo: d.version}}
	if after >= d.version {
		return out
	}
	changes := d.changesAfter(after, now)
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	size := 0
	for i, c := range changes {
		if size += c.bytes; size > reportBytes && i > 0 {
			out.UpTo = changes[i-1].version
			break
		}
		c.add(&out)
	}
	return out
}

func (d *Detector) changesAfter(after uint64, now fleet.Instant) []change {
	var out []change
	for p, c := range d.crashes {
		if c.version <= after {
			continue
		}
		record := CrashRecord{Process: p, Age: now - c.at, Victims: slices.Clone(c.victims)}
		out = append(out, change{c.version, record.bytes(), func(r *Report) { r.Crashes = append(r.Crashes, record) }})
	}
	for part, s := range d.stamps {
		if s.version <= after {
			continue
		}
		record := AnswerRecord{Part: part, Age: now - s.at}
		out = append(out, change{s.version, recordBytes + len(part), func(r *Report) { r.Answers = append(r.Answers, record) }})
	}
	for part, v := range d.verdicts {
		if v.version <= after {
			continue
		}
		record := VerdictRecord{
			Part: part, Age: now - v.at, Remaining: v.until - now, FailedTrials: v.failedTrials, Crashes: v.crashes, Requests: v.requests,
		}
		out = append(out, change{v.version, recordBytes + len(part), func(r *Report) { r.Verdicts = append(r.Verdicts, record) }})
	}
	return out
}

// bytes returns the approximate size of the record on the wire.
func (c CrashRecord) bytes() int {
	n := recordBytes + len(c.Process.Server)
	for _, v := range c.Victims {
		n += recordBytes + len(v.Request) + len(v.Service)
		for _, part := range v.Parts {
			n += len(part) + 1
		}
	}
	return n
}

// merge adds another instance's records.
func (d *Detector) merge(r Report, now fleet.Instant) {
	version := d.version
	for _, a := range r.Answers {
		d.mergeAnswer(a, now)
	}
	for _, v := range r.Verdicts {
		d.mergeVerdict(v, now)
	}
	for _, c := range r.Crashes {
		victims := make([]Victim, 0, len(c.Victims))
		for _, v := range c.Victims {
			v.Parts = normalise(v.Parts)
			victims = append(victims, v)
		}
		d.addCrash(c.Process, now-max(c.Age, 0), victims, now)
	}
	if d.version != version {
		d.evidenceChanged(now)
	}
}

// mergeAnswer takes over an answer if the part was not known to be answered, or
// if it changes what is known.
func (d *Detector) mergeAnswer(a AnswerRecord, now fleet.Instant) {
	at := now - max(a.Age, 0)
	if _, known := d.stamps[a.Part]; known && !d.clears(a.Part, at) || now-at > evidenceTTL || len(a.Part) > maxPartBytes {
		return
	}
	d.setStamp(a.Part, at)
}

// Learn takes over a verdict that was kept elsewhere.
func (d *Detector) Learn(r VerdictRecord, now fleet.Instant) {
	d.mergeVerdict(r, now)
	d.evidenceChanged(now)
}

// mergeVerdict takes over a verdict that is unknown or has later evidence.
func (d *Detector) mergeVerdict(r VerdictRecord, now fleet.Instant) {
	at, until := now-max(r.Age, 0), now+min(r.Remaining, lastDigestHold)
	if s, ok := d.stamps[r.Part]; ok && s.at > at+releaseMargin || now-until > evidenceTTL || len(r.Part) > maxPartBytes {
		return
	}
	v := d.verdicts[r.Part]
	if v == nil {
		if len(d.verdicts) >= maxVerdicts {
			return
		}
		v = &verdict{at: at, until: until, failedTrials: r.FailedTrials, crashes: r.Crashes, requests: r.Requests, version: d.bump()}
		d.verdicts[r.Part] = v
		d.verdictN++
		d.track(Victim{Parts: []string{r.Part}})
		d.changes.Add(Quarantined{Verdict: *d.describe(r.Part, v, now), Reported: true})
		return
	}
	if until <= v.until+transitTolerance && r.FailedTrials <= v.failedTrials {
		return
	}
	v.at, v.until = max(v.at, at), max(v.until, until)
	v.failedTrials = max(v.failedTrials, r.FailedTrials)
	v.crashes, v.requests = max(v.crashes, r.Crashes), max(v.requests, r.Requests)
	v.version = d.bump()
}

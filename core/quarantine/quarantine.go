// Package quarantine finds requests and prompt parts that crash servers and decides
// which requests are refused because of them. Every instance records the servers that
// ended while they began an answer, with the prompt parts that were affected,
// and the parts that were answered since. A whole request counts as one more part
// (digest.go), so that a request which its caller repeats is found in the same way,
// at plain services too. The instances exchange these records
// (report.go), so that crashes seen by different instances count together. A
// part that was present at several crashes and has not been answered in between
// is quarantined: requests that hold it are refused, whatever else they hold.
//
// It performs no input or output and reads no clock. Not safe for concurrent
// use.
package quarantine

import (
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/gossip"
	"github.com/bramleywick/bramleywick/core/outbox"
)

const (
	// momentGap separates two moments at which engines ended. It exceeds the
	// time in which news of an answer reaches all instances. For a part that was
	// never answered there is no such news, and newMomentGap only has to exceed
	// the time in which engines end that are lost together.
	momentGap    = 400 * time.Millisecond
	newMomentGap = 100 * time.Millisecond
	// maxOwnCrashes is the number of engines that end under one request before
	// it is no longer repeated.
	maxOwnCrashes = 2
	// suspectMoments is the number of moments from which requests with a part
	// are not repeated after a crash.
	suspectMoments = 2
	// beginningEvents is the number of events from which an answer is past its
	// beginning: its request is not the cause of the crash.
	beginningEvents = 3
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// pendingTTL bounds the time in which a server's end has to be confirmed.
	pendingTTL = 3 * time.Second
	// baseHold is how long requests with a quarantined part are refused before
	// one of them is tried; it doubles with each failed trial up to maxHold.
	// firstHold replaces it after a verdict by one moment.
	baseHold  = 30 * time.Second
	maxHold   = 10 * time.Minute
	firstHold = 5 * time.Second
	// firstDigestHold, secondDigestHold and lastDigestHold are the same for a whole
	// request, by the number of failed trials: it is tried a few times only.
	firstDigestHold  = 2 * time.Second
	secondDigestHold = 30 * time.Second
	thirdDigestHold  = 10 * time.Minute
	lastDigestHold   = time.Hour
	// releaseMargin is how much later than the last crash an answer must have
	// begun to end a quarantine; times from other instances are late by the
	// transit.
	releaseMargin = 200 * time.Millisecond
	// maxCrashRecords, maxVictims, maxParts and maxStamps bound the memory.
	maxCrashRecords = 64
	maxVictims      = 24
	maxParts        = 32
	maxStamps       = 1024
	maxVerdicts     = 64
	// maxPartBytes bounds the length of a part's id; longer ones are hashed.
	maxPartBytes = 32
)

// Config identifies the instance and its process.
type Config struct {
	Instance fleet.InstanceID
	// ClaimedTrials reports whether the instances agree by other means on which of
	// them tries a whole request; they take turns otherwise.
	ClaimedTrials bool
	// Epoch differs between the processes of an instance; it is not 0.
	Epoch uint64
}

// Victim is a request that an engine had begun to answer, or was about to, when
// the engine ended.
type Victim struct {
	Request fleet.RequestID
	// Service is the service of the server.
	Service fleet.GroupName
	// Parts are the ids of the prompt's shared parts, in order, and as the last one
	// the digest of the whole request.
	Parts []string
	// Events is the number of events that the engine had sent.
	Events int
}

// crash is one process that ended.
type crash struct {
	at      fleet.Instant
	victims []Victim
	version uint64
}

// stamp is the latest known beginning of a complete answer with a part.
type stamp struct {
	at      fleet.Instant
	version uint64
}

// verdict is the quarantine of one part.
type verdict struct {
	// at is the time of the last crash, and until the end of the hold.
	at, until fleet.Instant
	// failedTrials is the number of crashes after a hold.
	failedTrials      int
	crashes, requests int
	// trialUntil is the time until which the result of this instance's trial is
	// awaited.
	trialUntil fleet.Instant
	version    uint64
}

// Verdict describes the quarantine of a part.
type Verdict struct {
	Part string
	// Crashes and Requests are the evidence: engines that ended and requests
	// that were affected. LastCrash is the time since the last crash.
	Crashes, Requests int
	LastCrash         time.Duration
	// Remaining is the time until a request with the part is tried.
	Remaining    time.Duration
	FailedTrials int
}

// Detector is one instance's evidence and verdicts.
type Detector struct {
	config    Config
	instances []fleet.InstanceID
	crashes   map[fleet.Process]*crash
	// stamps holds the parts that appear at crashes and were answered.
	stamps   map[string]stamp
	verdicts map[string]*verdict
	// pending holds broken requests by the process whose end is not confirmed.
	pending map[fleet.Process]*crash
	// answered and answeredBefore hold this instance's recent answers in two
	// generations, to bound the memory.
	answered, answeredBefore map[string]fleet.Instant
	// open holds, for each part, the times of the crashes that no answer has
	// followed.
	open map[string][]fleet.Instant
	// heads holds the heads of the digests of which something is known.
	heads map[string]bool
	// abandoned holds the attempts that this instance has lately given up.
	abandoned map[fleet.Process]*abandonedAttempts
	// version counts the changes that other instances must learn of.
	version  uint64
	verdictN int
	peers    *gossip.Peers
	// evaluatedAt is when the verdicts were last decided, and stale reports
	// whether the evidence has changed since.
	evaluatedAt fleet.Instant
	stale       bool
	changes     outbox.Outbox[Change]
}

// New returns a Detector without evidence.
func New(config Config) *Detector {
	return &Detector{
		config: config, crashes: map[fleet.Process]*crash{}, stamps: map[string]stamp{}, verdicts: map[string]*verdict{},
		pending: map[fleet.Process]*crash{}, answered: map[string]fleet.Instant{}, open: map[string][]fleet.Instant{}, peers: gossip.NewPeers(config.Epoch),
		heads: map[string]bool{}, abandoned: map[fleet.Process]*abandonedAttempts{},
	}
}

// SetClaimedTrials sets Config.ClaimedTrials.
func (d *Detector) SetClaimedTrials(claimed bool) { d.config.ClaimedTrials = claimed }

// SetInstances sets the listed instances, which share the trials among them.
func (d *Detector) SetInstances(list []fleet.InstanceID) {
	d.instances = slices.Clone(list)
	d.peers.Keep(list)
}

// RequestBroken records a request whose connection ended before its answer was
// past its beginning. It returns true when the caller has to find out whether
// the process has ended, and report it with ProcessEnded or ProcessAlive.
func (d *Detector) RequestBroken(p fleet.Process, v Victim, now fleet.Instant) bool {
	v.Parts = normalise(v.Parts)
	if v.Events >= beginningEvents {
		// The engine has not ended at the beginning of this answer.
		d.Answered(v.Parts, now, now)
		return false
	}
	if len(v.Parts) == 0 {
		return false
	}
	if known := d.crashes[p]; known != nil {
		d.addVictims(known, []Victim{v}, now)
		return false
	}
	d.expirePending(now)
	waiting := d.pending[p]
	first := waiting == nil
	if first {
		waiting = &crash{at: now}
		d.pending[p] = waiting
	}
	d.insert(waiting, v)
	return first
}

func (d *Detector) expirePending(now fleet.Instant) {
	for p, c := range d.pending {
		if now-c.at > pendingTTL {
			delete(d.pending, p)
		}
	}
}

// ProcessAlive drops the broken requests of a process that still runs.
func (d *Detector) ProcessAlive(p fleet.Process) { delete(d.pending, p) }

// ProcessEnded counts the end of a process with the requests that broke and those that
// were given up shortly before.
func (d *Detector) ProcessEnded(p fleet.Process, now fleet.Instant) {
	waiting := d.pending[p]
	if waiting == nil {
		if at, ok := d.lastAbandoned(p, now); ok {
			d.addCrash(p, at, nil, now)
		}
		return
	}
	delete(d.pending, p)
	d.addCrash(p, waiting.at, waiting.victims, now)
}

// addCrash merges the victims into the record of a process's end.
func (d *Detector) addCrash(p fleet.Process, at fleet.Instant, victims []Victim, now fleet.Instant) {
	victims = append(victims, d.abandonedBefore(p, at)...)
	delete(d.abandoned, p)
	c := d.crashes[p]
	if c == nil {
		victims = d.openVictims(at, victims)
		if len(victims) == 0 || now-at > evidenceTTL || !d.makeRoom(at) {
			return
		}
		c = &crash{at: at}
		d.crashes[p] = c
		d.changes.Add(EngineCrashed{Process: p, Age: now - at, Requests: len(victims)})
	}
	d.addVictims(c, victims, now)
}

// makeRoom drops the oldest crash when the records are full. It returns false
// when the new crash is older than all records.
func (d *Detector) makeRoom(at fleet.Instant) bool {
	if len(d.crashes) < maxCrashRecords {
		return true
	}
	var oldest fleet.Process
	first := fleet.Instant(0)
	for p, c := range d.crashes {
		if oldest.Server == "" || c.at < first {
			oldest, first = p, c.at
		}
	}
	if at <= first {
		return false
	}
	delete(d.crashes, oldest)
	return true
}

func (d *Detector) bump() uint64 {
	d.version++
	return d.version
}

// Answered records a complete answer that began at the given time.
func (d *Detector) Answered(parts []string, began, now fleet.Instant) {
	changed := false
	for _, part := range normalise(parts) {
		if !IsDigest(part) {
			d.noteAnswer(part, began)
		}
		if d.clears(part, began) {
			d.setStamp(part, began)
			changed = true
		}
	}
	if changed {
		d.evidenceChanged(now)
	}
}

// noteAnswer remembers an answer of this instance.
func (d *Detector) noteAnswer(part string, began fleet.Instant) {
	if len(d.answered) >= maxStamps {
		d.answered, d.answeredBefore = map[string]fleet.Instant{}, d.answered
	}
	d.answered[part] = max(d.answered[part], began)
}

// lastAnswer returns the beginning of this instance's last answer with a part.
func (d *Detector) lastAnswer(part string) (fleet.Instant, bool) {
	if at, ok := d.answered[part]; ok {
		return at, true
	}
	at, ok := d.answeredBefore[part]
	return at, ok
}

// clears reports whether an answer changes what is known of a part: it follows
// a crash that none has followed, or the crash of a quarantine.
func (d *Detector) clears(part string, began fleet.Instant) bool {
	if v := d.verdicts[part]; v != nil && began > v.at+releaseMargin {
		return true
	}
	times := d.open[part]
	return len(times) > 0 && began >= slices.Min(times)
}

// setStamp records an answer with a part if it is later than the known one.
func (d *Detector) setStamp(part string, at fleet.Instant) {
	known, ok := d.stamps[part]
	if ok && known.at >= at {
		return
	}
	if !ok && len(d.stamps) >= maxStamps {
		d.dropOldestStamp()
	}
	d.stamps[part] = stamp{at: at, version: d.bump()}
}

func (d *Detector) dropOldestStamp() {
	oldest, found := "", false
	for part, s := range d.stamps {
		if !found || s.at < d.stamps[oldest].at {
			oldest, found = part, true
		}
	}
	delete(d.stamps, oldest)
}

// Counts returns the number of quarantined parts, of crashes known, and of
// verdicts so far.
func (d *Detector) Counts() (quarantined, crashes, verdicts int) {
	return len(d.verdicts), len(d.crashes), d.verdictN
}

// Changes returns the changes of belief since the last call, to be logged.
func (d *Detector) Changes() []Change { return d.changes.Take() }

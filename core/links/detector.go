package links

import (
	"maps"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// never is earlier than any time.
const never = fleet.Instant(-1 << 62)

// link is what is known of the way to one server.
type link struct {
	Server
	heardAt fleet.Instant
	// failing reports whether its last connection failed, at failedAt.
	failing  bool
	failedAt fleet.Instant
}

// Detector decides whether the instance is partitioned from all servers. Not safe
// for concurrent use.
type Detector struct {
	// draw returns a random number in [0, 1).
	draw  func() float64
	links map[string]*link
	// order holds the links in the order in which they were listed.
	order []*link

	state   State
	since   fleet.Instant
	changes []Change

	openedAt, heardAt fleet.Instant
	// quietFrom is the time from which silence counts, and waiting the number of
	// attempts that wait for bytes.
	quietFrom fleet.Instant
	waiting   int
	// quiet is the silence that raises a suspicion, and quietAt when it was raised.
	quiet   time.Duration
	quietAt fleet.Instant
	// failed holds when the servers failed that did so since a connection was last
	// opened and had not been failing before. lastFailure is the latest time, or never.
	failed      map[string]fleet.Instant
	lastFailure fleet.Instant
	steppedAt   fleet.Instant

	// round is the present round of probes; nil for none. rounds numbers them.
	round  *round
	rounds uint64
	// probeAt is the time of the next probe in a partition. reached holds the servers
	// that were reached in it, since reachedFrom.
	probeAt     fleet.Instant
	reached     map[string]fleet.Instant
	reachedFrom fleet.Instant
	// share is the share of requests that are sent directly while the links return;
	// it doubles at shareAt.
	share   float64
	shareAt fleet.Instant
	trustAt fleet.Instant
}

// New returns a Detector that knows no server. draw returns random numbers in [0, 1).
func New(draw func() float64, now fleet.Instant) *Detector {
	return &Detector{
		draw: draw, links: map[string]*link{}, since: now, openedAt: never, heardAt: never, quietFrom: now, quiet: minQuiet,
		failed: map[string]fleet.Instant{}, lastFailure: never, steppedAt: now, reached: map[string]fleet.Instant{}, trustAt: never,
	}
}

// SetServers replaces the list of servers.
func (d *Detector) SetServers(list []Server) {
	links := make(map[string]*link, len(list))
	d.order = d.order[:0]
	for _, s := range list {
		if links[s.Address] != nil {
			continue
		}
		l := d.links[s.Address]
		if l == nil {
			l = &link{heardAt: never, failedAt: never}
		}
		l.Server = s
		links[s.Address] = l
		d.order = append(d.order, l)
	}
	d.links = links
	maps.DeleteFunc(d.failed, func(address string, _ fleet.Instant) bool { return links[address] == nil })
}

// State returns the present state.
func (d *Detector) State() State { return d.state }

// Changes returns the changes of the state since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}

// Share returns the share of requests that may be sent directly.
func (d *Detector) Share() float64 {
	switch d.state {
	case Partitioned:
		return 0
	case Returning:
		return d.share
	default:
		return 1
	}
}

// Trusted reports whether failures of attempts say something about servers.
func (d *Detector) Trusted(now fleet.Instant) bool { return d.state == Connected && now >= d.trustAt }

// OpenedAt returns when a connection was last opened.
func (d *Detector) OpenedAt() fleet.Instant { return d.openedAt }

// Opened records that a connection to a server was opened.
func (d *Detector) Opened(address string, now fleet.Instant) {
	d.openedAt, d.quietFrom, d.lastFailure = now, now, never
	clear(d.failed)
	if l := d.links[address]; l != nil {
		l.failing, l.heardAt = false, now
	}
	switch d.state {
	case Suspected:
		d.endSuspicion(ReasonOpened, now)
	case Partitioned:
		d.reach(address, now)
	case Returning:
		d.round = nil
	}
}

// Failed records that a connection was refused, reset or timed out, also one that had
// been in use.
func (d *Detector) Failed(address string, now fleet.Instant) {
	l := d.links[address]
	if l == nil {
		return
	}
	news := !l.failing
	l.failing, l.failedAt = true, now
	if news {
		d.failed[address], d.lastFailure = now, now
	}
	if news && d.state == Returning {
		d.shareAt = now + shareInterval
	}
}

// Waiting records that an attempt begins to wait for bytes of a server.
func (d *Detector) Waiting(now fleet.Instant) {
	if d.waiting == 0 {
		d.quietFrom = max(d.quietFrom, now)
	}
	d.waiting++
}

// Waited records that an attempt no longer waits.
func (d *Detector) Waited() { d.waiting = max(d.waiting-1, 0) }

// Heard records that bytes of an answer came from a server.
func (d *Detector) Heard(address string, now fleet.Instant) {
	d.heardAt, d.quietFrom = now, now
	if l := d.links[address]; l != nil {
		l.failing, l.heardAt = false, now
	}
	if d.round == nil || d.state == Partitioned {
		return
	}
	d.round.heard = true
	if d.round.suspicion == ReasonSilence {
		// Otherwise old connections may live on while new ones fail.
		d.endSuspicion(ReasonHeard, now)
	}
}

// Step returns the probes to be started now. It is called every StepInterval.
func (d *Detector) Step(now fleet.Instant) []Probe {
	if now-d.steppedAt > maxStepGap {
		d.quietFrom = now
		d.forgetFailures(now)
	}
	d.steppedAt = now
	maps.DeleteFunc(d.failed, func(_ string, at fleet.Instant) bool { return now-at > failureTTL })
	if d.quiet > minQuiet && now-d.quietAt > quietTTL {
		d.quiet = minQuiet
	}
	switch d.state {
	case Connected:
		return d.suspect(now)
	case Suspected:
		return d.nextStage(now)
	case Partitioned:
		return d.probe(now)
	default:
		return d.raiseShare(now)
	}
}

// suspicion returns the reason for which the instance may be partitioned, or "".
func (d *Detector) suspicion(now fleet.Instant) Reason {
	switch {
	case len(d.failed) >= min(suspectFailures, max(len(d.order)-1, 1)):
		return ReasonFailures
	case d.lastFailure != never && now-d.lastFailure >= failureDelay:
		return ReasonFailure
	case d.state != Returning && d.waiting > 0 && now-d.quietFrom >= d.quiet:
		return ReasonSilence
	}
	return ""
}

// suspect starts a round of probes if the instance may be partitioned.
func (d *Detector) suspect(now fleet.Instant) []Probe {
	reason := d.suspicion(now)
	if reason == "" || len(d.order) < minListed {
		return nil
	}
	d.setState(Suspected, Change{Reason: reason}, now)
	d.round = d.newRound(reason)
	return d.nextStage(now)
}

// raiseShare raises the share of requests that are sent directly. If a partition may show
// again, probes decide first: servers may be down that were so before the return.
func (d *Detector) raiseShare(now fleet.Instant) []Probe {
	if d.round == nil {
		if reason := d.suspicion(now); reason != "" {
			d.round = d.newRound(reason)
		}
	}
	if d.round != nil {
		return d.nextStage(now)
	}
	if now < d.shareAt {
		return nil
	}
	d.share, d.shareAt = 2*d.share, now+shareInterval
	if d.share >= 1 {
		d.trustAt = now + trustDelay
		d.setState(Connected, Change{Reason: ReasonReturned}, now)
	}
	return nil
}

// endSuspicion returns to the connected state, or goes on with the return.
func (d *Detector) endSuspicion(reason Reason, now fleet.Instant) {
	if d.round.suspicion == ReasonSilence {
		d.quiet, d.quietAt = min(2*d.quiet, maxQuiet), now
	}
	if d.state == Suspected {
		d.setState(Connected, Change{Reason: reason, Suspicion: d.round.suspicion, Probed: len(d.round.asked)}, now)
	}
	d.round = nil
	d.quietFrom = now
}

// partition begins a partition.
func (d *Detector) partition(change Change, now fleet.Instant) {
	d.setState(Partitioned, change, now)
	d.round = nil
	d.forgetFailures(now)
	clear(d.reached)
	d.probeAt = now + d.jittered(probeInterval)
}

// forgetFailures forgets the failures up to a time, which the links caused.
func (d *Detector) forgetFailures(until fleet.Instant) {
	clear(d.failed)
	d.lastFailure = never
	for _, l := range d.order {
		if l.failedAt <= until {
			l.failing = false
		}
	}
}

// setState changes the state and records the change.
func (d *Detector) setState(to State, c Change, now fleet.Instant) {
	c.From, c.To, c.Failed, c.Listed, c.Lasted = d.state, to, len(d.failed), len(d.order), now-d.since
	c.SinceOpened, c.SinceHeard = elapsed(d.openedAt, now), elapsed(d.heardAt, now)
	d.state, d.since = to, now
	d.changes = append(d.changes, c)
}

// elapsed returns the time since at, -1 if at is never.
func elapsed(at, now fleet.Instant) time.Duration {
	if at == never {
		return -1
	}
	return now - at
}

// jittered returns a random time between three and five quarters of a duration.
func (d *Detector) jittered(t time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*d.draw()) * float64(t))
}

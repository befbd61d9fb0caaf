package membership

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// UpstreamStatus is the state of an upstream.
type UpstreamStatus uint8

// States of an upstream. An upstream without any report yet is unknown.
const (
	UpstreamUnknown UpstreamStatus = iota
	UpstreamLive
	UpstreamLeaving
	UpstreamUnreachable
	UpstreamGone
)

// String returns the state's name.
func (s UpstreamStatus) String() string {
	return [...]string{"unknown", "live", "leaving", "unreachable", "gone"}[s]
}

// Cause tells why an upstream changed its state.
type Cause uint8

// Causes of a change.
const (
	// CauseReported is a report of the known incarnation.
	CauseReported Cause = iota
	// CauseMarked is a leaving mark on the running incarnation.
	CauseMarked
	// CauseWithdrawn is the end of an upstream that had announced its departure.
	CauseWithdrawn
	// CauseSilent is an upstream that stopped answering unannounced, or whose
	// data centre is out of reach.
	CauseSilent
	// CauseRestarted is a new incarnation after an unannounced end, whether
	// the silence between the two was noticed or not.
	CauseRestarted
	// CauseReplaced is a new incarnation after an announced departure.
	CauseReplaced
	// CauseUndeclared is the removal from the declaration.
	CauseUndeclared
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"reported", "marked", "withdrawn", "silent", "restarted", "replaced", "undeclared"}[c]
}

type upstream struct {
	declare.Upstream
	status      UpstreamStatus
	known       bool
	incarnation fleet.Incarnation
	generation  uint64
	role        fleet.Role
	at          fleet.Instant
	// since is when the upstream was declared here.
	since fleet.Instant
	// marks are the incarnations announced as leaving, oldest first.
	marks []fleet.Incarnation
	// failed counts the own polls without an answer since the last answer.
	failed int
	// down is the poller's word that the upstream does not answer.
	down bool
	// peerAt is when a peer's report of an answer arrived, disputedAt when a
	// peer last reported that there was none.
	peerAt, disputedAt fleet.Instant
	disputed           bool
	// late tells that no report arrived although the poller is heard.
	late bool
	// listing is what the platform's list said last, leftAt when it last said
	// leaving.
	listing listing
	leftAt  fleet.Instant
	// held keeps this instance from using the upstream because of a row that
	// may be about an earlier incarnation. It is not spread.
	held bool
}

// listing is what the platform's list says about an upstream.
type listing uint8

const (
	listingUnseen listing = iota
	listingStaying
	listingLeaving
)

func (m *Machine) declare(now fleet.Instant, declared []declare.Upstream) {
	m.declared = true
	m.order = m.order[:0]
	keep := map[fleet.UpstreamID]bool{}
	for _, d := range declared {
		keep[d.ID] = true
		if u := m.upstreams[d.ID]; u != nil && u.Address == d.Address {
			u.Upstream = d
			m.order = append(m.order, u)
			continue
		}
		// Another address is another upstream under the same name.
		if u := m.upstreams[d.ID]; u != nil {
			m.dropMarks(u, "")
		}
		u := &upstream{Upstream: d, role: d.Role, since: now}
		m.upstreams[d.ID] = u
		m.order = append(m.order, u)
	}
	for id, u := range m.upstreams {
		if !keep[id] {
			m.become(u, UpstreamGone, CauseUndeclared)
			m.dropMarks(u, "")
			delete(m.upstreams, id)
		}
	}
	m.changed = true
	m.markEarly()
	m.list(now, m.rows)
}

// listUpstream takes a row of the platform's list. The row names no
// incarnation. Its change from staying to leaving marks the incarnation that
// is running then. A row that is leaving at first sight, or again within
// listLag, may lag behind a replacement; it only holds the upstream here until
// the row or the incarnation changes.
func (m *Machine) listUpstream(now fleet.Instant, u *upstream, leaving bool) {
	was := u.listing
	if !leaving {
		u.listing = listingStaying
		m.hold(u, false)
		return
	}
	recent := u.leftAt != 0 && now-u.leftAt < listLag
	u.listing, u.leftAt = listingLeaving, now
	switch {
	case was == listingLeaving:
	case was == listingStaying && u.known && !recent:
		m.mark(Mark{Upstream: u.ID, Incarnation: u.incarnation})
	default:
		m.hold(u, true)
	}
}

func (m *Machine) hold(u *upstream, held bool) {
	if u.held != held {
		u.held = held
		m.judge(u, CauseMarked)
	}
}

// mark records a departure once and spreads it.
func (m *Machine) mark(mark Mark) {
	u := m.upstreams[mark.Upstream]
	if u == nil {
		m.keepEarly(mark)
		return
	}
	if mark.Incarnation == "" && u.known {
		mark.Incarnation = u.incarnation
	}
	if slices.Contains(u.marks, mark.Incarnation) {
		return
	}
	if len(u.marks) >= maxMarks {
		m.dropMark(u, oldestMark(u))
	}
	u.marks = append(u.marks, mark.Incarnation)
	m.emit(PublishMark{Mark: mark})
	if u.marked() {
		m.judge(u, CauseMarked)
	}
}

// keepEarly keeps a mark of an upstream that is not declared here yet: peers
// send it once, and it may arrive before the configuration.
func (m *Machine) keepEarly(mark Mark) {
	if slices.Contains(m.early, mark) {
		return
	}
	if len(m.early) >= maxEarly {
		m.early = slices.Delete(m.early, 0, 1)
	}
	m.early = append(m.early, mark)
}

// markEarly applies the kept marks after a declaration.
func (m *Machine) markEarly() {
	early := m.early
	m.early = nil
	for _, mark := range early {
		m.mark(mark)
	}
}

// oldestMark returns the oldest mark that is not of the running incarnation.
func oldestMark(u *upstream) fleet.Incarnation {
	if u.marks[0] == u.incarnation {
		return u.marks[1]
	}
	return u.marks[0]
}

func (m *Machine) dropMark(u *upstream, incarnation fleet.Incarnation) {
	u.marks = slices.DeleteFunc(u.marks, func(i fleet.Incarnation) bool { return i == incarnation })
	m.emit(RemoveMark{Mark: Mark{Upstream: u.ID, Incarnation: incarnation}})
}

// dropMarks removes every mark except that of one incarnation.
func (m *Machine) dropMarks(u *upstream, except fleet.Incarnation) {
	for _, incarnation := range slices.Clone(u.marks) {
		if incarnation != except || except == "" {
			m.dropMark(u, incarnation)
		}
	}
}

func (u *upstream) marked() bool { return slices.Contains(u.marks, u.incarnation) }

// polled takes an own poll's answer, which is the truth about the present
// incarnation: an unexpected one starts the next generation.
func (m *Machine) polled(now fleet.Instant, load sched.LoadReport) {
	u := m.upstreams[load.Upstream]
	if u == nil {
		return
	}
	u.failed = 0
	generation := u.generation
	if !u.known || u.incarnation != load.Incarnation {
		generation++
	}
	report := Report{Load: load, Generation: generation}
	m.accept(now, u, report)
	m.emit(PublishReport{Report: report})
}

func (m *Machine) pollFailed(now fleet.Instant, id fleet.UpstreamID) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	u.failed++
	if u.failed < failedPolls {
		return
	}
	load := sched.LoadReport{Upstream: id, Incarnation: u.incarnation, At: now, Role: u.role}
	report := Report{Load: load, Generation: u.generation, Unreachable: true}
	m.accept(now, u, report)
	m.emit(PublishReport{Report: report})
}

// reported takes a peer's report unless it is older than what is known.
func (m *Machine) reported(now fleet.Instant, r Report) {
	u := m.upstreams[r.Load.Upstream]
	if u == nil || r.Generation < u.generation {
		return
	}
	if r.Unreachable {
		m.dispute(now, u)
	}
	// Two pollers that start at the same time can give one generation to
	// different incarnations; the next own poll settles it.
	if r.Generation == u.generation && u.known && r.Load.At <= u.at {
		return
	}
	if u.late {
		u.late, m.changed = false, true
	}
	if !r.Unreachable {
		u.peerAt = now
	}
	m.accept(now, u, r)
}

// dispute makes a second instance poll an upstream that a peer cannot reach:
// the fault may be the peer's.
func (m *Machine) dispute(now fleet.Instant, u *upstream) {
	u.disputedAt = now
	if !u.disputed {
		u.disputed, m.changed = true, true
	}
}

func (m *Machine) accept(now fleet.Instant, u *upstream, r Report) {
	if r.Unreachable && u.peerAt != 0 && now-u.peerAt < answerGrace {
		return
	}
	cause := CauseReported
	if !r.Unreachable && (!u.known || u.incarnation != r.Load.Incarnation) {
		cause = m.succeed(u, r.Load.Incarnation)
	}
	u.generation = r.Generation
	u.at = min(r.Load.At, now)
	u.down = r.Unreachable
	if r.Unreachable {
		m.judge(u, CauseSilent)
		return
	}
	u.role = r.Load.Role
	if r.Load.Leaving {
		m.mark(Mark{Upstream: u.ID, Incarnation: u.incarnation})
	}
	m.judge(u, cause)
	m.emit(ReportAccepted{Load: r.Load})
}

// succeed puts a new incarnation in place of the old one and tells why.
func (m *Machine) succeed(u *upstream, next fleet.Incarnation) Cause {
	cause := CauseRestarted
	if u.marked() {
		cause = CauseReplaced
	}
	first := !u.known
	if first {
		cause = CauseReported
	}
	u.known, u.incarnation = true, next
	if first && slices.Contains(u.marks, "") {
		// The departure was announced before any incarnation was known.
		m.dropMark(u, "")
		m.mark(Mark{Upstream: u.ID, Incarnation: next})
	}
	if !first {
		m.dropMarks(u, next)
		u.status, u.held = UpstreamUnknown, false
	}
	return cause
}

func (m *Machine) tickUpstream(now fleet.Instant, u *upstream) {
	silent := now - max(u.at, u.since)
	if silent > lateAfter && !u.late && u.DataCentre == m.config.Self.DataCentre {
		u.late, m.changed = true, true
	}
	if u.disputed && now-u.disputedAt > disputeFor {
		u.disputed, m.changed = false, true
	}
	if silent > unreachableAfter && !u.down {
		u.down = true
		m.judge(u, CauseSilent)
	}
}

// judge derives an upstream's state from what is known about it.
func (m *Machine) judge(u *upstream, cause Cause) {
	switch {
	case u.down && u.marked():
		m.become(u, UpstreamGone, CauseWithdrawn)
	case u.down:
		m.become(u, UpstreamUnreachable, cause)
	case u.marked() || u.held:
		m.become(u, UpstreamLeaving, cause)
	case u.known:
		m.become(u, UpstreamLive, cause)
	}
}

func (m *Machine) become(u *upstream, status UpstreamStatus, cause Cause) {
	if u.status == status {
		return
	}
	u.status = status
	m.emit(UpstreamChanged{
		State: sched.UpstreamState{
			Upstream: u.ID, Incarnation: u.incarnation, Role: u.role,
			Available: status == UpstreamLive || status == UpstreamLeaving,
			Leaving:   u.marked() || u.held,
		},
		Status: status, Cause: cause, Incarnation: u.incarnation,
	})
}

// UpstreamInfo describes one upstream for operators.
type UpstreamInfo struct {
	ID          fleet.UpstreamID
	Status      UpstreamStatus
	Incarnation fleet.Incarnation
	Generation  uint64
	ReportedAt  fleet.Instant
	// Polled tells that this instance polls the upstream.
	Polled bool
}

// Upstreams returns the declared upstreams in declared order.
func (m *Machine) Upstreams() []UpstreamInfo {
	out := make([]UpstreamInfo, 0, len(m.order))
	for _, u := range m.order {
		out = append(out, UpstreamInfo{
			ID: u.ID, Status: u.status, Incarnation: u.incarnation, Generation: u.generation,
			ReportedAt: u.at, Polled: slices.Contains(m.polling, u.ID),
		})
	}
	return out
}

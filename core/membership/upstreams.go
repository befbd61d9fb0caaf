package membership

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
)

// UpstreamStatus is the state of an upstream.
type UpstreamStatus uint8

// States of an upstream. It is unknown until the first report.
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

// Cause is why an upstream changed its state.
type Cause uint8

// Causes of an upstream's change.
const (
	// CauseReported is a report of the known incarnation.
	CauseReported Cause = iota
	// CauseMarked is a leaving mark for the current incarnation.
	CauseMarked
	// CauseWithdrawn is the end of an upstream that had been marked as leaving.
	CauseWithdrawn
	// CauseSilent is an upstream that stopped answering without a leaving mark,
	// or whose data centre is unreachable.
	CauseSilent
	// CauseRestarted is a new incarnation without a leaving mark for the
	// previous one, whether or not the silence in between was noticed.
	CauseRestarted
	// CauseReplaced is a new incarnation after the previous one was marked as
	// leaving.
	CauseReplaced
	// CauseUndeclared is the removal from the declaration.
	CauseUndeclared
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"reported", "marked", "withdrawn", "silent", "restarted", "replaced", "undeclared"}[c]
}

// upstream is the state of one declared upstream.
type upstream struct {
	declare.Upstream
	status           UpstreamStatus
	incarnationKnown bool
	incarnation      fleet.Incarnation
	generation       uint64
	role             fleet.Role
	reportedAt       fleet.Instant
	// declaredAt is when the upstream was declared at this instance.
	declaredAt fleet.Instant
	// marks are the incarnations that were marked as leaving, oldest first.
	marks []fleet.Incarnation
	// pollFailures counts this instance's consecutive polls without an answer.
	pollFailures int
	// unreachable reports that the upstream's poller got no answer or that its
	// reports stopped.
	unreachable bool
	// peerAnswerAt is when a peer last reported an answer of the upstream,
	// silenceReportedAt when a peer last reported that there was none.
	peerAnswerAt, silenceReportedAt fleet.Instant
	// doublePolled reports whether a second instance polls the upstream as
	// well.
	doublePolled bool
	// reportOverdue reports that no report has arrived although the poller is
	// live.
	reportOverdue bool
	// listState is the upstream's state in the platform's last list,
	// listedLeavingAt the last time at which that was leaving.
	listState       listState
	listedLeavingAt fleet.Instant
	// held reports that this instance treats the upstream as leaving because of
	// a list row that may be about an earlier incarnation. It is not passed to
	// the peers.
	held bool
}

// listState is the state of an upstream in the platform's list.
type listState uint8

const (
	listingUnseen listState = iota
	listingStaying
	listingLeaving
)

// setUpstreams replaces the declared upstreams and keeps the state of those
// with an unchanged ID and address.
func (m *Machine) setUpstreams(now fleet.Instant, declared []declare.Upstream) {
	m.declarationKnown = true
	m.declaredOrder = m.declaredOrder[:0]
	keep := map[fleet.UpstreamID]bool{}
	for _, d := range declared {
		keep[d.ID] = true
		if u := m.upstreams[d.ID]; u != nil && u.Address == d.Address {
			u.Upstream = d
			m.declaredOrder = append(m.declaredOrder, u)
			continue
		}
		// An upstream with another address is a different one under the same
		// ID.
		if u := m.upstreams[d.ID]; u != nil {
			m.removeMarksExcept(u, "")
		}
		u := &upstream{Upstream: d, role: d.Role, declaredAt: now}
		m.upstreams[d.ID] = u
		m.declaredOrder = append(m.declaredOrder, u)
	}
	for id, u := range m.upstreams {
		if !keep[id] {
			m.setStatus(u, UpstreamGone, CauseUndeclared)
			m.removeMarksExcept(u, "")
			delete(m.upstreams, id)
		}
	}
	m.assignmentsStale = true
	m.applyEarlyMarks()
	m.applyList(now, m.listRows)
}

// applyUpstreamRow applies a row of the platform's list to an upstream. The row
// contains no incarnation. A change from staying to leaving marks the
// incarnation that is running at that time. A row that is leaving when it is
// first seen, or again within listLag, may lag behind a replacement; it only
// sets held here until the row or the incarnation changes.
func (m *Machine) applyUpstreamRow(now fleet.Instant, u *upstream, leaving bool) {
	was := u.listState
	if !leaving {
		u.listState = listingStaying
		m.setHeld(u, false)
		return
	}
	recent := u.listedLeavingAt != 0 && now-u.listedLeavingAt < listLag
	u.listState, u.listedLeavingAt = listingLeaving, now
	switch {
	case was == listingLeaving:
	case was == listingStaying && u.incarnationKnown && !recent:
		m.addMark(Mark{Upstream: u.ID, Incarnation: u.incarnation})
	default:
		m.setHeld(u, true)
	}
}

// setHeld sets held and updates the status if it changed.
func (m *Machine) setHeld(u *upstream, held bool) {
	if u.held != held {
		u.held = held
		m.updateStatus(u, CauseMarked)
	}
}

// handlePoll applies the answer to a poll of this instance, which is
// authoritative for the current incarnation: an unexpected incarnation starts
// the next generation.
func (m *Machine) handlePoll(now fleet.Instant, load sched.LoadReport) {
	u := m.upstreams[load.Upstream]
	if u == nil {
		return
	}
	u.pollFailures = 0
	generation := u.generation
	if !u.incarnationKnown || u.incarnation != load.Incarnation {
		generation++
	}
	report := Report{Load: load, Generation: generation}
	m.acceptReport(now, u, report)
	m.emit(PublishReport{Report: report})
}

// handlePollFailure counts a failed poll and reports the upstream as
// unreachable after maxFailedPolls in a row.
func (m *Machine) handlePollFailure(now fleet.Instant, id fleet.UpstreamID) {
	u := m.upstreams[id]
	if u == nil {
		return
	}
	u.pollFailures++
	if u.pollFailures < maxFailedPolls {
		return
	}
	load := sched.LoadReport{Upstream: id, Incarnation: u.incarnation, At: now, Role: u.role}
	report := Report{Load: load, Generation: u.generation, Unreachable: true}
	m.acceptReport(now, u, report)
	m.emit(PublishReport{Report: report})
}

// handleReport applies a peer's report unless it is older than the known state.
func (m *Machine) handleReport(now fleet.Instant, r Report) {
	u := m.upstreams[r.Load.Upstream]
	if u == nil || r.Generation < u.generation {
		return
	}
	if r.Unreachable {
		m.startDoublePolling(now, u)
	}
	// Two pollers that start at the same time can assign one generation to
	// different incarnations. The next poll of this instance resolves that.
	if r.Generation == u.generation && u.incarnationKnown && r.Load.At <= u.reportedAt {
		return
	}
	if u.reportOverdue {
		u.reportOverdue, m.assignmentsStale = false, true
	}
	if !r.Unreachable {
		u.peerAnswerAt = now
	}
	m.acceptReport(now, u, r)
}

// startDoublePolling makes a second instance poll an upstream that a peer
// cannot reach, since the fault may be at the peer.
func (m *Machine) startDoublePolling(now fleet.Instant, u *upstream) {
	u.silenceReportedAt = now
	if !u.doublePolled {
		u.doublePolled, m.assignmentsStale = true, true
	}
}

// acceptReport makes a report the upstream's current state. A report without an
// answer is ignored within answerGrace of a peer's answer.
func (m *Machine) acceptReport(now fleet.Instant, u *upstream, r Report) {
	if r.Unreachable && u.peerAnswerAt != 0 && now-u.peerAnswerAt < answerGrace {
		return
	}
	cause := CauseReported
	if !r.Unreachable && (!u.incarnationKnown || u.incarnation != r.Load.Incarnation) {
		cause = m.replaceIncarnation(u, r.Load.Incarnation)
	}
	u.generation = r.Generation
	u.reportedAt = min(r.Load.At, now)
	u.unreachable = r.Unreachable
	if r.Unreachable {
		m.updateStatus(u, CauseSilent)
		return
	}
	u.role = r.Load.Role
	if r.Load.Leaving {
		m.addMark(Mark{Upstream: u.ID, Incarnation: u.incarnation})
	}
	m.updateStatus(u, cause)
	m.emit(ReportAccepted{Load: r.Load})
}

// replaceIncarnation makes next the current incarnation and returns the cause
// of the change.
func (m *Machine) replaceIncarnation(u *upstream, next fleet.Incarnation) Cause {
	cause := CauseRestarted
	if u.marked() {
		cause = CauseReplaced
	}
	first := !u.incarnationKnown
	if first {
		cause = CauseReported
	}
	u.incarnationKnown, u.incarnation = true, next
	if first && slices.Contains(u.marks, "") {
		// The upstream was marked as leaving before any incarnation was known.
		m.removeMark(u, "")
		m.addMark(Mark{Upstream: u.ID, Incarnation: next})
	}
	if !first {
		m.removeMarksExcept(u, next)
		u.status, u.held = UpstreamUnknown, false
	}
	return cause
}

// updateUpstream applies the timeouts of an upstream's reports.
func (m *Machine) updateUpstream(now fleet.Instant, u *upstream) {
	silent := now - max(u.reportedAt, u.declaredAt)
	if silent > reportOverdueAfter && !u.reportOverdue && u.DataCentre == m.config.Self.DataCentre {
		u.reportOverdue, m.assignmentsStale = true, true
	}
	if u.doublePolled && now-u.silenceReportedAt > doublePollFor {
		u.doublePolled, m.assignmentsStale = false, true
	}
	if silent > unreachableAfter && !u.unreachable {
		u.unreachable = true
		m.updateStatus(u, CauseSilent)
	}
}

// updateStatus derives an upstream's status from its state. cause is the reason
// if the status changes.
func (m *Machine) updateStatus(u *upstream, cause Cause) {
	switch {
	case u.unreachable && u.marked():
		m.setStatus(u, UpstreamGone, CauseWithdrawn)
	case u.unreachable:
		m.setStatus(u, UpstreamUnreachable, cause)
	case u.marked() || u.held:
		m.setStatus(u, UpstreamLeaving, cause)
	case u.incarnationKnown:
		m.setStatus(u, UpstreamLive, cause)
	}
}

// setStatus sets an upstream's status and emits UpstreamChanged if it is new.
func (m *Machine) setStatus(u *upstream, status UpstreamStatus, cause Cause) {
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
	// Polled reports whether this instance polls the upstream.
	Polled bool
}

// Upstreams returns the declared upstreams in declared order.
func (m *Machine) Upstreams() []UpstreamInfo {
	out := make([]UpstreamInfo, 0, len(m.declaredOrder))
	for _, u := range m.declaredOrder {
		out = append(out, UpstreamInfo{
			ID: u.ID, Status: u.status, Incarnation: u.incarnation, Generation: u.generation,
			ReportedAt: u.reportedAt, Polled: slices.Contains(m.polledUpstreams, u.ID),
		})
	}
	return out
}

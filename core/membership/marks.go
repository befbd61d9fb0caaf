package membership

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// addMark records a leaving mark and publishes it, unless it is known already.
func (m *Machine) addMark(mark Mark) {
	u := m.upstreams[mark.Upstream]
	if u == nil {
		m.storeEarlyMark(mark)
		return
	}
	if mark.Incarnation == "" && u.incarnationKnown {
		mark.Incarnation = u.incarnation
	}
	if slices.Contains(u.marks, mark.Incarnation) {
		return
	}
	if len(u.marks) >= maxMarks {
		m.removeMark(u, oldestStaleMark(u))
	}
	u.marks = append(u.marks, mark.Incarnation)
	m.emit(PublishMark{Mark: mark})
	if u.marked() {
		m.updateStatus(u, CauseMarked)
	}
}

// storeEarlyMark keeps a mark of an upstream that is not declared here yet.
// Peers send a mark once, and it may arrive before the configuration.
func (m *Machine) storeEarlyMark(mark Mark) {
	if slices.Contains(m.earlyMarks, mark) {
		return
	}
	if len(m.earlyMarks) >= maxEarlyMarks {
		m.earlyMarks = slices.Delete(m.earlyMarks, 0, 1)
	}
	m.earlyMarks = append(m.earlyMarks, mark)
}

// applyEarlyMarks applies the stored marks after a declaration.
func (m *Machine) applyEarlyMarks() {
	early := m.earlyMarks
	m.earlyMarks = nil
	for _, mark := range early {
		m.addMark(mark)
	}
}

// oldestStaleMark returns the oldest mark that is not for the current
// incarnation.
func oldestStaleMark(u *upstream) fleet.Incarnation {
	if u.marks[0] == u.incarnation {
		return u.marks[1]
	}
	return u.marks[0]
}

// removeMark removes the mark of one incarnation and withdraws it from the
// peers.
func (m *Machine) removeMark(u *upstream, incarnation fleet.Incarnation) {
	u.marks = slices.DeleteFunc(u.marks, func(i fleet.Incarnation) bool { return i == incarnation })
	m.emit(RemoveMark{Mark: Mark{Upstream: u.ID, Incarnation: incarnation}})
}

// removeMarksExcept removes every mark except that of one incarnation, or all
// if that is "".
func (m *Machine) removeMarksExcept(u *upstream, except fleet.Incarnation) {
	for _, incarnation := range slices.Clone(u.marks) {
		if incarnation != except || except == "" {
			m.removeMark(u, incarnation)
		}
	}
}

// marked reports whether the current incarnation is marked as leaving.
func (u *upstream) marked() bool { return slices.Contains(u.marks, u.incarnation) }

package membership

import (
	"slices"
	"strings"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// InstanceStatus is the state of an entry instance.
type InstanceStatus uint8

// States of an instance. A suspect instance is listed or was heard from once,
// but not recently.
const (
	InstanceSuspect InstanceStatus = iota
	InstanceLive
	InstanceLeaving
	InstanceGone
)

// String returns the state's name as used in logs.
func (s InstanceStatus) String() string {
	return [...]string{"suspect", "live", "leaving", "gone"}[s]
}

// instance is what is known of one other instance.
type instance struct {
	Profile
	status        InstanceStatus
	incarnation   uint64
	configVersion int64
	// hasHeartbeat reports whether a message of the instance has arrived. The
	// address that it announces then takes precedence over the platform's list.
	hasHeartbeat  bool
	lastHeartbeat fleet.Instant
	// firstSeen is when the instance was first listed, discovered or heard
	// from.
	firstSeen       fleet.Instant
	listed          bool
	leaving         bool
	holdsOrderLease bool
}

// InstanceInfo describes one instance for operators.
type InstanceInfo struct {
	Profile
	Status        InstanceStatus
	ConfigVersion int64
	LastHeartbeat fleet.Instant
}

// Instances returns the known instances except this one, sorted by ID.
func (m *Machine) Instances() []InstanceInfo {
	var out []InstanceInfo
	for _, i := range m.instances {
		out = append(out, InstanceInfo{Profile: i.Profile, Status: i.status, ConfigVersion: i.configVersion, LastHeartbeat: i.lastHeartbeat})
	}
	slices.SortFunc(out, func(a, b InstanceInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// applyList applies the platform's list. A missing row does not prove that an
// instance is gone, and a present row does not prove that it is live. The rows
// are kept until a declaration shows which of them are upstreams.
func (m *Machine) applyList(now fleet.Instant, rows []ListRow) {
	m.listRows = rows
	if !m.declarationKnown || rows == nil {
		return
	}
	for _, i := range m.instances {
		i.listed = false
	}
	byAddress := map[string]fleet.UpstreamID{}
	for _, u := range m.upstreams {
		byAddress[u.Address] = u.ID
	}
	for _, row := range rows {
		id := fleet.UpstreamID(row.ID)
		if m.upstreams[id] == nil {
			id = byAddress[row.Address]
		}
		if u := m.upstreams[id]; u != nil {
			m.applyUpstreamRow(now, u, row.Leaving)
			continue
		}
		m.applyInstanceRow(now, row)
	}
	for _, u := range m.declaredOrder {
		if u.listState == listingUnseen {
			u.listState = listingStaying
		}
	}
}

// applyInstanceRow applies a row of the platform's list that describes an
// instance.
func (m *Machine) applyInstanceRow(now fleet.Instant, row ListRow) {
	i := m.addInstance(now, Profile{ID: fleet.InstanceID(row.ID), DataCentre: row.DataCentre, Address: row.Address})
	if i == nil {
		return
	}
	i.listed = true
	if i.leaving != row.Leaving {
		i.leaving, m.assignmentsStale = row.Leaving, true
	}
	if !i.hasHeartbeat && (i.Address != row.Address || i.DataCentre != row.DataCentre) {
		i.Address, i.DataCentre, m.assignmentsStale = row.Address, row.DataCentre, true
	}
}

// addInstance returns a known instance, or adds one that has not been heard
// from. It returns nil for this instance and beyond maxInstances.
func (m *Machine) addInstance(now fleet.Instant, p Profile) *instance {
	if p.ID == "" || p.ID == m.config.Self.ID {
		return nil
	}
	if known := m.instances[p.ID]; known != nil {
		return known
	}
	if len(m.instances) >= maxInstances {
		return nil
	}
	i := &instance{Profile: p, firstSeen: now}
	m.instances[p.ID] = i
	m.assignmentsStale = true
	return i
}

// handleHeartbeat applies a message of an instance unless it is of an earlier
// incarnation than the known one.
func (m *Machine) handleHeartbeat(now fleet.Instant, ev Heartbeat) {
	i := m.addInstance(now, ev.Profile)
	if i == nil || ev.Incarnation < i.incarnation {
		return
	}
	if ev.Incarnation > i.incarnation {
		i.leaving = false
	}
	if p := ev.Profile; p.Address != "" && p != i.Profile {
		i.Profile, m.assignmentsStale = p, true
	}
	if i.holdsOrderLease != ev.HoldsOrderLease {
		i.holdsOrderLease, m.assignmentsStale = ev.HoldsOrderLease, true
	}
	i.incarnation = ev.Incarnation
	i.configVersion = max(i.configVersion, ev.ConfigVersion)
	i.hasHeartbeat, i.lastHeartbeat = true, now
	if ev.Leaving && !i.leaving {
		i.leaving = true
	}
	m.updateInstance(now, i)
}

// updateInstances re-evaluates every instance and removes those that are gone,
// not listed and silent for longer than forgetAfter.
func (m *Machine) updateInstances(now fleet.Instant) {
	for id, i := range m.instances {
		m.updateInstance(now, i)
		if i.status == InstanceGone && !i.listed && now-i.lastSeen() > forgetAfter {
			delete(m.instances, id)
			m.assignmentsStale = true
		}
	}
}

// lastSeen returns when the instance was last heard from, or first seen.
func (i *instance) lastSeen() fleet.Instant { return max(i.lastHeartbeat, i.firstSeen) }

// updateInstance sets an instance's status and emits InstanceChanged if it is
// new.
func (m *Machine) updateInstance(now fleet.Instant, i *instance) {
	status := m.statusOf(now, i)
	if status == i.status {
		return
	}
	// Only the instances of this data centre share its work. Those of other
	// data centres exchange rarely and alternate between live and suspect;
	// reassigning the work each time took a quarter of the control plane's
	// processor time.
	if i.DataCentre == m.config.Self.DataCentre || status == InstanceGone || i.status == InstanceGone {
		m.assignmentsStale = true
	}
	i.status = status
	m.emit(InstanceChanged{ID: i.ID, Status: status})
}

// statusOf returns an instance's status. An instance of another data centre
// exchanges with only some instances here, so its silence proves nothing while
// the platform lists it.
func (m *Machine) statusOf(now fleet.Instant, i *instance) InstanceStatus {
	silent := now - i.lastSeen()
	remote := i.DataCentre != m.config.Self.DataCentre
	switch {
	case i.hasHeartbeat && silent <= SuspectAfter && i.leaving:
		return InstanceLeaving
	case i.hasHeartbeat && silent <= SuspectAfter:
		return InstanceLive
	case silent > GoneAfter && !(remote && i.listed) && !(remote && silent <= forgetAfter):
		return InstanceGone
	default:
		return InstanceSuspect
	}
}

// workers returns the instances of this data centre that share its polling and
// watching, sorted by ID. The holder of the order lease is included only if it
// is alone: with both kinds of work, one daemon would exceed the budget of 1.5%
// of a core.
func (m *Machine) workers() []fleet.InstanceID {
	var ids, holders []fleet.InstanceID
	add := func(id fleet.InstanceID, holder bool) {
		if holder {
			holders = append(holders, id)
		} else {
			ids = append(ids, id)
		}
	}
	if !m.leaving {
		add(m.config.Self.ID, m.holdsOrderLease)
	}
	for _, i := range m.instances {
		if i.DataCentre == m.config.Self.DataCentre && i.status == InstanceLive {
			add(i.ID, i.holdsOrderLease)
		}
	}
	if len(ids) == 0 {
		ids = holders
	}
	slices.Sort(ids)
	return ids
}

// assign recomputes this instance's polling and watching and the set of peers.
func (m *Machine) assign(now fleet.Instant) {
	workers := m.workers()
	m.assignPolling(now, workers)
	watch := slices.Contains(TopOwners("config", configWatchers, workers), m.config.Self.ID)
	if watch != m.watchesConfig {
		m.watchesConfig = watch
		m.emit(WatchConfig{On: watch})
	}
	var peers []Peer
	for _, info := range m.Instances() {
		if info.Status != InstanceGone || m.instances[info.ID].listed {
			peers = append(peers, Peer{Profile: info.Profile, Live: info.Status == InstanceLive, HoldsOrderLease: m.instances[info.ID].holdsOrderLease})
		}
	}
	m.emit(Peers{Peers: peers})
}

// assignPolling recomputes the upstreams that this instance polls.
func (m *Machine) assignPolling(now fleet.Instant, workers []fleet.InstanceID) {
	var polling []fleet.UpstreamID
	owners := m.pollers(now, workers)
	for _, u := range m.declaredOrder {
		if m.shouldPoll(u, owners[u.ID], workers) {
			polling = append(polling, u.ID)
		}
	}
	if !slices.Equal(polling, m.polledUpstreams) {
		m.polledUpstreams = polling
		m.emit(Poll{Upstreams: slices.Clone(polling)})
	}
}

// pollers returns the owner of each upstream in the data centres that this one
// polls. The owners are balanced because a report goes to every peer: an
// instance with three times the mean number of upstreams would send three times
// the reports.
func (m *Machine) pollers(now fleet.Instant, workers []fleet.InstanceID) map[fleet.UpstreamID]fleet.InstanceID {
	keys := map[fleet.DataCentre][]string{}
	ids := map[fleet.DataCentre][]fleet.UpstreamID{}
	polled := map[fleet.DataCentre]bool{}
	for _, u := range m.declaredOrder {
		if _, known := polled[u.DataCentre]; !known {
			polled[u.DataCentre] = m.pollsDataCentre(now, u.DataCentre)
		}
		if polled[u.DataCentre] {
			keys[u.DataCentre] = append(keys[u.DataCentre], pollKey(u.ID))
			ids[u.DataCentre] = append(ids[u.DataCentre], u.ID)
		}
	}
	owners := map[fleet.UpstreamID]fleet.InstanceID{}
	for dc := range keys {
		for i, owner := range BalancedOwners(keys[dc], workers) {
			owners[ids[dc][i]] = owner
		}
	}
	return owners
}

// pollKey returns the key under which rendezvous hashing assigns the polling of
// an upstream.
func pollKey(id fleet.UpstreamID) string { return "poll " + string(id) }

// pollsDataCentre reports whether this data centre polls the upstreams of dc.
// If dc has no reachable instance, each other data centre of the region polls
// them for itself.
func (m *Machine) pollsDataCentre(now fleet.Instant, dc fleet.DataCentre) bool {
	return dc == m.config.Self.DataCentre ||
		!m.reachable[dc] && now-m.startedAt >= reportOverdueAfter && !m.inOtherRegion(dc)
}

// shouldPoll reports whether this instance polls an upstream. The owner is ""
// if this data centre does not poll it.
func (m *Machine) shouldPoll(u *upstream, owner fleet.InstanceID, workers []fleet.InstanceID) bool {
	if u.reportOverdue {
		return true
	}
	if owner == "" {
		return false
	}
	self := m.config.Self.ID
	if owner == self || !u.doublePolled {
		return owner == self
	}
	others := slices.DeleteFunc(slices.Clone(workers), func(id fleet.InstanceID) bool { return id == owner })
	return Owner(pollKey(u.ID), others) == self
}

// inOtherRegion reports whether a data centre is known to be in another region.
func (m *Machine) inOtherRegion(dc fleet.DataCentre) bool {
	for _, i := range m.instances {
		if i.DataCentre == dc && i.hasHeartbeat {
			return i.Region != m.config.Self.Region
		}
	}
	return false
}

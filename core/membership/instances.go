package membership

import (
	"slices"
	"strings"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// InstanceStatus is the state of an entry instance.
type InstanceStatus uint8

// States of an instance. A suspect instance is listed or was heard once, but
// not recently.
const (
	InstanceSuspect InstanceStatus = iota
	InstanceLive
	InstanceLeaving
	InstanceGone
)

// String returns the state's name.
func (s InstanceStatus) String() string {
	return [...]string{"suspect", "live", "leaving", "gone"}[s]
}

type instance struct {
	Profile
	status        InstanceStatus
	incarnation   uint64
	configVersion int64
	// heard tells that a message of the instance arrived; its own word about
	// its address then outranks the platform's list.
	heard   bool
	heardAt fleet.Instant
	// since is when the instance was first named.
	since   fleet.Instant
	listed  bool
	leaving bool
	holder  bool
}

// InstanceInfo describes one instance for operators.
type InstanceInfo struct {
	Profile
	Status        InstanceStatus
	ConfigVersion int64
	LastHeartbeat fleet.Instant
}

// Instances returns the known instances except this one, sorted by name.
func (m *Machine) Instances() []InstanceInfo {
	var out []InstanceInfo
	for _, i := range m.instances {
		out = append(out, InstanceInfo{Profile: i.Profile, Status: i.status, ConfigVersion: i.configVersion, LastHeartbeat: i.heardAt})
	}
	slices.SortFunc(out, func(a, b InstanceInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// list takes over the platform's list. A missing row is no proof that an
// instance is gone and a present row is no proof that it is live.
// Rows are kept until a declaration tells which of them are upstreams.
func (m *Machine) list(now fleet.Instant, rows []ListRow) {
	m.rows = rows
	if !m.declared || rows == nil {
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
			m.listUpstream(now, u, row.Leaving)
			continue
		}
		m.listInstance(now, row)
	}
	for _, u := range m.order {
		if u.listing == listingUnseen {
			u.listing = listingStaying
		}
	}
}

func (m *Machine) listInstance(now fleet.Instant, row ListRow) {
	i := m.introduce(now, Profile{ID: fleet.InstanceID(row.ID), DataCentre: row.DataCentre, Address: row.Address})
	if i == nil {
		return
	}
	i.listed = true
	if i.leaving != row.Leaving {
		i.leaving, m.changed = row.Leaving, true
	}
	if !i.heard && (i.Address != row.Address || i.DataCentre != row.DataCentre) {
		i.Address, i.DataCentre, m.changed = row.Address, row.DataCentre, true
	}
}

// introduce adds an instance that has not been heard yet.
func (m *Machine) introduce(now fleet.Instant, p Profile) *instance {
	if p.ID == "" || p.ID == m.config.Self.ID {
		return nil
	}
	if known := m.instances[p.ID]; known != nil {
		return known
	}
	if len(m.instances) >= maxInstances {
		return nil
	}
	i := &instance{Profile: p, since: now}
	m.instances[p.ID] = i
	m.changed = true
	return i
}

func (m *Machine) hear(now fleet.Instant, ev Heartbeat) {
	i := m.introduce(now, ev.Profile)
	if i == nil || ev.Incarnation < i.incarnation {
		return
	}
	if ev.Incarnation > i.incarnation {
		i.leaving = false
	}
	if p := ev.Profile; p.Address != "" && p != i.Profile {
		i.Profile, m.changed = p, true
	}
	if i.holder != ev.HoldsOrderLease {
		i.holder, m.changed = ev.HoldsOrderLease, true
	}
	i.incarnation = ev.Incarnation
	i.configVersion = max(i.configVersion, ev.ConfigVersion)
	i.heard, i.heardAt = true, now
	if ev.Leaving && !i.leaving {
		i.leaving = true
	}
	m.tickInstance(now, i)
}

func (m *Machine) tickInstances(now fleet.Instant) {
	for id, i := range m.instances {
		m.tickInstance(now, i)
		if i.status == InstanceGone && !i.listed && now-i.lastSign() > forgetAfter {
			delete(m.instances, id)
			m.changed = true
		}
	}
}

func (i *instance) lastSign() fleet.Instant { return max(i.heardAt, i.since) }

func (m *Machine) tickInstance(now fleet.Instant, i *instance) {
	status := m.statusOf(now, i)
	if status == i.status {
		return
	}
	// Only the instances of this data centre share its work. Those of others
	// that exchange rarely alternate between live and suspect, and an
	// assignment for each took a quarter of the control's processor time.
	if i.DataCentre == m.config.Self.DataCentre || status == InstanceGone || i.status == InstanceGone {
		m.changed = true
	}
	i.status = status
	m.emit(InstanceChanged{ID: i.ID, Status: status})
}

// statusOf judges an instance. Instances of other data centres exchange with
// only some instances here, so their silence proves nothing while the
// platform lists them.
func (m *Machine) statusOf(now fleet.Instant, i *instance) InstanceStatus {
	silent := now - i.lastSign()
	remote := i.DataCentre != m.config.Self.DataCentre
	switch {
	case i.heard && silent <= SuspectAfter && i.leaving:
		return InstanceLeaving
	case i.heard && silent <= SuspectAfter:
		return InstanceLive
	case silent > GoneAfter && !(remote && i.listed) && !(remote && silent <= forgetAfter):
		return InstanceGone
	default:
		return InstanceSuspect
	}
}

// members returns the instances of this data centre that share its work. The
// order holder has work of its own and shares only if it is alone: with both,
// one daemon would exceed the budget of 1.5% of a core.
func (m *Machine) members() []fleet.InstanceID {
	var ids, holders []fleet.InstanceID
	add := func(id fleet.InstanceID, holder bool) {
		if holder {
			holders = append(holders, id)
		} else {
			ids = append(ids, id)
		}
	}
	if !m.leaving {
		add(m.config.Self.ID, m.holder)
	}
	for _, i := range m.instances {
		if i.DataCentre == m.config.Self.DataCentre && i.status == InstanceLive {
			add(i.ID, i.holder)
		}
	}
	if len(ids) == 0 {
		ids = holders
	}
	slices.Sort(ids)
	return ids
}

// assign computes the work of this instance and the set of peers again.
func (m *Machine) assign(now fleet.Instant) {
	members := m.members()
	m.assignPolling(now, members)
	watch := slices.Contains(TopOwners("config", configWatchers, members), m.config.Self.ID)
	if watch != m.watching {
		m.watching = watch
		m.emit(WatchConfig{On: watch})
	}
	var peers []Peer
	for _, info := range m.Instances() {
		if info.Status != InstanceGone || m.instances[info.ID].listed {
			peers = append(peers, Peer{Profile: info.Profile, Live: info.Status == InstanceLive, HoldsOrderLease: m.instances[info.ID].holder})
		}
	}
	m.emit(Peers{Peers: peers})
}

func (m *Machine) assignPolling(now fleet.Instant, members []fleet.InstanceID) {
	var polling []fleet.UpstreamID
	owners := m.pollers(now, members)
	for _, u := range m.order {
		if m.polls(u, owners[u.ID], members) {
			polling = append(polling, u.ID)
		}
	}
	if !slices.Equal(polling, m.polling) {
		m.polling = polling
		m.emit(Poll{Upstreams: slices.Clone(polling)})
	}
}

// pollers assigns the upstreams of each data centre that this one polls to its
// instances. A report goes to every peer, so an instance with three times the mean
// number of upstreams would send three times the reports.
func (m *Machine) pollers(now fleet.Instant, members []fleet.InstanceID) map[fleet.UpstreamID]fleet.InstanceID {
	keys := map[fleet.DataCentre][]string{}
	ids := map[fleet.DataCentre][]fleet.UpstreamID{}
	polled := map[fleet.DataCentre]bool{}
	for _, u := range m.order {
		if _, known := polled[u.DataCentre]; !known {
			polled[u.DataCentre] = m.pollsCentre(now, u.DataCentre)
		}
		if polled[u.DataCentre] {
			keys[u.DataCentre] = append(keys[u.DataCentre], pollKey(u.ID))
			ids[u.DataCentre] = append(ids[u.DataCentre], u.ID)
		}
	}
	owners := map[fleet.UpstreamID]fleet.InstanceID{}
	for dc := range keys {
		for i, owner := range BalancedOwners(keys[dc], members) {
			owners[ids[dc][i]] = owner
		}
	}
	return owners
}

func pollKey(id fleet.UpstreamID) string { return "poll " + string(id) }

// pollsCentre tells whether this data centre polls the upstreams of another one:
// when that one has no entry instance in reach, each other data centre of the
// region polls for itself.
func (m *Machine) pollsCentre(now fleet.Instant, dc fleet.DataCentre) bool {
	return dc == m.config.Self.DataCentre ||
		!m.reach[dc] && now-m.started >= lateAfter && !m.otherRegion(dc)
}

// polls tells whether this instance polls an upstream. The owner is "" when
// this data centre does not poll it.
func (m *Machine) polls(u *upstream, owner fleet.InstanceID, members []fleet.InstanceID) bool {
	if u.late {
		return true
	}
	if owner == "" {
		return false
	}
	self := m.config.Self.ID
	if owner == self || !u.disputed {
		return owner == self
	}
	others := slices.DeleteFunc(slices.Clone(members), func(id fleet.InstanceID) bool { return id == owner })
	return Owner(pollKey(u.ID), others) == self
}

// otherRegion tells whether a data centre is known to be in another region.
func (m *Machine) otherRegion(dc fleet.DataCentre) bool {
	for _, i := range m.instances {
		if i.DataCentre == dc && i.heard {
			return i.Region != m.config.Self.Region
		}
	}
	return false
}

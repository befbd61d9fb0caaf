package exchange

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// class tells what the receiver of a service item does besides counting it.
type class uint8

const (
	// classPlain is counted only.
	classPlain class = iota
	// classAggregate is also added to the totals for other data centres.
	classAggregate
	// classTotal comes from another data centre and is also passed on to the
	// receiver's own data centre.
	classTotal
	classes
)

// itemKey names what a cost is accumulated under.
type itemKey struct {
	member fleet.MemberID
	group  fleet.GroupName
	class  class
}

type item struct {
	itemKey
	cost float64
}

// frame is one message of an instance to a peer.
type frame struct {
	from fleet.InstanceID
	// incarnation orders the sender's processes; to is the receiver's, or 0
	// while the sender does not know it.
	incarnation, to uint64
	// push rises with every transmission, sequence with every accepted batch
	// of service and dispatches.
	push, sequence uint64
	configVersion  int64
	leaving        bool
	// relay asks the receiver to pass the reports on in its data centre.
	relay bool
	// askPeers asks for the instances that the receiver knows.
	askPeers bool
	// profile is set while the session is not open.
	profile *membership.Profile
	marks   []membership.Mark
	digest  uint64
	// numbered is false when the names are spelt out.
	numbered   bool
	reports    []wireReport
	service    []item
	dispatches []sched.PeerDispatch
}

type wireReport struct {
	membership.Report
	// named tells that the incarnation is spelt out; otherwise it is the one
	// last spelt out for this generation.
	named bool
}

// encode writes times as ages at the time now.
func (f *frame) encode(now fleet.Instant, names *Names) []byte {
	w := &writer{names: names, spell: !f.numbered}
	w.flags(f.leaving, f.relay, f.askPeers, f.profile != nil, f.numbered)
	w.text(string(f.from))
	w.uint(f.incarnation)
	w.uint(f.to)
	w.uint(f.push)
	w.uint(f.sequence)
	w.uint(uint64(f.configVersion))
	if f.profile != nil {
		w.profile(*f.profile)
	}
	w.marks(f.marks)
	if f.numbered {
		w.uint(f.digest)
	}
	w.count(len(f.reports))
	for _, r := range f.reports {
		w.report(now, r)
	}
	w.count(len(f.service))
	for _, i := range f.service {
		w.name(names.members, string(i.member))
		w.name(names.groups, string(i.group))
		w.out = append(w.out, byte(i.class))
		w.cost(i.cost)
	}
	w.count(len(f.dispatches))
	for _, d := range f.dispatches {
		w.name(names.upstreams, string(d.Upstream))
		w.age(now - d.At)
		w.count(d.PromptTokens)
		w.count(d.OutputTokens)
	}
	return w.out
}

func (w *writer) profile(p membership.Profile) {
	w.text(string(p.ID))
	w.text(string(p.DataCentre))
	w.text(p.Region)
	w.text(p.Address)
}

func (r *reader) profile() membership.Profile {
	return membership.Profile{
		ID: fleet.InstanceID(r.text()), DataCentre: fleet.DataCentre(r.text()),
		Region: r.text(), Address: r.text(),
	}
}

// marks are always spelt out: they must get through between instances with
// different configurations.
func (w *writer) marks(marks []membership.Mark) {
	w.count(len(marks))
	for _, m := range marks {
		w.text(string(m.Upstream))
		w.text(string(m.Incarnation))
	}
}

func (w *writer) report(now fleet.Instant, r wireReport) {
	l := r.Load
	w.name(w.names.upstreams, string(l.Upstream))
	w.flags(r.Unreachable, l.Leaving, r.named, l.Role&1 != 0, l.Role&2 != 0)
	w.uint(r.Generation)
	w.age(now - l.At)
	if r.named {
		w.text(string(l.Incarnation))
	}
	if r.Unreachable {
		return
	}
	w.count(l.Running)
	w.count(l.Waiting)
	w.count(l.WaitingPromptTokens)
	w.count(l.KVUsedTokens)
	w.count(l.KVCapacityTokens)
}

// decodeHead reads a frame up to the names that may be numbered.
func decodeHead(r *reader) *frame {
	f := &frame{}
	bits := r.flags()
	f.leaving, f.relay, f.askPeers, f.numbered = bits[0], bits[1], bits[2], bits[4]
	f.from = fleet.InstanceID(r.text())
	f.incarnation = r.uint()
	f.to = r.uint()
	f.push = r.uint()
	f.sequence = r.uint()
	f.configVersion = int64(r.uint() & (1<<62 - 1))
	if bits[3] {
		p := r.profile()
		f.profile = &p
	}
	for range r.length() {
		f.marks = append(f.marks, membership.Mark{
			Upstream: fleet.UpstreamID(r.text()), Incarnation: fleet.Incarnation(r.text()),
		})
	}
	if f.numbered {
		f.digest = r.uint()
	}
	return f
}

// decodeBody reads the rest of a frame.
func (f *frame) decodeBody(now fleet.Instant, r *reader) {
	for range r.length() {
		f.reports = append(f.reports, r.report(now))
	}
	for range r.length() {
		f.service = append(f.service, r.item())
	}
	for range r.length() {
		f.dispatches = append(f.dispatches, sched.PeerDispatch{
			Upstream:     fleet.UpstreamID(r.name(r.names.upstreams)),
			At:           now - r.age(),
			PromptTokens: r.count(),
			OutputTokens: r.count(),
		})
	}
}

func (r *reader) item() item {
	var i item
	i.member = fleet.MemberID(r.name(r.names.members))
	i.group = fleet.GroupName(r.name(r.names.groups))
	if raw := r.bytes(1); raw != nil {
		i.class = class(raw[0])
	}
	if i.class >= classes {
		r.fail()
	}
	i.cost = r.cost()
	return i
}

func (r *reader) report(now fleet.Instant) wireReport {
	var out wireReport
	l := &out.Load
	l.Upstream = fleet.UpstreamID(r.name(r.names.upstreams))
	bits := r.flags()
	out.Unreachable, l.Leaving, out.named = bits[0], bits[1], bits[2]
	l.Role = roleOf(bits[3], bits[4])
	out.Generation = r.uint()
	l.At = now - r.age()
	if out.named {
		l.Incarnation = fleet.Incarnation(r.text())
	}
	if out.Unreachable {
		return out
	}
	l.Running = r.count()
	l.Waiting = r.count()
	l.WaitingPromptTokens = r.count()
	l.KVUsedTokens = r.count()
	l.KVCapacityTokens = r.count()
	return out
}

func roleOf(low, high bool) fleet.Role {
	switch {
	case low:
		return fleet.RolePrefill
	case high:
		return fleet.RoleDecode
	default:
		return fleet.RoleMixed
	}
}

// reply is the answer to a frame.
type reply struct {
	// incarnation is the receiver's, known the highest one that the receiver
	// has seen of the sender.
	incarnation, known uint64
	// applied is the last sequence that was counted.
	applied       uint64
	configVersion int64
	// refused tells that the receiver numbers names differently.
	refused bool
	leaving bool
	digest  uint64
	// profile answers a frame with a profile.
	profile *membership.Profile
	peers   []membership.Profile
}

func (a *reply) encode() []byte {
	w := &writer{}
	w.flags(a.refused, a.leaving, a.profile != nil)
	w.uint(a.incarnation)
	w.uint(a.known)
	w.uint(a.applied)
	w.uint(uint64(a.configVersion))
	if a.refused || a.profile != nil {
		w.uint(a.digest)
	}
	if a.profile != nil {
		w.profile(*a.profile)
		w.count(len(a.peers))
		for _, p := range a.peers {
			w.profile(p)
		}
	}
	return w.out
}

func decodeReply(payload []byte) (*reply, error) {
	r := &reader{in: payload}
	a := &reply{}
	bits := r.flags()
	a.refused, a.leaving = bits[0], bits[1]
	a.incarnation = r.uint()
	a.known = r.uint()
	a.applied = r.uint()
	a.configVersion = int64(r.uint() & (1<<62 - 1))
	if a.refused || bits[2] {
		a.digest = r.uint()
	}
	if bits[2] {
		p := r.profile()
		a.profile = &p
		for range r.length() {
			a.peers = append(a.peers, r.profile())
		}
	}
	return a, r.err
}

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
//
// The first frame to a peer carries the sender's profile and incarnation, and
// the answer to it a handle. Later frames carry the handle, which stands for the
// sender and both incarnations: a process that did not give it out rejects it.
type frame struct {
	// profile and incarnation are set until the receiver has given a handle.
	profile *membership.Profile
	// incarnation orders the sender's processes.
	incarnation uint64
	handle      uint64
	// push rises with every transmission, sequence with every accepted batch
	// of service and dispatches.
	push, sequence uint64
	configVersion  int64
	leaving        bool
	// relay asks the receiver to pass the reports on in its data centre.
	relay bool
	// askPeers asks for the instances that the receiver knows.
	askPeers bool
	marks    []membership.Mark
	digest   uint64
	// numbered is false when the names are spelt out.
	numbered   bool
	reports    []wireReport
	service    []item
	dispatches []sched.PeerDispatch
	// turns are the sender's present ones, demand what arrived since the last
	// batch.
	turns  []sched.PeerTurn
	demand []sched.GroupDemand
}

type wireReport struct {
	membership.Report
	// named tells that the incarnation and its KV capacity are spelt out;
	// otherwise they are those last spelt out for this generation.
	named bool
}

// Units of estimates on the wire. Each saves a byte per value; their errors are
// far below those of the estimates themselves.
const (
	promptUnit = 64
	outputUnit = 16
	kvUnit     = 1024
)

// encode writes times as ages at the time now.
func (f *frame) encode(now fleet.Instant, names *Names) []byte {
	w := &writer{names: names, spell: !f.numbered}
	w.flags(f.leaving, f.relay, f.askPeers, f.profile != nil, f.numbered)
	if f.profile != nil {
		w.profile(*f.profile)
		w.uint(f.incarnation)
	} else {
		w.handle(f.handle)
	}
	w.uint(f.push)
	w.uint(f.sequence)
	w.uint(uint64(f.configVersion))
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
		w.group(names.groups, i)
		w.cost(i.cost)
	}
	w.count(len(f.dispatches))
	for _, d := range f.dispatches {
		w.name(names.upstreams, string(d.Upstream))
		w.age(now - d.At)
		w.coarse(d.PromptTokens, promptUnit)
		w.coarse(d.OutputTokens, outputUnit)
	}
	w.count(len(f.turns))
	for _, t := range f.turns {
		w.turn(t)
	}
	w.count(len(f.demand))
	for _, d := range f.demand {
		w.demand(d)
	}
	return w.out
}

func (w *writer) turn(t sched.PeerTurn) {
	w.group(w.names.groups, item{itemKey: itemKey{group: t.Group}})
	w.flags(t.Backlogged, t.Deep)
	w.cost(t.Start)
	w.cost(t.PrefillCost)
	w.cost(t.TokenCost)
}

func (r *reader) turn() sched.PeerTurn {
	group, _ := r.group(r.names.groups)
	flags := r.flags()
	return sched.PeerTurn{
		Group: group, Backlogged: flags[0], Deep: flags[1],
		Start: r.cost(), PrefillCost: r.cost(), TokenCost: r.cost(),
	}
}

func (w *writer) demand(d sched.GroupDemand) {
	w.group(w.names.groups, item{itemKey: itemKey{group: d.Group}})
	for _, v := range [...]float64{d.PromptTokens, d.OutputTokens, d.ContextTokens, d.Requests, d.Late} {
		w.cost(v)
	}
}

func (r *reader) demand() sched.GroupDemand {
	group, _ := r.group(r.names.groups)
	return sched.GroupDemand{
		Group: group, PromptTokens: r.cost(), OutputTokens: r.cost(), ContextTokens: r.cost(),
		Requests: r.cost(), Late: r.cost(),
	}
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
		w.count(l.KVCapacityTokens)
	}
	if r.Unreachable {
		return
	}
	w.count(l.Running)
	w.count(l.Waiting)
	w.coarse(l.WaitingPromptTokens, promptUnit)
	w.coarse(l.KVUsedTokens, kvUnit)
}

// decodeHead reads a frame up to the names that may be numbered.
func decodeHead(r *reader) *frame {
	f := &frame{}
	bits := r.flags()
	f.leaving, f.relay, f.askPeers, f.numbered = bits[0], bits[1], bits[2], bits[4]
	if bits[3] {
		p := r.profile()
		f.profile, f.incarnation = &p, r.uint()
	} else {
		f.handle = r.handle()
	}
	f.push = r.uint()
	f.sequence = r.uint()
	f.configVersion = int64(r.uint() & (1<<62 - 1))
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
			PromptTokens: r.count() * promptUnit,
			OutputTokens: r.count() * outputUnit,
		})
	}
	for range r.length() {
		f.turns = append(f.turns, r.turn())
	}
	for range r.length() {
		f.demand = append(f.demand, r.demand())
	}
}

func (r *reader) item() item {
	var i item
	i.member = fleet.MemberID(r.name(r.names.members))
	i.group, i.class = r.group(r.names.groups)
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
		l.KVCapacityTokens = r.count()
	}
	if out.Unreachable {
		return out
	}
	l.Running = r.count()
	l.Waiting = r.count()
	l.WaitingPromptTokens = r.count() * promptUnit
	l.KVUsedTokens = r.count() * kvUnit
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
	// applied is the last sequence that was counted.
	applied       uint64
	configVersion int64
	leaving       bool
	// refused tells that the receiver numbers names differently.
	refused bool
	// digest is that of the receiver's numbers, or 0 in the answer to a
	// frame with the same ones.
	digest uint64
	// unknown tells that the receiver did not give out the handle.
	unknown bool
	// welcome answers a frame with a profile.
	welcome *welcome
}

type welcome struct {
	profile membership.Profile
	// incarnation is the receiver's, known the highest one that the receiver
	// has seen of the sender.
	incarnation, known uint64
	handle             uint64
	peers              []membership.Profile
}

func (a *reply) encode() []byte {
	w := &writer{}
	w.flags(a.refused, a.leaving, a.unknown, a.welcome != nil, a.digest != 0)
	w.uint(a.applied)
	w.uint(uint64(a.configVersion))
	if a.digest != 0 {
		w.uint(a.digest)
	}
	if a.welcome != nil {
		w.profile(a.welcome.profile)
		w.uint(a.welcome.incarnation)
		w.uint(a.welcome.known)
		w.handle(a.welcome.handle)
		w.count(len(a.welcome.peers))
		for _, p := range a.welcome.peers {
			w.profile(p)
		}
	}
	return w.out
}

func decodeReply(payload []byte) (*reply, error) {
	r := &reader{in: payload}
	a := &reply{}
	bits := r.flags()
	a.refused, a.leaving, a.unknown = bits[0], bits[1], bits[2]
	a.applied = r.uint()
	a.configVersion = int64(r.uint() & (1<<62 - 1))
	if bits[4] {
		a.digest = r.uint()
	}
	if bits[3] {
		a.welcome = r.welcome()
	}
	return a, r.err
}

func (r *reader) welcome() *welcome {
	out := &welcome{profile: r.profile(), incarnation: r.uint(), known: r.uint(), handle: r.handle()}
	for range r.length() {
		out.peers = append(out.peers, r.profile())
	}
	return out
}

package exchange

import (
	"cmp"
	"slices"

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
	// holder tells that the sender holds its data centre's order lease.
	holder bool
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
	turns  []sched.PeerQueueState
	demand []sched.GroupDemand
}

type wireReport struct {
	membership.Report
	// named tells that the incarnation, its KV capacity and its counters are
	// spelt out; otherwise the first two are those last spelt out for this
	// generation, and the counters low bytes.
	named bool
	// counters are those received, counted tells that there are any.
	counters counters
	counted  bool
}

// Units of estimates on the wire. Each saves a byte per value; their errors are
// far below those of the estimates themselves.
const (
	kvUnit = 1024
	// prefilledUnit and generatedUnit are those of an engine's counters. Two
	// reports a second apart are compared, in which a slow engine generates
	// 200 tokens.
	prefilledUnit = 16
	generatedUnit = 4
)

// encode writes times as ages at the time now.
func (f *frame) encode(now fleet.Instant, names *Dictionary) []byte {
	w := &writer{names: names, spell: !f.numbered}
	w.flags(f.leaving, f.relay, f.askPeers, f.profile != nil, f.numbered, f.holder)
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
	slices.SortFunc(f.reports, func(a, b wireReport) int {
		return cmp.Compare(w.number(names.upstreams, string(a.Load.Upstream)), w.number(names.upstreams, string(b.Load.Upstream)))
	})
	last := uint64(0)
	for _, r := range f.reports {
		last = w.report(now, last, r)
	}
	w.service(f.service)
	w.dispatches(now, f.dispatches)
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

type numberedItem struct {
	item
	number uint64
}

// service writes runs of items of one group and class, in the order of their
// members' numbers, as differences of the numbers.
func (w *writer) service(unordered []item) {
	items := make([]numberedItem, len(unordered))
	for i, it := range unordered {
		items[i] = numberedItem{it, w.number(w.names.members, string(it.member))}
	}
	slices.SortFunc(items, func(a, b numberedItem) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.class, b.class), cmp.Compare(a.number, b.number))
	})
	for len(items) > 0 {
		run := 1
		for run < len(items) && items[run].group == items[0].group && items[run].class == items[0].class {
			run++
		}
		w.count(run)
		w.group(w.names.groups, items[0].item)
		last := uint64(0)
		for _, i := range items[:run] {
			last = w.next(last, i.number, string(i.member))
			w.cost(i.cost)
		}
		items = items[run:]
	}
	w.count(0)
}

func (r *reader) service() (out []item) {
	for n := r.length(); n > 0; n = r.length() {
		group, class := r.group(r.names.groups)
		last := uint64(0)
		for range n {
			var name string
			name, last = r.next(last, r.names.members)
			out = append(out, item{itemKey{fleet.MemberID(name), group, class}, r.cost()})
		}
	}
	return out
}

// dispatches are written in the order of their upstreams' numbers.
func (w *writer) dispatches(now fleet.Instant, ds []sched.PeerDispatch) {
	ds = slices.Clone(ds)
	slices.SortStableFunc(ds, func(a, b sched.PeerDispatch) int {
		return cmp.Compare(w.number(w.names.upstreams, string(a.Upstream)), w.number(w.names.upstreams, string(b.Upstream)))
	})
	w.count(len(ds))
	last := uint64(0)
	for _, d := range ds {
		last = w.next(last, w.number(w.names.upstreams, string(d.Upstream)), string(d.Upstream))
		w.age(now - d.At)
		w.estimate(d.PromptTokens)
		w.estimate(d.OutputTokens)
	}
}

func (r *reader) dispatches(now fleet.Instant) (out []sched.PeerDispatch) {
	last := uint64(0)
	for range r.length() {
		var name string
		name, last = r.next(last, r.names.upstreams)
		out = append(out, sched.PeerDispatch{
			Upstream: fleet.UpstreamID(name), At: now - r.age(),
			PromptTokens: r.estimate(), OutputTokens: r.estimate(),
		})
	}
	return out
}

func (w *writer) turn(t sched.PeerQueueState) {
	w.group(w.names.groups, item{itemKey: itemKey{group: t.Group}})
	w.flags(t.Backlogged, t.SaturatesEngines)
	w.precise(t.StartTag)
	w.cost(t.PrefillCost)
	w.cost(t.TokenCost)
}

func (r *reader) turn() sched.PeerQueueState {
	group, _ := r.group(r.names.groups)
	flags := r.flags()
	return sched.PeerQueueState{
		Group: group, Backlogged: flags[0], SaturatesEngines: flags[1],
		StartTag: r.precise(), PrefillCost: r.cost(), TokenCost: r.cost(),
	}
}

func (w *writer) demand(d sched.GroupDemand) {
	w.group(w.names.groups, item{itemKey: itemKey{group: d.Group}})
	for _, v := range [...]float64{d.PromptTokens, d.OutputTokens, d.ContextTokens} {
		w.cost(v)
	}
}

func (r *reader) demand() sched.GroupDemand {
	group, _ := r.group(r.names.groups)
	return sched.GroupDemand{
		Group: group, PromptTokens: r.cost(), OutputTokens: r.cost(), ContextTokens: r.cost(),
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

// decodeHead reads a frame up to the names that may be numbered.
func decodeHead(r *reader) *frame {
	f := &frame{}
	bits := r.flags()
	f.leaving, f.relay, f.askPeers, f.numbered, f.holder = bits[0], bits[1], bits[2], bits[4], bits[5]
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
	last := uint64(0)
	for range r.length() {
		var report wireReport
		report, last = r.report(now, last)
		f.reports = append(f.reports, report)
	}
	f.service = r.service()
	f.dispatches = r.dispatches(now)
	for range r.length() {
		f.turns = append(f.turns, r.turn())
	}
	for range r.length() {
		f.demand = append(f.demand, r.demand())
	}
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

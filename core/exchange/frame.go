package exchange

import (
	"cmp"
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/sched"
)

// class selects what the receiver of a service item does besides counting it.
type class uint8

const (
	// classPlain is only counted.
	classPlain class = iota
	// classAggregate is also added to the totals for other data centres.
	classAggregate
	// classTotal comes from another data centre and is also forwarded to the
	// peers of the receiver's data centre.
	classTotal
	classCount
)

// serviceKey is the key under which service cost is accumulated.
type serviceKey struct {
	member fleet.MemberID
	group  fleet.GroupName
	class  class
}

// serviceItem is the cost accumulated under one key.
type serviceItem struct {
	serviceKey
	cost float64
}

// frame is one message from an instance to a peer.
//
// The first frame to a peer carries the sender's profile and incarnation, and
// the reply to it a handle. Later frames carry the handle in their place; it
// stands for the sender and for the incarnations of both sides. A process that
// did not issue the handle rejects the frame.
type frame struct {
	// profile and incarnation are set until the receiver has issued a handle.
	profile *membership.Profile
	// incarnation increases with every process of the sender.
	incarnation uint64
	handle      uint64
	// pushSeq increases with every transmission, batchSeq with every batch of
	// service and dispatches that the receiver has acknowledged.
	pushSeq, batchSeq uint64
	configVersion     int64
	leaving           bool
	// holdsOrderLease reports whether the sender holds its data centre's order
	// lease.
	holdsOrderLease bool
	// relay asks the receiver to relay the reports within its data centre.
	relay bool
	// wantPeers asks the receiver for the instances that it knows.
	wantPeers bool
	marks     []membership.Mark
	digest    uint64
	// numbered reports whether names are encoded as dictionary numbers.
	// Otherwise they are spelled out.
	numbered   bool
	reports    []wireReport
	service    []serviceItem
	dispatches []sched.PeerDispatch
	// queueStates are the sender's most recent ones; demand is what arrived
	// since the last batch.
	queueStates []sched.PeerQueueState
	demand      []sched.GroupDemand
}

// wireReport is a report as encoded in a frame.
type wireReport struct {
	membership.Report
	// full reports whether the incarnation, its KV capacity and whole counters
	// are on the wire. Otherwise the first two are those of the last full
	// report of this generation, and only the low bytes of the counters are
	// sent.
	full bool
	// counters are the decoded counters, valid if hasCounters is set.
	counters    counters
	hasCounters bool
}

// Units of token counts on the wire. Each saves a byte per value; the rounding
// error is far below that of the estimates themselves.
const (
	kvUnit = 1024
	// prefilledUnit and generatedUnit are the units of an engine's counters.
	// Readers compare two reports a second apart, in which a slow engine
	// generates 200 tokens.
	prefilledUnit = 16
	generatedUnit = 4
)

// encode returns the encoded frame. Times are written as ages relative to now.
func (f *frame) encode(now fleet.Instant, dictionary *Dictionary) []byte {
	w := &writer{dictionary: dictionary, spellOut: !f.numbered}
	w.flags(f.leaving, f.relay, f.wantPeers, f.profile != nil, f.numbered, f.holdsOrderLease)
	if f.profile != nil {
		w.profile(*f.profile)
		w.uint(f.incarnation)
	} else {
		w.handle(f.handle)
	}
	w.uint(f.pushSeq)
	w.uint(f.batchSeq)
	w.uint(uint64(f.configVersion))
	w.marks(f.marks)
	if f.numbered {
		w.uint(f.digest)
	}
	w.count(len(f.reports))
	slices.SortFunc(f.reports, func(a, b wireReport) int {
		return cmp.Compare(w.number(dictionary.upstreams, string(a.Load.Upstream)), w.number(dictionary.upstreams, string(b.Load.Upstream)))
	})
	last := uint64(0)
	for _, r := range f.reports {
		last = w.report(now, last, r)
	}
	w.service(f.service)
	w.dispatches(now, f.dispatches)
	w.count(len(f.queueStates))
	for _, q := range f.queueStates {
		w.queueState(q)
	}
	w.count(len(f.demand))
	for _, d := range f.demand {
		w.demand(d)
	}
	return w.out
}

// numberedItem is an item with the number of its member.
type numberedItem struct {
	serviceItem
	number uint64
}

// service writes runs of items of one group and class. Within a run the members
// are sorted by number and written as differences between their numbers.
func (w *writer) service(unsorted []serviceItem) {
	items := make([]numberedItem, len(unsorted))
	for i, it := range unsorted {
		items[i] = numberedItem{it, w.number(w.dictionary.members, string(it.member))}
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
		w.group(w.dictionary.groups, items[0].serviceItem)
		last := uint64(0)
		for _, item := range items[:run] {
			last = w.nameDelta(last, item.number, string(item.member))
			w.cost(item.cost)
		}
		items = items[run:]
	}
	w.count(0)
}

func (r *reader) service() (out []serviceItem) {
	for n := r.length(); n > 0; n = r.length() {
		group, class := r.group(r.dictionary.groups)
		last := uint64(0)
		for range n {
			var name string
			name, last = r.nameDelta(last, r.dictionary.members)
			out = append(out, serviceItem{serviceKey{fleet.MemberID(name), group, class}, r.cost()})
		}
	}
	return out
}

// dispatches writes dispatches sorted by the numbers of their upstreams.
func (w *writer) dispatches(now fleet.Instant, ds []sched.PeerDispatch) {
	ds = slices.Clone(ds)
	slices.SortStableFunc(ds, func(a, b sched.PeerDispatch) int {
		return cmp.Compare(w.number(w.dictionary.upstreams, string(a.Upstream)), w.number(w.dictionary.upstreams, string(b.Upstream)))
	})
	w.count(len(ds))
	last := uint64(0)
	for _, d := range ds {
		last = w.nameDelta(last, w.number(w.dictionary.upstreams, string(d.Upstream)), string(d.Upstream))
		w.age(now - d.At)
		w.estimate(d.PromptTokens)
		w.estimate(d.OutputTokens)
	}
}

func (r *reader) dispatches(now fleet.Instant) (out []sched.PeerDispatch) {
	last := uint64(0)
	for range r.length() {
		var name string
		name, last = r.nameDelta(last, r.dictionary.upstreams)
		out = append(out, sched.PeerDispatch{
			Upstream: fleet.UpstreamID(name), At: now - r.age(),
			PromptTokens: r.estimate(), OutputTokens: r.estimate(),
		})
	}
	return out
}

func (w *writer) queueState(q sched.PeerQueueState) {
	w.group(w.dictionary.groups, serviceItem{serviceKey: serviceKey{group: q.Group}})
	w.flags(q.Backlogged, q.SaturatesEngines)
	w.float(q.StartTag)
	w.cost(q.PrefillCost)
	w.cost(q.TokenCost)
}

func (r *reader) queueState() sched.PeerQueueState {
	group, _ := r.group(r.dictionary.groups)
	flags := r.flags()
	return sched.PeerQueueState{
		Group: group, Backlogged: flags[0], SaturatesEngines: flags[1],
		StartTag: r.float(), PrefillCost: r.cost(), TokenCost: r.cost(),
	}
}

func (w *writer) demand(d sched.GroupDemand) {
	w.group(w.dictionary.groups, serviceItem{serviceKey: serviceKey{group: d.Group}})
	for _, v := range [...]float64{d.PromptTokens, d.OutputTokens, d.ContextTokens} {
		w.cost(v)
	}
}

func (r *reader) demand() sched.GroupDemand {
	group, _ := r.group(r.dictionary.groups)
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

// marks writes leaving marks. Their names are always spelled out, because marks
// must be understood between instances with different configurations.
func (w *writer) marks(marks []membership.Mark) {
	w.count(len(marks))
	for _, m := range marks {
		w.text(string(m.Upstream))
		w.text(string(m.Incarnation))
	}
}

// decodeHeader reads a frame up to the part in which names may be numbered.
// Errors are kept in r.err.
func decodeHeader(r *reader) *frame {
	f := &frame{}
	bits := r.flags()
	f.leaving, f.relay, f.wantPeers, f.numbered, f.holdsOrderLease = bits[0], bits[1], bits[2], bits[4], bits[5]
	if bits[3] {
		p := r.profile()
		f.profile, f.incarnation = &p, r.uint()
	} else {
		f.handle = r.handle()
	}
	f.pushSeq = r.uint()
	f.batchSeq = r.uint()
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

// decodeBody reads the rest of a frame, relative to the time now. Errors are
// kept in r.err.
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
		f.queueStates = append(f.queueStates, r.queueState())
	}
	for range r.length() {
		f.demand = append(f.demand, r.demand())
	}
}

// roleFromBits returns the role encoded in two flags.
func roleFromBits(low, high bool) fleet.Role {
	switch {
	case low:
		return fleet.RolePrefill
	case high:
		return fleet.RoleDecode
	default:
		return fleet.RoleMixed
	}
}

// reply is the reply to a frame.
type reply struct {
	// appliedBatch is the sequence number of the last batch that was counted.
	appliedBatch  uint64
	configVersion int64
	leaving       bool
	// rejected reports that the frame's body was ignored because the receiver
	// uses another dictionary.
	rejected bool
	// digest is that of the receiver's dictionary, or 0 in the reply to a frame
	// that used the same one.
	digest uint64
	// unknownHandle reports that the receiver did not issue the handle.
	unknownHandle bool
	// handshake is set in the reply to a frame with a profile.
	handshake *handshake
}

// handshake is the receiver's part in opening a session.
type handshake struct {
	profile membership.Profile
	// incarnation is the receiver's. knownIncarnation is the highest one of the
	// sender that the receiver has seen.
	incarnation, knownIncarnation uint64
	handle                        uint64
	peers                         []membership.Profile
}

func (a *reply) encode() []byte {
	w := &writer{}
	w.flags(a.rejected, a.leaving, a.unknownHandle, a.handshake != nil, a.digest != 0)
	w.uint(a.appliedBatch)
	w.uint(uint64(a.configVersion))
	if a.digest != 0 {
		w.uint(a.digest)
	}
	if a.handshake != nil {
		w.profile(a.handshake.profile)
		w.uint(a.handshake.incarnation)
		w.uint(a.handshake.knownIncarnation)
		w.handle(a.handshake.handle)
		w.count(len(a.handshake.peers))
		for _, p := range a.handshake.peers {
			w.profile(p)
		}
	}
	return w.out
}

// decodeReply decodes a reply. It returns errMalformed for one that is
// incomplete.
func decodeReply(payload []byte) (*reply, error) {
	r := &reader{in: payload}
	a := &reply{}
	bits := r.flags()
	a.rejected, a.leaving, a.unknownHandle = bits[0], bits[1], bits[2]
	a.appliedBatch = r.uint()
	a.configVersion = int64(r.uint() & (1<<62 - 1))
	if bits[4] {
		a.digest = r.uint()
	}
	if bits[3] {
		a.handshake = r.handshake()
	}
	return a, r.err
}

func (r *reader) handshake() *handshake {
	out := &handshake{profile: r.profile(), incarnation: r.uint(), knownIncarnation: r.uint(), handle: r.handle()}
	for range r.length() {
		out.peers = append(out.peers, r.profile())
	}
	return out
}

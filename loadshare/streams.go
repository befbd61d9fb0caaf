package loadshare

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// streamCopies is the number of other instances that are told the version of a
	// stream, and askedHolders the number that are asked for one: those that were told,
	// and as many to which it went because they did not answer.
	streamCopies = 3
	askedHolders = 6
	// maxHolders bounds the instances that are tried for one copy.
	maxHolders = 9
	// maxQueuedStreams bounds the records that wait for an instance, and maxStreamBatch
	// those of one call.
	maxQueuedStreams = 4096
	maxStreamBatch   = 512
	// minLocalHolders is the number of other instances of the data centre from which on
	// they alone hold the records of a large deployment: callers return to their data
	// centre.
	minLocalHolders = 3
	// confirmTimeout bounds the reading of a record of versions for another instance.
	confirmTimeout = 300 * time.Millisecond
)

// StreamVersions is what an instance knows of the software versions of streams.
type StreamVersions interface {
	LearnStreams([]takeup.Record)
	StreamVersion(takeup.Key) (r takeup.Record, known bool)
	PossibleVersions(fleet.GroupName) []string
}

// ConfirmVersions reads the record of a service's software versions from the store, so
// that all that may have begun streams by then are known.
type ConfirmVersions func(ctx context.Context, group fleet.GroupName) ([]string, error)

// streamHolders tells other instances which software version began a stream, and asks
// them. A record goes to streamCopies instances that follow from its key, so that any
// instance knows whom to ask, and the death of the one that serves the stream does not
// lose it.
type streamHolders struct {
	self    fleet.InstanceID
	known   StreamVersions
	confirm ConfirmVersions
	log     *zap.Logger

	mu    sync.Mutex
	pool  []directory.Instance
	peers map[string]*holderPeer
}

// queuedStream is a record on its way to the instance at a place of its order.
type queuedStream struct {
	record takeup.Record
	place  int
	at     time.Time
}

// HoldStreams sets what this instance knows of streams, and how it confirms their
// versions. It must be called before the exchange begins.
func (e *Exchange) HoldStreams(known StreamVersions, confirm ConfirmVersions) {
	e.streams = &streamHolders{self: e.self, known: known, confirm: confirm, log: e.log, peers: map[string]*holderPeer{}}
}

// setPool sets the instances that hold records: those of the own data centre in a large
// deployment, all in a small one.
func (h *streamHolders) setPool(list []directory.Instance, large bool) {
	var all, local []directory.Instance
	var own fleet.DataCentre
	for _, i := range list {
		if i.ID == h.self {
			own = i.DataCentre
		}
	}
	for _, i := range list {
		if i.ID == h.self {
			continue
		}
		all = append(all, i)
		if i.DataCentre == own {
			local = append(local, i)
		}
	}
	if large && len(local) >= minLocalHolders {
		all = local
	}
	addresses := map[string]bool{}
	for _, i := range all {
		addresses[i.Address] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool = all
	for address, p := range h.peers {
		if !addresses[address] {
			p.close()
			delete(h.peers, address)
		}
	}
}

// holders returns the instances that hold a key's record, in order, except this one.
func (h *streamHolders) holders(k takeup.Key) []directory.Instance {
	h.mu.Lock()
	pool := h.pool
	h.mu.Unlock()
	type ranked struct {
		instance directory.Instance
		hash     uint64
	}
	order := make([]ranked, 0, len(pool))
	for _, i := range pool {
		order = append(order, ranked{i, membership.Hash(string(k[:]), string(i.ID))})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]directory.Instance, 0, maxHolders)
	for _, r := range order[:min(len(order), maxHolders)] {
		out = append(out, r.instance)
	}
	return out
}

// TellStreams sends records to their holders in the background.
func (e *Exchange) TellStreams(records []takeup.Record) {
	for _, r := range records {
		for place, i := range firstOf(e.streams.holders(r.Key), streamCopies) {
			e.streams.enqueue(i, queuedStream{record: r, place: place, at: time.Now()})
		}
	}
}

func firstOf(list []directory.Instance, n int) []directory.Instance {
	return list[:min(len(list), n)]
}

func (h *streamHolders) enqueue(to directory.Instance, q queuedStream) {
	p := h.peer(to.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxQueuedStreams {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, q)
	if !p.sending {
		p.sending = true
		go h.send(p)
	}
}

func (h *streamHolders) peer(address string) *holderPeer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers[address] == nil {
		h.peers[address] = &holderPeer{address: address}
	}
	return h.peers[address]
}

// send sends what waits for an instance. What it does not take goes to the next of its
// order.
func (h *streamHolders) send(p *holderPeer) {
	for {
		p.mu.Lock()
		batch := p.queue[:min(len(p.queue), maxStreamBatch)]
		p.queue = p.queue[len(batch):]
		if len(batch) == 0 {
			p.queue, p.sending = nil, false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		in := StreamsRequest{From: h.self}
		for _, q := range batch {
			r := q.record
			r.Age += time.Since(q.at)
			in.Records = append(in.Records, r)
		}
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		err := p.call(ctx, serviceName+".Streams", in, &struct{}{})
		stop()
		if err == nil {
			continue
		}
		h.log.Info("versions of streams not told", zap.String("address", p.address), zap.Int("streams", len(batch)), logline.Error(err))
		for _, q := range batch {
			q.place += streamCopies
			if holders := h.holders(q.record.Key); q.place < len(holders) {
				h.enqueue(holders[q.place], q)
			}
		}
	}
}

// AskStreamVersion asks the holders of a stream's record for the software version that
// began it, until one knows it or all have answered. If confirm is set, they read the
// record of versions in the store first, as far as they reach it.
func (e *Exchange) AskStreamVersion(ctx context.Context, group fleet.GroupName, k takeup.Key, confirm bool) (answer takeup.Answer) {
	holders := firstOf(e.streams.holders(k), askedHolders)
	answers := make(chan StreamVersionReply, len(holders))
	in := StreamVersionRequest{Service: group, Key: k, Confirm: confirm}
	for _, i := range holders {
		go func() {
			out := &StreamVersionReply{}
			if err := e.streams.peer(i.Address).call(ctx, serviceName+".StreamVersion", in, out); err != nil {
				e.log.Debug("instance not asked for a stream's version", zap.String("instance", string(i.ID)), logline.Error(err))
				// An answer that comes later is still decoded into out.
				out = &StreamVersionReply{Failed: true}
			}
			answers <- *out
		}()
	}
	for range holders {
		select {
		case a := <-answers:
			if a.Failed || checkRecord(a.Record) != nil || len(a.Possible) > takeup.MaxVersions {
				continue
			}
			answer.Instances++
			answer.Possible = append(answer.Possible, a.Possible...)
			answer.Confirmed = answer.Confirmed || a.Confirmed
			if a.Known {
				answer.Software, answer.Known = a.Record.Software, true
				return answer
			}
		case <-ctx.Done():
			return answer
		}
	}
	return answer
}

// StreamsRequest tells the versions that began streams.
type StreamsRequest struct {
	From    fleet.InstanceID
	Records []takeup.Record
}

// Streams takes records of streams that another instance serves.
func (s service) Streams(in StreamsRequest, _ *struct{}) error {
	if s.e.streams == nil || len(in.Records) > maxStreamBatch {
		return errors.New("records of streams are not taken")
	}
	for _, r := range in.Records {
		if err := checkRecord(r); err != nil {
			return err
		}
	}
	s.e.streams.known.LearnStreams(in.Records)
	return nil
}

// checkRecord returns an error for a record that no instance sends.
func checkRecord(r takeup.Record) error {
	if len(r.Software) > takeup.MaxSoftwareBytes || !validAge(r.Age) {
		return errors.Errorf("record of a stream: version of %d bytes, age %v", len(r.Software), r.Age)
	}
	return nil
}

// StreamVersionRequest asks for the version that began a stream, and StreamVersionReply
// answers it.
type (
	StreamVersionRequest struct {
		Service fleet.GroupName
		Key     takeup.Key
		// Confirm asks for Possible as of now.
		Confirm bool
	}
	StreamVersionReply struct {
		Record takeup.Record
		Known  bool
		// Possible are the versions that may have begun a stream of the service.
		Possible []string
		// Confirmed reports whether Possible holds all of them.
		Confirmed bool
		// Failed is set by the caller if the call has failed.
		Failed bool
	}
)

// StreamVersion serves an instance at which a caller takes a stream up.
func (s service) StreamVersion(in StreamVersionRequest, out *StreamVersionReply) error {
	h := s.e.streams
	if h == nil {
		return nil
	}
	if out.Record, out.Known = h.known.StreamVersion(in.Key); !out.Known && in.Confirm && h.confirm != nil {
		ctx, stop := context.WithTimeout(context.Background(), confirmTimeout)
		defer stop()
		_, err := h.confirm(ctx, in.Service)
		out.Confirmed = err == nil
	}
	out.Possible = h.known.PossibleVersions(in.Service)
	return nil
}

package authority

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// Traffic is the requests of one instance at an engine.
type Traffic interface {
	// SetLeaving stops or resumes the sending of new work.
	SetLeaving(id fleet.UpstreamID, leaving bool)
	// InFlight returns the number of this instance's requests at the engine.
	InFlight(id fleet.UpstreamID) int
}

// LocalDrain keeps the marks of one instance. It is safe for concurrent use.
type LocalDrain struct {
	traffic Traffic

	mu     sync.Mutex
	latest map[fleet.UpstreamID]Mark
	// heldByRecord holds the engines that are held because of a record, not of
	// a holder's mark.
	heldByRecord map[fleet.UpstreamID]bool
	// marked holds the engines for which an order holder has sent a mark.
	marked map[fleet.UpstreamID]bool
}

// NewLocalDrain returns an instance's marks, all off.
func NewLocalDrain(traffic Traffic) *LocalDrain {
	return &LocalDrain{
		traffic: traffic, latest: map[fleet.UpstreamID]Mark{},
		heldByRecord: map[fleet.UpstreamID]bool{}, marked: map[fleet.UpstreamID]bool{},
	}
}

// Ack is an instance's answer to a mark.
type Ack struct {
	// InFlight is the number of the instance's requests at the engine, counted
	// after the mark took effect.
	InFlight int
}

// Set applies a mark. It returns an error if a mark with a higher fencing
// number was seen.
func (l *LocalDrain) Set(m Mark) (Ack, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.latest[m.Upstream]
	if m.Fence < seen.Fence {
		return Ack{}, errors.Errorf("mark of upstream %s has fencing number %d, lower than %d", m.Upstream, m.Fence, seen.Fence)
	}
	l.latest[m.Upstream] = m
	l.marked[m.Upstream] = true
	delete(l.heldByRecord, m.Upstream)
	if m.On != seen.On {
		l.traffic.SetLeaving(m.Upstream, m.On)
	}
	return Ack{InFlight: l.traffic.InFlight(m.Upstream)}, nil
}

// DrainService is the net/rpc receiver through which the order holder sends
// marks to an instance.
type DrainService struct{ local *LocalDrain }

// drainServiceName is the name of the receiver, markMethod that of its method.
const (
	drainServiceName = "Drains"
	markMethod       = drainServiceName + ".Mark"
)

// Mark applies a mark. Repeating it returns the present number in flight.
func (s *DrainService) Mark(m Mark, ack *Ack) (err error) {
	*ack, err = s.local.Set(m)
	return err
}

// Register adds the receiver to the rpc server for peers.
func (l *LocalDrain) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(drainServiceName, &DrainService{local: l}), "register drains")
}

// CallPeer calls a net/rpc method of another instance.
type CallPeer func(ctx context.Context, peer store.InstanceInfo, method string, args, reply any) error

// FleetDrains sends marks to every instance that the platform lists. An
// instance must not send work before it has seen itself in that list and has
// then applied the marks of the order records. An instance missing from a list
// that was fetched after the mark was recorded therefore does not send to the
// engine either.
type FleetDrains struct {
	local *LocalDrain
	self  fleet.InstanceID
	store store.Store
	call  CallPeer

	mu       sync.Mutex
	lastList []store.InstanceInfo
	// acknowledged holds the latest marks that instances accepted, so that
	// repeating a mark for one unreachable instance does not burden the others.
	acknowledged map[markKey]Mark
	// idle holds the marks under which instances last had nothing in flight.
	idle map[markKey]Mark
}

type markKey struct {
	instance string
	upstream fleet.UpstreamID
}

// NewFleetDrains returns the marks of all instances. local are those of the
// instance self. Without call, no other instance can be reached.
func NewFleetDrains(local *LocalDrain, self fleet.InstanceID, store store.Store, call CallPeer) *FleetDrains {
	return &FleetDrains{
		local: local, self: self, store: store, call: call,
		acknowledged: map[markKey]Mark{}, idle: map[markKey]Mark{},
	}
}

// Mark implements Drains. It fails while any listed instance has not accepted
// the mark: an instance that misses the end of a drain would never use the
// engine again.
func (f *FleetDrains) Mark(ctx context.Context, m Mark) error {
	if _, err := f.local.Set(m); err != nil {
		return err
	}
	list, err := f.instances(ctx)
	if err != nil {
		// The end of a drain must also be distributed during an outage.
		f.mu.Lock()
		list = f.lastList
		f.mu.Unlock()
	}
	if reached, _ := f.markAll(ctx, f.withoutMark(f.acknowledged, list, m), m); !reached {
		return errors.Errorf("mark of upstream %s has not reached every instance", m.Upstream)
	}
	return nil
}

// withoutMark returns the instances for which known does not hold the mark.
func (f *FleetDrains) withoutMark(known map[markKey]Mark, list []store.InstanceInfo, m Mark) (rest []store.InstanceInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range list {
		if known[markKey{i.ID, m.Upstream}] != m {
			rest = append(rest, i)
		}
	}
	return rest
}

// recordAck records that an instance has accepted a mark and whether it then
// had nothing in flight.
func (f *FleetDrains) recordAck(i store.InstanceInfo, m Mark, ack Ack) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := markKey{i.ID, m.Upstream}
	f.acknowledged[key] = m
	if ack.InFlight == 0 {
		f.idle[key] = m
	}
}

// instances returns the instances that the platform lists and keeps the list
// for an outage.
func (f *FleetDrains) instances(ctx context.Context) ([]store.InstanceInfo, error) {
	list, err := f.store.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list instances to mark")
	}
	f.mu.Lock()
	f.lastList = list
	f.mu.Unlock()
	return list, nil
}

// Acknowledged implements Drains.
func (f *FleetDrains) Acknowledged(ctx context.Context, m Mark) bool {
	list, err := f.instances(ctx)
	if err != nil || !f.selfListed(list) {
		// A list without this instance is not reliable for the others either.
		return false
	}
	if _, idle := f.markAll(ctx, f.withoutMark(f.idle, list, m), m); !idle {
		return false
	}
	// All have been idle once. An instance that has restarted since has lost
	// the mark, so all are asked again before the answer counts.
	_, idle := f.markAll(ctx, list, m)
	return idle
}

func (f *FleetDrains) selfListed(list []store.InstanceInfo) bool {
	for _, i := range list {
		if fleet.InstanceID(i.ID) == f.self {
			return true
		}
	}
	return false
}

// markAll sends the mark to all instances concurrently. reached reports whether
// all have accepted it, idle whether all of them also have nothing in flight.
func (f *FleetDrains) markAll(ctx context.Context, list []store.InstanceInfo, m Mark) (reached, idle bool) {
	type answer struct {
		ack Ack
		err error
	}
	answers := make(chan answer, len(list))
	for _, i := range list {
		go func() {
			ack, err := f.markInstance(ctx, i, m)
			answers <- answer{ack, err}
		}()
	}
	reached, idle = true, true
	for range list {
		a := <-answers
		reached = reached && a.err == nil
		idle = idle && a.err == nil && a.ack.InFlight == 0
	}
	return reached, idle
}

func (f *FleetDrains) markInstance(ctx context.Context, i store.InstanceInfo, m Mark) (ack Ack, err error) {
	switch {
	case fleet.InstanceID(i.ID) == f.self:
		return f.local.Set(m)
	case f.call == nil:
		return Ack{}, errors.Errorf("instance %s cannot be reached", i.ID)
	}
	if err = f.call(ctx, i, markMethod, m, &ack); err == nil {
		f.recordAck(i, m, ack)
	}
	return ack, err
}

package authority

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
)

// Traffic is what one instance sends to an engine.
type Traffic interface {
	// SetLeaving stops or resumes the sending of new work.
	SetLeaving(id fleet.UpstreamID, leaving bool)
	// InFlight is the number of this instance's requests at the engine.
	InFlight(id fleet.UpstreamID) int
}

// LocalDrain keeps the marks of one instance. It is safe for concurrent use.
type LocalDrain struct {
	traffic Traffic

	mu   sync.Mutex
	seen map[fleet.UpstreamID]Mark
	// adopted are engines held by their record and not by a holder's mark.
	adopted map[fleet.UpstreamID]bool
	// told are engines for which an order holder has given a mark.
	told map[fleet.UpstreamID]bool
}

// NewLocalDrain returns an instance's marks, all off.
func NewLocalDrain(traffic Traffic) *LocalDrain {
	return &LocalDrain{
		traffic: traffic, seen: map[fleet.UpstreamID]Mark{},
		adopted: map[fleet.UpstreamID]bool{}, told: map[fleet.UpstreamID]bool{},
	}
}

// Ack is an instance's answer to a mark.
type Ack struct {
	// InFlight is the number of the instance's requests at the engine, counted
	// after the mark took effect.
	InFlight int
}

// Set applies a mark. It fails when a mark with a higher number was seen.
func (l *LocalDrain) Set(m Mark) (Ack, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.seen[m.Upstream]
	if m.Fence < seen.Fence {
		return Ack{}, errors.Errorf("mark of upstream %s has fencing number %d after %d", m.Upstream, m.Fence, seen.Fence)
	}
	l.seen[m.Upstream] = m
	l.told[m.Upstream] = true
	delete(l.adopted, m.Upstream)
	if m.On != seen.On {
		l.traffic.SetLeaving(m.Upstream, m.On)
	}
	return Ack{InFlight: l.traffic.InFlight(m.Upstream)}, nil
}

// DrainService is the net/rpc receiver through which the order holder marks
// engines at an instance.
type DrainService struct{ local *LocalDrain }

// drainServiceName is the receiver's name, markMethod its method.
const (
	drainServiceName = "Drains"
	markMethod       = drainServiceName + ".Mark"
)

// Mark applies a mark; repeating it asks for the present number in flight.
func (s *DrainService) Mark(m Mark, ack *Ack) (err error) {
	*ack, err = s.local.Set(m)
	return err
}

// Register adds the receiver to the server for the project's own processes.
func (l *LocalDrain) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(drainServiceName, &DrainService{local: l}), "register drains")
}

// CallPeer calls a net/rpc method of another instance.
type CallPeer func(ctx context.Context, peer store.InstanceInfo, method string, args, reply any) error

// FleetDrains marks engines at every instance that the platform lists. An
// instance must not send work before it has seen itself in that list and has
// then adopted the marks of the order records. An instance that a list fetched
// after the mark was recorded does not contain thus holds the engine already.
type FleetDrains struct {
	local *LocalDrain
	self  fleet.InstanceID
	store store.Store
	call  CallPeer

	mu   sync.Mutex
	last []store.InstanceInfo
	// taken are the latest marks that instances took, so that repeating a mark
	// for one instance that cannot be reached does not burden the others.
	taken map[takenKey]Mark
	// quiet are the marks under which instances last had nothing in flight.
	quiet map[takenKey]Mark
}

type takenKey struct {
	instance string
	upstream fleet.UpstreamID
}

// NewFleetDrains returns the marks of all instances; local are those of the
// instance self. call may be nil; then no other instance can be asked.
func NewFleetDrains(local *LocalDrain, self fleet.InstanceID, store store.Store, call CallPeer) *FleetDrains {
	return &FleetDrains{
		local: local, self: self, store: store, call: call,
		taken: map[takenKey]Mark{}, quiet: map[takenKey]Mark{},
	}
}

// Mark implements Drains. It fails while any listed instance has not taken the
// mark: one that misses the end of a drain would never use the engine again.
func (f *FleetDrains) Mark(ctx context.Context, m Mark) error {
	if _, err := f.local.Set(m); err != nil {
		return err
	}
	list, err := f.instances(ctx)
	if err != nil {
		// The end of a drain must also be spread during an outage.
		f.mu.Lock()
		list = f.last
		f.mu.Unlock()
	}
	if reached, _ := f.each(ctx, f.missing(f.taken, list, m), m); !reached {
		return errors.Errorf("mark of upstream %s has not reached every instance", m.Upstream)
	}
	return nil
}

// missing returns the instances without the mark in known.
func (f *FleetDrains) missing(known map[takenKey]Mark, list []store.InstanceInfo, m Mark) (rest []store.InstanceInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range list {
		if known[takenKey{i.ID, m.Upstream}] != m {
			rest = append(rest, i)
		}
	}
	return rest
}

func (f *FleetDrains) note(i store.InstanceInfo, m Mark, ack Ack) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := takenKey{i.ID, m.Upstream}
	f.taken[key] = m
	if ack.InFlight == 0 {
		f.quiet[key] = m
	}
}

func (f *FleetDrains) instances(ctx context.Context) ([]store.InstanceInfo, error) {
	list, err := f.store.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list instances to mark")
	}
	f.mu.Lock()
	f.last = list
	f.mu.Unlock()
	return list, nil
}

// Acknowledged implements Drains.
func (f *FleetDrains) Acknowledged(ctx context.Context, m Mark) bool {
	list, err := f.instances(ctx)
	if err != nil || !f.listed(list) {
		// A list without this instance says nothing about the others.
		return false
	}
	if _, quiet := f.each(ctx, f.missing(f.quiet, list, m), m); !quiet {
		return false
	}
	// All have been quiet once. An instance that restarted since has forgotten
	// the mark, so all are asked again before the answer counts.
	_, quiet := f.each(ctx, list, m)
	return quiet
}

func (f *FleetDrains) listed(list []store.InstanceInfo) bool {
	for _, i := range list {
		if fleet.InstanceID(i.ID) == f.self {
			return true
		}
	}
	return false
}

// each hands the mark to all instances at once. reached tells whether every one
// has taken it, quiet whether besides none has anything in flight.
func (f *FleetDrains) each(ctx context.Context, list []store.InstanceInfo, m Mark) (reached, quiet bool) {
	type answer struct {
		ack Ack
		err error
	}
	answers := make(chan answer, len(list))
	for _, i := range list {
		go func() {
			ack, err := f.ask(ctx, i, m)
			answers <- answer{ack, err}
		}()
	}
	reached, quiet = true, true
	for range list {
		a := <-answers
		reached = reached && a.err == nil
		quiet = quiet && a.err == nil && a.ack.InFlight == 0
	}
	return reached, quiet
}

func (f *FleetDrains) ask(ctx context.Context, i store.InstanceInfo, m Mark) (ack Ack, err error) {
	switch {
	case fleet.InstanceID(i.ID) == f.self:
		return f.local.Set(m)
	case f.call == nil:
		return Ack{}, errors.Errorf("instance %s cannot be asked", i.ID)
	}
	if err = f.call(ctx, i, markMethod, m, &ack); err == nil {
		f.note(i, m, ack)
	}
	return ack, err
}

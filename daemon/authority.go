package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/store"
)

// newAuthority returns the authority, which acts while this instance holds the
// order lease of its data centre. Its random start id distinguishes this process from
// earlier ones of the same instance.
func (d *Daemon) newAuthority(store store.Store) *authority.Authority {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	d.localDrain = authority.NewLocalDrain(engineTraffic{d.dispatcher})
	return authority.New(authority.Options{
		Store: store, Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Start: hex.EncodeToString(raw[:]), Engines: d.engines,
		Drains: authority.NewFleetDrains(d.localDrain, d.settings.Instance, store, d.callPeer),
		Times:  authority.DefaultTimes, Observer: d.metrics, Log: d.log,
	})
}

// callPeer implements authority.CallPeer over the exchange's connections to
// peers. It fails before the exchange has started.
func (d *Daemon) callPeer(ctx context.Context, i store.InstanceInfo, method string, args, reply any) error {
	node := d.cluster.node.Load()
	if node == nil {
		return errors.Errorf("%s at peer %s: the exchange has not started", method, i.ID)
	}
	return node.Call(ctx, i.Address, method, args, reply)
}

// startAuthority starts the authority, which runs until ctx ends.
func (d *Daemon) startAuthority(ctx context.Context) {
	d.authorityDone = make(chan struct{})
	go func() {
		defer close(d.authorityDone)
		d.authority.Run(ctx)
	}()
}

// engineTraffic implements authority.Traffic with the scheduler of this instance.
type engineTraffic struct{ dispatcher *dispatch.Dispatcher }

// SetLeaving implements authority.Traffic: it stops or resumes dispatching to an
// upstream.
func (t engineTraffic) SetLeaving(id fleet.UpstreamID, leaving bool) {
	t.dispatcher.Step(sched.Hold{Upstream: id, On: leaving})
}

// InFlight implements authority.Traffic: it returns the number of this instance's
// requests in flight at an upstream.
func (t engineTraffic) InFlight(id fleet.UpstreamID) int {
	for _, u := range t.dispatcher.Status().Upstreams {
		if u.ID == id {
			return u.InFlight
		}
	}
	return 0
}

// orderView is the state of one engine's orders in ordersView.
type orderView struct {
	Upstream    fleet.UpstreamID  `json:"upstream"`
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	Model       fleet.ModelName   `json:"model,omitempty"`
	Role        string            `json:"role,omitempty"`
	Phase       order.Phase       `json:"phase,omitempty"`
	Order       *order.Order      `json:"order,omitempty"`
	Changing    bool              `json:"changing"`
	// BlockedBy lists the processes that may still send an earlier order.
	BlockedBy []order.Process `json:"blocked_by,omitempty"`
}

// ordersView is the body of the answer to GET /orders on the admin listener.
type ordersView struct {
	// Fence is the fencing number of the order lease, or 0 if this instance does
	// not hold it. Such an instance shows the orders as of when it last held the
	// lease.
	Fence   int64       `json:"fence"`
	Engines []orderView `json:"engines"`
}

// serveOrders writes the orders that this instance knows of as JSON.
func (d *Daemon) serveOrders(w http.ResponseWriter, _ *http.Request) {
	held, engines := d.authority.Status()
	view := ordersView{Fence: held.Fence, Engines: []orderView{}}
	for _, e := range engines {
		view.Engines = append(view.Engines, orderView{
			Upstream: e.Upstream, Incarnation: e.State.Incarnation,
			Model: e.State.Current.Model, Role: e.State.Current.Role.String(),
			Phase: e.Record.Phase, Order: e.Record.Order, Changing: e.Changing, BlockedBy: e.BlockedBy,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view)
}

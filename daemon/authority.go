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

// newAuthority provisions the order holder's part of an instance.
func (d *Daemon) newAuthority(store store.Store) *authority.Authority {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	d.localDrain = authority.NewLocalDrain(traffic{d.dispatcher})
	return authority.New(authority.Options{
		Store: store, Instance: d.settings.Instance, DataCentre: d.settings.DataCentre,
		Start: hex.EncodeToString(raw[:]), Engines: d.engines,
		Drains: authority.NewFleetDrains(d.localDrain, d.settings.Instance, store, d.callPeer),
		Times:  authority.DefaultTimes, Observer: d.metrics, Log: d.log,
	})
}

// callPeer implements authority.CallPeer over the connections of the exchange.
func (d *Daemon) callPeer(ctx context.Context, i store.InstanceInfo, method string, args, reply any) error {
	node := d.cluster.node.Load()
	if node == nil {
		return errors.Errorf("%s at peer %s: the exchange has not started", method, i.ID)
	}
	return node.Call(ctx, i.Address, method, args, reply)
}

// startAuthority runs the authority until ctx ends.
func (d *Daemon) startAuthority(ctx context.Context) {
	d.authorityDone = make(chan struct{})
	go func() {
		defer close(d.authorityDone)
		d.authority.Run(ctx)
	}()
}

// traffic is the scheduler's side of a drain.
type traffic struct{ dispatcher *dispatch.Dispatcher }

// SetLeaving implements authority.Traffic.
func (t traffic) SetLeaving(id fleet.UpstreamID, leaving bool) {
	t.dispatcher.Step(sched.Hold{Upstream: id, On: leaving})
}

// InFlight implements authority.Traffic.
func (t traffic) InFlight(id fleet.UpstreamID) int {
	for _, u := range t.dispatcher.Status().Upstreams {
		if u.ID == id {
			return u.InFlight
		}
	}
	return 0
}

// orderView is one engine's orders on the admin listener.
type orderView struct {
	Upstream    fleet.UpstreamID  `json:"upstream"`
	Incarnation fleet.Incarnation `json:"incarnation,omitempty"`
	Model       fleet.ModelName   `json:"model,omitempty"`
	Role        string            `json:"role,omitempty"`
	Phase       order.Phase       `json:"phase,omitempty"`
	Order       *order.Order      `json:"order,omitempty"`
	Changing    bool              `json:"changing"`
	// BlockedBy are processes that may still send an earlier order.
	BlockedBy []order.Process `json:"blocked_by,omitempty"`
}

// ordersView is the answer of GET /orders on the admin listener.
type ordersView struct {
	// Fence is 0 at an instance that does not hold the lease; such an instance
	// knows its engines' orders only as of its last term.
	Fence   int64       `json:"fence"`
	Engines []orderView `json:"engines"`
}

// serveOrders shows the orders as this instance knows them.
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

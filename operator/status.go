package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/metrics"
)

// States of an upstream in the response to Status.
const (
	stateAvailable   = "available"
	stateLeaving     = "leaving"
	stateUnavailable = "unavailable"
)

// Status returns the state of the scheduler, the counters and the versions in
// force at the live instances.
func (s *Server) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	status := s.Scheduler.Status()
	now := s.Scheduler.Now()
	record := s.Keeper.Record()
	out := &operatorv1.StatusResponse{
		Instance: string(s.Instance), DataCentre: string(s.DataCentre),
		ConfigVersion: record.Version, ChangeId: record.ChangeID, Draining: status.Draining,
		UptimeMs:  time.Since(s.start).Milliseconds(),
		Refusals:  protoCounts(s.Counters.Refusals()),
		Retries:   protoCounts(s.Counters.Retries()),
		Instances: protoInstances(s.Versions.VersionsInForce(), record.Version),
	}
	for _, m := range status.Members {
		out.Members = append(out.Members, protoMember(m))
	}
	for _, u := range status.Upstreams {
		out.Upstreams = append(out.Upstreams, protoUpstream(u, now))
	}
	return connect.NewResponse(out), nil
}

func protoMember(m sched.MemberStatus) *operatorv1.MemberStatus {
	return &operatorv1.MemberStatus{
		Id: string(m.ID), Share: m.Share, Queued: int32(m.Queued), Running: int32(m.Running), ServedCost: m.ServedCost,
	}
}

func protoUpstream(u sched.UpstreamStatus, now fleet.Instant) *operatorv1.UpstreamStatus {
	out := &operatorv1.UpstreamStatus{
		Id: string(u.ID), Group: string(u.Group), DataCentre: string(u.DataCentre), Role: u.Role.String(),
		State: stateAvailable, Running: int32(u.InFlight), ReportAgeMs: -1, Incarnation: string(u.Incarnation),
	}
	switch {
	case u.Leaving:
		out.State = stateLeaving
	case !u.Available:
		out.State = stateUnavailable
	}
	if u.ReportedAt > 0 {
		out.ReportAgeMs = max(0, (now - u.ReportedAt).Milliseconds())
	}
	return out
}

func protoCounts(counts []metrics.Count) []*operatorv1.Count {
	var out []*operatorv1.Count
	for _, c := range counts {
		out = append(out, &operatorv1.Count{Name: c.Label, Value: c.Value})
	}
	return out
}

// Drain marks a declared upstream as leaving and returns the marked
// incarnation.
func (s *Server) Drain(ctx context.Context, req *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.DrainResponse], error) {
	if s.Drainer == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the instance runs no membership and cannot drain an upstream"))
	}
	id := fleet.UpstreamID(req.Msg.Upstream)
	index := s.Keeper.Index()
	if index == nil || index.Upstream(id) == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("upstream %q is not declared", id))
	}
	incarnation, err := s.Drainer.Drain(ctx, id)
	if err != nil {
		return nil, connectError(errors.Wrapf(err, "drain %s", id))
	}
	s.Log.Info("upstream drained by an operator", zap.String("upstream", string(id)), zap.String("incarnation", string(incarnation)))
	return connect.NewResponse(&operatorv1.DrainResponse{Incarnation: string(incarnation)}), nil
}

// Orders returns the orders to engines that the platform records.
func (s *Server) Orders(ctx context.Context, _ *connect.Request[operatorv1.OrdersRequest]) (*connect.Response[operatorv1.OrdersResponse], error) {
	if s.Options.OrderLister == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("the instance keeps no orders to engines"))
	}
	orders, err := s.Options.OrderLister.Orders(ctx)
	if err != nil {
		return nil, connectError(errors.Wrap(err, "list orders"))
	}
	out := &operatorv1.OrdersResponse{}
	for _, o := range orders {
		out.Orders = append(out.Orders, &operatorv1.OrderStatus{
			Upstream: string(o.Upstream), Incarnation: string(o.Incarnation), OrderId: o.ID, Action: o.Action,
			Sender: string(o.Sender), FencingNumber: o.FencingNumber, State: o.State, AgeMs: o.Age.Milliseconds(),
		})
	}
	return connect.NewResponse(out), nil
}

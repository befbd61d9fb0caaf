package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/operator"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

const (
	operatorKey = "operator-key"
	memberKey   = "member-key"
)

var text = `[member shea]
share = 1
key_sha256 = ` + declare.HashKey(memberKey) + `
kinds = lookup

[kind lookup]
group = accounts
deadline = 5s
repeatable = true

[group accounts]
type = service

[upstream s1]
group = accounts
address = 127.0.0.1:9000
data_centre = a
`

// fakes implements the scheduler, the counters, the version list, the drainer
// and the order list.
type fakes struct {
	keeper  *config.Keeper
	drained []fleet.UpstreamID
	err     error
	// elsewhere is the version in force at the other instance.
	elsewhere int64
}

func (f *fakes) Now() fleet.Instant { return 10 * time.Second }
func (f *fakes) Status() sched.Status {
	return sched.Status{
		Members: []sched.MemberStatus{{ID: "shea", Queued: 2}},
		Upstreams: []sched.UpstreamStatus{
			{ID: "s1", Available: true, InFlight: 3, ReportedAt: 9 * time.Second},
			{ID: "s2", Available: true, Leaving: true}, {ID: "s3"},
		},
	}
}
func (f *fakes) Refusals() []metrics.Count { return []metrics.Count{{Label: "queue_full", Value: 4}} }
func (f *fakes) Retries() []metrics.Count  { return nil }
func (f *fakes) VersionsInForce() []config.InstanceVersion {
	return []config.InstanceVersion{{Instance: "i1", Version: f.keeper.Version()}, {Instance: "i2", Version: f.elsewhere}}
}
func (f *fakes) Drain(_ context.Context, id fleet.UpstreamID) (fleet.Incarnation, error) {
	f.drained = append(f.drained, id)
	return "inc-1", f.err
}
func (f *fakes) Orders(context.Context) ([]operator.Order, error) {
	return []operator.Order{{Upstream: "e1", Action: "role decode"}}, f.err
}

type env struct {
	service *standin.Server
	client  operatorv1connect.OperatorServiceClient
	fakes   *fakes
	url     string
}

func newEnv(t *testing.T) *env {
	e := &env{service: standin.New(), fakes: &fakes{}}
	kv := httptest.NewServer(e.service.Handler())
	t.Cleanup(kv.Close)
	e.fakes.keeper = config.NewKeeper(config.Options{Store: store.NewClient(kv.URL, kv.Client())})
	server := httptest.NewServer(operator.NewHandler(operator.Options{
		Instance: "i1", KeyHashes: []string{declare.HashKey(operatorKey)}, Keeper: e.fakes.keeper,
		Scheduler: e.fakes, Counters: e.fakes, Versions: e.fakes, Drainer: e.fakes, OrderLister: e.fakes,
	}))
	t.Cleanup(server.Close)
	e.url = server.URL
	e.client = operatorv1connect.NewOperatorServiceClient(server.Client(), server.URL)
	return e
}

func request[T any](m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+operatorKey)
	return r
}

func (e *env) apply(id, text string, base int64) (*operatorv1.ApplyResponse, error) {
	out, err := e.client.Apply(context.Background(), request(&operatorv1.ApplyRequest{
		Text: text, File: "f.ini", Author: "op", ChangeId: id, BaseVersion: base,
	}))
	if err != nil {
		return nil, err
	}
	return out.Msg, nil
}

// detail returns the first detail message of an error.
func detail[T any](err error) (out T) {
	var connectErr *connect.Error
	So(errors.As(err, &connectErr), ShouldBeTrue)
	So(connectErr.Details(), ShouldNotBeEmpty)
	value, err := connectErr.Details()[0].Value()
	So(err, ShouldBeNil)
	return value.(T)
}

// TestKeys guards against accepting any key but an operator's.
func TestKeys(t *testing.T) {
	e := newEnv(t)
	for header, want := range map[string]int{
		"":                       http.StatusUnauthorized,
		"Bearer ":                http.StatusUnauthorized,
		"Bearer " + memberKey:    http.StatusUnauthorized,
		operatorKey:              http.StatusUnauthorized,
		"Bearer " + operatorKey:  http.StatusOK,
		"Bearer " + "x" + "\t\t": http.StatusUnauthorized,
	} {
		req, _ := http.NewRequest(http.MethodPost, e.url+operatorv1connect.OperatorServiceHistoryProcedure, http.NoBody)
		req.Header.Set("Content-Type", "application/proto")
		req.Header.Set("Authorization", header)
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != want {
			t.Errorf("Authorization %q: %v %v, want %d", header, resp, err, want)
		}
	}
}

// TestFailures guards against an error whose code or detail misleads a script
// about whether the configuration changed.
func TestFailures(t *testing.T) {
	cases := []struct {
		name string
		run  func(e *env) error
		code connect.Code
	}{
		{"faults", func(e *env) error {
			_, err := e.apply("c", "[member x]\nshare = -1\n", 0)
			So(detail[*operatorv1.Faults](err).Faults[0].Line, ShouldEqual, 2)
			return err
		}, connect.CodeInvalidArgument},
		{"no change id", func(e *env) error { _, err := e.apply("", text, 0); return err }, connect.CodeInvalidArgument},
		{"moved", func(e *env) error {
			_, err := e.apply("c1", text, 0)
			So(err, ShouldBeNil)
			_, err = e.apply("c2", text, 7)
			So(detail[*operatorv1.Moved](err).CurrentVersion, ShouldEqual, 1)
			return err
		}, connect.CodeAborted},
		{"outage", func(e *env) error {
			e.service.SetFaults(standin.Faults{Down: true})
			_, err := e.apply("c1", text, 0)
			return err
		}, connect.CodeUnavailable},
		{"rate limit", func(e *env) error {
			e.service.SetOptions(standin.Options{WritesPerSecond: 1})
			_, err := e.apply("c1", text, 0)
			So(err, ShouldBeNil)
			_, err = e.apply("c2", text, 0)
			return err
		}, connect.CodeResourceExhausted},
		{"unknown version", func(e *env) error {
			_, err := e.client.Revert(context.Background(), request(&operatorv1.RevertRequest{Version: 3, ChangeId: "r"}))
			return err
		}, connect.CodeNotFound},
		{"unknown upstream", func(e *env) error {
			_, err := e.client.Drain(context.Background(), request(&operatorv1.DrainRequest{Upstream: "s9"}))
			return err
		}, connect.CodeNotFound},
		{"failed drain", func(e *env) error {
			_, err := e.apply("c1", text, 0)
			So(err, ShouldBeNil)
			e.fakes.err = store.ErrUnavailable
			_, err = e.client.Drain(context.Background(), request(&operatorv1.DrainRequest{Upstream: "s1"}))
			return err
		}, connect.CodeUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			Convey(c.name, t, func() {
				So(connect.CodeOf(c.run(e)), ShouldEqual, c.code)
			})
		})
	}
}

// TestCalls guards against responses without the information that operators
// need.
func TestCalls(t *testing.T) {
	Convey("With a version in force", t, func() {
		e := newEnv(t)
		ctx := context.Background()
		_, err := e.apply("c1", text, 0)
		So(err, ShouldBeNil)

		Convey("a plan shows changes and remarks and changes nothing", func() {
			out, err := e.client.Plan(ctx, request(&operatorv1.PlanRequest{Text: text + "\n[group spare]\ntype = service\n"}))
			So(err, ShouldBeNil)
			So(out.Msg.BaseVersion, ShouldEqual, 1)
			So(len(out.Msg.Changes), ShouldEqual, 1)
			So(out.Msg.Changes[0].Operation, ShouldEqual, operatorv1.Operation_OPERATION_ADDED)
			So(len(out.Msg.Remarks), ShouldEqual, 2)
			So(e.fakes.keeper.Version(), ShouldEqual, 1)
		})
		Convey("a wait names the instances that lag", func() {
			out, err := e.client.Revert(ctx, request(&operatorv1.RevertRequest{Version: 1, ChangeId: "r", Wait: true, WaitLimitMs: 50}))
			So(err, ShouldBeNil)
			So(out.Msg.Applied.Version, ShouldEqual, 2)
			So(len(out.Msg.Applied.NotInForce), ShouldEqual, 1)
			So(out.Msg.Applied.NotInForce[0].Id, ShouldEqual, "i2")
		})
		Convey("a change is newer than what is in force elsewhere", func() {
			e.fakes.elsewhere = 9
			out, err := e.apply("c2", text, 1)
			So(err, ShouldBeNil)
			So(out.Version, ShouldEqual, 10)
		})
		Convey("the status has scheduler, counters and instances", func() {
			out, err := e.client.Status(ctx, request(&operatorv1.StatusRequest{}))
			So(err, ShouldBeNil)
			So(out.Msg.Members[0].Queued, ShouldEqual, 2)
			var states []string
			for _, u := range out.Msg.Upstreams {
				states = append(states, u.State)
			}
			So(states, ShouldResemble, []string{"available", "leaving", "unavailable"})
			So(out.Msg.Upstreams[0].ReportAgeMs, ShouldEqual, 1000)
			So(out.Msg.Upstreams[1].ReportAgeMs, ShouldEqual, -1)
			So(out.Msg.Refusals[0].Value, ShouldEqual, 4)
			So(out.Msg.Instances[1].State, ShouldEqual, "behind")
		})
		Convey("a drain reaches the membership and orders are listed", func() {
			out, err := e.client.Drain(ctx, request(&operatorv1.DrainRequest{Upstream: "s1"}))
			So(err, ShouldBeNil)
			So(out.Msg.Incarnation, ShouldEqual, "inc-1")
			So(e.fakes.drained, ShouldResemble, []fleet.UpstreamID{"s1"})
			orders, err := e.client.Orders(ctx, request(&operatorv1.OrdersRequest{}))
			So(err, ShouldBeNil)
			So(orders.Msg.Orders[0].Action, ShouldEqual, "role decode")
		})
		Convey("history, diff and show agree", func() {
			_, err := e.apply("c2", text+"\n[group spare]\ntype = service\n", 1)
			So(err, ShouldBeNil)
			history, err := e.client.History(ctx, request(&operatorv1.HistoryRequest{Limit: 1}))
			So(err, ShouldBeNil)
			So(history.Msg.Versions[0].ChangeId, ShouldEqual, "c2")
			diff, err := e.client.Diff(ctx, request(&operatorv1.DiffRequest{From: 1}))
			So(err, ShouldBeNil)
			So(diff.Msg.Changes[0].Name, ShouldEqual, "spare")
			show, err := e.client.Show(ctx, request(&operatorv1.ShowRequest{Version: 1}))
			So(err, ShouldBeNil)
			So(show.Msg.Text, ShouldEqual, text)
		})
	})
}

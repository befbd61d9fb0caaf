package upstream_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/upstream"
)

// TestOrderConn guards against a wrong error for an engine's answer to an order,
// with and without fencing, and against an order that reaches a restarted engine.
func TestOrderConn(t *testing.T) {
	Convey("With an engine that executes orders", t, func() {
		ctx := context.Background()
		writeDeadline := time.Now().Add(time.Minute)
		start := func(ignoresFencing bool) (*engine.Server, func() *upstream.OrderConn) {
			e := engine.New(engine.Config{Incarnation: "e1", Orders: &engine.Orders{
				Model: "m", IgnoresFencing: ignoresFencing, ChangeTime: 30 * time.Millisecond,
			}})
			server := httptest.NewUnstartedServer(e.Handler())
			server.Config.ConnContext = e.ConnContext
			server.Start()
			Reset(server.Close)
			return e, func() *upstream.OrderConn {
				c, err := upstream.DialOrders(ctx, strings.TrimPrefix(server.URL, "http://"))
				So(err, ShouldBeNil)
				_, err = c.State(ctx)
				So(err, ShouldBeNil)
				return c
			}
		}
		send := func(c *upstream.OrderConn, id string, fencingNumber int64) error {
			return c.Send(ctx, upstream.OrderRequest{ID: id, FencingNumber: fencingNumber, Incarnation: "e1", Model: "m", Role: "decode"}, writeDeadline)
		}

		Convey("a late order with a lower number is refused by an engine that checks", func() {
			e, dial := start(false)
			late := dial()
			So(send(dial(), "b", 2), ShouldBeNil)
			time.Sleep(60 * time.Millisecond)
			So(errors.Is(send(late, "a", 1), upstream.ErrOrderStale), ShouldBeTrue)
			So(e.StartedOrders(), ShouldResemble, []string{"b"})
		})
		Convey("a late order with a lower number is executed by an engine that ignores numbers", func() {
			e, dial := start(true)
			late := dial()
			So(send(dial(), "b", 2), ShouldBeNil)
			time.Sleep(60 * time.Millisecond)
			So(send(late, "a", 1), ShouldBeNil)
			So(e.StartedOrders(), ShouldResemble, []string{"b", "a"})
		})
		Convey("a second order during a change is refused as busy, and the same one is not executed twice", func() {
			e, dial := start(false)
			So(send(dial(), "a", 1), ShouldBeNil)
			So(errors.Is(send(dial(), "b", 2), upstream.ErrOrderBusy), ShouldBeTrue)
			So(send(dial(), "a", 2), ShouldBeNil)
			time.Sleep(60 * time.Millisecond)
			So(send(dial(), "a", 2), ShouldBeNil)
			So(e.StartedOrders(), ShouldResemble, []string{"a"})
		})
		Convey("an order on a connection from before a restart does not arrive", func() {
			e, dial := start(true)
			late := dial()
			e.Crash(false)
			So(send(late, "a", 1), ShouldNotBeNil)
			So(e.StartedOrders(), ShouldBeEmpty)
		})
		Convey("a connection that the engine has closed is not replaced by another", func() {
			e, dial := start(true)
			late := dial()
			late.Close()
			So(send(late, "a", 1), ShouldNotBeNil)
			So(e.StartedOrders(), ShouldBeEmpty)
		})
		Convey("nothing is written after the deadline", func() {
			e, dial := start(true)
			err := dial().Send(ctx, upstream.OrderRequest{ID: "a"}, time.Now().Add(-time.Second))
			So(err, ShouldNotBeNil)
			So(e.StartedOrders(), ShouldBeEmpty)
		})
		Convey("a lost answer does not count as an order that was not sent", func() {
			e, dial := start(true)
			e.SetLoseAnswers(true)
			err := send(dial(), "a", 1)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, upstream.ErrOrderNotSent), ShouldBeFalse)
			So(e.StartedOrders(), ShouldResemble, []string{"a"})
		})
	})
}

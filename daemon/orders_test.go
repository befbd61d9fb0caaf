package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// TestOrders guards against orders that only the order holder can list, and
// against a damaged record that is skipped or hides others without an error.
func TestOrders(t *testing.T) {
	Convey("With a recorded order", t, func() {
		server := httptest.NewServer(standin.New().Handler())
		defer server.Close()
		ctx := context.Background()
		store := store.NewClient(server.URL, http.DefaultClient)
		d := &Daemon{cluster: cluster{store: store}}
		raw, err := json.Marshal(order.Record{Fence: 4, Phase: order.PhaseSending, Order: &order.Order{
			ID: "o", Desired: order.Desired{Role: fleet.RoleDecode}, Sender: order.Process{Instance: "i"},
		}})
		So(err, ShouldBeNil)
		_, err = store.CompareAndSwap(ctx, "order/e1", 0, raw, "")
		So(err, ShouldBeNil)

		Convey("every instance lists it", func() {
			list, err := d.Orders(ctx)
			So(err, ShouldBeNil)
			So(list, ShouldHaveLength, 1)
			So(list[0].Upstream, ShouldEqual, fleet.UpstreamID("e1"))
			So(list[0].Action, ShouldEqual, "role decode")
			So(list[0].State, ShouldEqual, "sending")
		})
		Convey("a damaged record is named in the error", func() {
			_, err := store.CompareAndSwap(ctx, "order/e2", 0, []byte("x"), "")
			So(err, ShouldBeNil)
			_, err = d.Orders(ctx)
			So(err.Error(), ShouldContainSubstring, "decode order/e2")
		})
	})
}

package authority_test

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/store"
)

// records is a store with one order record. meanwhile runs between the read and
// its answer.
type records struct {
	store.Store
	marked    bool
	err       error
	meanwhile func()
}

func (r *records) List(context.Context, string) ([]store.Entry, error) {
	raw, _ := json.Marshal(order.Record{Fence: 3, Marked: r.marked})
	r.meanwhile()
	return []store.Entry{{Key: "order/e", Value: raw}}, r.err
}

// TestSyncFromRecords guards against an instance that starts during an order
// and then sends work to the engine, never uses it again, or overrides the
// order holder with a record that it has read earlier.
func TestSyncFromRecords(t *testing.T) {
	Convey("Marks from records and from holders in any order", t, func() {
		var engine *traffic
		var drains *authority.LocalDrain
		mark := func(fence int64, on bool) func() {
			return func() { _, _ = drains.Set(authority.Mark{Upstream: "e", Fence: fence, On: on}) }
		}
		sync := func(marked bool, meanwhile ...func()) func() {
			return func() {
				_, _ = drains.SyncFromRecords(context.Background(), &records{marked: marked, meanwhile: func() {
					for _, do := range meanwhile {
						do()
					}
				}})
			}
		}
		failed := func() {
			_, err := drains.SyncFromRecords(context.Background(), &records{err: store.ErrUnavailable, meanwhile: func() {}})
			So(err, ShouldNotBeNil)
		}
		for name, c := range map[string]struct {
			steps   []func()
			leaving bool
			held    int
		}{
			"held":                      {[]func(){sync(true)}, true, 1},
			"released with the record":  {[]func(){sync(true), sync(false)}, false, 0},
			"held again":                {[]func(){sync(true), sync(false), sync(true)}, true, 1},
			"a read fails":              {[]func(){sync(true), failed}, true, 1},
			"marked while read":         {[]func(){sync(true), sync(false, mark(3, true))}, true, 0},
			"lifted while read":         {[]func(){sync(true, mark(3, true), mark(3, false))}, false, 0},
			"lifted by the holder":      {[]func(){sync(true), mark(3, false), sync(true)}, false, 0},
			"lifted by an older holder": {[]func(){sync(true), mark(2, false)}, true, 1},
			"marked by an older holder": {[]func(){sync(true), sync(false), mark(2, true)}, false, 0},
		} {
			engine = &traffic{}
			drains = authority.NewLocalDrain(engine)
			for _, step := range c.steps {
				step()
			}
			So([]any{name, engine.isLeaving(), drains.HeldByRecords()}, ShouldResemble, []any{name, c.leaving, c.held})
		}
	})
}

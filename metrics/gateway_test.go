package metrics

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSeriesOfRoutes guards against metrics that grow with every route that a
// configuration has ever had.
func TestSeriesOfRoutes(t *testing.T) {
	Convey("Only the routes in force have a series", t, func() {
		g := NewGateway(nil)
		for version := range 300 {
			kept := fmt.Sprint("route-", version)
			g.Answered("steady", time.Millisecond)
			g.Answered(kept, time.Millisecond)
			g.KeepRoutes(func(name string) bool { return name == kept || name == "steady" })
		}
		families, err := g.registry.Gather()
		So(err, ShouldBeNil)
		for _, f := range families {
			if f.GetName() == "bramleywick_answer_seconds" {
				So(len(f.GetMetric()), ShouldEqual, 2)
				for _, m := range f.GetMetric() {
					if m.GetLabel()[0].GetValue() == "steady" {
						So(m.GetHistogram().GetSampleCount(), ShouldEqual, 300)
					}
				}
			}
		}
	})
}

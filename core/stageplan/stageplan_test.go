package stageplan

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

func engines(prefill, decode, centres int) []placement.Server {
	var out []placement.Server
	for i := range prefill + decode {
		s := placement.Server{ID: fleet.UpstreamID(fmt.Sprint("e", i)), DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%centres)), Stage: fleet.RoleDecode}
		if i < prefill {
			s.Stage = fleet.RolePrefill
		}
		out = append(out, s)
	}
	return out
}

func TestChanges(t *testing.T) {
	Convey("A plan of two thirds", t, func() {
		plan := Plan{PrefillShare: 0.67}
		for _, c := range []struct {
			name                       string
			prefill, decode, tolerance int
			want                       int
			stage                      fleet.Role
		}{
			{"is reached", 8, 4, 0, 0, 0},
			{"needs more prefill", 5, 7, 0, 3, fleet.RolePrefill},
			{"needs more decode", 11, 1, 0, 3, fleet.RoleDecode},
			{"is within the tolerance", 7, 5, 1, 0, 0},
			{"is off by more than the tolerance", 6, 6, 1, 2, fleet.RolePrefill},
			{"replaces one of few decode engines that was lost", 8, 3, 1, 1, fleet.RoleDecode},
			{"tolerates the loss of one of many decode engines", 18, 8, 1, 0, 0},
			{"keeps one engine at each stage", 0, 2, 0, 1, fleet.RolePrefill},
			{"cannot divide one engine", 0, 1, 0, 0, 0},
		} {
			Convey(c.name, func() {
				plan.Tolerance = c.tolerance
				changes := plan.Changes(engines(c.prefill, c.decode, 3))
				So(len(changes), ShouldEqual, c.want)
				for _, change := range changes {
					So(change.Stage, ShouldEqual, c.stage)
				}
			})
		}
		Convey("leaves no data centre without decode engines", func() {
			left := map[fleet.DataCentre]int{}
			list := engines(0, 12, 3)
			for _, s := range list {
				left[s.DataCentre]++
			}
			for _, c := range plan.Changes(list) {
				left[c.Server.DataCentre]--
			}
			for _, n := range left {
				So(n, ShouldBeGreaterThan, 0)
			}
		})
		Convey("ignores engines that are leaving or have no stage", func() {
			list := engines(2, 1, 1)
			list = append(list, placement.Server{ID: "x"}, placement.Server{ID: "y", Stage: fleet.RoleDecode, Leaving: true})
			So(plan.Changes(list), ShouldBeEmpty)
		})
	})
}

// TestSlowTransfers checks deployments whose links are so slow that
// transferring a prompt's KV cache takes longer than the prefill of its
// uncached part.
func TestSlowTransfers(t *testing.T) {
	Convey("Where a transfer takes longer than prefill", t, func() {
		engine := &routes.Engine{Slots: 64, KVBytesPerToken: 18432, LinkBytesPerSecond: 1e9}
		Convey("all engines decode", func() {
			changes := New(engine, 0).Changes(engines(4, 8, 3))
			So(len(changes), ShouldEqual, 4)
			for _, c := range changes {
				So(c.Stage, ShouldEqual, fleet.RoleDecode)
			}
			So(New(engine, 0).Changes(engines(0, 12, 3)), ShouldBeEmpty)
		})
		Convey("but not where the links are fast or not declared", func() {
			for _, link := range []float64{9e10, 0} {
				engine.LinkBytesPerSecond = link
				So(New(engine, 0).Changes(engines(9, 3, 3)), ShouldBeEmpty)
			}
		})
	})
}

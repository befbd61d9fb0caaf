package topology

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func instances(n, centres int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{
			ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%centres)),
			Cores: float64(i%7) / 10,
		})
	}
	return out
}

func TestOf(t *testing.T) {
	Convey("Connections between instances", t, func() {
		for _, c := range []struct {
			n, centres int
			// connections is the number of connected pairs.
			connections int
		}{
			{1, 1, 0}, {8, 3, 28}, {12, 3, 66}, {88, 3, 85 + 3}, {85, 4, 81 + 6}, {390, 11, 379 + 55}, {300, 1, 299},
		} {
			Convey(fmt.Sprintf("of %d instances in %d data centres", c.n, c.centres), func() {
				list := instances(c.n, c.centres)
				total, hubs := 0, 0
				for _, i := range list {
					topology := Of(i.ID, append([]Instance(nil), list...))
					total += len(topology.DialPeers)
					if topology.IsHub {
						hubs++
						So(topology.Hub, ShouldBeEmpty)
					}
				}
				So(total, ShouldEqual, c.connections)
				if c.n > meshLimit {
					So(hubs, ShouldEqual, c.centres)
				}
			})
		}
	})
	Convey("The hub is the instance with the most cores, and its successor the one with the next most", t, func() {
		list := instances(30, 3)
		topology := Of("i000", append([]Instance(nil), list...))
		So(string(topology.Hub), ShouldEqual, "i006")
		var rest []Instance
		for _, i := range list {
			if i.ID != topology.Hub {
				rest = append(rest, i)
			}
		}
		So(string(Of("i000", rest).Hub), ShouldEqual, "i027")
	})
	Convey("An instance that is not listed yet dials no peer", t, func() {
		So(Of("new", instances(30, 3)).DialPeers, ShouldBeEmpty)
	})
}

package scaling

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/fleetsize"
)

// record is the value of a service's key: what a successor must know.
type record struct {
	// Fence is the fencing number of the holder that wrote the record.
	Fence   int64                    `json:"fence"`
	Initial map[fleet.DataCentre]int `json:"initial"`
	Orders  []recordedOrder          `json:"orders"`
}

type recordedOrder struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	Spot       bool             `json:"spot"`
	Servers    int              `json:"servers"`
}

func encode(fence int64, r fleetsize.Record) record {
	out := record{Fence: fence, Initial: r.Initial}
	for _, o := range r.Orders {
		out.Orders = append(out.Orders, recordedOrder{o.DataCentre, o.Spot, o.Servers})
	}
	return out
}

func (r record) decode() fleetsize.Record {
	out := fleetsize.Record{Initial: r.Initial}
	for _, o := range r.Orders {
		out.Orders = append(out.Orders, fleetsize.Order{Pool: fleetsize.Pool{DataCentre: o.DataCentre, Spot: o.Spot}, Servers: max(o.Servers, 0)})
	}
	return out
}

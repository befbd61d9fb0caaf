package daemon

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/operator"
)

// orderRecordPrefix is the key prefix of the order records in the platform's
// store; an engine's id follows.
const orderRecordPrefix = "order/"

// Orders implements operator.OrderLister from the records in the platform's store,
// so that any instance can answer and not only the order holder. Ages are not
// recorded and stay 0.
func (d *Daemon) Orders(ctx context.Context) ([]operator.Order, error) {
	entries, err := d.cluster.store.List(ctx, orderRecordPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list order records")
	}
	var out []operator.Order
	for _, e := range entries {
		var r order.Record
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "decode %s", e.Key)
		}
		if r.Order == nil {
			continue
		}
		out = append(out, operator.Order{
			Upstream:    fleet.UpstreamID(strings.TrimPrefix(e.Key, orderRecordPrefix)),
			Incarnation: r.Order.Incarnation, ID: r.Order.ID, Action: orderAction(r.Order),
			Sender: r.Order.Sender.Instance, FencingNumber: r.Fence, State: string(r.Phase),
		})
	}
	return out, nil
}

// orderAction describes what an order changes: the role, the model or both.
func orderAction(o *order.Order) string {
	var parts []string
	if o.From.Role != o.Desired.Role {
		parts = append(parts, "role "+o.Desired.Role.String())
	}
	if o.From.LoadsWeights(o.Desired) {
		parts = append(parts, "model "+string(o.Desired.Model)+" "+o.Desired.Version+" "+o.Desired.Adapter)
	}
	return strings.TrimSpace(strings.Join(parts, ", "))
}

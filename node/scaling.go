package node

import (
	"context"
	"time"

	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/scaling"
	"github.com/bramleywick/bramleywick/settings"
)

// scalingCheck is the time between two looks at the configuration while no service
// has bounds for the number of its servers.
const scalingCheck = 250 * time.Millisecond

// startScaling starts what orders servers, if the settings list the duty. The
// instance competes for the duty once a service has bounds for the number of its
// servers.
func (n *Node) startScaling(start func(func(context.Context))) {
	cloud := n.settings.Cloud
	if !cloud.Performs(settings.DutyAutoscaling) {
		return
	}
	holder := n.dutyHolder(settings.DutyAutoscaling)
	executor := scaling.New(scaling.Options{
		Holder: holder, FenceKey: duty.Keys(settings.DutyAutoscaling).Fence, Store: n.store,
		Cloud: n.platform.NewCloud(cloud.Address, cloud.CallsPerSecond), Servers: n.state,
		Table: n.directory.Table, Current: n.directory.Current, LinksTrusted: n.links.Trusted, OthersMayHold: func() bool { return len(n.candidates()) > 1 },
		Observer: n.metrics.RegisterScaling(), Log: n.log,
	})
	start(executor.Run)
	start(func(ctx context.Context) {
		for !scaling.Needed(n.directory.Table()) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(scalingCheck):
			}
		}
		holder.Run(ctx)
	})
}

package poll

import (
	"context"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

// cachePollPeriod is the time between two requests for cache events. They only
// improve the choice of engines, so they are requested less often than the
// load.
const cachePollPeriod = 2 * time.Second

// cacheCursor is the position in one engine's cache events.
type cacheCursor struct {
	incarnation  fleet.Incarnation
	lastSequence int64
	polledAt     time.Time
}

// due reports whether to request events now. Only engines report a KV cache
// capacity. A new incarnation restarts the sequence.
func (c *cacheCursor) due(load upstream.Load) bool {
	if c.incarnation != load.Incarnation {
		c.incarnation, c.lastSequence = load.Incarnation, 0
	}
	if load.KVCapacityTokens == 0 || time.Since(c.polledAt) < cachePollPeriod {
		return false
	}
	c.polledAt = time.Now()
	return true
}

// pollCache passes on the events after the cursor. The scheduler detects gaps
// in the sequence.
func (p *Poller) pollCache(ctx context.Context, id fleet.UpstreamID, address string, c *cacheCursor) {
	var out upstream.CacheEvents
	url := "http://" + address + "/v1/cache-events?after=" + strconv.FormatInt(c.lastSequence, 10)
	if err := p.get(ctx, url, &out); err != nil || out.Incarnation != c.incarnation {
		return
	}
	for _, ev := range out.Events {
		if ev.Sequence <= c.lastSequence {
			continue
		}
		c.lastSequence = ev.Sequence
		p.hooks.Cache(sched.CacheUpdate{Upstream: id, Sequence: ev.Sequence, Stored: ev.Stored, Evicted: ev.Evicted})
	}
}

package poll

import (
	"context"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

// cachePeriod is the time between two requests for cache events. They help to
// place prompts and nothing depends on them, so they are asked for less often
// than the load.
const cachePeriod = 2 * time.Second

// cacheCursor is the position in one engine's cache events.
type cacheCursor struct {
	incarnation fleet.Incarnation
	after       int64
	asked       time.Time
}

// due tells whether to ask now. Only engines report KV capacity; a new
// incarnation starts counting anew.
func (c *cacheCursor) due(load upstream.Load) bool {
	if c.incarnation != load.Incarnation {
		c.incarnation, c.after = load.Incarnation, 0
	}
	if load.KVCapacityTokens == 0 || time.Since(c.asked) < cachePeriod {
		return false
	}
	c.asked = time.Now()
	return true
}

// pollCache hands on the events after the cursor. A gap in the sequence is
// left for the scheduler to see.
func (p *Poller) pollCache(ctx context.Context, id fleet.UpstreamID, address string, c *cacheCursor) {
	var out upstream.CacheEvents
	url := "http://" + address + "/v1/cache-events?after=" + strconv.FormatInt(c.after, 10)
	if err := p.get(ctx, url, &out); err != nil || out.Incarnation != c.incarnation {
		return
	}
	for _, ev := range out.Events {
		if ev.Sequence <= c.after {
			continue
		}
		c.after = ev.Sequence
		p.hooks.Cache(sched.CacheUpdate{Upstream: id, Sequence: ev.Sequence, Stored: ev.Stored, Evicted: ev.Evicted})
	}
}

// Package budget implements the retry budget: it bounds how many retries an
// instance sends to a service, that is every request beyond the first for a
// caller's request. All instances together stay within a ratio of the callers'
// requests plus a fixed slack per sliding window. Each instance uses an equal
// part of the slack, so that the instances need no communication and a
// partition doesn't matter.
package budget

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Config is the bound for all instances together.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per caller's request.
	Ratio float64
	// Slack is the number of retries allowed in addition, for all instances
	// together.
	Slack float64
}

const (
	// ratioMargin and slackMargin scale the bound down: Budget counts requests
	// when they are sent, while the bound holds for the times at which they
	// arrive.
	ratioMargin = 0.85
	slackMargin = 0.8
	// buckets is the number of buckets that the window is divided into. One
	// more is kept and counted, so that every position of the sliding window is
	// covered.
	buckets = 20
)

// window counts the requests to one service in a ring of buckets.
type window struct {
	requests [buckets + 1]int
	retries  [buckets + 1]int
	// current is the number of the latest bucket since the clock's start; its
	// index in the ring is current % (buckets + 1).
	current int64
}

// Budget is the retry budget of one instance. Not safe for concurrent use.
type Budget struct {
	config    Config
	instances int
	windows   map[fleet.GroupName]*window
}

// New returns a Budget for a deployment with the given number of instances.
func New(config Config, instances int) *Budget {
	b := &Budget{config: config, windows: map[fleet.GroupName]*window{}}
	b.SetInstances(instances)
	return b
}

// SetInstances divides the slack among n instances. The number never decreases
// within a process, because a partitioned instance may still send.
func (b *Budget) SetInstances(n int) { b.instances = max(b.instances, n, 1) }

// advance returns the window of a service after clearing the buckets that now
// lie outside it.
func (b *Budget) advance(name fleet.GroupName, now fleet.Instant) *window {
	w := b.windows[name]
	if w == nil {
		w = &window{}
		b.windows[name] = w
	}
	bucket := int64(now / (b.config.Window / buckets))
	if bucket-w.current > buckets {
		*w = window{current: bucket}
	}
	for w.current < bucket {
		w.current++
		i := w.current % (buckets + 1)
		w.requests[i], w.retries[i] = 0, 0
	}
	return w
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(name fleet.GroupName, now fleet.Instant) {
	w := b.advance(name, now)
	w.requests[w.current%(buckets+1)]++
}

// Spend counts a retry if it is within the bound, and reports whether it is.
func (b *Budget) Spend(name fleet.GroupName, now fleet.Instant) bool {
	w := b.advance(name, now)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	slack := b.config.Slack * slackMargin / float64(b.instances)
	if float64(retries+1) > float64(requests)*b.config.Ratio*ratioMargin+slack {
		return false
	}
	w.retries[w.current%(buckets+1)]++
	return true
}

// Refund gives back a retry that was spent and not sent.
func (b *Budget) Refund(name fleet.GroupName, now fleet.Instant) {
	w := b.advance(name, now)
	i := w.current % (buckets + 1)
	w.retries[i] = max(w.retries[i]-1, 0)
}

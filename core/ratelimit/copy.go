package ratelimit

import (
	"maps"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/outbox"
)

// Copy returns a Limiter that decides as l for a service. Requests that it counts,
// grants or takes do not change l. It must not be told of other events.
func (l *Limiter) Copy(group fleet.GroupName) *Limiter {
	out := *l
	out.limits = make(map[fleet.Process]*limit, len(l.limits))
	for p, k := range l.limits {
		known := *k
		out.limits[p] = &known
	}
	out.meters = map[fleet.GroupName]*[NumRanks]meter{}
	if m := l.meters[group]; m != nil {
		meters := *m
		out.meters[group] = &meters
	}
	out.byPeer, out.shares, out.meanTokens = maps.Clone(l.byPeer), maps.Clone(l.shares), maps.Clone(l.meanTokens)
	out.peers, out.changes = nil, outbox.Outbox[Change]{}
	return &out
}

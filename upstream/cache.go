package upstream

import "github.com/bramleywick/bramleywick/core/fleet"

// CacheEvents is the body of the answer to GET /v1/cache-events?after=N at an
// engine: the events with a sequence number above N that the engine still holds.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent is one change of an engine's prefix cache. Sequence numbers start
// at 1 in every incarnation and rise by 1; a gap means that events were lost.
type CacheEvent struct {
	Sequence int64 `json:"sequence"`
	// Stored and Evicted are chained hashes of prompt blocks.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

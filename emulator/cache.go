package emulator

import "container/list"

// blockCache is a prefix cache of prompt blocks with least-recently-used eviction.
type blockCache struct {
	capacity int        // in blocks
	order    *list.List // front: most recently used
	entries  map[uint64]*list.Element
	stored   []uint64 // since the last takeEvents
	evicted  []uint64 // since the last takeEvents
}

func newBlockCache(capacity int) blockCache {
	return blockCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// lookup returns the number of prompt tokens in the longest cached prefix. It is less
// than prompt, since the last token is always computed.
func (c *blockCache) lookup(blocks []uint64, prompt int) int {
	n := 0
	for _, b := range blocks {
		el, ok := c.entries[b]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		n++
	}
	return min(n*BlockTokens, prompt-1)
}

// store adds blocks to the cache and evicts the least recently used ones.
func (c *blockCache) store(blocks []uint64) {
	for _, b := range blocks {
		if el, ok := c.entries[b]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		c.stored = append(c.stored, b)
		if c.order.Len() > c.capacity {
			c.evictOldest()
		}
	}
}

func (c *blockCache) evictOldest() {
	last := c.order.Back()
	b := c.order.Remove(last).(uint64)
	delete(c.entries, b)
	c.evicted = append(c.evicted, b)
}

// takeEvents returns the blocks stored and evicted since the last call.
func (c *blockCache) takeEvents() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}

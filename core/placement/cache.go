package placement

import (
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// minPartTokens is the least length of a part worth remembering.
	minPartTokens = 24
	// maxParts bounds the parts remembered of one engine.
	maxParts = 8192
	// useOfMemory is the part of an engine's KV memory that is assumed to hold
	// cached parts; running requests hold the rest.
	useOfMemory = 0.85
)

// cache models which prompt parts an engine keeps. The engine evicts the least
// recently used part, so a part is gone once as many tokens as fit have been
// added since its last use.
type cache struct {
	capacity float64
	// added counts the tokens that were ever added.
	added float64
	used  map[string]kept
}

// kept is a part that the engine is believed to keep.
type kept struct {
	// mark is the value of added when the part was last used, less its own length:
	// the part is gone once as much was added since as fits beside it.
	mark float64
	// ready is when the part has been read, so that others can copy it.
	ready fleet.Instant
}

func newCache() cache { return cache{used: map[string]kept{}} }

func (c *cache) holds(id string) bool {
	part, ok := c.used[id]
	return ok && c.lasts(part)
}

// lasts tells that a part has not been evicted yet.
func (c *cache) lasts(part kept) bool {
	return c.capacity == 0 || c.added-part.mark < c.capacity*useOfMemory
}

// readable returns the tokens at the prompt's beginning that others can copy.
func (c *cache) readable(r *call.Request, now fleet.Instant) float64 {
	sum := 0
	for _, p := range r.Parts {
		part, ok := c.used[p.ID]
		if !ok || !c.lasts(part) || part.ready > now {
			break
		}
		sum += p.Tokens
	}
	return float64(sum)
}

// uncached returns the tokens of the prompt that the engine has to read: all
// from the first part that it does not keep.
func (c *cache) uncached(r *call.Request) float64 {
	missing := float64(r.PromptTokens)
	for _, p := range r.Parts {
		if !c.holds(p.ID) {
			break
		}
		missing -= float64(p.Tokens)
	}
	return max(missing, 0)
}

// use notes that the engine reads the prompt and has read it at ready. others is
// how many other instances send as much as this one, whose unshared parts are not
// heard of.
func (c *cache) use(r *call.Request, others int, ready fleet.Instant) {
	for i, p := range r.Parts {
		held := c.holds(p.ID)
		if !held {
			c.added += float64(p.Tokens)
		}
		if i == len(r.Parts)-1 && len(r.Parts) > 1 {
			// The last part is the request's own; no other will ask for it.
			c.added += float64(p.Tokens) * float64(others)
			return
		}
		c.note(p.ID, p.Tokens, ready)
	}
}

// drop forgets the parts of a prompt.
func (c *cache) drop(r *call.Request) {
	for _, p := range r.Parts {
		delete(c.used, p.ID)
	}
}

// note marks a part as used just now; ready is when it has been read, unless it
// is kept already.
func (c *cache) note(id string, tokens int, ready fleet.Instant) {
	if tokens < minPartTokens {
		return
	}
	if len(c.used) >= maxParts {
		c.prune()
	}
	if part, ok := c.used[id]; ok && c.lasts(part) {
		ready = min(ready, part.ready)
	}
	c.used[id] = kept{mark: c.added - float64(tokens), ready: ready}
}

// prune drops parts that are gone, or all when none is.
func (c *cache) prune() {
	before := len(c.used)
	for id := range c.used {
		if !c.holds(id) {
			delete(c.used, id)
		}
	}
	if len(c.used) == before {
		clear(c.used)
	}
}

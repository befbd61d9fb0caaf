package place

import "github.com/bramleywick/bramleywick/core/call"

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
	// used is the value of added when a part was last used.
	used map[string]float64
}

func newCache() cache { return cache{used: map[string]float64{}} }

func (c *cache) holds(id string) bool {
	mark, ok := c.used[id]
	return ok && (c.capacity == 0 || c.added-mark < c.capacity*useOfMemory)
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

// use notes that the engine has read the prompt. others is how many other
// instances send as much as this one, whose unshared parts are not heard of.
func (c *cache) use(r *call.Request, others int) {
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
		c.note(p.ID, p.Tokens)
	}
}

// drop forgets the parts of a prompt.
func (c *cache) drop(r *call.Request) {
	for _, p := range r.Parts {
		delete(c.used, p.ID)
	}
}

// note marks a part as used just now.
func (c *cache) note(id string, tokens int) {
	if tokens < minPartTokens {
		return
	}
	if len(c.used) >= maxParts {
		c.prune()
	}
	c.used[id] = c.added
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

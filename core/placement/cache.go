package placement

import (
	"maps"
	"slices"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// minPartTokens is the length below which a part is not recorded.
	minPartTokens = 24
	// maxParts bounds the recorded parts per engine, and minParts is the number
	// that each engine may have whatever their sum.
	maxParts = 8192
	minParts = 64
	// partBytes is the memory of a recorded part.
	partBytes = 128
	// keptParts is the share of the recorded parts that is kept when no more may
	// be recorded.
	keptParts = 0.75
	// cacheShare is the share of an engine's KV memory that is assumed to hold
	// cached parts; running requests hold the rest.
	cacheShare = 0.85
)

// cache models which prompt parts an engine has cached. The engine evicts the
// least recently used part, so a part counts as evicted once as many tokens as
// fit have been added since its last use.
type cache struct {
	// capacity is the engine's KV memory in tokens; while it is 0 (unknown), no
	// part counts as evicted.
	capacity float64
	// added is the total number of tokens added so far.
	added float64
	parts map[string]cachedPart
	// limit bounds the number of parts.
	limit int
}

// cachedPart is a part that the engine is assumed to have cached.
type cachedPart struct {
	// addedAtUse is the value of added at the part's last use, less its own
	// length: the part is evicted once more has been added since than fits
	// beside it.
	addedAtUse float64
	// readyAt is when the part has been prefilled, so that other engines can
	// copy it.
	readyAt fleet.Instant
}

func newCache() cache { return cache{parts: map[string]cachedPart{}, limit: maxParts} }

// partLimit returns the number of parts that may be recorded for each of the
// given number of engines in the given memory; a memory of 0 bounds nothing.
func partLimit(memory int64, engines int) int {
	if memory <= 0 {
		return maxParts
	}
	return min(max(int(memory/partBytes)/max(engines, 1), minParts), maxParts)
}

// holds reports whether a part is recorded and not evicted yet.
func (c *cache) holds(id string) bool {
	part, ok := c.parts[id]
	return ok && c.present(part)
}

// present reports whether a part has not been evicted yet.
func (c *cache) present(part cachedPart) bool {
	return c.capacity == 0 || c.added-part.addedAtUse < c.capacity*cacheShare
}

// copyableTokens returns the number of leading prompt tokens that other engines
// can copy.
func (c *cache) copyableTokens(r *call.Request, now fleet.Instant) float64 {
	sum := 0
	for _, p := range r.Parts {
		part, ok := c.parts[p.ID]
		if !ok || !c.present(part) || part.readyAt > now {
			break
		}
		sum += p.Tokens
	}
	return float64(sum)
}

// uncachedTokens returns the number of prompt tokens that the engine has to
// prefill: all from the first part that is not cached.
func (c *cache) uncachedTokens(r *call.Request) float64 {
	missing := float64(r.PromptTokens)
	for _, p := range r.Parts {
		if !c.holds(p.ID) {
			break
		}
		missing -= float64(p.Tokens)
	}
	return max(missing, 0)
}

// addPrompt records that the engine has the prompt prefilled at ready.
func (c *cache) addPrompt(r *call.Request, ready fleet.Instant) {
	for i, p := range r.Parts {
		cached := c.holds(p.ID)
		if !cached {
			c.added += float64(p.Tokens)
		}
		if i == len(r.Parts)-1 && len(r.Parts) > 1 {
			// The last part is the request's own; no other request will use it.
			return
		}
		c.addPart(p.ID, p.Tokens, ready)
	}
}

// removePrompt removes the parts of a prompt.
func (c *cache) removePrompt(r *call.Request) {
	for _, p := range r.Parts {
		delete(c.parts, p.ID)
	}
}

// addPart marks a part as used now; ready is when its prefill ends, unless it
// is cached already.
func (c *cache) addPart(id string, tokens int, ready fleet.Instant) {
	if tokens < minPartTokens {
		return
	}
	if len(c.parts) >= c.limit {
		c.prune()
	}
	if part, ok := c.parts[id]; ok && c.present(part) {
		ready = min(ready, part.readyAt)
	}
	c.parts[id] = cachedPart{addedAtUse: c.added - float64(tokens), readyAt: ready}
}

// prune removes the evicted parts, and then those used longest ago until keptParts
// of the limit are left.
func (c *cache) prune() {
	maps.DeleteFunc(c.parts, func(_ string, part cachedPart) bool { return !c.present(part) })
	over := len(c.parts) - int(keptParts*float64(c.limit))
	if over <= 0 {
		return
	}
	uses := make([]float64, 0, len(c.parts))
	for _, part := range c.parts {
		uses = append(uses, part.addedAtUse)
	}
	slices.Sort(uses)
	oldest := uses[over-1]
	maps.DeleteFunc(c.parts, func(_ string, part cachedPart) bool { return part.addedAtUse <= oldest })
}

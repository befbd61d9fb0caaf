package fairshare

import (
	"maps"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Copy returns a Controller that decides about a service as c does now. What is
// counted there does not change c.
func (c *Controller) Copy(group fleet.GroupName) *Controller {
	out := New()
	s := c.services[group]
	if s == nil {
		return out
	}
	known := *s
	known.offered = make(map[memberKey]*meter, len(s.offered))
	for key, m := range s.offered {
		rate := *m
		known.offered[key] = &rate
	}
	known.peers, known.others = maps.Clone(s.peers), maps.Clone(s.others)
	out.services[group] = &known
	return out
}

package gateway

import (
	"net/http"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
)

const (
	// keyRevokedWait is the Retry-After of a request whose key was revoked while it
	// waited; the next one is authenticated by the configuration now in force.
	keyRevokedWait = 10 * time.Millisecond
	// outdatedWait is the Retry-After while the configuration is too old: the time
	// in which an instance that has not lost all others confirms it again.
	outdatedWait = 500 * time.Millisecond
)

// authenticate sets the request's member and rank. It refuses a request that needs a
// key and has none that is valid, or cannot be authenticated, without reading its
// body, and returns false. The verdict is that from before the table was looked up.
func (p *proxyRequest) authenticate(verdict freshness.Verdict) bool {
	if p.route != nil {
		p.req.Rank = p.route.Priority
	}
	index := p.table.Members()
	if index == nil || (p.route != nil && p.route.Public) {
		return true
	}
	if verdict == freshness.Outdated {
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonMembersOutdated, outdatedWait)
		return false
	}
	p.key = p.g.Wire.Credential(p.r.Header)
	member, ok := index.Lookup(p.key)
	switch {
	case !ok && verdict == freshness.Late && p.key != "":
		// The key may have been added since.
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonConfigUnknown, outdatedWait)
		return false
	case !ok:
		p.refuse(http.StatusUnauthorized, fleet.ReasonUnknownKey, 0)
		return false
	}
	p.req.Member = member.Name
	if member.HasRank {
		p.req.Rank = member.Rank
	}
	return true
}

// keyValid reports whether the request may be sent to a server as far as its key is
// concerned. It is asked before each send, since the configuration may have changed
// after the request was authenticated. Once false it stays false.
func (p *proxyRequest) keyValid() bool {
	if p.keyRejected == "" {
		p.keyRejected = p.keyFault()
	}
	return p.keyRejected == ""
}

// keyFault returns the reason for which the request must not be sent; "" for none.
func (p *proxyRequest) keyFault() fleet.Reason {
	verdict := p.g.Freshness()
	table := p.g.Table()
	index := table.Members()
	switch {
	case index == nil:
		return ""
	case p.table.Members() == nil:
		// The headers to forward still have what may be a key.
		return fleet.ReasonKeyRevoked
	case p.req.Member == "":
		if route := table.Lookup(p.r.Host, requestPath(p.r)); route == nil || !route.Public {
			return fleet.ReasonKeyRevoked
		}
		return ""
	}
	if verdict == freshness.Outdated {
		return fleet.ReasonMembersOutdated
	}
	if member, ok := index.Lookup(p.key); !ok || member.Name != p.req.Member {
		return fleet.ReasonKeyRevoked
	}
	return ""
}

// refusedForKey refuses the request if its key is no longer valid, and reports
// whether it did.
func (p *proxyRequest) refusedForKey() bool {
	if p.keyValid() {
		return false
	}
	p.fail(p.keyRejected, keyRevokedWait)
	return true
}

// mayNotBeSent refuses the request if its key is no longer valid or a part of its
// prompt is quarantined, and reports whether it did.
func (p *proxyRequest) mayNotBeSent() bool { return p.refusedForKey() || p.quarantined() }

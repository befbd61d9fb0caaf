package gateway

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
)

// restriction says which servers a request may be sent to. Each choice of a server
// takes one, so that none can leave it out.
type restriction struct {
	// skip are the servers that failed or rejected the request.
	skip []fleet.UpstreamID
	// software is the software version that began the stream; nil if the request may
	// go to any. What two versions write does not fit together.
	software *string
}

// allowed returns where the request may be sent now.
func (p *proxyRequest) allowed() restriction {
	return restriction{skip: p.tried, software: p.software}
}

// pin restricts the request to servers of a software version.
func (p *proxyRequest) pin(software string) { p.software = &software }

// mayGoTo reports whether the stream may go on at a server as far as its software version
// is concerned.
func (r restriction) mayGoTo(s placement.Server) bool {
	return r.software == nil || *r.software == s.SoftwareVersion
}

// restrict applies a restriction to the choices that follow, until the returned function
// is called. The caller holds mu.
func (s *State) restrict(r restriction) (end func()) {
	if r.software == nil {
		return func() {}
	}
	s.fleet.Restrict(r.mayGoTo)
	return func() { s.fleet.Restrict(nil) }
}

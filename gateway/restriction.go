package gateway

import (
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// restriction says which servers a request may be sent to. Each choice of a server
// takes one, so that none can leave it out.
type restriction struct {
	// skip are the servers that failed or rejected the request.
	skip []fleet.UpstreamID
	// software is the software version that began the stream; nil if the request may
	// go to any. The events that two versions write do not fit together.
	software *string
	// begins is the service of a stream that may be taken up again and that no version
	// has begun; "" for other requests. Such streams begin only at recorded versions.
	begins fleet.GroupName
}

// allowed returns where the request may be sent now.
func (p *proxyRequest) allowed() restriction {
	r := restriction{skip: p.tried, software: p.software}
	if p.software == nil && p.mayBeTakenUp() {
		r.begins = p.group
	}
	return r
}

// mayBeTakenUp reports whether the request is a stream that its caller may take up again.
func (p *proxyRequest) mayBeTakenUp() bool {
	return p.route != nil && p.route.Kind == routes.KindStream && p.route.Resumable
}

// pin restricts the request to servers of a software version.
func (p *proxyRequest) pin(software string) { p.software = &software }

// mayGoTo reports whether a request may go to a server as far as software versions are
// concerned, if the server makes events. The caller holds mu.
func (s *State) mayGoTo(r restriction, server placement.Server) bool {
	if r.software != nil {
		return *r.software == server.SoftwareVersion
	}
	return s.software.mayBegin(server, s.now())
}

// restrict applies a restriction to the choices that follow, until the returned function
// is called. The caller holds mu.
func (s *State) restrict(r restriction) (end func()) {
	if r.software == nil && (r.begins == "" || s.software.versions.AllRecorded(r.begins)) {
		return func() {}
	}
	s.fleet.Restrict(func(server placement.Server) bool { return s.mayGoTo(r, server) })
	return func() { s.fleet.Restrict(nil) }
}

package caller

import (
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// OpenRequest is a request that has no complete answer yet.
type OpenRequest struct {
	ID        fleet.RequestID
	Member    fleet.MemberID
	Kind      fleet.KindName
	ArrivedAt time.Time
}

// registry holds the open requests, so that a stop that must interrupt them
// can name them. The zero value is ready to use.
type registry struct {
	mu   sync.Mutex
	open map[fleet.RequestID]OpenRequest
}

func (r *registry) add(id fleet.RequestID, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = map[fleet.RequestID]OpenRequest{}
	}
	r.open[id] = OpenRequest{ID: id, ArrivedAt: since}
}

func (r *registry) describe(id fleet.RequestID, member fleet.MemberID, kind fleet.KindName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.open[id]
	o.Member, o.Kind = member, kind
	r.open[id] = o
}

func (r *registry) remove(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
}

// OpenRequests returns the open requests.
func (s *Server) OpenRequests() []OpenRequest {
	s.open.mu.Lock()
	defer s.open.mu.Unlock()
	list := make([]OpenRequest, 0, len(s.open.open))
	for _, o := range s.open.open {
		list = append(list, o)
	}
	return list
}

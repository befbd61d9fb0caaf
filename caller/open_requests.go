package caller

import (
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// OpenRequest describes a request that has no complete answer yet. Member and
// Kind are empty until they are known.
type OpenRequest struct {
	ID        fleet.RequestID
	Member    fleet.MemberID
	Kind      fleet.KindName
	ArrivedAt time.Time
}

// registry lists the open requests, so that a stop of the instance can log
// those that it interrupts. The zero value is ready to use.
type registry struct {
	mu   sync.Mutex
	byID map[fleet.RequestID]OpenRequest
}

func (r *registry) add(id fleet.RequestID, arrivedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[fleet.RequestID]OpenRequest{}
	}
	r.byID[id] = OpenRequest{ID: id, ArrivedAt: arrivedAt}
}

// describe sets the member and the kind of an open request.
func (r *registry) describe(id fleet.RequestID, member fleet.MemberID, kind fleet.KindName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.byID[id]
	o.Member, o.Kind = member, kind
	r.byID[id] = o
}

func (r *registry) remove(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// OpenRequests returns the open requests in no particular order.
func (s *Server) OpenRequests() []OpenRequest {
	s.openRequests.mu.Lock()
	defer s.openRequests.mu.Unlock()
	list := make([]OpenRequest, 0, len(s.openRequests.byID))
	for _, o := range s.openRequests.byID {
		list = append(list, o)
	}
	return list
}

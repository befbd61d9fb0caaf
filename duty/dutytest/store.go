// Package dutytest provides a key-value store in virtual time for tests.
package dutytest

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/lease"
	"github.com/bramleywick/bramleywick/leaseholder"
	"github.com/bramleywick/bramleywick/store"
)

// Store implements leaseholder.Store in memory. It is not safe for concurrent
// use.
type Store struct {
	// Down makes each call fail without effect, and LoseAnswers makes each write
	// take effect without an answer.
	Down, LoseAnswers bool
	// RenewedAt is when a lease was last granted or renewed.
	RenewedAt fleet.Instant
	// OnWrite is called before and after each write of a key, unless it is nil.
	OnWrite func(key string, after bool)
	// Writes counts the writes of keys.
	Writes int

	// removedAt is when each key that does not exist was removed.
	removedAt map[string]fleet.Instant
	now       func() fleet.Instant
	era       int64
	revision  int64
	entries   map[string]entry
	leases    map[string]grant
}

// Copy is what a store held at a moment.
type Copy struct {
	revision int64
	entries  map[string]entry
	leases   map[string]grant
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.expire()
	return Copy{s.revision, maps.Clone(s.entries), maps.Clone(s.leases)}
}

// Restore makes the store come back from a copy. As in the client of the platform's
// store, revisions rise with the era, and leases of an earlier one are lost to their
// owners; their keys stay until the leases of the copy have run out.
func (s *Store) Restore(c Copy) {
	s.era++
	s.revision, s.entries, s.leases = c.revision, maps.Clone(c.entries), maps.Clone(c.leases)
	for id, l := range s.leases {
		l.expires = s.now() + l.ttl
		s.leases[id] = l
	}
	for key, e := range s.entries {
		e.Revision = store.Revision(s.era, store.NumberOf(e.Revision))
		s.entries[key] = e
	}
}

// Era returns the store's era.
func (s *Store) Era() int64 { return s.era }

// leaseID returns the id of a lease that is granted now.
func (s *Store) leaseID() string {
	return strconv.FormatInt(s.era, 10) + "-" + strconv.FormatInt(s.revision, 10)
}

// ofEra reports whether a lease was granted in the present era.
func (s *Store) ofEra(id string) bool {
	return strings.HasPrefix(id, strconv.FormatInt(s.era, 10)+"-")
}

type entry struct {
	store.Entry
	leaseID string
}

type grant struct {
	ttl     time.Duration
	expires fleet.Instant
}

// NewStore returns an empty store.
func NewStore(now func() fleet.Instant) *Store {
	return &Store{era: fleet.FirstEra, now: now, removedAt: map[string]fleet.Instant{}, entries: map[string]entry{}, leases: map[string]grant{}}
}

// expire removes the leases that have expired.
func (s *Store) expire() {
	for id, l := range s.leases {
		if s.now() >= l.expires {
			s.remove(id)
		}
	}
}

func (s *Store) remove(id string) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.leaseID == id {
			delete(s.entries, key)
			s.removedAt[key] = s.now()
		}
	}
}

// Get implements leaseholder.Store.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	if s.Down {
		return store.Entry{}, store.ErrUnavailable
	}
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e.Entry, nil
}

// CompareAndSwap implements leaseholder.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, revision int64, value []byte, leaseID string) (store.Entry, error) {
	if s.Down {
		return store.Entry{}, store.ErrUnavailable
	}
	if s.OnWrite != nil {
		s.OnWrite(key, false)
		defer func() {
			if s.OnWrite != nil {
				s.OnWrite(key, true)
			}
		}()
	}
	s.expire()
	if s.entries[key].Revision != revision {
		return store.Entry{}, store.ErrConflict
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !(ok && s.ofEra(leaseID)) {
		return store.Entry{}, store.ErrLeaseLost
	}
	s.revision++
	s.Writes++
	e := entry{store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: store.Revision(s.era, s.revision)}, leaseID}
	s.entries[key] = e
	return e.Entry, s.lost()
}

// lost returns the error of a write that has taken effect.
func (s *Store) lost() error {
	if s.LoseAnswers {
		return store.ErrOutcomeUnknown
	}
	return nil
}

// GrantLease implements leaseholder.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (store.Lease, error) {
	if s.Down {
		return store.Lease{}, store.ErrUnavailable
	}
	s.revision++
	id := s.leaseID()
	s.leases[id] = grant{ttl, s.now() + ttl}
	s.RenewedAt = s.now()
	return store.Lease{ID: id, TTL: ttl, Era: s.era}, s.lost()
}

// RenewLease implements leaseholder.Store.
func (s *Store) RenewLease(_ context.Context, id string) error {
	if s.Down {
		return store.ErrUnavailable
	}
	s.expire()
	l, ok := s.leases[id]
	if !ok || !s.ofEra(id) {
		return store.ErrLeaseLost
	}
	l.expires = s.now() + l.ttl
	s.leases[id] = l
	s.RenewedAt = s.now()
	return s.lost()
}

// RevokeLease implements leaseholder.Store.
func (s *Store) RevokeLease(_ context.Context, id string) error {
	if s.Down {
		return store.ErrUnavailable
	}
	if !s.ofEra(id) {
		return store.ErrLeaseLost
	}
	s.remove(id)
	return s.lost()
}

// Exists reports whether a key exists.
func (s *Store) Exists(key string) bool {
	s.expire()
	_, ok := s.entries[key]
	return ok
}

// FreeFor returns for how long a key has not existed, as an instance that follows
// the store sees it: 0 while it exists.
func (s *Store) FreeFor(key string) time.Duration {
	if s.Exists(key) {
		return 0
	}
	return s.now() - s.removedAt[key]
}

// Fence returns the highest fencing number of a lease.
func (s *Store) Fence(keys leaseholder.Keys) int64 {
	var out lease.Fence
	if e, ok := s.entries[keys.Fence]; ok {
		if err := json.Unmarshal(e.Value, &out); err != nil {
			panic(err)
		}
	}
	return out.Number
}

var _ leaseholder.Store = (*Store)(nil)
